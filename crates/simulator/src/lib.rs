//! A run in virtual time: the dispatchers' own cores against the cache model, event by event, without sockets.
//!
//! The same seed gives the same trace, whatever the machine does. Hosts, scripts, clients' rules, traces and the audit
//! are those of runs on sockets; what is left out is the network code, and what it costs.
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
    /// The service that clients got.
    pub service: Service,
    /// The verdict on each rule.
    pub rules: Vec<RuleVerdict>,
    /// Everything that was observed, in the order of its time.
    pub trace: Vec<TraceEntry>,
    /// What the run cost the machine.
    pub cost: RunCost,
}

/// What a run cost the machine; not part of what a seed determines.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RunCost {
    /// Events of the simulation, calls of cores included.
    pub events: u64,
    /// Time that the run took, in seconds.
    #[serde(rename = "wall_s")]
    pub elapsed_s: f64,
    /// Time spent in the dispatchers' cores, in seconds.
    #[serde(rename = "core_s")]
    pub core_time_s: f64,
    /// Number of calls of the dispatchers' cores.
    pub core_calls: u64,
}

/// Runs a scenario in virtual time. Only faults injected into the control plane or into hosts have an effect here, as
/// there are no sockets for a relay to stand between.
pub fn run(scenario: &Scenario, injected_fault: Option<InjectedFault>) -> Result<Outcome, String> {
    if let Some(reason) = scenario.requires_simulated_network() {
        return Err(reason);
    }
    let began = std::time::Instant::now();
    let scenario = &scenario.clone().with_injected_fault(injected_fault);
    let traffic = Traffic::generate(scenario);
    let mut simulation = Simulation::new(scenario, &traffic, injected_fault)?;
    simulation.run();
    let SimulationResult {
        trace,
        effects,
        mut cost,
    } = simulation.finish();
    cost.elapsed_s = began.elapsed().as_secs_f64();
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
