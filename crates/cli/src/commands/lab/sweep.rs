//! `pointspindle lab sweep`.
use super::seeds::Seeds;
use crate::exit::{negative_if, CommandError, CommandResult};
use crate::output::sweep_table;
use pointspindle_report::html;
use pointspindle_report::sweep::{self, Source, VariedSetting};
use pointspindle_scenario::SettingOverride;
use std::path::{Path, PathBuf};

/// Settings that vary in one sweep.
const MAX_VARIED: usize = 2;

/// Arguments of `lab sweep`.
#[derive(clap::Args)]
pub struct SweepArguments {
    /// File of the scenario.
    scenario: PathBuf,
    /// Such as 1..20 or 3,5,9.
    #[arg(long, default_value = "1..10")]
    seeds: Seeds,
    /// A setting and its values, such as fleet.caches=3,6,9; twice at most.
    #[arg(long, value_name = "SECTION.KEY=A,B,C")]
    vary: Vec<VariedSetting>,
    /// A value in place of the scenario's, for all runs.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    overrides: Vec<SettingOverride>,
    /// Runs, table and plot go here; runs found here are not played again.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Runs at once; as many as there are cores by default.
    #[arg(long)]
    jobs: Option<usize>,
}

/// Plays a scenario with many seeds and settings, and prints a table.
pub fn sweep(arguments: SweepArguments) -> CommandResult {
    if arguments.vary.len() > MAX_VARIED {
        return Err(CommandError::CannotRun(format!(
            "{} settings vary; two at most",
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
    let played = sweep::run(&source, &cells, out, job_count(arguments.jobs), false)?;
    let rows = sweep::rows(&played);
    sweep_table::print(&rows);
    if let Some(out) = out {
        let page = html::sweep(&format!("{name}: {} days", cells.len()), &rows, &[])?;
        std::fs::write(out.join("report.html"), page)?;
        println!("{}", out.join("report.html").display());
    }
    negative_if(rows.iter().any(|row| row.runs_with_violations > 0))
}

/// Runs at once: as wanted, or as many as there are cores.
pub fn job_count(wanted: Option<usize>) -> usize {
    wanted
        .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |cores| cores.get()))
        .max(1)
}

/// The text of a scenario that can be read with these settings.
pub fn checked_text(file: &Path, overrides: &[SettingOverride]) -> Result<String, CommandError> {
    pointspindle_scenario::load_with(file, None, overrides)?;
    Ok(std::fs::read_to_string(file)?)
}
