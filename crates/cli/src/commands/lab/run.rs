//! The `pointspindle lab run` command.
use super::scenario_arguments::ScaledScenarioArguments;
use super::temporary_folder::RunFolder;
use crate::output::run_report::{has_violations, outcome_json, print_outcome, print_trace};
use pointspindle_audit::history::request_history;
use pointspindle_audit::trace::{ClientAttemptId, TraceEntry};
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_report::folder;
use pointspindle_report::record::Run;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::Scenario;
use pointspindle_simulator::{self as simulator, RunCost};
use pointspindle_testbed::fleet_run::{self, Outcome};
use std::path::PathBuf;

/// Arguments of `lab run`.
#[derive(clap::Args)]
pub struct RunArguments {
    #[command(flatten)]
    scenario: ScaledScenarioArguments,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// Inject a fault that violates one rule around an unchanged dispatcher: the audit must detect it.
    #[arg(long = "inject-fault", alias = "plant", value_name = "FAULT")]
    injected_fault: Option<InjectedFault>,
    /// Show the history of a request of the run, such as c12.0.
    #[arg(long)]
    explain: Option<String>,
    /// Run in virtual time: the dispatchers' cores against the model, without sockets; a seed always gives the same
    /// run.
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// Run the network code in this process, on a simulated network with latency, loss and partitions and a paused
    /// clock.
    #[arg(long = "shell", conflicts_with = "virtual_time")]
    simulated_network: bool,
    /// Distribute endpoint lists and purges through an emulated etcd whose streams break repeatedly.
    #[arg(long, conflicts_with_all = ["virtual_time", "simulated_network", "injected_fault"])]
    etcd: bool,
    /// Folder in which to save the run: scenario, figures, a report with plots.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Folder for settings, states and logs of the dispatchers; a temporary folder by default.
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// Runs a scenario and prints the verdict.
pub async fn run(arguments: RunArguments) -> CommandResult {
    let scenario = arguments.scenario.load()?;
    let mut cost = None;
    let outcome = if arguments.virtual_time {
        let (outcome, run_cost) = run_in_virtual_time(&scenario, arguments.injected_fault)?;
        cost = Some(run_cost);
        outcome
    } else {
        if !arguments.json {
            println!(
                "{}: {}; seed {}, {:.0} s",
                scenario.name, scenario.description, scenario.seed, scenario.duration_s
            );
        }
        run_on_network(&arguments, &scenario).await?
    };
    explain(&arguments, &outcome.trace)?;
    save(&arguments, &scenario, &outcome)?;
    if arguments.json {
        println!("{}", outcome_json(&scenario, &outcome));
    } else {
        print_outcome(&outcome);
        if let Some(cost) = cost {
            print_cost(&cost);
        }
    }
    negative_if(has_violations(&outcome.rules))
}

async fn run_on_network(
    arguments: &RunArguments,
    scenario: &Scenario,
) -> Result<Outcome, CommandError> {
    let program = std::env::current_exe()?;
    let folder = RunFolder::new(arguments.folder.clone(), "pointspindle-lab");
    let fault = arguments.injected_fault;
    let outcome = if arguments.simulated_network {
        let scenario = scenario.clone();
        let path = folder.path().to_owned();
        tokio::task::spawn_blocking(move || {
            fleet_run::run_on_simulated_network(&scenario, &path, fault)
        })
        .await?
    } else if arguments.etcd {
        fleet_run::run_with_etcd(scenario, &program, folder.path()).await
    } else {
        fleet_run::run_with_processes(scenario, &program, folder.path(), fault).await
    };
    Ok(outcome?)
}

/// Runs a scenario in virtual time.
pub fn run_in_virtual_time(
    scenario: &Scenario,
    fault: Option<InjectedFault>,
) -> Result<(Outcome, RunCost), CommandError> {
    let needs_sockets = matches!(
        fault,
        Some(
            InjectedFault::DuplicateAttempts
                | InjectedFault::DropResponses
                | InjectedFault::DelayResponses
        )
    );
    if needs_sockets {
        let reason = "this fault needs a relay between sockets; omit --virtual";
        return Err(CommandError::CannotRun(reason.into()));
    }
    let simulated = simulator::run(scenario, fault).map_err(CommandError::CannotRun)?;
    let outcome = Outcome {
        service: simulated.service,
        rules: simulated.rules,
        trace: simulated.trace,
        testbed_lateness_ms: 0.0,
    };
    Ok((outcome, simulated.cost))
}

fn print_cost(cost: &RunCost) {
    println!(
        "  {} events in {:.1} s, {:.0} per second; {:.1} us per call of a dispatcher core",
        cost.events,
        cost.elapsed_s,
        cost.events as f64 / cost.elapsed_s,
        cost.core_time_s * 1e6 / cost.core_calls.max(1) as f64
    );
}

fn save(arguments: &RunArguments, scenario: &Scenario, outcome: &Outcome) -> CommandResult {
    let Some(out) = &arguments.out else {
        return Ok(());
    };
    let source = arguments.scenario.unscaled();
    let run = Run::new(
        scenario,
        source.overrides(),
        arguments.virtual_time,
        &outcome.service,
        &outcome.rules,
        &outcome.trace,
    );
    let text = std::fs::read_to_string(source.file())?;
    folder::save(out, &text, &run, &outcome.trace)?;
    println!("{}", out.join("report.html").display());
    Ok(())
}

fn explain(arguments: &RunArguments, trace: &[TraceEntry]) -> CommandResult {
    let Some(request) = &arguments.explain else {
        return Ok(());
    };
    let id = ClientAttemptId::parse(request).ok_or(format!(
        "invalid request {request}; expected a form such as c12.0"
    ))?;
    print_trace(request_history(trace, id.call));
    Ok(())
}
