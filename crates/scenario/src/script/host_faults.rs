//! Faults of individual hosts.
use super::generator::{Downtime, ScriptGenerator};
use super::{FaultKind, FaultSpec, ListedState, ScriptStep};
use pointspindle::Micros;
use pointspindle_cache_model::{Fault, HostId, HostSpec};
use rand::Rng;

/// Number of steps in which an ageing host slows down.
const AGEING_STEPS: u64 = 4;

/// Returns the cache model's fault for a kind that impairs hosts until the end of the fault, or `None` for other kinds.
fn impairment(fault: &FaultSpec) -> Option<Fault> {
    let until = fault.end();
    let share = fault.severity;
    match fault.kind {
        FaultKind::Hang => Some(Fault::Hang { until }),
        FaultKind::DropResponses => Some(Fault::DropResponses { share, until }),
        FaultKind::TruncateResponses => Some(Fault::TruncateResponses { share, until }),
        FaultKind::RejectRequests => Some(Fault::RejectRequests { until }),
        FaultKind::FailRequests => Some(Fault::FailRequests { share, until }),
        FaultKind::SlowDown => Some(Fault::SlowDown {
            factor: fault.severity,
            until,
        }),
        _ => None,
    }
}

impl ScriptGenerator<'_> {
    /// Impairs running hosts until the end of the fault.
    pub(super) fn impair_hosts(&mut self, fault: &FaultSpec, hosts: Vec<HostId>) {
        let Some(impairment) = impairment(fault) else {
            return;
        };
        for host in hosts {
            self.push_fault(fault.at, host, impairment.clone());
        }
    }

    pub(super) fn partition_hosts(&mut self, fault: &FaultSpec, hosts: Vec<HostId>) {
        for host in hosts {
            for (at, partitioned) in [(fault.at, true), (fault.end(), false)] {
                self.push(at, ScriptStep::Partition { host, partitioned });
            }
        }
    }

    pub(super) fn crash(&mut self, fault: &FaultSpec, hosts: Vec<HostId>) {
        let downtime = Downtime {
            from: fault.at,
            until: fault.end(),
        };
        for host in hosts {
            self.restart(host, downtime);
        }
    }

    pub(super) fn rolling_restart(&mut self, fault: &FaultSpec, hosts: Vec<HostId>) {
        let count = hosts.len();
        for (n, host) in hosts.into_iter().enumerate() {
            let from = fault.step_start(n, count);
            let until = from + fault.downtime;
            self.restart(host, Downtime { from, until });
        }
    }

    /// Makes each host unreachable several times. The duration of the fault is divided into equal intervals with one
    /// interruption in each, so that the interruptions of a host do not overlap.
    pub(super) fn interrupt_connections(&mut self, fault: &FaultSpec, hosts: Vec<HostId>) {
        let interruptions = (fault.severity.round() as Micros).max(1);
        let interval = fault.duration / interruptions;
        let length = fault.downtime.min(interval * 9 / 10).max(1);
        let latest_start = (interval - length).max(1);
        for host in hosts {
            for n in 0..interruptions {
                let start = fault.at + interval * n + self.rng.gen_range(0..=latest_start);
                for (at, reachable) in [(start, false), (start + length, true)] {
                    self.push(at, ScriptStep::Reachability { host, reachable });
                }
            }
        }
    }

    /// Slows down hosts in steps up to the severity. At the end of the fault they crash; they restart after the
    /// downtime.
    pub(super) fn ageing(&mut self, fault: &FaultSpec, hosts: Vec<HostId>) {
        let until = fault.end();
        for host in hosts {
            for n in 1..=AGEING_STEPS {
                let factor = 1.0 + (fault.severity - 1.0) * n as f64 / AGEING_STEPS as f64;
                let at = fault.at + fault.duration * (n - 1) / AGEING_STEPS;
                self.push_fault(at, host, Fault::SlowDown { factor, until });
            }
            let downtime = Downtime {
                from: until,
                until: until + fault.downtime,
            };
            self.restart(host, downtime);
        }
    }

    /// Replaces hosts one after another. Each host is drained for a time in seconds given by the severity. When its
    /// process ends, its successor starts at another address with an empty store.
    pub(super) fn deploy(&mut self, fault: &FaultSpec, hosts: Vec<HostId>) {
        let drain_time = (fault.severity * 1e6) as Micros;
        let count = hosts.len();
        for (n, host) in hosts.into_iter().enumerate() {
            let drain_start = fault.step_start(n, count);
            let end = drain_start + drain_time;
            self.replaced.push(host);
            self.push_endpoint_update(drain_start, host, ListedState::Draining);
            self.push_fault(end, host, Fault::Crash);
            self.push_endpoint_update(end, host, ListedState::Removed);
            let successor = self.add_successor(host);
            self.push_fault(end, successor, Fault::Restart);
            self.push_endpoint_update(end, successor, ListedState::Ready);
        }
    }

    /// Adds a host with the settings of `host` and a new address.
    fn add_successor(&mut self, host: HostId) -> HostId {
        let successor = self.hosts.len() + self.successors.len();
        let spec = HostSpec {
            address: (self.address)(successor),
            ..self.hosts[host].clone()
        };
        self.successors.push(spec);
        successor
    }
}
