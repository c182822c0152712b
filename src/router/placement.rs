//! Placement of copies: weighted rendezvous hashing with bounded load.
use super::endpoints::{Endpoint, Load};
use super::fleet::Fleet;
use super::latency::Slowness;
use super::random::{mix, unit_interval};
use super::roles::Role;
use crate::ids::EndpointId;
use crate::settings::Weights;

/// An endpoint whose load exceeds this multiple of the mean load per weight is skipped.
const LOAD_BOUND: f64 = 1.25;
/// An endpoint with fewer requests per unit of weight than this is not skipped: its link is not saturated yet.
const UNBOUNDED_REQUESTS: f64 = 1.0;

/// Load of an endpoint, as measured for one kind of placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementLoad {
    requests: u32,
    size: f64,
}

impl PlacementLoad {
    /// Returns the load of a cache: its requests, measured by their size.
    pub(super) fn of_cache(load: &Load) -> Self {
        Self {
            requests: load.requests,
            size: load.requests_kb,
        }
    }

    /// Returns the load of a source: the fills from it.
    pub(super) fn of_source(load: &Load) -> Self {
        Self::from_count(load.fills)
    }

    /// Returns the load by requests and fills together.
    pub(super) fn of_requests_and_fills(load: &Load) -> Self {
        Self::from_count(load.requests + load.fills)
    }

    /// Returns a load of zero, for a placement without a load bound.
    pub(super) fn unbounded(_: &Load) -> Self {
        Self::from_count(0)
    }

    fn from_count(requests: u32) -> Self {
        Self {
            requests,
            size: requests as f64,
        }
    }
}

/// Returns the score of an endpoint in weighted rendezvous hashing. The endpoint with the highest score is the home
/// of the key.
fn rendezvous_score(key: u64, endpoint: EndpointId, weight: f64) -> f64 {
    let uniform = unit_interval(mix(key ^ mix(endpoint.0)));
    -weight / uniform.max(1e-12).ln().min(-1e-12)
}

/// Parameters of a placement other than the endpoints. Built anew for each placement.
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
            // Live weights change with the load and would continually move the home of every object.
            Weights::None | Weights::Live => 1.0,
            Weights::Nominal | Weights::Rough => endpoint.entry.weight,
        };
        slowness_factor * capacity
    }

    /// Returns the first endpoint in the rendezvous order of the key that is within the load bound, or the least loaded
    /// one if none is.
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
