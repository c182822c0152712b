//! The `pointspindle lab hunt` command.
use super::sweep::checked_text;
use pointspindle_cli::exit::{negative_if, CommandResult};
use pointspindle_report::hunt::{self, SearchGoal};
use pointspindle_report::sweep::Source;
use pointspindle_scenario::SettingOverride;
use std::path::PathBuf;

/// Arguments of `lab hunt`.
#[derive(clap::Args)]
pub struct HuntArguments {
    /// Scenario with the fleet, traffic and rules; its own faults are ignored.
    scenario: PathBuf,
    /// Goal of the search: worst, rules or fallen.
    #[arg(long, default_value = "worst", value_parser = parse_goal)]
    goal: SearchGoal,
    /// Number of candidates.
    #[arg(long = "days", value_name = "DAYS", default_value_t = 64)]
    candidates: usize,
    /// Seed of the first candidate.
    #[arg(long = "from", value_name = "FROM", default_value_t = 1)]
    first_seed: u64,
    /// Setting in place of the scenario's; may be given several times.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    overrides: Vec<SettingOverride>,
    /// File for the smallest scenario that reaches the goal; standard output by default.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn parse_goal(name: &str) -> Result<SearchGoal, &'static str> {
    let found = SearchGoal::NAMES.iter().find(|(known, _)| *known == name);
    found
        .map(|(_, goal)| *goal)
        .ok_or("expected worst, rules or fallen")
}

/// Searches combinations of faults, and writes the smallest scenario that reaches the goal.
pub fn hunt(arguments: HuntArguments) -> CommandResult {
    let text = checked_text(&arguments.scenario, &arguments.overrides)?;
    let name = arguments.scenario.display().to_string();
    let source = Source {
        name: &name,
        text: &text,
    };
    let found = hunt::search(
        &source,
        &arguments.overrides,
        arguments.goal,
        arguments.first_seed,
        arguments.candidates,
    )?;
    let Some(found) = found else {
        eprintln!(
            "none of {} candidates reaches the goal",
            arguments.candidates
        );
        return Ok(());
    };
    let figures = found.figures;
    eprintln!(
        "seed {}: service {:.3}, worst 10 s {:.3}, {} cold crashes, {} violations; {} faults left after {} runs",
        found.seed,
        figures.service,
        figures.worst_10s,
        figures.cold_crashes,
        figures.violations,
        found.faults.len(),
        found.runs
    );
    let scenario = format!(
        "# Found by lab hunt; run it with --seed {}.\n{}",
        found.seed,
        hunt::scenario_text(&text, &found.faults)
    );
    match &arguments.out {
        Some(out) => std::fs::write(out, scenario)?,
        None => print!("{scenario}"),
    }
    negative_if(arguments.goal == SearchGoal::Violations)
}
