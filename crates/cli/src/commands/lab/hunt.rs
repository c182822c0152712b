//! `pointspindle lab hunt`.
use super::sweep::checked_text;
use crate::exit::{negative_if, CommandResult};
use pointspindle_report::hunt::{self, Goal};
use pointspindle_report::sweep::Source;
use pointspindle_scenario::SettingOverride;
use std::path::PathBuf;

/// Arguments of `lab hunt`.
#[derive(clap::Args)]
pub struct HuntArguments {
    /// The fleet, traffic and rules; its own faults are left out.
    scenario: PathBuf,
    /// What is looked for: worst, rules or fallen.
    #[arg(long, default_value = "worst", value_parser = goal)]
    goal: Goal,
    /// Candidates.
    #[arg(long, default_value_t = 64)]
    days: usize,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// A value in place of the scenario's; may be given several times.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    overrides: Vec<SettingOverride>,
    /// Where the smallest scenario that shows it goes; standard output by default.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn goal(name: &str) -> Result<Goal, &'static str> {
    let found = Goal::NAMES.iter().find(|(known, _)| *known == name);
    found
        .map(|(_, goal)| *goal)
        .ok_or("none of worst, rules, fallen")
}

/// Searches mixes of faults, and writes the smallest scenario that shows what is looked for.
pub fn hunt(arguments: HuntArguments) -> CommandResult {
    let text = checked_text(&arguments.scenario, &arguments.overrides)?;
    let name = arguments.scenario.display().to_string();
    let source = Source {
        name: &name,
        text: &text,
    };
    let found = hunt::hunt(
        &source,
        &arguments.overrides,
        arguments.goal,
        arguments.from,
        arguments.days,
    )?;
    let Some(found) = found else {
        eprintln!("nothing of the kind on {} days", arguments.days);
        return Ok(());
    };
    let figures = found.figures;
    eprintln!(
        "seed {}: service {:.3}, worst 10 s {:.3}, {} hosts fallen, {} breaches; {} troubles left, {} days played",
        found.seed,
        figures.service,
        figures.worst_10s,
        figures.cold_crashes,
        figures.violations,
        found.faults.len(),
        found.runs
    );
    let scenario = format!(
        "# Found by a hunt; play it with --seed {}.\n{}",
        found.seed,
        hunt::scenario_text(&text, &found.faults)
    );
    match &arguments.out {
        Some(out) => std::fs::write(out, scenario)?,
        None => print!("{scenario}"),
    }
    negative_if(arguments.goal == Goal::Violations)
}
