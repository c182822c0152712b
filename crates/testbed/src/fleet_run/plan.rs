//! The plan of a run: the scenario with its injected fault, the hosts, the script and the traffic.
use super::environment::Environment;
use pointspindle::Micros;
use pointspindle_cache_model::HostSpec;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{Scenario, Script, ScriptStep, Traffic};
use std::time::Duration;

/// The plan of a run.
pub(super) struct RunPlan {
    /// The scenario with the injected fault and the timing tolerance of the environment.
    pub scenario: Scenario,
    pub injected_fault: Option<InjectedFault>,
    /// The hosts that run from the start.
    pub initial_hosts: Vec<HostSpec>,
    pub script: Script,
    pub traffic: Traffic,
}

impl RunPlan {
    /// Generates the plan of a scenario in an environment.
    pub fn new(
        scenario: &Scenario,
        environment: &Environment<'_>,
        injected_fault: Option<InjectedFault>,
    ) -> Self {
        let mut scenario = scenario.clone();
        if let Environment::Simulated(_) = environment {
            scenario.limits.rules.timing_tolerance += max_delivery_time(&scenario);
        }
        let scenario = scenario.with_injected_fault(injected_fault);
        let initial_hosts = scenario.hosts(|host| environment.host_address(host));
        let script = Script::generate(&scenario, &initial_hosts, |host| {
            environment.host_address(host)
        });
        let traffic = Traffic::generate(&scenario);
        Self {
            scenario,
            injected_fault,
            initial_hosts,
            script,
            traffic,
        }
    }

    /// Returns the hosts that run from the start and those that the script adds, by number.
    pub fn all_hosts(&self) -> Vec<HostSpec> {
        let added = self.script.added_hosts.iter();
        self.initial_hosts.iter().chain(added).cloned().collect()
    }

    /// Whether the script partitions zones.
    pub fn partitions_zones(&self) -> bool {
        let partitions = |step: &ScriptStep| matches!(step, ScriptStep::ZonePartition { .. });
        self.script.steps.iter().any(|(_, step)| partitions(step))
    }
}

/// Returns the longest time between the sending and the arrival of a message on the simulated network. A message in
/// flight arrives even if a later decision has made it obsolete, so the rules must tolerate this delay.
fn max_delivery_time(scenario: &Scenario) -> Micros {
    let conditions = scenario.network.simulated;
    let retransmission = if conditions.loss > 0.0 {
        2 * conditions.retransmission_delay
    } else {
        Duration::ZERO
    };
    (conditions.latency + conditions.jitter + retransmission).as_micros() as Micros
}
