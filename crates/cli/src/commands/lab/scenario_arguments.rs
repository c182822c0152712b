//! Which scenario is played, and with which fault around it.
use crate::exit::CommandError;
use pointspindle_scenario::{Scenario, SettingOverride};
use std::path::{Path, PathBuf};

/// Lengths that a scenario can be scaled to, seconds.
const MIN_SECONDS: f64 = 2.0;
const MAX_SECONDS: f64 = 3_600.0;

/// A scenario, its seed, and settings in place of its own.
#[derive(clap::Args)]
pub struct ScenarioArguments {
    /// File of the scenario.
    scenario: PathBuf,
    /// In place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// A value in place of the scenario's, such as fleet.caches=9; may be given several times.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    overrides: Vec<SettingOverride>,
}

impl ScenarioArguments {
    /// Reads the scenario.
    pub fn load(&self) -> Result<Scenario, CommandError> {
        let loaded = pointspindle_scenario::load_with(&self.scenario, self.seed, &self.overrides);
        Ok(loaded?)
    }

    /// File of the scenario.
    pub fn file(&self) -> &Path {
        &self.scenario
    }

    /// Settings in place of its own.
    pub fn overrides(&self) -> &[SettingOverride] {
        &self.overrides
    }
}

/// The same, at a length of one's own.
#[derive(clap::Args)]
pub struct ScaledScenarioArguments {
    #[command(flatten)]
    scenario: ScenarioArguments,
    /// Scale the script to a run of this many seconds.
    #[arg(long)]
    seconds: Option<f64>,
}

impl ScaledScenarioArguments {
    /// Reads the scenario and scales it.
    pub fn load(&self) -> Result<Scenario, CommandError> {
        let scenario = self.scenario.load()?;
        match self.seconds {
            Some(seconds) if !(MIN_SECONDS..=MAX_SECONDS).contains(&seconds) => Err(
                CommandError::CannotRun(format!("--seconds {seconds}: from 2 to 3600")),
            ),
            Some(seconds) => Ok(scenario.scaled_to(seconds)),
            None => Ok(scenario),
        }
    }

    /// The scenario without its length.
    pub fn unscaled(&self) -> &ScenarioArguments {
        &self.scenario
    }
}
