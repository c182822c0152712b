//! Settings of the model and its hosts.
use super::warm_up::WarmUpSpec;
use super::Role;
use pointspindle::Micros;

/// A request class as hosts see it.
#[derive(Clone, Debug)]
pub struct ClassModel {
    /// Name of the class.
    pub name: String,
    /// Freshness lifetime of a copy, microseconds; 0: it stays fresh until purged.
    pub freshness_lifetime: Micros,
    /// Mean time of a response's transfer at full speed, microseconds: the work of one request for a host that is
    /// warming up.
    pub mean_transfer_time: Micros,
    /// Responses are never stored.
    pub uncacheable: bool,
    /// The origin discards repeats of an idempotency key within a window.
    pub deduplicates: bool,
}

/// How an overloaded origin stops.
#[derive(Clone, Debug)]
pub struct OverloadSpec {
    /// Multiple of its capacity at which the origin is overloaded; 0: it never is.
    pub multiple: f64,
    /// How long such an overload lasts before the origin hangs, microseconds.
    pub window: Micros,
    /// How long the origin then hangs, microseconds.
    pub downtime: Micros,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Address and port; unique in the model.
    pub address: String,
    /// What the host serves as.
    pub role: Role,
    /// Index into [`CacheModelSettings::zones`].
    pub zone: usize,
    /// Transfers at full speed that its link carries.
    pub weight: f64,
    /// Requests that occupy a slot at once; further ones are queued.
    pub concurrency: usize,
    /// Queued requests; further ones are rejected.
    pub queue_limit: usize,
    /// Share of the link's capacity that each further full load of transfers costs.
    pub crowding_loss: f64,
    /// Capacity of the store, bytes.
    pub store_bytes: u64,
    /// Fills at once.
    pub fill_concurrency: usize,
    /// A fill whose source has not responded after this is given up, microseconds.
    pub fill_timeout: Micros,
    /// Retries of a fill at the same source.
    pub fill_retries: u32,
    /// A fill is cancelled with its last request; otherwise it runs on.
    pub abort_fill: bool,
    /// A parent coalesces fills. Cache hosts do where the request says so.
    pub coalesces_fills: bool,
    /// The warm-up after a start.
    pub warm_up: WarmUpSpec,
    /// Mean service time of the origin before the first byte, exponentially distributed; microseconds.
    pub service_time: Micros,
    /// Greatest age of its load report, microseconds.
    pub load_report_interval: Micros,
    /// Mean interval between pauses of the process, microseconds; 0: none.
    pub pause_interval: Micros,
    /// Length of a pause, microseconds.
    pub pause_duration: Micros,
    /// When the origin stops under overload.
    pub overload: OverloadSpec,
}

/// A zone.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    /// Name of the zone.
    pub name: String,
    /// Transfers at full speed that its inbound link carries, shared by fills from other zones; 0: no limit.
    pub link_capacity: f64,
}

/// What is common to all hosts.
#[derive(Clone, Debug)]
pub struct CacheModelSettings {
    /// Request classes, by index.
    pub classes: Vec<ClassModel>,
    /// Zones, by index.
    pub zones: Vec<ZoneSpec>,
    /// Bytes a second of one transfer to a client at full speed.
    pub bytes_per_s: f64,
    /// Full speed of a fill as a multiple of that.
    pub fill_speedup: f64,
    /// How long the origin remembers an idempotency key, microseconds.
    pub idempotency_window: Micros,
}
