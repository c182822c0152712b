//! `pointspindle lab fleet`: several sites and dispatchers in one run, and what they come to together.
use super::run::run_in_virtual_time;
use super::scenario_arguments::ScaledScenarioArguments;
use super::temporary_folder::RunFolder;
use crate::exit::{negative_if, CommandError, CommandResult};
use crate::output::fleet_report::{fleet_json, print_totals};
use crate::output::run_report::{has_violations, print_outcome, print_rule};
use pointspindle_audit::fleet_totals;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::Scenario;
use pointspindle_testbed::fleet_run::{self, Outcome};
use std::path::{Path, PathBuf};

/// Arguments of `lab fleet`.
#[derive(clap::Args)]
pub struct FleetArguments {
    #[command(flatten)]
    scenario: ScaledScenarioArguments,
    /// In virtual time: for hundreds of dispatchers, or many seeds.
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// Break something around unchanged dispatchers: `miscount-dispatchers` tells each that it is the only one.
    #[arg(long = "inject-fault", alias = "plant", value_name = "FAULT")]
    injected_fault: Option<InjectedFault>,
    /// Leave out the second play, without what hits a site: nothing is said of the other sites then.
    #[arg(long)]
    no_twin: bool,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// Where settings, states and logs of the dispatchers go; a temporary folder by default.
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// A run, and the same run without what hits a site as a whole, where something does.
struct FleetOutcome {
    outcome: Outcome,
    without_loss: Option<Outcome>,
}

/// Plays a scenario and judges what its dispatchers come to together.
pub async fn fleet(arguments: FleetArguments) -> CommandResult {
    let scenario = arguments.scenario.load()?;
    if !arguments.json {
        println!(
            "{}: {}; seed {}, {} dispatchers at {} sites",
            scenario.name,
            scenario.description,
            scenario.seed,
            scenario.dispatcher_count(),
            scenario.fleet.branches
        );
    }
    let played = play_both(&scenario, &arguments).await?;
    // Of the run without the loss, the same seconds of the same sites.
    let totals_of = |outcome: &Outcome| {
        fleet_totals::measure_totals(&scenario, &outcome.service, &outcome.trace)
    };
    let totals = totals_of(&played.outcome);
    let without_loss = played.without_loss.as_ref().map(totals_of);
    let verdict = fleet_totals::judge_totals(&scenario, &totals, without_loss.as_ref());
    if arguments.json {
        let json = fleet_json(
            &scenario,
            &played.outcome,
            &totals,
            without_loss.as_ref(),
            &verdict,
        )?;
        println!("{json}");
    } else {
        print_outcome(&played.outcome);
        print_rule(&verdict);
        print_totals(&totals, without_loss.as_ref());
    }
    negative_if(has_violations(&played.outcome.rules) || has_violations(&[verdict]))
}

async fn play_both(
    scenario: &Scenario,
    arguments: &FleetArguments,
) -> Result<FleetOutcome, CommandError> {
    let folder = RunFolder::new(arguments.folder.clone(), "pointspindle-fleet");
    let outcome = play(scenario, arguments, &folder.path().join("day")).await?;
    let has_twin = !arguments.no_twin && !scenario.affected_sites().is_empty();
    let without_loss = if has_twin {
        let scenario = scenario.without_site_faults();
        Some(play(&scenario, arguments, &folder.path().join("twin")).await?)
    } else {
        None
    };
    Ok(FleetOutcome {
        outcome,
        without_loss,
    })
}

async fn play(
    scenario: &Scenario,
    arguments: &FleetArguments,
    folder: &Path,
) -> Result<Outcome, CommandError> {
    let fault = arguments.injected_fault;
    if arguments.virtual_time {
        let (outcome, _) = run_in_virtual_time(scenario, fault)?;
        return Ok(outcome);
    }
    let program = std::env::current_exe()?;
    Ok(fleet_run::run_with_processes(scenario, &program, folder, fault).await?)
}
