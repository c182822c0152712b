//! Hosts, dispatchers and the network between them.
use pointspindle::Micros;
use pointspindle_cache_model::HostSpec;
use pointspindle_transport::simulated::NetworkConditions;

/// What the hosts of one role are like.
#[derive(Clone, Debug)]
pub struct HostKind {
    /// Every host's settings, except its address, zone and weight.
    pub spec: HostSpec,
    /// Each host's weight is drawn within this share of the kind's weight.
    pub weight_spread: f64,
}

/// The number of zones, dispatchers and hosts, and what the hosts of each role are like.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Zones with cache hosts and dispatchers.
    pub branches: usize,
    /// Zones with parents.
    pub hubs: usize,
    /// Cache hosts of each branch.
    pub caches_per_branch: usize,
    /// Dispatchers of each branch.
    pub dispatchers_per_branch: usize,
    /// Parents, spread over the hubs.
    pub parents: usize,
    /// Cache hosts.
    pub cache: HostKind,
    /// Parents.
    pub parent: HostKind,
    /// The origin.
    pub origin: HostKind,
}

/// Speed and latency of what lies between the hosts.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Bytes a second of one transfer to a client at full speed.
    pub bytes_per_s: f64,
    /// Speed of a fill as a multiple of that.
    pub fill_speedup: f64,
    /// Transfers that a branch's inbound link carries; 0: no limit.
    pub branch_link_capacity: f64,
    /// One-way latency within a branch, microseconds.
    pub local_latency: Micros,
    /// One-way latency from a branch to its own hub, microseconds.
    pub hub_latency: Micros,
    /// What each further hub adds to it, microseconds.
    pub hub_step_latency: Micros,
    /// Conditions of the simulated network.
    pub simulated: NetworkConditions,
}

/// Configuration of the dispatchers.
#[derive(Clone, Debug)]
pub struct DispatcherOptions {
    /// Requests of uncacheable classes go to the origin without a cache host.
    pub bypasses_caches: bool,
    /// Cache hosts coalesce fills where the request says so.
    pub coalesces_fills: bool,
    /// Hosts identify themselves on each connection, and lease out their warm-up.
    pub uses_hello: bool,
    /// Value of the setting `siblings`.
    pub siblings: String,
    /// Value of the setting `notes`.
    pub cache_status_notes: String,
    /// Clients of the framed protocol state the size that they expect.
    pub knows_sizes: bool,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// How long the origin remembers an idempotency key, microseconds.
    pub idempotency_window: Micros,
    /// An injected fault: settings say that there is one dispatcher only.
    pub assumes_single_dispatcher: bool,
}
