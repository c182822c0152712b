//! A scenario with all ranges drawn, and its variants.
use crate::fault_injection::InjectedFault;
use crate::script::FaultSpec;
use crate::{
    ClientSettings, DelayRange, DispatcherOptions, Fleet, Limits, NetworkSettings, Workload,
};
use pointspindle::Micros;
use std::collections::BTreeSet;

/// Most delay of endpoint list updates where restarts are hidden, microseconds.
const HIDDEN_RESTART_UPDATE_DELAY_US: Micros = 20_000;

/// A run as its file describes it, with all ranges drawn.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The file's name without its extension.
    pub name: String,
    /// One line on what is rehearsed.
    pub description: String,
    /// Length of the run, seconds.
    pub duration_s: f64,
    /// Everything random is derived from it.
    pub seed: u64,
    /// Hosts and dispatchers.
    pub fleet: Fleet,
    /// What lies between them.
    pub network: NetworkSettings,
    /// Configuration of the dispatchers.
    pub dispatchers: DispatcherOptions,
    /// Requests and purges.
    pub workload: Workload,
    /// How clients behave.
    pub clients: ClientSettings,
    /// What the run is judged by.
    pub limits: Limits,
    /// Faults, in the file's order.
    pub faults: Vec<FaultSpec>,
}

/// Derives the seed of one random stream, named by `purpose`, from the scenario's seed.
pub fn derive_seed(seed: u64, purpose: &str) -> u64 {
    pointspindle::ObjectId::named(&format!("{seed}/{purpose}")).0
}

impl Scenario {
    /// Why the scenario cannot be played without the simulated network, if so.
    pub fn requires_simulated_network(&self) -> Option<String> {
        let fault = self
            .faults
            .iter()
            .find(|fault| fault.kind.requires_simulated_network())?;
        Some(format!(
            "trouble {}: a partition is played with --shell only",
            fault.name
        ))
    }

    /// Why the scenario cannot be played on the simulated network, if so.
    pub fn requires_processes(&self) -> Option<String> {
        let fault = self
            .faults
            .iter()
            .find(|fault| fault.kind.requires_processes())?;
        Some(format!(
            "trouble {}: {} is played by processes or in virtual time",
            fault.name,
            fault.kind.name()
        ))
    }

    /// Length of the run, microseconds.
    pub fn duration(&self) -> Micros {
        (self.duration_s * 1e6) as Micros
    }

    /// The same scenario in `seconds`: the script and the intervals of its steps are scaled, rules and request rate
    /// are not.
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

    /// The scenario with hosts that restart at once, endpoint list updates without delay, and no host identifying
    /// itself: a restart that the list does not show leaves no other sign then. (A dispatcher whose connections are
    /// refused would notice it in spite of the list.)
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

    /// The scenario as an injected fault changes it; other injected faults act in the test bed.
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

    /// The same scenario without the faults that affect a whole site.
    pub fn without_site_faults(&self) -> Self {
        let mut without = self.clone();
        without.faults.retain(|fault| !fault.kind.affects_site());
        without
    }

    /// Zones that a fault affects as a whole.
    pub fn affected_sites(&self) -> BTreeSet<usize> {
        self.faults
            .iter()
            .filter(|fault| fault.kind.affects_site())
            .map(|fault| fault.target.zone.unwrap_or(0))
            .collect()
    }
}
