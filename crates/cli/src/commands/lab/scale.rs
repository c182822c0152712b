//! The `pointspindle lab scale` command.
use crate::output::scale_report::{exceeded_budgets, print_runs};
use crate::process::raise_descriptor_limit;
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_scale::results::Step;
use pointspindle_scale::runner::{machine_memory_mb, run_step};
use pointspindle_scale::slopes::{fit_runs, Fits};
use pointspindle_scale::{node, Target};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Bounds of the duration of each phase, in seconds.
const MIN_SECONDS: f64 = 0.2;
const MAX_SECONDS: f64 = 600.0;
/// Maximum number of control-only dispatchers at a step; more of them on one machine are not a realistic run.
const MAX_DISPATCHERS: usize = 2_000;
const MAX_RUNS: usize = 10;

/// Arguments of `lab scale`.
#[derive(clap::Args)]
pub struct ScaleArguments {
    /// Planned fleet, its budgets and the settings of the run; see scenarios/fleet-ahead.ini.
    target: PathBuf,
    /// Numbers of control-only dispatchers, one for each step.
    #[arg(
        long = "hollow",
        id = "hollow",
        value_name = "HOLLOW",
        value_delimiter = ',',
        default_value = "50,100,200,400,590"
    )]
    dispatchers: Vec<usize>,
    /// Duration of each phase in seconds, in place of the file's.
    #[arg(long)]
    seconds: Option<f64>,
    /// Number of runs of all steps; slopes are used only where the runs agree.
    #[arg(long, default_value_t = 1)]
    runs: usize,
    /// Fit the slopes of a saved steps.json again, without a run.
    #[arg(long, conflicts_with_all = ["runs", "seconds", "hollow"])]
    steps: Option<PathBuf>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// Folder for steps.json and slopes.json.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl ScaleArguments {
    fn check(&self) -> CommandResult {
        let is_allowed = |count: &usize| (1..=MAX_DISPATCHERS).contains(count);
        if let Some(count) = self.dispatchers.iter().find(|count| !is_allowed(count)) {
            return Err(CommandError::CannotRun(format!(
                "--hollow {count}: expected 1 to {MAX_DISPATCHERS}"
            )));
        }
        if !(1..=MAX_RUNS).contains(&self.runs) {
            return Err(CommandError::CannotRun(format!(
                "--runs {}: expected 1 to {MAX_RUNS}",
                self.runs
            )));
        }
        Ok(())
    }

    fn target(&self) -> Result<Target, CommandError> {
        let mut target = read_target(&self.target)?;
        if let Some(seconds) = self.seconds {
            if !(MIN_SECONDS..=MAX_SECONDS).contains(&seconds) {
                return Err(CommandError::CannotRun(format!(
                    "--seconds {seconds}: expected {MIN_SECONDS} to {MAX_SECONDS}"
                )));
            }
            target.phase_seconds = seconds;
        }
        Ok(target)
    }
}

/// Runs the steps, or reads saved ones, and prints figures and slopes.
pub async fn scale(arguments: ScaleArguments) -> CommandResult {
    raise_descriptor_limit();
    let target = arguments.target()?;
    arguments.check()?;
    let runs = match &arguments.steps {
        Some(file) => read_json(file)?,
        None => run_steps(&arguments, &target).await?,
    };
    let slopes = Fits {
        commit: commit(),
        date: httpdate::fmt_http_date(SystemTime::now()),
        machine: machine(),
        seconds: target.phase_seconds,
        steps: match runs.first() {
            Some(run) => run.iter().map(|step| step.dispatchers).collect(),
            None => arguments.dispatchers.clone(),
        },
        runs: runs.len(),
        figures: fit_runs(&runs),
        counts: update_counts(&runs),
    };
    if let Some(folder) = &arguments.out {
        std::fs::create_dir_all(folder)?;
        std::fs::write(folder.join("steps.json"), serde_json::to_vec(&runs)?)?;
        let slopes = serde_json::to_vec_pretty(&slopes)?;
        std::fs::write(folder.join("slopes.json"), slopes)?;
    }
    if arguments.json {
        let json = serde_json::json!({ "target": target, "runs": runs, "slopes": slopes });
        println!("{json}");
    } else {
        print_runs(&runs);
    }
    let exceeded = exceeded_budgets(&target, &runs);
    for budget in &exceeded {
        eprintln!("budget exceeded: {budget}");
    }
    negative_if(!exceeded.is_empty())
}

async fn run_steps(
    arguments: &ScaleArguments,
    target: &Target,
) -> Result<Vec<Vec<Step>>, CommandError> {
    let program = std::env::current_exe()?;
    let mut runs = Vec::new();
    for run in 1..=arguments.runs {
        let mut steps = Vec::new();
        for &dispatchers in &arguments.dispatchers {
            let progress = |phase: &str| eprintln!("run {run}, {dispatchers} dispatchers: {phase}");
            steps.push(run_step(&program, target, dispatchers, progress).await?);
        }
        runs.push(steps);
    }
    Ok(runs)
}

/// Runs a process of control-only nodes, started by `lab scale`.
pub async fn node_process() -> CommandResult {
    raise_descriptor_limit();
    Ok(node::run().await?)
}

/// Reads the planned fleet with its budgets; errors name the file.
pub fn read_target(file: &Path) -> Result<Target, CommandError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    Ok(pointspindle_scale::read_target(&name, &text)?)
}

/// Reads a JSON file; errors name the file.
pub fn read_json<T: DeserializeOwned>(file: &Path) -> Result<T, CommandError> {
    let with_file = |error: &dyn std::fmt::Display| {
        CommandError::CannotRun(format!("{}: {error}", file.display()))
    };
    let text = std::fs::read_to_string(file).map_err(|error| with_file(&error))?;
    serde_json::from_str(&text).map_err(|error| with_file(&error))
}

/// Returns the commit of the working folder, or "unknown".
fn commit() -> String {
    let git = std::process::Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    git.ok()
        .filter(|output| output.status.success())
        .and_then(|output| String::from_utf8(output.stdout).ok())
        .map_or("unknown".to_owned(), |commit| commit.trim().to_owned())
}

fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, |cores| cores.get());
    format!("{cores} cores, {:.0} GB", machine_memory_mb() / 1024.0)
}

/// Returns the numbers of updates that were written, and of those that a dispatcher never received, over all steps.
fn update_counts(runs: &[Vec<Step>]) -> BTreeMap<String, f64> {
    let mut counts = BTreeMap::new();
    for phase in runs.iter().flatten().flat_map(|step| &step.phases) {
        for (kind, lag) in [("purges", &phase.purges), ("changes", &phase.changes)] {
            let Some(lag) = lag else { continue };
            *counts
                .entry(format!("{kind} written, over all sizes"))
                .or_default() += lag.written as f64;
            *counts
                .entry(format!("{kind} never heard by a dispatcher"))
                .or_default() += lag.missing as f64;
        }
    }
    counts
}
