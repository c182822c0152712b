//! What a cache host's file may say.
use crate::members::Role;
use crate::reader::Reader;
use pointspindle::SlowStartRule;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A class of requests as a cache host needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheClass {
    pub name: String,
    /// Age from which a copy is old where the origin says nothing; 0: never.
    pub fresh_for_us: u64,
    /// Runs at the origin and is never kept.
    pub uncacheable: bool,
    /// Sending time of a usual answer, for the sharing out of a warm-up.
    pub mean_send_time_us: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    pub path: PathBuf,
    pub capacity: u64,
    pub segment: u32,
    pub block: u32,
    pub memory: u64,
    /// From this share of the capacity on a store that was left is warm: nothing has to be spared.
    pub warm_share: f64,
    /// Copies are on disk after this at the latest; purges at once.
    pub sync_us: u64,
}

/// An HTTP/1.1 origin.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginSettings {
    pub address: SocketAddr,
    /// What `Host` says; the address by default.
    pub host: String,
    pub connections: usize,
}

/// All of a cache host's settings.
#[derive(Clone, Debug)]
pub struct CacheHostSettings {
    pub name: String,
    pub role: Role,
    pub framed: SocketAddr,
    /// Purges and questions of operators.
    pub control: Option<SocketAddr>,
    pub max_connections: usize,
    pub max_streams: usize,
    /// Requests under way at once; more are turned away.
    pub max_requests: usize,
    pub drain_timeout_us: u64,
    /// None: nothing is kept, everything passes through.
    pub store: Option<StoreSettings>,
    pub origin: Option<OriginSettings>,
    pub max_fills: usize,
    pub fill_queue: usize,
    pub connect_timeout_us: u64,
    pub fill_timeout_us: u64,
    /// Longest wait of a fill for the slowest of those who read it.
    pub slow_reader_timeout_us: u64,
    /// Transfers at full pace that its link carries, and what it bears while it warms up.
    pub weight: f64,
    pub slow_start: SlowStartRule,
    pub classes: Vec<CacheClass>,
}

const MB: f64 = 1024.0 * 1024.0;

pub(crate) fn read(r: &mut Reader) -> Option<CacheHostSettings> {
    let name = r.value("cache", "name", "cache".to_owned(), "a name");
    let role = r.choice("cache", "role", Role::Cache, &Role::WORDS);
    let weight = r.number("cache", "weight", 50.0, 0.01, 1e6);
    let framed = r.required(
        "listen",
        "framed",
        SocketAddr::from(([127, 0, 0, 1], 0)),
        "an address and port",
    );
    let control = address(r, "listen", "control");
    let store = store(r, role);
    let origin = address(r, "origin", "address").map(|at| OriginSettings {
        address: at,
        host: r.value("origin", "host", at.to_string(), "a host's name"),
        connections: r.number("origin", "connections", 64, 1, 10_000),
    });
    if origin.is_none() && r.has("origin") {
        r.report("origin", "address", "missing, such as 127.0.0.1:9100");
    }
    if origin.is_none() && role == Role::Origin {
        r.report(
            "cache",
            "role",
            "origin: a gateway to an HTTP origin needs [origin] address",
        );
    }
    let mut classes = Vec::new();
    for class in r.named("class") {
        let s = format!("class {class}");
        let uncacheable = r.flag(&s, "uncacheable", false);
        classes.push(CacheClass {
            fresh_for_us: r.ms(&s, "fresh_ms", 0.0, 0.0, 1e9),
            uncacheable,
            mean_send_time_us: r.ms(&s, "mean_ms", 50.0, 0.01, 1e6),
            name: class,
        });
    }
    if classes.is_empty() {
        r.report("class NAME", "", "no class: at least one section is needed");
    }
    Some(CacheHostSettings {
        name,
        role,
        framed,
        control,
        max_connections: r.number("listen", "max_connections", 10_000, 1, 10_000_000),
        max_streams: r.number("listen", "max_streams", 1_024, 1, 100_000),
        max_requests: r.number("cache", "max_requests", 4_096, 1, 1_000_000),
        drain_timeout_us: r.ms("listen", "drain_ms", 10_000.0, 0.0, 600_000.0),
        store,
        origin,
        max_fills: r.number("fills", "places", 64, 1, 100_000),
        fill_queue: r.number("fills", "queue", 128, 0, 1_000_000),
        connect_timeout_us: r.ms("fills", "connect_timeout_ms", 250.0, 1.0, 60_000.0),
        fill_timeout_us: r.ms("fills", "timeout_ms", 10_000.0, 10.0, 3.6e6),
        slow_reader_timeout_us: r.ms("fills", "slow_ms", 5_000.0, 10.0, 600_000.0),
        weight,
        slow_start: crate::schema::cold(r, "cold"),
        classes,
    })
}

fn store(r: &mut Reader, role: Role) -> Option<StoreSettings> {
    let path = r
        .text("store", "path")
        .filter(|p| !p.is_empty())
        .map(PathBuf::from);
    let capacity = (r.number("store", "capacity_mb", 1_024.0, 0.01, 1e9) * MB) as u64;
    let segment = (r.number("store", "segment_mb", 64.0, 0.01, 2_048.0) * MB) as u32;
    let block = (r.number("store", "block_kb", 64.0, 1.0, 1_024.0) * 1024.0) as u32;
    let memory = (r.number("store", "memory_mb", 64.0, 0.0, 1e7) * MB) as u64;
    let warm_share = r.number("store", "warm_share", 0.2, 0.0, 1.0);
    let sync_us = r.ms("store", "sync_ms", 1_000.0, 1.0, 600_000.0);
    if capacity < 6 * u64::from(segment) {
        r.report("store", "capacity_mb", "at least six segments (segment_mb)");
    }
    if block > segment / 4 {
        r.report(
            "store",
            "block_kb",
            "at most a quarter of a segment (segment_mb)",
        );
    }
    let Some(path) = path else {
        if role != Role::Origin {
            r.report(
                "store",
                "path",
                "missing: a cache host or parent keeps copies",
            );
        }
        return None;
    };
    Some(StoreSettings {
        path,
        capacity,
        segment,
        block,
        memory,
        warm_share,
        sync_us,
    })
}

fn address(r: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    let text = r.text(section, key).filter(|t| !t.is_empty())?;
    let read = text.parse().ok();
    if read.is_none() {
        r.report(
            section,
            key,
            &format!("{text:?} is not an address and port, such as 127.0.0.1:9000"),
        );
    }
    read
}
