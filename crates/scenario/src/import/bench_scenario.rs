//! The bench's JSON format of a scenario, limited to the fields that the import reads. Times are in microseconds unless
//! stated otherwise.
use serde::Deserialize;

#[derive(Debug, Deserialize)]
pub(super) struct BenchScenario {
    pub(super) site: String,
    pub(super) kind: String,
    #[serde(rename = "length")]
    pub(super) duration: f64,
    pub(super) zones: Vec<String>,
    #[serde(rename = "net")]
    pub(super) network: BenchNetwork,
    pub(super) traffic: BenchTraffic,
    pub(super) clients: BenchClients,
    pub(super) discovery: BenchDiscovery,
    #[serde(rename = "allow")]
    pub(super) attempt_limits: BenchAttemptLimits,
    pub(super) drain_grace: f64,
    #[serde(rename = "fall_multiple")]
    pub(super) overload_factor: f64,
    #[serde(rename = "fall_for")]
    pub(super) overload_window: f64,
    #[serde(default, rename = "goal")]
    pub(super) objective: Option<BenchObjective>,
    pub(super) classes: Vec<BenchClass>,
    pub(super) tiers: Vec<BenchTier>,
    pub(super) servers: Vec<BenchServer>,
    #[serde(rename = "balancers")]
    pub(super) dispatchers: Vec<BenchServer>,
    #[serde(default, rename = "troubles")]
    pub(super) faults: Option<Vec<BenchFault>>,
    #[serde(rename = "fam")]
    pub(super) family: BenchFamily,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchNetwork {
    #[serde(rename = "same")]
    pub(super) local_latency: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchTraffic {
    /// Offered load as a share of the capacity of the cache hosts.
    pub(super) load: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchClients {
    pub(super) retries: f64,
    #[serde(rename = "backoff_us")]
    pub(super) backoff: f64,
    /// Share of clients that honour the Retry-After header.
    #[serde(rename = "honour")]
    pub(super) retry_after_share: f64,
}

/// Delays with which dispatchers are notified of endpoint list updates.
#[derive(Debug, Deserialize)]
pub(super) struct BenchDiscovery {
    pub(super) notice: f64,
    pub(super) add: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchAttemptLimits {
    pub(super) max_attempts: u32,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchClass {
    pub(super) name: String,
    pub(super) share: f64,
    /// Mean transfer time of a response.
    #[serde(rename = "work")]
    pub(super) transfer_time: f64,
    #[serde(rename = "aim")]
    pub(super) latency_objective: f64,
    #[serde(default, rename = "aim_stretch")]
    pub(super) latency_objective_stretch: f64,
    pub(super) deadline: f64,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(default, rename = "late_worth")]
    pub(super) late_value: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub(super) effect: String,
    #[serde(default, rename = "window")]
    pub(super) idempotency_window: f64,
    #[serde(default)]
    pub(super) write: bool,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchTier {
    pub(super) kinds: Vec<BenchServerKind>,
    #[serde(rename = "stated_cold_from")]
    pub(super) warm_up_initial_share: f64,
    #[serde(rename = "stated_cold")]
    pub(super) warm_up_duration: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchServerKind {
    pub(super) cores: f64,
    /// Maximum number of concurrent requests per core.
    #[serde(rename = "slots")]
    pub(super) concurrency: f64,
    /// Maximum number of queued requests per core.
    pub(super) queue: f64,
    #[serde(rename = "thrash")]
    pub(super) crowding_loss: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchServer {
    pub(super) zone: usize,
    #[serde(default)]
    pub(super) kind: usize,
    pub(super) weight: f64,
    /// Whether the server runs from the start.
    #[serde(default = "enabled", rename = "up")]
    pub(super) running: bool,
}

fn enabled() -> bool {
    true
}

/// A fault. The meaning of `size` and `extra` depends on its kind.
#[derive(Debug, Deserialize)]
pub(super) struct BenchFault {
    pub(super) kind: String,
    pub(super) at: f64,
    #[serde(rename = "len")]
    pub(super) duration: f64,
    #[serde(default)]
    pub(super) size: f64,
    #[serde(default)]
    pub(super) extra: f64,
    /// Indices of the affected servers.
    #[serde(default, rename = "on")]
    pub(super) servers: Vec<usize>,
    /// Index of the affected zone.
    #[serde(default, rename = "which")]
    pub(super) zone: usize,
    #[serde(default, rename = "steps")]
    pub(super) waves: Vec<BenchWave>,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchWave {
    /// Indices of the servers that this wave stops.
    pub(super) stop: Vec<usize>,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchObjective {
    pub(super) whole: f64,
    #[serde(rename = "worst_window")]
    pub(super) worst_10s: f64,
    pub(super) worst_class: f64,
}

/// Settings that only scenarios of the bench's edge family have.
#[derive(Debug, Deserialize)]
pub(super) struct BenchFamily {
    /// Whether requests of uncacheable classes bypass the cache hosts.
    #[serde(rename = "direct")]
    pub(super) bypasses_caches: bool,
    /// Size of the stores in each zone, as microseconds of transfer.
    #[serde(rename = "room")]
    pub(super) store_by_zone: Vec<f64>,
    pub(super) siblings: String,
    #[serde(rename = "stock")]
    pub(super) catalogues: Vec<BenchCatalogue>,
    #[serde(rename = "tells")]
    pub(super) cache_status_notes: String,
    #[serde(rename = "tells_size")]
    pub(super) knows_sizes: bool,
    #[serde(flatten)]
    pub(super) fills: BenchFills,
    #[serde(flatten)]
    pub(super) links: BenchLinks,
    #[serde(flatten)]
    pub(super) origin: BenchOrigin,
    #[serde(flatten)]
    pub(super) parents: BenchParents,
    #[serde(flatten)]
    pub(super) purges: BenchPurges,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchFills {
    pub(super) abort_fill: bool,
    #[serde(default = "enabled", rename = "parent_joins")]
    pub(super) parents_coalesce_fills: bool,
    #[serde(rename = "joins")]
    pub(super) coalesces_fills: bool,
    pub(super) fill_timeout: f64,
    pub(super) fills_per_core: f64,
    /// Speed of a fill as a multiple of the speed of a transfer.
    #[serde(rename = "pace")]
    pub(super) fill_speedup: f64,
    #[serde(rename = "retries")]
    pub(super) fill_retries: BenchFillRetries,
}

/// Fill retries by role; the JSON has an array of two numbers.
#[derive(Debug, Deserialize)]
pub(super) struct BenchFillRetries {
    pub(super) cache: f64,
    pub(super) parent: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchLinks {
    pub(super) hubs: usize,
    #[serde(rename = "near")]
    pub(super) hub_latency: f64,
    #[serde(rename = "far")]
    pub(super) hub_step_latency: f64,
    /// Speed of one transfer, KiB per second.
    pub(super) kb_per_s: f64,
    /// Number of transfers that the inbound link of each zone can carry.
    #[serde(rename = "link")]
    pub(super) link_by_zone: Vec<f64>,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchOrigin {
    #[serde(rename = "origin_fall")]
    pub(super) overload: BenchOriginOverload,
    #[serde(rename = "origin_kind")]
    pub(super) kind: usize,
    #[serde(rename = "origin_link")]
    pub(super) link: f64,
    #[serde(rename = "origin_time")]
    pub(super) service_time: f64,
}

/// Overload of the origin; the JSON has an array of three numbers.
#[derive(Debug, Deserialize)]
pub(super) struct BenchOriginOverload {
    pub(super) multiple: f64,
    pub(super) window: f64,
    pub(super) downtime: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchParents {
    #[serde(rename = "parent_cold")]
    pub(super) warm_up: BenchParentWarmUp,
    #[serde(rename = "parent_fall")]
    pub(super) overload_factor: f64,
    #[serde(rename = "parent_kind")]
    pub(super) kind: i64,
    /// Size of the store, as microseconds of transfer.
    #[serde(rename = "parent_store")]
    pub(super) store: f64,
}

/// Warm-up of the parents; the JSON has an array of two numbers.
#[derive(Debug, Deserialize)]
pub(super) struct BenchParentWarmUp {
    pub(super) initial_share: f64,
    pub(super) duration: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct BenchPurges {
    pub(super) groups: u64,
    #[serde(rename = "purge_done")]
    pub(super) deadline: f64,
    #[serde(rename = "purge_grace")]
    pub(super) grace: f64,
    #[serde(rename = "purge_tell")]
    pub(super) max_delay: f64,
    #[serde(rename = "purges")]
    pub(super) per_s: f64,
}

/// The objects of a class.
#[derive(Debug, Deserialize)]
pub(super) struct BenchCatalogue {
    #[serde(rename = "fresh")]
    pub(super) freshness_lifetime: f64,
    #[serde(rename = "grace")]
    pub(super) stale_if_error: f64,
    #[serde(rename = "local")]
    pub(super) local_share: f64,
    pub(super) objects: f64,
    #[serde(rename = "once")]
    pub(super) once_share: f64,
    pub(super) parts: f64,
    pub(super) sigma: f64,
    #[serde(rename = "stale_worth")]
    pub(super) stale_value: f64,
    pub(super) zipf: f64,
}
