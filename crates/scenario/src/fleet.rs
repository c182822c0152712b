//! Settings of hosts, dispatchers and the network between them.
use pointspindle::Micros;
use pointspindle_cache_model::HostSpec;
use pointspindle_transport::simulated::NetworkConditions;

/// Settings of the hosts of one role.
#[derive(Clone, Debug)]
pub struct HostKind {
    /// Settings of each host, except its address, zone and weight.
    pub spec: HostSpec,
    /// Maximum deviation of a host's weight from the weight in `spec`, as a share of that weight.
    pub weight_spread: f64,
}

/// Numbers of zones, dispatchers and hosts, and the settings of the hosts of each role.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of branches: zones with cache hosts and dispatchers.
    pub branches: usize,
    /// Number of hubs: zones with parents.
    pub hubs: usize,
    /// Number of cache hosts of each branch.
    pub caches_per_branch: usize,
    /// Number of dispatchers of each branch.
    pub dispatchers_per_branch: usize,
    /// Number of parents, distributed over the hubs.
    pub parents: usize,
    /// Settings of the cache hosts.
    pub cache: HostKind,
    /// Settings of the parents.
    pub parent: HostKind,
    /// Settings of the origin.
    pub origin: HostKind,
}

/// Speed and latency of the network.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Full speed of a transfer to a client, bytes per second.
    pub bytes_per_s: f64,
    /// Speed of a fill as a multiple of `bytes_per_s`.
    pub fill_speedup: f64,
    /// Number of transfers at full speed that the inbound link of a branch can carry. If 0, the link is unlimited.
    pub branch_link_capacity: f64,
    /// One-way latency within a branch, microseconds.
    pub local_latency: Micros,
    /// One-way latency from a branch to its own hub, microseconds.
    pub hub_latency: Micros,
    /// One-way latency added by each further hub, microseconds.
    pub hub_step_latency: Micros,
    /// Latency, jitter and loss of the simulated network.
    pub simulated: NetworkConditions,
}

/// Configuration of the dispatchers.
#[derive(Clone, Debug)]
pub struct DispatcherOptions {
    /// Whether requests of uncacheable classes bypass the cache hosts and go to the origin.
    pub bypasses_caches: bool,
    /// Whether requests allow cache hosts to coalesce fills.
    pub coalesces_fills: bool,
    /// Whether hosts send a hello frame on each connection and grant leases during their warm-up.
    pub uses_hello: bool,
    /// Value of the setting `siblings`.
    pub siblings: String,
    /// Value of the setting `notes`.
    pub cache_status_notes: String,
    /// Whether clients of the framed protocol state the expected size of the response.
    pub knows_sizes: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Time for which the origin remembers an idempotency key, microseconds.
    pub idempotency_window: Micros,
    /// Whether the dispatchers' settings wrongly state that there is only one dispatcher; set by an injected fault.
    pub assumes_single_dispatcher: bool,
}
