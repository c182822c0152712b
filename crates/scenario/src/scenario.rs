//! The scenario of a run, with a value drawn for each range, and its variants.
use crate::fault_injection::InjectedFault;
use crate::script::FaultSpec;
use crate::{
    ClientSettings, DelayRange, DispatcherOptions, Fleet, Limits, NetworkSettings, Workload,
};
use pointspindle::Micros;
use std::collections::BTreeSet;

/// Maximum delay of endpoint list updates when restarts are hidden, microseconds.
const HIDDEN_RESTART_UPDATE_DELAY_US: Micros = 20_000;

/// The scenario of a run, read from a file, with a value drawn for each range.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the file without its extension.
    pub name: String,
    /// One-line description of what the scenario tests.
    pub description: String,
    /// Duration of the run, seconds.
    pub duration_s: f64,
    /// Seed from which every random stream of the run is derived.
    pub seed: u64,
    /// The hosts and the dispatchers.
    pub fleet: Fleet,
    /// The network between hosts, dispatchers and clients.
    pub network: NetworkSettings,
    /// Configuration of the dispatchers.
    pub dispatchers: DispatcherOptions,
    /// The requests and the purges.
    pub workload: Workload,
    /// The clients' protocol, retries, backoff and cancellations.
    pub clients: ClientSettings,
    /// Limits that the run is checked against, and weights of the objective.
    pub limits: Limits,
    /// The faults, in the order of the file.
    pub faults: Vec<FaultSpec>,
}

/// Returns the seed of the random stream named `purpose`, derived from the scenario's seed.
pub fn derive_seed(seed: u64, purpose: &str) -> u64 {
    pointspindle::ObjectId::named(&format!("{seed}/{purpose}")).0
}

impl Scenario {
    /// Returns the reason for which the scenario can only run on the simulated network; `None` if it can run elsewhere.
    pub fn requires_simulated_network(&self) -> Option<String> {
        let fault = self
            .faults
            .iter()
            .find(|fault| fault.kind.requires_simulated_network())?;
        Some(format!(
            "[trouble {}]: a partition of hosts requires the simulated network (--shell)",
            fault.name
        ))
    }

    /// Returns the reason for which the scenario cannot run on the simulated network; `None` if it can.
    pub fn requires_processes(&self) -> Option<String> {
        let fault = self
            .faults
            .iter()
            .find(|fault| fault.kind.requires_processes())?;
        Some(format!(
            "[trouble {}]: {} requires separate processes or virtual time",
            fault.name,
            fault.kind.name()
        ))
    }

    /// Duration of the run, microseconds.
    pub fn duration(&self) -> Micros {
        (self.duration_s * 1e6) as Micros
    }

    /// Returns the scenario with its duration changed to `seconds`. The times and durations of faults are scaled in
    /// proportion, the warm-up only if the run becomes shorter; the limits and the request rate are unchanged.
    pub fn scaled_to(mut self, seconds: f64) -> Self {
        let factor = seconds / self.duration_s;
        let scale = |time: Micros, factor: f64| (time as f64 * factor) as Micros;
        self.workload.warm_up = scale(self.workload.warm_up, factor.min(1.0));
        for fault in &mut self.faults {
            fault.at = scale(fault.at, factor);
            fault.duration = scale(fault.duration, factor);
            fault.downtime = scale(fault.downtime, factor);
        }
        self.duration_s = seconds;
        self
    }

    /// Returns the scenario with no downtime, nearly immediate endpoint list updates, and hosts that send no hello
    /// frame. A restart that the endpoint list does not show is then invisible to dispatchers; with downtime, they
    /// would detect it by refused connections.
    pub fn with_hidden_restarts(mut self) -> Self {
        self.dispatchers.uses_hello = false;
        self.limits.rules.endpoint_update_delay = DelayRange {
            min: 0,
            max: HIDDEN_RESTART_UPDATE_DELAY_US,
        };
        for fault in &mut self.faults {
            fault.downtime = 0;
        }
        self
    }

    /// Returns the scenario with the changes that an injected fault makes to it. The other injected faults are
    /// implemented in the test bed and leave the scenario unchanged.
    pub fn with_injected_fault(mut self, fault: Option<InjectedFault>) -> Self {
        match fault {
            Some(InjectedFault::HideRestart) => self.with_hidden_restarts(),
            Some(InjectedFault::MiscountDispatchers) => {
                self.dispatchers.assumes_single_dispatcher = true;
                self
            }
            _ => self,
        }
    }

    /// Returns the scenario without the faults that affect a whole site.
    pub fn without_site_faults(&self) -> Self {
        let mut without = self.clone();
        without.faults.retain(|fault| !fault.kind.affects_site());
        without
    }

    /// Returns the zones that a fault affects as a whole.
    pub fn affected_sites(&self) -> BTreeSet<usize> {
        self.faults
            .iter()
            .filter(|fault| fault.kind.affects_site())
            .map(|fault| fault.target.zone.unwrap_or(0))
            .collect()
    }
}
