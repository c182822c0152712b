//! Entry points that run a scenario on sockets.
use super::environment::Environment;
use super::error::TestbedError;
use super::execution::execute;
use super::outcome::Outcome;
use super::plan::RunPlan;
use super::unreliable_etcd::UnreliableEtcd;
use pointspindle_audit::recorder::Recorder;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{derive_seed, Scenario};
use pointspindle_transport::simulated::SimulatedNetwork;
use std::path::Path;

/// Runs a scenario in real time with dispatchers as processes. `program` is the dispatcher's binary; `folder` receives
/// the settings, state and log of each dispatcher.
pub async fn run_with_processes(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    injected_fault: Option<InjectedFault>,
) -> Result<Outcome, TestbedError> {
    run_with_recorder(
        scenario,
        program,
        folder,
        injected_fault,
        Recorder::default(),
    )
    .await
}

/// Does the same as [`run_with_processes`] with a recorder that can be read during the run. Times in the recorder count
/// from its creation.
pub async fn run_with_recorder(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    injected_fault: Option<InjectedFault>,
    recorder: Recorder,
) -> Result<Outcome, TestbedError> {
    check_supported_by_processes(scenario)?;
    let environment = Environment::Processes {
        program,
        etcd: None,
    };
    plan_and_execute(scenario, &environment, folder, injected_fault, recorder).await
}

/// Does the same as [`run_with_processes`] with endpoint lists and purges from an emulated etcd that repeatedly breaks
/// its watch streams and compacts its history.
pub async fn run_with_etcd(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
) -> Result<Outcome, TestbedError> {
    check_supported_by_processes(scenario)?;
    let environment = Environment::Processes {
        program,
        etcd: Some(UnreliableEtcd::start().await?),
    };
    plan_and_execute(scenario, &environment, folder, None, Recorder::default()).await
}

/// Runs a scenario with the dispatcher's network code on a simulated network with latency, loss and partitions. The
/// clock is paused, so the run takes only its processing time. Blocks; must not be called on a thread of an async
/// runtime.
pub fn run_on_simulated_network(
    scenario: &Scenario,
    folder: &Path,
    injected_fault: Option<InjectedFault>,
) -> Result<Outcome, TestbedError> {
    check_supported_by_simulated_network(scenario, injected_fault)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let network = SimulatedNetwork::new(
            scenario.network.simulated,
            derive_seed(scenario.seed, "network"),
        );
        let environment = Environment::Simulated(network);
        let recorder = Recorder::default();
        plan_and_execute(scenario, &environment, folder, injected_fault, recorder).await
    })
}

async fn plan_and_execute(
    scenario: &Scenario,
    environment: &Environment<'_>,
    folder: &Path,
    injected_fault: Option<InjectedFault>,
    recorder: Recorder,
) -> Result<Outcome, TestbedError> {
    std::fs::create_dir_all(folder)?;
    let plan = RunPlan::new(scenario, environment, injected_fault);
    execute(&plan, environment, folder, recorder).await
}

fn check_supported_by_processes(scenario: &Scenario) -> Result<(), TestbedError> {
    match scenario.requires_simulated_network() {
        Some(reason) => Err(TestbedError::Unsupported(reason)),
        None => Ok(()),
    }
}

fn check_supported_by_simulated_network(
    scenario: &Scenario,
    injected_fault: Option<InjectedFault>,
) -> Result<(), TestbedError> {
    let needs_relay = matches!(
        injected_fault,
        Some(
            InjectedFault::DuplicateAttempts
                | InjectedFault::DropResponses
                | InjectedFault::DelayResponses
        )
    );
    if needs_relay {
        let reason = "the injected fault needs a relay between real sockets and cannot run on the simulated network";
        return Err(TestbedError::Unsupported(reason.to_owned()));
    }
    match scenario.requires_processes() {
        Some(reason) => Err(TestbedError::Unsupported(reason)),
        None => Ok(()),
    }
}
