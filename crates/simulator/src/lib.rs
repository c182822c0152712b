//! A day in virtual time: the dispatchers' own cores against the model, event by event, no socket and no clock.
//!
//! The same seed gives the same sights, whatever the machine does. Members, scripts, clients' rules, evidence and the
//! auditor are those of the sockets; what is left out is the network code, and what it costs.
#![forbid(unsafe_code)]

mod greet;
mod links;
mod queue;
mod sim;
mod sites;

use pointspindle_audit::trace::TraceEntry;
use pointspindle_audit::{self as audit, service::Service, RuleVerdict};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{Scenario, Traffic};
use serde::{Deserialize, Serialize};

/// What a run in virtual time came to.
#[derive(Debug)]
pub struct Outcome {
    pub service: Service,
    pub rules: Vec<RuleVerdict>,
    pub trace: Vec<TraceEntry>,
    pub cost: RunCost,
}

/// What the run itself took; not part of what a seed determines.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RunCost {
    pub events: u64,
    pub wall_s: f64,
    /// Time inside the dispatchers' cores, and how often they were called.
    pub core_s: f64,
    pub core_calls: u64,
}

/// Plays a day. Only plants that control or members make exist here: relays have no sockets to stand between.
pub fn run(scenario: &Scenario, plant: Option<InjectedFault>) -> Result<Outcome, String> {
    if let Some(why) = scenario.requires_simulated_network() {
        return Err(why);
    }
    let began = std::time::Instant::now();
    let scenario = &scenario.clone().with_injected_fault(plant);
    let traffic = Traffic::generate(scenario);
    let mut sim = sim::Sim::new(scenario, &traffic, plant)?;
    sim.run();
    let (sights, effects, mut cost) = sim.finish();
    cost.wall_s = began.elapsed().as_secs_f64();
    let mut rules = audit::judge(scenario, &sights, &effects);
    let service = audit::service::service(scenario, &traffic, &sights);
    rules.push(audit::sizes::judge(scenario, &service));
    Ok(Outcome {
        service,
        rules,
        trace: sights,
        cost,
    })
}
