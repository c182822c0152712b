//! The `pointspindle lab sweep` command.
use super::seeds::Seeds;
use crate::output::sweep_table;
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_report::html;
use pointspindle_report::sweep::{self, Source, VariedSetting};
use pointspindle_scenario::SettingOverride;
use std::path::{Path, PathBuf};

/// Maximum number of settings that vary in one sweep.
const MAX_VARIED: usize = 2;

/// Arguments of `lab sweep`.
#[derive(clap::Args)]
pub struct SweepArguments {
    /// Scenario file.
    scenario: PathBuf,
    /// Seeds, such as 1..20 or 3,5,9.
    #[arg(long, default_value = "1..10")]
    seeds: Seeds,
    /// Setting and its values, such as fleet.caches=3,6,9; may be given twice.
    #[arg(long, value_name = "SECTION.KEY=A,B,C")]
    vary: Vec<VariedSetting>,
    /// Setting in place of the scenario's, for all runs.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    overrides: Vec<SettingOverride>,
    /// Folder for runs, table and plot; runs found in it are not repeated.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Number of parallel runs; the number of cores by default.
    #[arg(long)]
    jobs: Option<usize>,
}

/// Runs a scenario with many seeds and settings, and prints a table.
pub fn sweep(arguments: SweepArguments) -> CommandResult {
    if arguments.vary.len() > MAX_VARIED {
        return Err(CommandError::CannotRun(format!(
            "{} settings vary; expected at most two",
            arguments.vary.len()
        )));
    }
    let text = checked_text(&arguments.scenario, &arguments.overrides)?;
    let name = arguments.scenario.display().to_string();
    let source = Source {
        name: &name,
        text: &text,
    };
    let cells = sweep::cells(&arguments.seeds.0, &arguments.overrides, &arguments.vary);
    let out = arguments.out.as_deref();
    let outcomes = sweep::run(&source, &cells, out, job_count(arguments.jobs), false)?;
    let rows = sweep::rows(&outcomes);
    sweep_table::print(&rows);
    if let Some(out) = out {
        let page = html::sweep(&format!("{name}: {} runs", cells.len()), &rows, &[])?;
        std::fs::write(out.join("report.html"), page)?;
        println!("{}", out.join("report.html").display());
    }
    negative_if(rows.iter().any(|row| row.runs_with_violations > 0))
}

/// Returns the number of parallel runs: the requested one, or the number of cores.
pub fn job_count(requested: Option<usize>) -> usize {
    requested
        .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |cores| cores.get()))
        .max(1)
}

/// Returns the text of a scenario, after a check that it is valid with these settings.
pub fn checked_text(file: &Path, overrides: &[SettingOverride]) -> Result<String, CommandError> {
    pointspindle_scenario::load_with(file, None, overrides)?;
    Ok(std::fs::read_to_string(file)?)
}
