//! The `pointspindle lab check` command.
use pointspindle_cli::exit::{CommandError, CommandResult};
use std::path::Path;

/// Checks a scenario and prints all errors in it.
pub fn check(file: &Path) -> CommandResult {
    match pointspindle_scenario::load(file, None) {
        Ok(scenario) => {
            println!(
                "{}: valid; {:.0} s, {} faults: {}",
                file.display(),
                scenario.duration_s,
                scenario.faults.len(),
                scenario.description
            );
            Ok(())
        }
        Err(errors) => {
            println!("{errors}");
            Err(CommandError::Negative)
        }
    }
}
