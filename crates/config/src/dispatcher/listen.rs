//! The `[listen]` section: listeners and the limits of client connections.
use super::network_quota::{self, NetworkQuota};
use super::{HOUR_MS, MINUTE_MS};
use crate::reader::Reader;
use std::net::SocketAddr;

const SECTION: &str = "listen";
const MAX_CONNECTIONS: usize = 10_000_000;
const TEN_MINUTES_MS: f64 = 10.0 * MINUTE_MS;

/// Listeners of a dispatcher, of which at least one is for clients, and the limits of client connections. Port 0 stands for
/// any free port.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    /// HTTP/1.1 for clients.
    pub http: Option<SocketAddr>,
    /// The framed protocol for clients.
    pub framed: Option<SocketAddr>,
    /// HTTP/1.1 over TLS.
    pub https: Option<SocketAddr>,
    /// The framed protocol over TLS.
    pub framed_tls: Option<SocketAddr>,
    /// Endpoint lists, purges and operators' queries.
    pub control: Option<SocketAddr>,
    /// Metrics as text.
    pub metrics: Option<SocketAddr>,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Above this many, idle connections are closed, longest idle first.
    pub soft_connections: usize,
    /// Connections that one client address may have at once.
    pub address_connections: usize,
    /// Streams that may be open at once on a connection.
    pub max_streams: usize,
    /// A connection without a request in flight is closed after this.
    pub idle_timeout_us: u64,
    /// Longest time in which a request's head must be complete.
    pub head_timeout_us: u64,
    /// Longest wait of a draining dispatcher for responses in flight.
    pub drain_timeout_us: u64,
    /// A client that reads more slowly than this over a pace window, while data waits for it, is disconnected.
    pub min_client_bytes_per_s: u64,
    /// Length of the window over which a client's pace is measured.
    pub pace_window_us: u64,
    /// Requests of a client that renews leases are cancelled if it sends nothing for this long.
    pub client_lease_us: u64,
    /// Quotas of connections for networks of clients.
    pub network_quotas: Vec<NetworkQuota>,
}

/// The addresses of the listeners.
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
        idle_timeout_us: reader.ms(SECTION, "idle_ms", MINUTE_MS, 10.0, HOUR_MS),
        head_timeout_us: reader.ms(SECTION, "head_timeout_ms", 5_000.0, 10.0, TEN_MINUTES_MS),
        drain_timeout_us: reader.ms(SECTION, "drain_ms", 10_000.0, 0.0, TEN_MINUTES_MS),
        min_client_bytes_per_s: read_min_pace(reader),
        pace_window_us: reader.ms(SECTION, "pace_window_ms", 15_000.0, 100.0, TEN_MINUTES_MS),
        client_lease_us: reader.ms(SECTION, "client_lease_ms", 400.0, 20.0, MINUTE_MS),
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
        let reason = "neither http, framed, https nor framed_tls: no client could come";
        reader.report(SECTION, "", reason);
    }
    listeners
}

fn read_soft_connections(reader: &mut Reader, max_connections: usize) -> usize {
    let default = (max_connections - max_connections / 10).max(1);
    let soft = reader.number(SECTION, "soft_connections", default, 1, MAX_CONNECTIONS);
    if soft > max_connections {
        reader.report(SECTION, "soft_connections", "more than max_connections");
    }
    soft
}

fn read_min_pace(reader: &mut Reader) -> u64 {
    let kb_per_s = reader.number(SECTION, "least_pace_kb_per_s", 1.0, 0.0, 1e6);
    (kb_per_s * 1024.0) as u64
}
