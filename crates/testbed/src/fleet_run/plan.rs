//! What a run will play: the scenario with its injected fault, the hosts, the script and the traffic.
use super::environment::Environment;
use pointspindle::Micros;
use pointspindle_cache_model::HostSpec;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{Scenario, Script, ScriptStep, Traffic};
use std::time::Duration;

/// The plan of a run.
pub(super) struct RunPlan {
    /// The scenario with the injected fault and the tolerances of the environment.
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
            scenario.limits.rules.timing_tolerance += longest_delivery(&scenario);
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

    /// The hosts that run from the start and those that the script adds, by number.
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

/// How late a message can arrive on the simulated network after it was overtaken by a decision: what is in flight
/// arrives all the same.
fn longest_delivery(scenario: &Scenario) -> Micros {
    let conditions = scenario.network.simulated;
    let resend = if conditions.loss > 0.0 {
        2 * conditions.resend
    } else {
        Duration::ZERO
    };
    (conditions.latency + conditions.jitter + resend).as_micros() as Micros
}
