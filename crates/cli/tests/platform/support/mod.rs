//! A small platform around one dispatcher process: cache hosts, a discovery server and a FastCGI client,
//! written from the protocol's description, and the means to start, observe and disturb the process.
mod configuration;
mod discovery_server;
mod dispatcher_process;
mod fastcgi_client;
mod holding_cache_host;
mod injected_faults;
mod manual_cache_host;
mod scripted_cache_host;
mod two_endpoint_platform;

pub use configuration::{configuration, with_known, with_replacements};
pub use configuration::{discovery_event, endpoint_entry, endpoint_list, purge};
pub use discovery_server::{DiscoveryServer, DiscoveryStream};
pub use dispatcher_process::DispatcherProcess;
pub use fastcgi_client::{abort_record, begin_request_record, fastcgi_request};
pub use fastcgi_client::{FastCgiClient, Response};
pub use holding_cache_host::HoldingCacheHost;
pub use injected_faults::{errno, InjectedFaults, SystemCall};
pub use manual_cache_host::{CacheHostConnection, ManualCacheHost, UnresponsiveCacheHost};
pub use scripted_cache_host::{healthy_reply, overloaded_reply, served_reply, silent_for_object_a};
pub use scripted_cache_host::{start_untracked_cache_host, ScriptedCacheHost};
pub use two_endpoint_platform::TwoEndpointPlatform;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpSocket;

/// Maximum time that a test waits for a single step.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// The idempotency key of write requests.
pub const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
/// [`IDEMPOTENCY_KEY`] as a request field.
pub const IDEMPOTENCY_KEY_FIELD: (&str, &str) = ("HTTP_X_TXN_KEY", IDEMPOTENCY_KEY);
/// A request field with a transaction id, for tests that look for that id at the cache host.
pub const TRANSACTION_FIELD: (&str, &str) = ("HTTP_X_TXN", "9b1f03aa5c7e2d41");
/// The object for which [`silent_for_object_a`] never replies, as a request field.
pub const OBJECT_A_FIELD: (&str, &str) = ("HTTP_X_ROW", "aaaaaaaaaaaaaaaa");

/// A port without a listener on the addresses of [`unused_loopback_ip`].
const UNUSED_PORT: u16 = 9;

/// Returns a loopback address that no other test of this run uses.
pub fn unused_loopback_ip() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    let of_this_run = 32 + (std::process::id() % 64) as u8;
    Ipv4Addr::new(127, of_this_run, high, low).into()
}

/// Returns an address and port that no other test of this run uses. The probe binds the port and does not listen: a child
/// process that another test is starting holds a copy of a listening socket for a moment, and a connection that this copy
/// accepts is closed without a response.
pub fn unused_address() -> SocketAddr {
    let probe = TcpSocket::new_v4().unwrap();
    probe.set_reuseaddr(true).unwrap();
    probe.bind((unused_loopback_ip(), 0).into()).unwrap();
    probe.local_addr().unwrap()
}

/// Returns an address at which connections are refused.
pub fn refusing_address() -> SocketAddr {
    (unused_loopback_ip(), UNUSED_PORT).into()
}

/// Returns an object id spread over the hash space (the multiplier is 2^64 over the golden ratio).
pub fn spread_object(number: u64) -> String {
    let spread = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number + 1);
    format!("{spread:016x}")
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// Returns the transaction id of a cache request or a cancellation.
pub fn transaction_id(line: &str) -> &str {
    line.split(' ').nth(1).unwrap()
}

/// Returns a number in a cache request by its name with the equals sign (`ms=`, `cap=`).
pub fn number_in(cache_request: &str, name: &str) -> u64 {
    let value = cache_request
        .split([',', ' '])
        .find_map(|field| field.strip_prefix(name));
    value
        .unwrap_or_else(|| panic!("{name} in {cache_request}"))
        .parse()
        .unwrap()
}
