//! The `pointspindle lab capacity` command.
use super::scale::{read_json, read_target};
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_scale::slopes::Fits;
use std::path::PathBuf;

/// Arguments of `lab capacity`.
#[derive(clap::Args)]
pub struct CapacityArguments {
    /// Planned fleet; see scenarios/fleet-ahead.ini.
    #[arg(long)]
    target: PathBuf,
    /// Slopes file, as written by `lab scale --out`.
    #[arg(long)]
    slopes: PathBuf,
}

/// Writes the capacity page to standard output.
pub fn capacity(arguments: CapacityArguments) -> CommandResult {
    let target = read_target(&arguments.target)?;
    let slopes: Fits = read_json(&arguments.slopes)?;
    let invalid_slope = slopes.figures.iter().find(|(_, slope)| {
        slope.min_dispatchers == 0 || slope.max_dispatchers < slope.min_dispatchers
    });
    if let Some((name, _)) = invalid_slope {
        return Err(CommandError::CannotRun(format!(
            "{}: {name}: from and to, the fleet sizes of the measurement, are missing or invalid",
            arguments.slopes.display()
        )));
    }
    print!("{}", pointspindle_scale::capacity::page(&target, &slopes));
    Ok(())
}
