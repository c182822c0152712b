//! The `[listen]` section: listeners and the limits of client connections.
use super::network_quota::{self, NetworkQuota};
use super::{HOUR_MS, MINUTE_MS};
use crate::reader::Reader;
use std::net::SocketAddr;

const SECTION: &str = "listen";
const MAX_CONNECTIONS: usize = 10_000_000;
const TEN_MINUTES_MS: f64 = 10.0 * MINUTE_MS;

/// Listeners of a dispatcher, at least one of which is for clients, and the limits of client connections. Port 0 stands
/// for any free port.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    /// Address of the listener for HTTP/1.1.
    pub http: Option<SocketAddr>,
    /// Address of the listener for the framed protocol.
    pub framed: Option<SocketAddr>,
    /// Address of the listener for HTTP/1.1 over TLS.
    pub https: Option<SocketAddr>,
    /// Address of the listener for the framed protocol over TLS.
    pub framed_tls: Option<SocketAddr>,
    /// Address of the listener for endpoint lists, purges and operators' queries.
    pub control: Option<SocketAddr>,
    /// Address of the listener for metrics in text format.
    pub metrics: Option<SocketAddr>,
    /// Maximum number of open client connections.
    pub max_connections: usize,
    /// Number of connections above which idle ones are closed, the longest idle first.
    pub soft_connections: usize,
    /// Maximum number of open connections from one client address.
    pub address_connections: usize,
    /// Maximum number of open streams on a connection.
    pub max_streams: usize,
    /// Time in microseconds after which a connection without a request in flight is closed.
    pub idle_timeout_us: u64,
    /// Time in microseconds within which the head of a request must be complete.
    pub head_timeout_us: u64,
    /// Maximum time in microseconds that a draining dispatcher waits for responses in flight.
    pub drain_timeout_us: u64,
    /// Minimum reading rate of a client in bytes per second, measured over a window in which data is waiting for the
    /// client. A slower client is disconnected.
    pub min_client_bytes_per_s: u64,
    /// Length in microseconds of the window over which the reading rate of a client is measured.
    pub pace_window_us: u64,
    /// Time in microseconds without a frame from a client that renews leases, after which its requests are cancelled.
    pub client_lease_us: u64,
    /// Connection quotas of client networks.
    pub network_quotas: Vec<NetworkQuota>,
}

/// Addresses of the listeners.
struct Listeners {
    http: Option<SocketAddr>,
    framed: Option<SocketAddr>,
    https: Option<SocketAddr>,
    framed_tls: Option<SocketAddr>,
    control: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
}

pub(super) fn read(reader: &mut Reader) -> ListenSettings {
    let listeners = read_listeners(reader);
    let max_connections = reader.number(SECTION, "max_connections", 10_000, 1, MAX_CONNECTIONS);
    let soft_connections = read_soft_connections(reader, max_connections);
    let address_connections = reader.number(
        SECTION,
        "address_connections",
        max_connections,
        1,
        MAX_CONNECTIONS,
    );
    let network_quotas = network_quota::read(reader, max_connections);
    ListenSettings {
        http: listeners.http,
        framed: listeners.framed,
        https: listeners.https,
        framed_tls: listeners.framed_tls,
        control: listeners.control,
        metrics: listeners.metrics,
        max_connections,
        soft_connections,
        address_connections,
        max_streams: reader.number(SECTION, "max_streams", 256, 1, 100_000),
        idle_timeout_us: reader.duration_us(SECTION, "idle_ms", MINUTE_MS, 10.0, HOUR_MS),
        head_timeout_us: reader.duration_us(
            SECTION,
            "head_timeout_ms",
            5_000.0,
            10.0,
            TEN_MINUTES_MS,
        ),
        drain_timeout_us: reader.duration_us(SECTION, "drain_ms", 10_000.0, 0.0, TEN_MINUTES_MS),
        min_client_bytes_per_s: read_min_pace(reader),
        pace_window_us: reader.duration_us(
            SECTION,
            "pace_window_ms",
            15_000.0,
            100.0,
            TEN_MINUTES_MS,
        ),
        client_lease_us: reader.duration_us(SECTION, "client_lease_ms", 400.0, 20.0, MINUTE_MS),
        network_quotas,
    }
}

fn read_listeners(reader: &mut Reader) -> Listeners {
    const EXPECTED: &str = "an address and port, such as 127.0.0.1:8080";
    let mut address = |key: &str| reader.optional(SECTION, key, EXPECTED);
    let listeners = Listeners {
        http: address("http"),
        framed: address("framed"),
        https: address("https"),
        framed_tls: address("framed_tls"),
        control: address("control"),
        metrics: address("metrics"),
    };
    let client_listeners = [
        listeners.http,
        listeners.framed,
        listeners.https,
        listeners.framed_tls,
    ];
    if client_listeners.iter().all(Option::is_none) {
        let reason = "no listener for clients; set http, framed, https or framed_tls";
        reader.report(SECTION, "", reason);
    }
    listeners
}

fn read_soft_connections(reader: &mut Reader, max_connections: usize) -> usize {
    let default = (max_connections - max_connections / 10).max(1);
    let soft = reader.number(SECTION, "soft_connections", default, 1, MAX_CONNECTIONS);
    if soft > max_connections {
        reader.report(SECTION, "soft_connections", "greater than max_connections");
    }
    soft
}

fn read_min_pace(reader: &mut Reader) -> u64 {
    let kb_per_s = reader.number(SECTION, "least_pace_kb_per_s", 1.0, 0.0, 1e6);
    (kb_per_s * 1024.0) as u64
}
