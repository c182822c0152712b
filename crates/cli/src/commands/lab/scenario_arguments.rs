//! Arguments that select a scenario, its seed, its settings and its duration.
use pointspindle_cli::exit::CommandError;
use pointspindle_scenario::{Scenario, SettingOverride};
use std::path::{Path, PathBuf};

/// Bounds of the duration to which a scenario can be scaled, in seconds.
const MIN_SECONDS: f64 = 2.0;
const MAX_SECONDS: f64 = 3_600.0;

/// Scenario, seed, and settings in place of the scenario's own.
#[derive(clap::Args)]
pub struct ScenarioArguments {
    /// Scenario file.
    scenario: PathBuf,
    /// Seed in place of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Setting in place of the scenario's, such as fleet.caches=9; may be given several times.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    overrides: Vec<SettingOverride>,
}

impl ScenarioArguments {
    /// Reads the scenario.
    pub fn load(&self) -> Result<Scenario, CommandError> {
        let loaded = pointspindle_scenario::load_with(&self.scenario, self.seed, &self.overrides);
        Ok(loaded?)
    }

    /// Returns the scenario file.
    pub fn file(&self) -> &Path {
        &self.scenario
    }

    /// Returns the settings in place of the scenario's own.
    pub fn overrides(&self) -> &[SettingOverride] {
        &self.overrides
    }
}

/// Scenario arguments, with a duration in place of the scenario's own.
#[derive(clap::Args)]
pub struct ScaledScenarioArguments {
    #[command(flatten)]
    scenario: ScenarioArguments,
    /// Scale the scenario to this duration, in seconds.
    #[arg(long)]
    seconds: Option<f64>,
}

impl ScaledScenarioArguments {
    /// Reads the scenario and scales it.
    pub fn load(&self) -> Result<Scenario, CommandError> {
        let scenario = self.scenario.load()?;
        match self.seconds {
            Some(seconds) if !(MIN_SECONDS..=MAX_SECONDS).contains(&seconds) => Err(
                CommandError::CannotRun(format!("--seconds {seconds}: expected 2 to 3600")),
            ),
            Some(seconds) => Ok(scenario.scaled_to(seconds)),
            None => Ok(scenario),
        }
    }

    /// Returns the arguments without the duration.
    pub fn unscaled(&self) -> &ScenarioArguments {
        &self.scenario
    }
}
