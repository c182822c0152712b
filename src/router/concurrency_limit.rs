//! Concurrency limits of caches and of the fills of a zone, adapted to late responses.
use super::endpoints::Endpoint;
use super::fleet::Fleet;

/// Requests in flight for each unit of weight: at first, at least, at most.
const INITIAL_LIMIT: f64 = 2.0;
const MIN_LIMIT: f64 = 0.5;
const MAX_LIMIT: f64 = 4.0;
/// A timely response raises a limit by this share.
const INCREASE: f64 = 0.02;
/// A late response lowers a limit by this share.
const DECREASE: f64 = 0.2;
/// Cached-only attempts that a cache at its limit accepts besides, for each unit of weight.
const CACHED_ONLY_LIMIT: f64 = 1.0;

/// Requests that may be in flight at once, from all routers of the zone.
///
/// Invariant: between `MIN_LIMIT` and `MAX_LIMIT` for each unit of weight. Forgotten with its endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConcurrencyLimit {
    requests: f64,
}

impl ConcurrencyLimit {
    /// Of a cache.
    pub(super) fn of_cache(weight: f64) -> Self {
        Self {
            requests: INITIAL_LIMIT * weight,
        }
    }

    /// Of the fills of a zone, for each unit of weight of its caches.
    pub(super) fn of_fills() -> Self {
        Self {
            requests: MAX_LIMIT,
        }
    }

    pub(super) fn adapt(&mut self, late: bool, weight: f64) {
        let factor = if late { 1.0 - DECREASE } else { 1.0 + INCREASE };
        self.requests = (self.requests * factor).clamp(MIN_LIMIT * weight, MAX_LIMIT * weight);
    }

    /// Whether the requests in flight use the limit enough to justify raising it.
    pub(super) fn is_used(&self, in_flight: u32, fleet: &Fleet) -> bool {
        in_flight as f64 + 1.0 > self.requests / fleet.routers_in_zone / 2.0
    }
}

/// Requests at a cache that may need a fill.
fn in_flight(cache: &Endpoint) -> f64 {
    cache.load.requests.saturating_sub(cache.load.cached_only) as f64
}

/// Whether the zone as a whole is below its limit. `stretch` is the priority factor of the request.
pub(super) fn zone_has_capacity(
    caches: &[&Endpoint],
    fills: ConcurrencyLimit,
    stretch: f64,
    fleet: &Fleet,
) -> bool {
    let cache_limits = caches
        .iter()
        .map(|cache| cache.concurrency_limit.requests)
        .sum::<f64>();
    let weights = caches.iter().map(|cache| cache.entry.weight).sum::<f64>();
    let limit = cache_limits.min(fills.requests * weights) * stretch / fleet.routers_in_zone;
    caches.iter().map(|cache| in_flight(cache)).sum::<f64>() < limit.max(1.0)
}

/// Whether a cache is below this router's quota of its limit.
pub(super) fn cache_has_capacity(cache: &Endpoint, stretch: f64, fleet: &Fleet) -> bool {
    in_flight(cache) < fleet.quota(cache.concurrency_limit.requests * stretch)
}

/// Whether a cache at its limit accepts another cached-only attempt.
pub(super) fn accepts_cached_only(cache: &Endpoint, fleet: &Fleet) -> bool {
    (cache.load.cached_only as f64) < CACHED_ONLY_LIMIT * cache.entry.weight / fleet.routers_in_zone
}
