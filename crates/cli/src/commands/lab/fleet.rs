//! `pointspindle lab fleet`: runs several sites and dispatchers and checks their combined behaviour.
use super::run::run_in_virtual_time;
use super::scenario_arguments::ScaledScenarioArguments;
use super::temporary_folder::RunFolder;
use crate::output::fleet_report::{fleet_json, print_totals};
use crate::output::run_report::{has_violations, print_outcome, print_rule};
use pointspindle_audit::fleet_totals;
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::Scenario;
use pointspindle_testbed::fleet_run::{self, Outcome};
use std::path::{Path, PathBuf};

/// Arguments of `lab fleet`.
#[derive(clap::Args)]
pub struct FleetArguments {
    #[command(flatten)]
    scenario: ScaledScenarioArguments,
    /// Run in virtual time, for hundreds of dispatchers or many seeds.
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// Inject a fault around unchanged dispatchers: with `miscount-dispatchers`, each is configured as the only one.
    #[arg(long = "inject-fault", alias = "plant", value_name = "FAULT")]
    injected_fault: Option<InjectedFault>,
    /// Skip the second run, without the faults of whole sites; the unaffected sites are then not compared.
    #[arg(long)]
    no_twin: bool,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// Folder for settings, states and logs of the dispatchers; a temporary folder by default.
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// Outcome of a run and, if faults hit a whole site, of the same run without these faults.
struct FleetOutcome {
    outcome: Outcome,
    without_loss: Option<Outcome>,
}

/// Runs a scenario and checks the combined behaviour of its dispatchers.
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
    let fleet_outcome = run_both(&scenario, &arguments).await?;
    // In the run without the loss, the same seconds of the same sites are measured.
    let totals_of = |outcome: &Outcome| {
        fleet_totals::measure_totals(&scenario, &outcome.service, &outcome.trace)
    };
    let totals = totals_of(&fleet_outcome.outcome);
    let without_loss = fleet_outcome.without_loss.as_ref().map(totals_of);
    let verdict = fleet_totals::judge_totals(&scenario, &totals, without_loss.as_ref());
    if arguments.json {
        let json = fleet_json(
            &scenario,
            &fleet_outcome.outcome,
            &totals,
            without_loss.as_ref(),
            &verdict,
        )?;
        println!("{json}");
    } else {
        print_outcome(&fleet_outcome.outcome);
        print_rule(&verdict);
        print_totals(&totals, without_loss.as_ref());
    }
    negative_if(has_violations(&fleet_outcome.outcome.rules) || has_violations(&[verdict]))
}

async fn run_both(
    scenario: &Scenario,
    arguments: &FleetArguments,
) -> Result<FleetOutcome, CommandError> {
    let folder = RunFolder::new(arguments.folder.clone(), "pointspindle-fleet");
    let outcome = run_once(scenario, arguments, &folder.path().join("day")).await?;
    let needs_second_run = !arguments.no_twin && !scenario.affected_sites().is_empty();
    let without_loss = if needs_second_run {
        let scenario = scenario.without_site_faults();
        Some(run_once(&scenario, arguments, &folder.path().join("twin")).await?)
    } else {
        None
    };
    Ok(FleetOutcome {
        outcome,
        without_loss,
    })
}

async fn run_once(
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
