//! Settings of a cache host.
use crate::endpoints::Role;
use crate::reader::Reader;
use crate::slow_start;
use pointspindle::SlowStartRule;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a request class that a cache host uses.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheClass {
    /// Name on the wire.
    pub name: String,
    /// Freshness lifetime of copies for which the origin gives none, in microseconds; 0: they never become stale.
    pub fresh_for_us: u64,
    /// Whether requests of the class are executed at the origin and never cached.
    pub uncacheable: bool,
    /// Sending time of a typical response in microseconds, used to divide capacity during slow start.
    pub mean_send_time_us: u64,
}

/// Settings of the on-disk store of cached copies. Sizes are in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Directory of the store.
    pub path: PathBuf,
    /// Capacity on disk; at least six segments.
    pub capacity_bytes: u64,
    /// Size of one segment file.
    pub segment_bytes: u32,
    /// Size of one block of a copy; at most a quarter of a segment.
    pub block_bytes: u32,
    /// Capacity for blocks cached in memory.
    pub memory_bytes: u64,
    /// Share of the capacity from which a recovered store counts as warm and needs no slow start.
    pub warm_share: f64,
    /// Maximum time in microseconds until a copy is written to disk; purges are written at once.
    pub sync_us: u64,
}

/// Settings of an HTTP/1.1 origin.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginSettings {
    /// Address and port of the origin.
    pub address: SocketAddr,
    /// Value of the `Host` field; by default the address.
    pub host: String,
    /// Maximum number of open connections.
    pub connections: usize,
}

/// All settings of a cache host.
#[derive(Clone, Debug)]
pub struct CacheHostSettings {
    /// Name of the host in logs.
    pub name: String,
    /// Role of the host.
    pub role: Role,
    /// Address of the listener for the framed protocol.
    pub framed: SocketAddr,
    /// Address of the listener for purges and operators' queries; `None`: there is no such listener.
    pub control: Option<SocketAddr>,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of open streams on a connection.
    pub max_streams: usize,
    /// Maximum number of requests in flight; further ones are rejected.
    pub max_requests: usize,
    /// Maximum time in microseconds that a draining host waits for responses in flight.
    pub drain_timeout_us: u64,
    /// Store of cached copies; `None`: objects are passed through without caching.
    pub store: Option<StoreSettings>,
    /// HTTP origin that the host fills from; required for a gateway to an origin.
    pub origin: Option<OriginSettings>,
    /// Maximum number of running fills.
    pub max_fills: usize,
    /// Maximum number of requests that wait for a fill to end before they start their own.
    pub fill_queue: usize,
    /// Maximum time in microseconds for connecting to a source.
    pub connect_timeout_us: u64,
    /// Maximum duration of a fill, in microseconds.
    pub fill_timeout_us: u64,
    /// Maximum time in microseconds that a fill waits for its slowest reader.
    pub slow_reader_timeout_us: u64,
    /// Number of simultaneous transfers at full rate that the host's link carries.
    pub weight: f64,
    /// Limits of the load that the host accepts while its cache is cold.
    pub slow_start: SlowStartRule,
    /// Request classes; at least one.
    pub classes: Vec<CacheClass>,
}

/// Minimum number of segments in a store.
const MIN_SEGMENTS: u64 = 6;
const MIN_BLOCKS_PER_SEGMENT: u32 = 4;
const BYTES_PER_KB: f64 = 1024.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Reads all sections of a cache host's file. Errors are collected in the reader; the returned settings are valid only
/// if it has none.
pub(crate) fn read(reader: &mut Reader) -> CacheHostSettings {
    let name = reader.value("cache", "name", "cache".to_owned(), "a name");
    let role = reader.choice("cache", "role", Role::Cache, &Role::NAMES);
    let weight = reader.number("cache", "weight", 50.0, 0.01, 1e6);
    let any_local_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let framed = reader.required("listen", "framed", any_local_port, "an address and port");
    let control = read_address(reader, "listen", "control");
    let store = read_store(reader, role);
    let origin = read_origin(reader, role);
    let classes = read_classes(reader);
    CacheHostSettings {
        name,
        role,
        framed,
        control,
        max_connections: reader.number("listen", "max_connections", 10_000, 1, 10_000_000),
        max_streams: reader.number("listen", "max_streams", 1_024, 1, 100_000),
        max_requests: reader.number("cache", "max_requests", 4_096, 1, 1_000_000),
        drain_timeout_us: reader.duration_us("listen", "drain_ms", 10_000.0, 0.0, 600_000.0),
        store,
        origin,
        max_fills: reader.number("fills", "places", 64, 1, 100_000),
        fill_queue: reader.number("fills", "queue", 128, 0, 1_000_000),
        connect_timeout_us: reader.duration_us("fills", "connect_timeout_ms", 250.0, 1.0, 60_000.0),
        fill_timeout_us: reader.duration_us("fills", "timeout_ms", 10_000.0, 10.0, 3.6e6),
        slow_reader_timeout_us: reader.duration_us("fills", "slow_ms", 5_000.0, 10.0, 600_000.0),
        weight,
        slow_start: slow_start::read(reader, "cold"),
        classes,
    }
}

