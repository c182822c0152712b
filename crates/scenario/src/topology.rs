//! Zones, the latencies between them, and the hosts and dispatchers of each zone.
use crate::{derive_seed, HostKind, Scenario};
use pointspindle::Micros;
use pointspindle_cache_model::HostSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;

impl Scenario {
    /// Returns the names of the zones by index: branches first, then hubs.
    pub fn zones(&self) -> Vec<String> {
        let branches = (1..=self.fleet.branches).map(|number| format!("branch-{number}"));
        let hubs = (1..=self.fleet.hubs).map(|number| format!("hub-{number}"));
        branches.chain(hubs).collect()
    }

    /// Returns the hub of a branch, as an index among the hubs.
    pub fn hub_of(&self, branch: usize) -> usize {
        branch % self.fleet.hubs.max(1)
    }

    /// Returns the zone index of the hub of a branch.
    pub(crate) fn hub_zone_of(&self, branch: usize) -> usize {
        self.fleet.branches + self.hub_of(branch)
    }

    /// Returns the one-way latency between two zones, microseconds.
    pub fn latency_between(&self, from: usize, to: usize) -> Micros {
        if from == to {
            return self.network.local_latency;
        }
        let distance = self.nearest_hub(from).abs_diff(self.nearest_hub(to));
        let hubs = self.fleet.hubs.max(1);
        // Hubs form a ring; traffic takes the shorter way around.
        let steps = distance.min(hubs - distance) as Micros;
        self.network.hub_latency + steps * self.network.hub_step_latency
    }

    /// Returns the hub of a zone as an index among the hubs: the hub of a branch, or the zone itself if it is a hub.
    fn nearest_hub(&self, zone: usize) -> usize {
        if zone < self.fleet.branches {
            self.hub_of(zone)
        } else {
            zone - self.fleet.branches
        }
    }

    /// Returns the number of dispatchers in all branches.
    pub fn dispatcher_count(&self) -> usize {
        self.fleet.branches * self.fleet.dispatchers_per_branch
    }

    /// Returns the branch in which a dispatcher runs.
    pub fn branch_of_dispatcher(&self, dispatcher: usize) -> usize {
        dispatcher / self.fleet.dispatchers_per_branch.max(1)
    }

    /// Returns the dispatchers of a zone; the range is empty for a hub.
    pub fn dispatchers_of(&self, branch: usize) -> Range<usize> {
        if branch >= self.fleet.branches {
            return 0..0;
        }
        let per_branch = self.fleet.dispatchers_per_branch;
        branch * per_branch..(branch + 1) * per_branch
    }

    /// Returns the hosts that run from the start: cache hosts by branch, then parents, then the origin. `address`
    /// returns the address of a host, given its host id.
    pub fn hosts(&self, address: impl FnMut(usize) -> String) -> Vec<HostSpec> {
        let mut builder = HostListBuilder {
            rng: StdRng::seed_from_u64(derive_seed(self.seed, "weights")),
            address,
            hosts: Vec::new(),
        };
        for branch in 0..self.fleet.branches {
            for _ in 0..self.fleet.caches_per_branch {
                builder.add(&self.fleet.cache, branch);
            }
        }
        for number in 0..self.fleet.parents {
            let hub = number % self.fleet.hubs.max(1);
            builder.add(&self.fleet.parent, self.fleet.branches + hub);
        }
        builder.add(&self.fleet.origin, self.fleet.branches);
        builder.hosts
    }
}

/// Builds the list of hosts and draws their weights from one random stream.
struct HostListBuilder<F> {
    rng: StdRng,
    address: F,
    hosts: Vec<HostSpec>,
}

impl<F: FnMut(usize) -> String> HostListBuilder<F> {
    fn add(&mut self, kind: &HostKind, zone: usize) {
        let factor = 1.0 + kind.weight_spread * (2.0 * self.rng.gen::<f64>() - 1.0);
        self.hosts.push(HostSpec {
            address: (self.address)(self.hosts.len()),
            zone,
            weight: kind.spec.weight * factor,
            ..kind.spec.clone()
        });
    }
}
