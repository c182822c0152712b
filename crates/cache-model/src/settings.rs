//! Settings of the model and its hosts.
use super::warm_up::WarmUpSpec;
use super::Role;
use pointspindle::Micros;

/// Properties of a request class that affect hosts.
#[derive(Clone, Debug)]
pub struct ClassModel {
    /// Name of the class.
    pub name: String,
    /// Freshness lifetime of a copy, microseconds; 0 if copies stay fresh until purged.
    pub freshness_lifetime: Micros,
    /// Mean transfer time of a response at full speed, microseconds. It is the work of one request for a host that is
    /// warming up.
    pub mean_transfer_time: Micros,
    /// Whether responses are never stored.
    pub uncacheable: bool,
    /// Whether the origin discards repeats of an idempotency key within a window.
    pub deduplicates: bool,
}

/// Overload of the origin, and the hang that follows.
#[derive(Clone, Debug)]
pub struct OverloadSpec {
    /// Multiple of its capacity above which the origin is overloaded; 0 if it never is.
    pub overload_factor: f64,
    /// Length of the window over which the load is measured, microseconds.
    pub window: Micros,
    /// Duration of the hang after an overload, microseconds.
    pub downtime: Micros,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Address and port; unique in the model.
    pub address: String,
    /// Role of the host.
    pub role: Role,
    /// Index into [`CacheModelSettings::zones`].
    pub zone: usize,
    /// Number of transfers at full speed that the host's link carries.
    pub weight: f64,
    /// Maximum number of requests that occupy a slot; further ones are queued.
    pub concurrency: usize,
    /// Maximum number of queued requests; further ones are rejected.
    pub queue_limit: usize,
    /// Share of the link's capacity that each further full load of transfers costs.
    pub congestion_loss: f64,
    /// Capacity of the store, bytes.
    pub store_bytes: u64,
    /// Maximum number of fills in progress.
    pub fill_concurrency: usize,
    /// Time after which a fill whose source has not responded fails, microseconds.
    pub fill_timeout: Micros,
    /// Maximum number of retries of a fill at the same source.
    pub fill_retries: u32,
    /// Whether a fill is cancelled with its last request; otherwise it continues.
    pub abort_fill: bool,
    /// Whether a parent coalesces fills. Cache hosts coalesce according to the request.
    pub coalesces_fills: bool,
    /// The warm-up after a start.
    pub warm_up: WarmUpSpec,
    /// Mean service time of the origin before the first byte, exponentially distributed; microseconds.
    pub service_time: Micros,
    /// Interval between updates of the host's load report, microseconds.
    pub load_report_interval: Micros,
    /// Mean interval between pauses of the process, microseconds; 0 if it never pauses.
    pub pause_interval: Micros,
    /// Length of a pause, microseconds.
    pub pause_duration: Micros,
    /// Overload of the origin; other hosts ignore it.
    pub overload: OverloadSpec,
}

/// A zone.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    /// Name of the zone.
    pub name: String,
    /// Number of transfers at full speed that the zone's inbound link carries, shared by fills from other zones; 0 if
    /// it has no limit.
    pub link_capacity: f64,
}

/// Settings that are common to all hosts.
#[derive(Clone, Debug)]
pub struct CacheModelSettings {
    /// Request classes, by index.
    pub classes: Vec<ClassModel>,
    /// Zones, by index.
    pub zones: Vec<ZoneSpec>,
    /// Full speed of one transfer to a client, bytes per second.
    pub bytes_per_s: f64,
    /// Full speed of a fill as a multiple of `bytes_per_s`.
    pub fill_speedup: f64,
    /// Time for which the origin discards repeats of an idempotency key, microseconds.
    pub idempotency_window: Micros,
}
