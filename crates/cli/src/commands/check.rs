//! The `pointspindle check` command.
use pointspindle_cli::exit::{CommandError, CommandResult};
use std::path::Path;

/// Checks a settings file and prints all errors in it.
pub fn check(file: &Path) -> CommandResult {
    match pointspindle_config::load(file) {
        Ok(settings) => {
            println!(
                "{}: valid; zone {}, {} classes, {} members",
                file.display(),
                settings.zones[settings.router.zone],
                settings.classes.len(),
                settings.endpoints.len()
            );
            Ok(())
        }
        Err(errors) => {
            println!("{errors}");
            Err(CommandError::Negative)
        }
    }
}
