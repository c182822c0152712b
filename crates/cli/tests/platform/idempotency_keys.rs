//! Requests with an idempotency key: what their final response promises after an attempt that may have run.
use crate::support::*;
use std::time::Duration;

/// The window of a key in the settings of these tests, short enough to wait for its end.
const KEY_WINDOW: Duration = Duration::from_millis(300);
const KEY_WINDOW_SETTING: (&str, &str) = ("\"KeyTtlMs\":2000.0", "\"KeyTtlMs\":300.0");
/// Time after which a request is answered at the latest, also if the dispatcher ends.
const LONG_TIMEOUT_FIELD: (&str, &str) = ("HTTP_X_TTL_MS", "4900");

/// A dispatcher with an origin whose every byte the test writes, and a cache that serves pages.
struct KeyedPlatform {
    dispatcher: DispatcherProcess,
    origin: ManualCacheHost,
    connections: Vec<CacheHostConnection>,
    _discovery: DiscoveryServer,
    _cache: ScriptedCacheHost,
}

impl KeyedPlatform {
    async fn start() -> Self {
        let discovery = DiscoveryServer::start().await;
        let origin = ManualCacheHost::start().await;
        let cache = ScriptedCacheHost::start_serving("good").await;
        let endpoints = [
            endpoint_entry("s-1", cache.address, "box", "Ready"),
            endpoint_entry("o-1", origin.address, "origin", "Ready"),
        ];
        let dispatcher = DispatcherProcess::start_with_replacements(
            discovery.address,
            &endpoints,
            &[KEY_WINDOW_SETTING],
        )
        .await;
        Self {
            dispatcher,
            origin,
            connections: Vec::new(),
            _discovery: discovery,
            _cache: cache,
        }
    }

    /// Sends a write with the key of these tests, and waits until the origin has received it.
    async fn submit(&mut self, client: &mut FastCgiClient) -> CacheHostConnection {
        self.send_write(client).await;
        let (line, connection) = self.origin.next_cache_request(&mut self.connections).await;
        assert!(line.contains(IDEMPOTENCY_KEY), "{line}");
        connection
    }

    async fn send_write(&self, client: &mut FastCgiClient) {
        let fields = [IDEMPOTENCY_KEY_FIELD, LONG_TIMEOUT_FIELD];
        client
            .send_request(1, "/ops/submit", &fields, b"body")
            .await;
    }
}

/// Guards against a refusal, which says that a retry is harmless, for a write that has run and whose key the origin has
/// forgotten.
#[tokio::test]
async fn write_whose_connection_is_reset_after_the_key_window_is_not_refused() {
    let mut platform = KeyedPlatform::start().await;
    let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
    let connection = platform.submit(&mut client).await;
    tokio::time::sleep(KEY_WINDOW).await;
    connection.reset();
    let response = client.response(1).await;
    assert_eq!(response.status, 502, "{response:?}");
}

/// As above, for a write that is in flight when the dispatcher shuts down.
#[tokio::test]
async fn write_in_flight_at_shutdown_is_not_refused() {
    let mut platform = KeyedPlatform::start().await;
    let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
    let connection = platform.submit(&mut client).await;
    platform.connections.push(connection);
    platform.dispatcher.signal("-TERM");
    // Meanwhile the origin answers health checks.
    let response = tokio::select! {
        response = client.response(1) => response,
        (line, _) = platform.origin.next_cache_request(&mut platform.connections) => panic!("{line}"),
    };
    assert_eq!(response.status, 502, "{response:?}");
}

/// Guards against a second run of a key, and a refusal of it, when the client has gone and comes back after the window.
#[tokio::test]
async fn key_of_a_client_that_has_gone_is_neither_sent_again_nor_refused() {
    let mut platform = KeyedPlatform::start().await;
    let mut gone = FastCgiClient::connect(platform.dispatcher.address).await;
    let connection = platform.submit(&mut gone).await;
    platform.connections.push(connection);
    gone.abort(1).await;
    tokio::time::sleep(KEY_WINDOW).await;
    let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
    platform.send_write(&mut client).await;
    let response = tokio::select! {
        response = client.response(1) => response,
        (line, _) = platform.origin.next_cache_request(&mut platform.connections) => panic!("{line}"),
    };
    assert_eq!(response.status, 502, "{response:?}");
}
