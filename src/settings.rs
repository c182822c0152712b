//! Settings of a [`Router`](crate::Router), fixed when it is created, and its position among the routers.
use crate::ids::Micros;

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Endpoints discard a repeated idempotency key.
    WithKey {
        /// Which endpoints discard each other's repeats.
        scope: KeyScope,
        /// How long after the first send repeats are discarded.
        window: Micros,
    },
    /// Once at most.
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

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// A response within this, plus `objective_stretch` times its transfer time, earns the full priority weight.
    pub latency_objective: Micros,
    /// Multiple of the transfer time that is added to the latency objective.
    pub objective_stretch: f64,
    /// Value of a timely response, relative to the other classes.
    pub priority_weight: f64,
    /// Whether and when a request may be retried after an attempt that may have run.
    pub idempotency: Idempotency,
    /// Runs at the origin and is never cached.
    pub uncacheable: bool,
    /// How long a copy is fresh; 0: until it is purged.
    pub fresh_for: Micros,
    /// How far past its fresh time a copy may be served when the fill fails.
    pub stale_if_error: Micros,
}

/// A zone, or a hub of parents.
#[derive(Clone, Copy, Debug, Default)]
pub struct Zone {
    /// Routers that serve it.
    pub routers: u32,
}

/// What responses report of how they were produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Every cache status.
    All,
    /// Hits only.
    HitOnly,
    /// Nothing.
    None,
}

/// Which caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    None,
    /// Caches of the router's own zone.
    OwnZone,
    /// Any cache.
    Any,
}

/// What the weight of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing: all endpoints count alike.
    None,
    /// The configured capacity.
    Nominal,
    /// An estimate of the capacity.
    Rough,
    /// A measurement that changes with the load.
    Live,
}

/// How an endpoint warms up after a start, and how much load it bears meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Share of its capacity at the start, at least.
    pub initial_share: f64,
    /// Time until the full capacity at the latest; the capacity rises linearly.
    pub ramp: Micros,
    /// Multiple of the present capacity at which the endpoint fails.
    pub overload_factor: f64,
    /// How long such an overload lasts before the endpoint fails.
    pub overload_window: Micros,
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The router's own zone, an index into `zones`.
    pub zone: usize,
    /// All zones.
    pub zones: Vec<Zone>,
    /// Routers in total.
    pub routers: u32,
    /// Index of this router among all, from 0, where known.
    pub router_index: Option<u32>,
    /// Classes of requests; a request names its class by index.
    pub classes: Vec<RequestClass>,
    /// Endpoint kind of the parents, if there are any.
    pub parent_kind: Option<usize>,
    /// Endpoint kind of the origin, if there is one.
    pub origin_kind: Option<usize>,
    /// Meaning of the weights on the endpoint list.
    pub weights: Weights,
    /// What responses report of how they were produced.
    pub cache_status_detail: CacheStatusDetail,
    /// Which caches may be the source of a fill.
    pub siblings: Siblings,
    /// Requests may go directly to a parent or to the origin.
    pub direct_forwarding: bool,
    /// Request coalescing: a request may join a fill in progress.
    pub coalesces_fills: bool,
    /// Attempts can be cancelled.
    pub may_cancel: bool,
    /// Rejected clients are given a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After.
    pub max_retry_after: Micros,
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Highest transfer rate of one response, KB a second; 0: unknown.
    pub stream_kb_per_s: f64,
    /// Slow start of the caches.
    pub cache_slow_start: SlowStartRule,
    /// Slow start of the parents.
    pub parent_slow_start: SlowStartRule,
    /// No copy older than a purge is left anywhere after this.
    pub purge_horizon: Micros,
}

/// The position of a router among all routers, as membership changes; replaces the counts in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// Routers that send to the caches of this router's zone, itself included.
    pub routers_in_zone: u32,
    /// Routers in total, itself included.
    pub routers_total: u32,
    /// Index of this router among all, from 0, where known.
    pub router_index: Option<u32>,
    /// Whether it uses its quota of warm-up budgets; false while routers may count themselves differently.
    pub takes_warm_up_budget: bool,
}
