//! Settings of a [`Router`](crate::Router), which are fixed when it is created, and its position among all routers.
use crate::ids::Micros;

/// Number of copies whose last server is remembered where memory is not short.
pub const DEFAULT_MAX_KNOWN_COPIES: usize = 100_000;

/// Memory that the router takes for each copy whose last server it remembers, in bytes.
pub const KNOWN_COPY_BYTES: usize = 48;

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries an idempotency key, and endpoints discard repeats of a key.
    WithKey {
        /// Which endpoints discard each other's repeats.
        scope: KeyScope,
        /// Time after the first send during which repeats are discarded.
        window: Micros,
    },
    /// The request may run at most once.
    NotIdempotent,
}

/// Which endpoints discard each other's repeats of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// Endpoints of the same zone.
    Zone,
    /// Endpoints of the same cell.
    Cell,
}

/// Settings of a class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// A response within this time, plus `objective_stretch` times its transfer time, earns the full priority weight.
    pub latency_objective: Micros,
    /// Multiple of the transfer time that is added to the latency objective.
    pub objective_stretch: f64,
    /// Value of a timely response relative to the other classes.
    pub priority_weight: f64,
    /// Whether, and for how long, a request may be retried after an attempt that may have run.
    pub idempotency: Idempotency,
    /// Whether requests of the class run at the origin and are never cached.
    pub uncacheable: bool,
    /// Time for which a copy is fresh; 0 if it is fresh until it is purged.
    pub fresh_for: Micros,
    /// Time beyond its fresh time for which a copy may be served if the fill fails.
    pub stale_if_error: Micros,
}

/// A zone of caches, or a hub of parents.
#[derive(Clone, Copy, Debug, Default)]
pub struct Zone {
    /// Number of routers that serve the zone.
    pub routers: u32,
}

/// Detail in which responses report how they were produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Responses report every cache status.
    All,
    /// Responses report hits only.
    HitOnly,
    /// Responses report no cache status.
    None,
}

/// Which caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    /// No cache may be a source.
    None,
    /// Caches of the router's own zone may be a source.
    OwnZone,
    /// Any cache may be a source.
    Any,
}

/// Meaning of the weight of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Weights are ignored: all endpoints count alike.
    None,
    /// The weight is the configured capacity.
    Nominal,
    /// The weight is an estimate of the capacity.
    Rough,
    /// The weight is measured and changes with the load.
    Live,
}

/// Describes how an endpoint warms up after a start, and how much load it can sustain meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Smallest share of its full capacity that the endpoint has at the start.
    pub initial_share: f64,
    /// Longest time until the endpoint has its full capacity; the capacity rises linearly.
    pub ramp: Micros,
    /// Multiple of its current capacity at which the endpoint fails.
    pub overload_factor: f64,
    /// Duration of such an overload after which the endpoint fails.
    pub overload_window: Micros,
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The router's own zone, an index into `zones`.
    pub zone: usize,
    /// All zones.
    pub zones: Vec<Zone>,
    /// Total number of routers.
    pub routers: u32,
    /// Index of this router among all routers, from 0, if known.
    pub router_index: Option<u32>,
    /// Request classes; a request refers to its class by index.
    pub classes: Vec<RequestClass>,
    /// Endpoint kind of the parents, if there are any.
    pub parent_kind: Option<usize>,
    /// Endpoint kind of the origin, if there is one.
    pub origin_kind: Option<usize>,
    /// Meaning of the weights on the endpoint list.
    pub weights: Weights,
    /// Detail in which responses report how they were produced.
    pub cache_status_detail: CacheStatusDetail,
    /// Which caches may be the source of a fill.
    pub siblings: Siblings,
    /// Whether requests may be sent directly to a parent or to the origin.
    pub direct_forwarding: bool,
    /// Whether a request may join a fill in progress (request coalescing).
    pub coalesces_fills: bool,
    /// Whether attempts can be cancelled.
    pub may_cancel: bool,
    /// Whether a rejection gives the client a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After.
    pub max_retry_after: Micros,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Highest transfer rate of one response in KB per second; 0 if unknown.
    pub stream_kb_per_s: f64,
    /// Slow start of the caches.
    pub cache_slow_start: SlowStartRule,
    /// Slow start of the parents.
    pub parent_slow_start: SlowStartRule,
    /// Time after a purge by which no copy older than the purge exists at any endpoint.
    pub purge_horizon: Micros,
    /// Largest number of copies whose last server is remembered; each takes [`KNOWN_COPY_BYTES`].
    pub max_known_copies: usize,
}

/// Position of a router among all routers. Replaces the counts in the settings when membership changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// Number of routers that send requests to the caches of this router's zone, including this one.
    pub routers_in_zone: u32,
    /// Total number of routers, including this one.
    pub routers_total: u32,
    /// Index of this router among all routers, from 0, if known.
    pub router_index: Option<u32>,
    /// Whether this router uses its quota of warm-up budgets; false while routers may disagree on their number.
    pub uses_warm_up_budget: bool,
}
