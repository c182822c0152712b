//! Generates the steps of a script from the faults of a scenario.
use super::{FaultKind, FaultSpec, FaultTarget, ListedState, Script, ScriptStep};
use crate::{derive_seed, Scenario};
use pointspindle::Micros;
use pointspindle_cache_model::{Fault, HostId, HostSpec};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Maximum time between the stops, and between the starts, of the processes in a mass restart, microseconds.
const MASS_RESTART_SPREAD_US: Micros = 400_000;

/// Returns the number of items in a share of `count` items, at least 1.
pub(super) fn share_of(share: f64, count: usize) -> usize {
    (share * count as f64).round().max(1.0) as usize
}

/// The interval from the stop of a process to its restart, microseconds since the start of the run.
#[derive(Clone, Copy)]
pub(super) struct Downtime {
    pub(super) from: Micros,
    pub(super) until: Micros,
}

impl Downtime {
    /// Returns the interval shifted by `delay`.
    pub(super) fn delayed_by(self, delay: Micros) -> Self {
        Self {
            from: self.from + delay,
            until: self.until + delay,
        }
    }
}

/// Builds a script.
pub(super) struct ScriptGenerator<'a> {
    pub(super) scenario: &'a Scenario,
    /// Hosts that run from the start.
    pub(super) hosts: &'a [HostSpec],
    pub(super) address: &'a mut dyn FnMut(usize) -> String,
    pub(super) steps: Vec<(Micros, ScriptStep)>,
    /// Hosts that deploys add in place of replaced ones.
    pub(super) successors: Vec<HostSpec>,
    /// Hosts that an earlier deploy has replaced.
    pub(super) replaced: Vec<HostId>,
    pub(super) rng: StdRng,
}

impl<'a> ScriptGenerator<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        hosts: &'a [HostSpec],
        address: &'a mut dyn FnMut(usize) -> String,
    ) -> Self {
        Self {
            scenario,
            hosts,
            address,
            steps: Vec::new(),
            successors: Vec::new(),
            replaced: Vec::new(),
            rng: StdRng::seed_from_u64(0),
        }
    }

    /// Returns the script with its steps sorted by time; steps at the same time keep their order.
    pub(super) fn finish(mut self) -> Script {
        self.steps.sort_by_key(|(at, _)| *at);
        Script {
            steps: self.steps,
            added_hosts: self.successors,
        }
    }

    /// Switches to the random stream named `purpose`.
    pub(super) fn use_random_stream(&mut self, purpose: &str) {
        self.rng = StdRng::seed_from_u64(derive_seed(self.scenario.seed, purpose));
    }

    pub(super) fn push(&mut self, at: Micros, step: ScriptStep) {
        self.steps.push((at, step));
    }

    pub(super) fn push_fault(&mut self, at: Micros, host: HostId, fault: Fault) {
        self.push(at, ScriptStep::Fault { host, fault });
    }

    pub(super) fn push_endpoint_update(&mut self, at: Micros, host: HostId, state: ListedState) {
        self.push(at, ScriptStep::EndpointUpdate { host, state });
    }

    /// Adds the steps of a fault. Each fault has its own random stream, so that adding a fault does not change the
    /// steps of the others.
    pub(super) fn add_fault(&mut self, fault: &FaultSpec) {
        self.use_random_stream(&format!("trouble {}", fault.name));
        let hosts = if fault.kind.targets_hosts() {
            self.target_hosts(&fault.target)
        } else {
            Vec::new()
        };
        let kind = fault.kind.name();
        let note = format!("{} ({kind}): {} members", fault.name, hosts.len());
        self.push(fault.at, ScriptStep::Note(note));
        match fault.kind {
            FaultKind::Hang
            | FaultKind::DropResponses
            | FaultKind::TruncateResponses
            | FaultKind::RejectRequests
            | FaultKind::FailRequests
            | FaultKind::SlowDown => self.impair_hosts(fault, hosts),
            FaultKind::Partition => self.partition_hosts(fault, hosts),
            FaultKind::Crash => self.crash(fault, hosts),
            FaultKind::Deploy => self.deploy(fault, hosts),
            FaultKind::RollingRestart => self.rolling_restart(fault, hosts),
            FaultKind::FlakyConnections => self.interrupt_connections(fault, hosts),
            FaultKind::Ageing => self.ageing(fault, hosts),
            FaultKind::HubRestart => self.hub_restart(fault),
            FaultKind::ZoneLoss => self.zone_loss(fault),
            FaultKind::SiteLoss => self.site_loss(fault),
            FaultKind::SitePartition => self.site_partition(fault),
            FaultKind::Purge => self.purge(fault),
            FaultKind::KillDispatchers
            | FaultKind::PauseDispatchers
            | FaultKind::StopDispatchers => self.interrupt_dispatchers(fault),
            FaultKind::DelayEndpointUpdates => self.delay_endpoint_updates(fault),
            // These faults are implemented by the generation of traffic.
            FaultKind::HotObject
            | FaultKind::OversizedObjects
            | FaultKind::OneOffObjects
            | FaultKind::Burst => {}
        }
    }

    /// Returns the hosts that a fault may target: those that run from the start, have the target's role and zone, and
    /// were not replaced by an earlier deploy.
    fn eligible_hosts(&self, target: &FaultTarget) -> Vec<HostId> {
        let is_eligible = |id: HostId, host: &HostSpec| {
            host.role == target.role
                && target.zone.is_none_or(|zone| zone == host.zone)
                && !self.replaced.contains(&id)
        };
        self.hosts
            .iter()
            .enumerate()
            .filter(|(id, host)| is_eligible(*id, host))
            .map(|(id, _)| id)
            .collect()
    }

    /// Draws the hosts that a fault targets; returns them in the order of their ids.
    fn target_hosts(&mut self, target: &FaultTarget) -> Vec<HostId> {
        let mut hosts = self.eligible_hosts(target);
        if let Some(index) = target.index {
            return hosts.get(index).copied().into_iter().collect();
        }
        hosts.shuffle(&mut self.rng);
        hosts.truncate(share_of(target.share, hosts.len()));
        hosts.sort_unstable();
        hosts
    }

    /// Draws the delay of a process in a mass restart, microseconds.
    pub(super) fn mass_restart_jitter(&mut self) -> Micros {
        self.rng.gen_range(0..MASS_RESTART_SPREAD_US)
    }

    /// Adds the steps of a restart: the process of a host crashes, and a new process starts at the same address with an
    /// empty store.
    pub(super) fn restart(&mut self, host: HostId, downtime: Downtime) {
        self.push_fault(downtime.from, host, Fault::Crash);
        self.push_endpoint_update(downtime.from, host, ListedState::Removed);
        self.push_fault(downtime.until, host, Fault::Restart);
        self.push_endpoint_update(downtime.until, host, ListedState::Ready);
    }

    /// Like [`Self::restart`], but the endpoint list does not show the restart.
    pub(super) fn restart_unannounced(&mut self, host: HostId, downtime: Downtime) {
        self.push_fault(downtime.from, host, Fault::Crash);
        self.push_fault(downtime.until, host, Fault::Restart);
    }
}
