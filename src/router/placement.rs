//! Placement of copies: weighted rendezvous hashing with bounded load.
use super::endpoints::{Endpoint, Load};
use super::fleet::Fleet;
use super::latency::Slowness;
use super::random::{mix, unit_interval};
use super::roles::Role;
use crate::ids::EndpointId;
use crate::settings::Weights;

/// An endpoint over this multiple of the mean load, for its weight, is skipped.
const LOAD_BOUND: f64 = 1.25;
/// Below this many requests for each unit of weight no endpoint is skipped: its link is not full yet.
const UNBOUNDED_REQUESTS: f64 = 1.0;

/// The load of an endpoint as it counts for a placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementLoad {
    requests: u32,
    size: f64,
}

impl PlacementLoad {
    /// Requests at a cache, by their size.
    pub(super) fn of_cache(load: &Load) -> Self {
        Self {
            requests: load.requests,
            size: load.requests_kb,
        }
    }

    /// Fills from a source.
    pub(super) fn of_source(load: &Load) -> Self {
        Self::counted(load.fills)
    }

    /// Requests and fills.
    pub(super) fn of_both(load: &Load) -> Self {
        Self::counted(load.requests + load.fills)
    }

    /// No bound on the load.
    pub(super) fn ignored(_: &Load) -> Self {
        Self::counted(0)
    }

    fn counted(requests: u32) -> Self {
        Self {
            requests,
            size: requests as f64,
        }
    }
}

/// Weighted rendezvous hash: the endpoint with the highest score is the home of the key.
fn rendezvous_score(key: u64, endpoint: EndpointId, weight: f64) -> f64 {
    let uniform = unit_interval(mix(key ^ mix(endpoint.0)));
    -weight / uniform.max(1e-12).ln().min(-1e-12)
}

/// What a placement depends on besides the endpoints. Built for each placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) weights: Weights,
    pub(super) zone_slowness: Slowness,
}

impl Placement<'_> {
    fn weight(&self, endpoint: &Endpoint) -> f64 {
        let slowness_factor = match endpoint.role {
            Role::Cache => endpoint.health.slowness.weight_factor(self.zone_slowness),
            _ => 1.0,
        };
        let capacity = match self.weights {
            // Live weights change with the load and would move the home of every object.
            Weights::None | Weights::Live => 1.0,
            Weights::Nominal | Weights::Rough => endpoint.entry.weight,
        };
        slowness_factor * capacity
    }

    /// The first endpoint in the rendezvous order of the key that is within the load bound, else the least loaded.
    pub(super) fn pick_with_bounded_load(
        &self,
        key: u64,
        candidates: &[&Endpoint],
        load: fn(&Load) -> PlacementLoad,
    ) -> Option<EndpointId> {
        let total_weight: f64 = candidates.iter().map(|e| self.weight(e)).sum();
        let total_size: f64 = candidates.iter().map(|e| load(&e.load).size).sum();
        let is_within_bound = |endpoint: &&&Endpoint| {
            let load = load(&endpoint.load);
            let weight = self.weight(endpoint);
            (load.requests as f64) < self.fleet.quota(UNBOUNDED_REQUESTS * weight)
                || load.size <= LOAD_BOUND * total_size * weight / total_weight
        };
        let score =
            |endpoint: &Endpoint| rendezvous_score(key, endpoint.entry.id, self.weight(endpoint));
        let relative_load = |endpoint: &Endpoint| load(&endpoint.load).size / self.weight(endpoint);
        candidates
            .iter()
            .filter(is_within_bound)
            .max_by(|a, b| score(a).total_cmp(&score(b)))
            .or_else(|| {
                candidates
                    .iter()
                    .min_by(|a, b| relative_load(a).total_cmp(&relative_load(b)))
            })
            .map(|endpoint| endpoint.entry.id)
    }
}
