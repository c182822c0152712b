//! Discrete-event simulation of a run in virtual time: the cores of real dispatchers with the cache model, without
//! sockets.
//!
//! A seed determines the trace, independently of the machine. Hosts, scripts, the rules of clients, traces and the
//! audit are the same as in runs on sockets; network code and its cost are left out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempts;
mod clients;
mod connections;
mod control;
mod dispatcher;
mod event;
mod event_queue;
mod host_directory;
mod host_jobs;
mod jobs;
mod partitions;
mod script;
mod setup;
mod simulation;
mod slow_start;

use crate::simulation::{Simulation, SimulationResult};
use pointspindle_audit::service::{measure_service, Service};
use pointspindle_audit::trace::TraceEntry;
use pointspindle_audit::{judge, sizes, RuleVerdict};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{Scenario, Traffic};
use serde::{Deserialize, Serialize};

/// The outcome of a run in virtual time.
#[derive(Debug)]
pub struct Outcome {
    /// The service that clients received.
    pub service: Service,
    /// The verdict on each rule.
    pub rules: Vec<RuleVerdict>,
    /// The trace of the run, ordered by time.
    pub trace: Vec<TraceEntry>,
    /// The cost of the run on the machine.
    pub cost: RunCost,
}

/// Cost of a run on the machine, which the seed does not determine.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RunCost {
    /// Number of events of the simulation, including calls of cores.
    pub events: u64,
    /// Duration of the run, in seconds of real time.
    #[serde(rename = "wall_s")]
    pub elapsed_s: f64,
    /// Time spent in the dispatchers' cores, in seconds.
    #[serde(rename = "core_s")]
    pub core_time_s: f64,
    /// Number of calls of the dispatchers' cores.
    pub core_calls: u64,
}

/// Runs a scenario in virtual time. Injected faults of a relay have no effect, as there are no sockets for a relay to
/// stand between. Fails if the scenario requires a simulated network, or gives invalid settings for a dispatcher.
pub fn run(scenario: &Scenario, injected_fault: Option<InjectedFault>) -> Result<Outcome, String> {
    if let Some(reason) = scenario.requires_simulated_network() {
        return Err(reason);
    }
    let started = std::time::Instant::now();
    let scenario = &scenario.clone().with_injected_fault(injected_fault);
    let traffic = Traffic::generate(scenario);
    let mut simulation = Simulation::new(scenario, &traffic, injected_fault)?;
    simulation.run();
    let SimulationResult {
        trace,
        effects,
        mut cost,
    } = simulation.finish();
    cost.elapsed_s = started.elapsed().as_secs_f64();
    let mut rules = judge(scenario, &trace, &effects);
    let service = measure_service(scenario, &traffic, &trace);
    rules.push(sizes::judge(scenario, &service));
    Ok(Outcome {
        service,
        rules,
        trace,
        cost,
    })
}