fn read_origin(reader: &mut Reader, role: Role) -> Option<OriginSettings> {
    let Some(address) = read_address(reader, "origin", "address") else {
        if reader.has_section("origin") {
            let reason = "missing; expected an address and port, such as 127.0.0.1:9100";
            reader.report("origin", "address", reason);
        }
        if role == Role::Origin {
            let reason = "role origin requires [origin] address, the address of an HTTP origin";
            reader.report("cache", "role", reason);
        }
        return None;
    };
    Some(OriginSettings {
        address,
        host: reader.value("origin", "host", address.to_string(), "a host name"),
        connections: reader.number("origin", "connections", 64, 1, 10_000),
    })
}

fn read_classes(reader: &mut Reader) -> Vec<CacheClass> {
    let names = reader.section_names("class");
    if names.is_empty() {
        reader.report(
            "class NAME",
            "",
            "no class is defined; at least one section is required",
        );
    }
    names
        .into_iter()
        .map(|name| read_class(reader, name))
        .collect()
}

fn read_class(reader: &mut Reader, name: String) -> CacheClass {
    let section = format!("class {name}");
    CacheClass {
        name,
        uncacheable: reader.flag(&section, "uncacheable", false),
        fresh_for_us: reader.duration_us(&section, "fresh_ms", 0.0, 0.0, 1e9),
        mean_send_time_us: reader.duration_us(&section, "mean_ms", 50.0, 0.01, 1e6),
    }
}

fn read_store(reader: &mut Reader, role: Role) -> Option<StoreSettings> {
    const SECTION: &str = "store";
    let path = reader.path(SECTION, "path");
    let store = StoreSettings {
        path: path.clone().unwrap_or_default(),
        capacity_bytes: (reader.number(SECTION, "capacity_mb", 1_024.0, 0.01, 1e9) * BYTES_PER_MB)
            as u64,
        segment_bytes: (reader.number(SECTION, "segment_mb", 64.0, 0.01, 2_048.0) * BYTES_PER_MB)
            as u32,
        block_bytes: (reader.number(SECTION, "block_kb", 64.0, 1.0, 1_024.0) * BYTES_PER_KB) as u32,
        memory_bytes: (reader.number(SECTION, "memory_mb", 64.0, 0.0, 1e7) * BYTES_PER_MB) as u64,
        warm_share: reader.number(SECTION, "warm_share", 0.2, 0.0, 1.0),
        sync_us: reader.duration_us(SECTION, "sync_ms", 1_000.0, 1.0, 600_000.0),
    };
    if store.capacity_bytes < MIN_SEGMENTS * u64::from(store.segment_bytes) {
        let reason = "must hold at least six segments (segment_mb)";
        reader.report(SECTION, "capacity_mb", reason);
    }
    if store.block_bytes > store.segment_bytes / MIN_BLOCKS_PER_SEGMENT {
        let reason = "must be at most a quarter of a segment (segment_mb)";
        reader.report(SECTION, "block_kb", reason);
    }
    if path.is_none() && role != Role::Origin {
        let reason = "missing; required for the roles cache and parent";
        reader.report(SECTION, "path", reason);
    }
    path.map(|_| store)
}

fn read_address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    let expected = "an address and port, such as 127.0.0.1:9000";
    reader.optional(section, key, expected)
}
