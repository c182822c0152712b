//! Faults of whole zones.
use super::generator::{Downtime, ScriptGenerator};
use super::{FaultSpec, ScriptStep, SiteLossExtent};
use pointspindle_cache_model::{HostId, HostSpec, Role};

impl ScriptGenerator<'_> {
    /// Returns the hosts that match `predicate` and were not replaced by an earlier deploy.
    fn hosts_where(&self, predicate: impl Fn(&HostSpec) -> bool) -> Vec<HostId> {
        (0..self.hosts.len())
            .filter(|id| predicate(&self.hosts[*id]) && !self.replaced.contains(id))
            .collect()
    }

    /// Restarts the parents of a hub, or the cache hosts of its branches, within a fraction of a second of each other.
    pub(super) fn hub_restart(&mut self, fault: &FaultSpec) {
        let branches = self.scenario.fleet.branches;
        let hub = fault
            .target
            .zone
            .filter(|zone| *zone >= branches)
            .unwrap_or(branches);
        let hosts = self.hosts_where(|host| match fault.target.role {
            Role::Parent => host.zone == hub && host.role == Role::Parent,
            _ => host.zone < branches && self.scenario.hub_zone_of(host.zone) == hub,
        });
        let downtime = Downtime {
            from: fault.at,
            until: fault.at + fault.downtime,
        };
        for host in hosts {
            let jitter = self.mass_restart_jitter();
            self.restart(host, downtime.delayed_by(jitter));
        }
    }

    /// Stops all hosts of a zone, except the origin, until the end of the fault.
    pub(super) fn zone_loss(&mut self, fault: &FaultSpec) {
        let zone = fault.target.zone.unwrap_or(0);
        let downtime = Downtime {
            from: fault.at,
            until: fault.end(),
        };
        for host in self.hosts_where(|host| host.zone == zone && host.role != Role::Origin) {
            self.restart(host, downtime);
        }
    }

    /// Crashes the processes of a site within a fraction of a second, and restarts them in the same order.
    pub(super) fn site_loss(&mut self, fault: &FaultSpec) {
        let zone = fault.target.zone.unwrap_or(0);
        let includes_hub =
            zone < self.scenario.fleet.branches && fault.extent >= SiteLossExtent::Parents;
        let hub = includes_hub.then(|| self.scenario.hub_zone_of(zone));
        let downtime = Downtime {
            from: fault.at,
            until: fault.end(),
        };
        let hosts = self.hosts_where(|host| {
            host.role != Role::Origin && (host.zone == zone || Some(host.zone) == hub)
        });
        for host in hosts {
            let jitter = self.mass_restart_jitter();
            if fault.announced {
                self.restart(host, downtime.delayed_by(jitter));
            } else {
                self.restart_unannounced(host, downtime.delayed_by(jitter));
            }
        }
        if fault.extent == SiteLossExtent::Dispatchers {
            self.kill_dispatchers(zone, downtime);
        }
    }

    fn kill_dispatchers(&mut self, zone: usize, downtime: Downtime) {
        for dispatcher in self.scenario.dispatchers_of(zone) {
            let jitter = self.mass_restart_jitter();
            let Downtime { from, until } = downtime.delayed_by(jitter);
            self.push(from, ScriptStep::KillDispatcher { dispatcher });
            self.push(until, ScriptStep::StartDispatcher { dispatcher });
        }
    }

    pub(super) fn site_partition(&mut self, fault: &FaultSpec) {
        let zone = fault.target.zone.unwrap_or(0);
        let until = fault.end();
        for (at, directions) in [(fault.at, Some(fault.directions)), (until, None)] {
            let step = ScriptStep::ZonePartition {
                zone,
                directions,
                until,
            };
            self.push(at, step);
        }
    }
}
