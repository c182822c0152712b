//! Settings of a cache host.
use crate::endpoints::Role;
use crate::reader::Reader;
use crate::slow_start;
use pointspindle::SlowStartRule;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A request class as a cache host needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheClass {
    /// Name on the wire.
    pub name: String,
    /// Age from which a copy is stale where the origin gives none; 0: never.
    pub fresh_for_us: u64,
    /// Runs at the origin and is never cached.
    pub uncacheable: bool,
    /// Sending time of a typical response, for dividing capacity during slow start.
    pub mean_send_time_us: u64,
}

/// The store of copies on disk. Sizes in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Directory of the store.
    pub path: PathBuf,
    /// Space on disk; at least six segments.
    pub capacity: u64,
    /// Size of one segment file.
    pub segment: u32,
    /// Size of one block of a copy; at most a quarter of a segment.
    pub block: u32,
    /// Copies cached in memory.
    pub memory: u64,
    /// A recovered store filled to at least this share of its capacity needs no slow start.
    pub warm_share: f64,
    /// Longest time until a copy is on disk; purges are written at once.
    pub sync_us: u64,
}

/// An HTTP/1.1 origin.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginSettings {
    /// Address and port of the origin.
    pub address: SocketAddr,
    /// Value of the `Host` header; the address by default.
    pub host: String,
    /// Connections that may be open at once.
    pub connections: usize,
}

/// All settings of a cache host.
#[derive(Clone, Debug)]
pub struct CacheHostSettings {
    /// Name in logs.
    pub name: String,
    /// What the host serves as.
    pub role: Role,
    /// Listener of the framed protocol.
    pub framed: SocketAddr,
    /// Listener for purges and operators' queries.
    pub control: Option<SocketAddr>,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Streams that may be open at once on a connection.
    pub max_streams: usize,
    /// Requests in flight at once; more are rejected.
    pub max_requests: usize,
    /// Longest wait of a draining host for responses in flight.
    pub drain_timeout_us: u64,
    /// Where copies are cached; `None`: nothing is cached, everything passes through.
    pub store: Option<StoreSettings>,
    /// The HTTP origin behind a gateway.
    pub origin: Option<OriginSettings>,
    /// Fills that may run at once.
    pub max_fills: usize,
    /// Fills that may wait for one of those.
    pub fill_queue: usize,
    /// Longest wait for a connection to a source.
    pub connect_timeout_us: u64,
    /// Longest duration of a fill.
    pub fill_timeout_us: u64,
    /// Longest wait of a fill for its slowest reader.
    pub slow_reader_timeout_us: u64,
    /// Transfers at full pace that the host's link carries.
    pub weight: f64,
    /// Load that the host accepts while its cache is cold.
    pub slow_start: SlowStartRule,
    /// Request classes; at least one.
    pub classes: Vec<CacheClass>,
}

/// Segments that a store needs at least.
const MIN_SEGMENTS: u64 = 6;
const MIN_BLOCKS_PER_SEGMENT: u32 = 4;
const BYTES_PER_KB: f64 = 1024.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Reads every section of a cache host's file. Errors stay in the reader; the returned settings are valid only if there are
/// none.
pub(crate) fn read(reader: &mut Reader) -> CacheHostSettings {
    let name = reader.value("cache", "name", "cache".to_owned(), "a name");
    let role = reader.choice("cache", "role", Role::Cache, &Role::WORDS);
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
        drain_timeout_us: reader.ms("listen", "drain_ms", 10_000.0, 0.0, 600_000.0),
        store,
        origin,
        max_fills: reader.number("fills", "places", 64, 1, 100_000),
        fill_queue: reader.number("fills", "queue", 128, 0, 1_000_000),
        connect_timeout_us: reader.ms("fills", "connect_timeout_ms", 250.0, 1.0, 60_000.0),
        fill_timeout_us: reader.ms("fills", "timeout_ms", 10_000.0, 10.0, 3.6e6),
        slow_reader_timeout_us: reader.ms("fills", "slow_ms", 5_000.0, 10.0, 600_000.0),
        weight,
        slow_start: slow_start::read(reader, "cold"),
        classes,
    }
}

fn read_origin(reader: &mut Reader, role: Role) -> Option<OriginSettings> {
    let Some(address) = read_address(reader, "origin", "address") else {
        if reader.has("origin") {
            let reason = "missing, such as 127.0.0.1:9100";
            reader.report("origin", "address", reason);
        }
        if role == Role::Origin {
            let reason = "origin: a gateway to an HTTP origin needs [origin] address";
            reader.report("cache", "role", reason);
        }
        return None;
    };
    Some(OriginSettings {
        address,
        host: reader.value("origin", "host", address.to_string(), "a host's name"),
        connections: reader.number("origin", "connections", 64, 1, 10_000),
    })
}

fn read_classes(reader: &mut Reader) -> Vec<CacheClass> {
    let names = reader.named("class");
    if names.is_empty() {
        reader.report("class NAME", "", "no class: at least one section is needed");
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
        fresh_for_us: reader.ms(&section, "fresh_ms", 0.0, 0.0, 1e9),
        mean_send_time_us: reader.ms(&section, "mean_ms", 50.0, 0.01, 1e6),
    }
}

fn read_store(reader: &mut Reader, role: Role) -> Option<StoreSettings> {
    const SECTION: &str = "store";
    let path = reader.path(SECTION, "path");
    let store = StoreSettings {
        path: path.clone().unwrap_or_default(),
        capacity: (reader.number(SECTION, "capacity_mb", 1_024.0, 0.01, 1e9) * BYTES_PER_MB) as u64,
        segment: (reader.number(SECTION, "segment_mb", 64.0, 0.01, 2_048.0) * BYTES_PER_MB) as u32,
        block: (reader.number(SECTION, "block_kb", 64.0, 1.0, 1_024.0) * BYTES_PER_KB) as u32,
        memory: (reader.number(SECTION, "memory_mb", 64.0, 0.0, 1e7) * BYTES_PER_MB) as u64,
        warm_share: reader.number(SECTION, "warm_share", 0.2, 0.0, 1.0),
        sync_us: reader.ms(SECTION, "sync_ms", 1_000.0, 1.0, 600_000.0),
    };
    if store.capacity < MIN_SEGMENTS * u64::from(store.segment) {
        let reason = "at least six segments (segment_mb)";
        reader.report(SECTION, "capacity_mb", reason);
    }
    if store.block > store.segment / MIN_BLOCKS_PER_SEGMENT {
        let reason = "at most a quarter of a segment (segment_mb)";
        reader.report(SECTION, "block_kb", reason);
    }
    if path.is_none() && role != Role::Origin {
        let reason = "missing: a cache host or parent keeps copies";
        reader.report(SECTION, "path", reason);
    }
    path.map(|_| store)
}

fn read_address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    let expected = "an address and port, such as 127.0.0.1:9000";
    reader.optional(section, key, expected)
}
