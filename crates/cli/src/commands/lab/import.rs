//! The `pointspindle lab import` command.
use pointspindle_cli::exit::CommandResult;
use pointspindle_scenario::import::{self, Size};
use std::path::Path;

/// Converts a run of the dispatcher bench: writes the scenario to standard output, and the parts that cannot be
/// imported to standard error.
pub fn import(file: &Path, is_full_size: bool) -> CommandResult {
    let text = std::fs::read_to_string(file)?;
    let size = if is_full_size {
        Size::Full
    } else {
        Size::Loopback
    };
    let (scenario, omissions) = import::import(&text, size)?;
    for omission in omissions {
        eprintln!("not imported: {omission}");
    }
    print!("{scenario}");
    Ok(())
}
