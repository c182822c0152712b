//! `pointspindle lab check`.
use crate::exit::{CommandError, CommandResult};
use std::path::Path;

/// Checks a scenario, and prints everything that is wrong with it.
pub fn check(file: &Path) -> CommandResult {
    match pointspindle_scenario::load(file, None) {
        Ok(scenario) => {
            println!(
                "{}: right; {:.0} s, {} troubles: {}",
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
