//! Concurrency limits of caches and of the fills of a zone, lowered by late responses and raised by timely ones.
use super::endpoints::Endpoint;
use super::fleet::Fleet;

/// Initial, lowest and highest limit, in requests in flight per unit of weight.
const INITIAL_LIMIT: f64 = 2.0;
const MIN_LIMIT: f64 = 0.5;
const MAX_LIMIT: f64 = 4.0;
/// Fraction by which a timely response raises a limit.
const INCREASE: f64 = 0.02;
/// Fraction by which a late response lowers a limit.
const DECREASE: f64 = 0.2;
/// Cached-only attempts that a cache accepts beyond its limit, per unit of weight.
const CACHED_ONLY_LIMIT: f64 = 1.0;

/// Maximum number of requests in flight at once, summed over all routers of the zone.
///
/// Invariant: the limit is between `MIN_LIMIT` and `MAX_LIMIT` per unit of weight. The limit of a cache is dropped
/// with its endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConcurrencyLimit {
    requests: f64,
}

impl ConcurrencyLimit {
    /// Returns the initial limit of a cache.
    pub(super) fn of_cache(weight: f64) -> Self {
        Self {
            requests: INITIAL_LIMIT * weight,
        }
    }

    /// Returns the initial limit of the fills of a zone, per unit of weight of its caches.
    pub(super) fn of_fills() -> Self {
        Self {
            requests: MAX_LIMIT,
        }
    }

    pub(super) fn adapt(&mut self, late: bool, weight: f64) {
        let factor = if late { 1.0 - DECREASE } else { 1.0 + INCREASE };
        self.requests = (self.requests * factor).clamp(MIN_LIMIT * weight, MAX_LIMIT * weight);
    }

    /// Whether this router's requests in flight use enough of the limit to justify raising it.
    pub(super) fn is_used(&self, in_flight: u32, fleet: &Fleet) -> bool {
        in_flight as f64 + 1.0 > self.requests / fleet.routers_in_zone / 2.0
    }
}

/// Number of requests in flight at a cache that may need a fill.
fn in_flight(cache: &Endpoint) -> f64 {
    cache.load.requests.saturating_sub(cache.load.cached_only) as f64
}

/// Whether the zone as a whole is below its limit, scaled by the request's `limit_factor`.
pub(super) fn zone_has_capacity(
    caches: &[&Endpoint],
    fills: ConcurrencyLimit,
    limit_factor: f64,
    fleet: &Fleet,
) -> bool {
    let cache_limits = caches
        .iter()
        .map(|cache| cache.concurrency_limit.requests)
        .sum::<f64>();
    let weights = caches.iter().map(|cache| cache.entry.weight).sum::<f64>();
    let limit = cache_limits.min(fills.requests * weights) * limit_factor / fleet.routers_in_zone;
    caches.iter().map(|cache| in_flight(cache)).sum::<f64>() < limit.max(1.0)
}

/// Whether this router is below its quota of the limit of a cache.
pub(super) fn cache_has_capacity(cache: &Endpoint, limit_factor: f64, fleet: &Fleet) -> bool {
    in_flight(cache) < fleet.quota(cache.concurrency_limit.requests * limit_factor)
}

/// Whether a cache that has reached its limit accepts another cached-only attempt.
pub(super) fn accepts_cached_only(cache: &Endpoint, fleet: &Fleet) -> bool {
    (cache.load.cached_only as f64) < CACHED_ONLY_LIMIT * cache.entry.weight / fleet.routers_in_zone
}
