//! `pointspindle check`.
use crate::exit::{CommandError, CommandResult};
use std::path::Path;

/// Checks settings, and prints everything that is wrong with them.
pub fn check(file: &Path) -> CommandResult {
    match pointspindle_config::load(file) {
        Ok(settings) => {
            println!(
                "{}: right; zone {}, {} classes, {} members",
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
