//! `pointspindle lab capacity`.
use super::scale::{read_json, read_target};
use crate::exit::{CommandError, CommandResult};
use pointspindle_scale::slopes::Slopes;
use std::path::PathBuf;

/// Arguments of `lab capacity`.
#[derive(clap::Args)]
pub struct CapacityArguments {
    /// The fleet ahead; see scenarios/fleet-ahead.ini.
    #[arg(long)]
    target: PathBuf,
    /// Slopes as `lab scale --out` writes them.
    #[arg(long)]
    slopes: PathBuf,
}

/// Writes the capacity page on standard output.
pub fn capacity(arguments: CapacityArguments) -> CommandResult {
    let target = read_target(&arguments.target)?;
    let slopes: Slopes = read_json(&arguments.slopes)?;
    let without_sizes = slopes.figures.iter().find(|(_, slope)| {
        slope.min_dispatchers == 0 || slope.max_dispatchers < slope.min_dispatchers
    });
    if let Some((name, _)) = without_sizes {
        return Err(CommandError::CannotRun(format!(
            "{}: {name}: from and to, the sizes that it was measured at, are missing",
            arguments.slopes.display()
        )));
    }
    print!("{}", pointspindle_scale::capacity::page(&target, &slopes));
    Ok(())
}
