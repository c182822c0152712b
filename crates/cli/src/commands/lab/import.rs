//! `pointspindle lab import`.
use crate::exit::CommandResult;
use pointspindle_scenario::import::{self, Size};
use std::path::Path;

/// Writes the scenario of a bench's day on standard output; what cannot be carried over on standard error.
pub fn import(day: &Path, is_full_size: bool) -> CommandResult {
    let text = std::fs::read_to_string(day)?;
    let size = if is_full_size {
        Size::Full
    } else {
        Size::Loopback
    };
    let (scenario, omissions) = import::import(&text, size)?;
    for omission in omissions {
        eprintln!("not carried over: {omission}");
    }
    print!("{scenario}");
    Ok(())
}
