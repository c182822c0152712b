//! Changes while a request waits for its connection to a cache host. A request is forwarded according to the
//! state at the time when its first byte is written.
use crate::support::*;
use std::time::Duration;

/// Replacement that raises the connect time-out from 400 ms to 5 s.
const LONG_CONNECT_TIMEOUT: (&str, &str) = ("\"DialTimeoutMs\":400.0", "\"DialTimeoutMs\":5000.0");
/// Replacement that lets write requests run at most once, with or without an idempotency key.
const AT_MOST_ONCE: (&str, &str) = ("deduplicated", "at_most_once");

/// A request that waits for its connection to a cache host, and the processes around it.
pub struct WaitingRequest {
    pub cache: UnresponsiveCacheHost,
    pub dispatcher: DispatcherProcess,
    pub discovery: DiscoveryServer,
    pub stream: DiscoveryStream,
    /// Client whose request 1 waits.
    pub client: FastCgiClient,
}

impl WaitingRequest {
    /// Starts all processes and sends a request for a page with these fields.
    pub async fn start(fields: &[(&str, &str)]) -> Self {
        let mut discovery = DiscoveryServer::start().await;
        let cache = UnresponsiveCacheHost::start().await;
        let origin = ScriptedCacheHost::start_serving("good").await;
        let endpoints = [
            endpoint_entry("s-1", cache.address, "box", "Ready"),
            endpoint_entry("o-1", origin.address, "origin", "Ready"),
        ];
        let dispatcher = DispatcherProcess::start_with_replacements(
            discovery.address,
            &endpoints,
            &[LONG_CONNECT_TIMEOUT],
        )
        .await;
        let stream = discovery.next_poll().await;
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        client.request_page(1, fields).await;
        // Once request 2 is answered, the endpoint of request 1 has been selected.
        client
            .send_request(2, "/ops/submit", &[IDEMPOTENCY_KEY_FIELD], b"x")
            .await;
        assert_eq!(client.response(2).await.status, 200);
        Self {
            cache,
            dispatcher,
            discovery,
            stream,
            client,
        }
    }
}

/// Lets the cache host accept connections, shuts the dispatcher down, and returns what the cache host received.
pub async fn received_until_shutdown(
    cache: UnresponsiveCacheHost,
    dispatcher: DispatcherProcess,
    clients: Vec<FastCgiClient>,
) -> String {
    let cache = cache.accept_connections();
    // The connection that filled the accept queue comes first.
    let queued = cache.accept().await;
    let connection = cache.accept().await;
    dispatcher.signal("-TERM");
    drop(clients);
    assert_eq!(dispatcher.wait_for_exit().await, 0);
    drop(queued);
    connection.read_to_close().await
}

/// Publishes revision 2 and waits until it is applied. It announces a new endpoint that serves `other`, along
/// with further entries of the endpoint list and further content.
pub async fn announce_endpoint(
    discovery: &mut DiscoveryServer,
    stream: DiscoveryStream,
    further_content: &str,
    further_entries: &[String],
) -> (ScriptedCacheHost, DiscoveryStream) {
    let endpoint = ScriptedCacheHost::start_serving("other").await;
    let mut entries = vec![endpoint_entry("s-2", endpoint.address, "box", "Ready")];
    entries.extend_from_slice(further_entries);
    let content = format!("{further_content}{}", endpoint_list(2, false, &entries));
    let stream = discovery.publish(stream, 2, &content).await;
    (endpoint, stream)
}

/// An endpoint starts to drain while the connection to it is being established.
#[tokio::test]
async fn endpoint_drained_during_connect_receives_no_request() {
    let mut waiting = WaitingRequest::start(&[TRANSACTION_FIELD]).await;
    let drained = endpoint_entry("s-1", waiting.cache.address, "box", "Terminating");
    let (_other, _stream) =
        announce_endpoint(&mut waiting.discovery, waiting.stream, "", &[drained]).await;
    let received = received_until_shutdown(waiting.cache, waiting.dispatcher, Vec::new()).await;
    assert!(!received.contains("PULL"), "{received}");
    let response = waiting.client.response(1).await;
    assert_eq!(
        response.body, b"other",
        "the request was not forwarded to the other endpoint"
    );
}

/// A purge arrives, with an endpoint list in the same event, while the connection is being established. The
/// cache request carries the age limit and the remaining time at the moment when its first byte is written.
#[tokio::test]
async fn purge_and_time_left_are_those_of_the_first_byte() {
    let object = ("HTTP_X_ROW", "00000000000000aa");
    let long_deadline = ("HTTP_X_TTL_MS", "5000");
    let mut waiting = WaitingRequest::start(&[TRANSACTION_FIELD, object, long_deadline]).await;
    let purge_content = purge(object.1, unix_ms()) + ",";
    let (_other, _stream) =
        announce_endpoint(&mut waiting.discovery, waiting.stream, &purge_content, &[]).await;
    let cache = waiting.cache.accept_connections();
    let mut connections = Vec::new();
    let (cache_request, mut connection) = loop {
        let (cache_request, connection) = cache.next_cache_request(&mut connections).await;
        if transaction_id(&cache_request) == TRANSACTION_FIELD.1 {
            break (cache_request, connection);
        }
        connections.push(connection);
    };
    assert!(
        number_in(&cache_request, "cap=") < 12_000,
        "accepts a copy from before the purge: {cache_request}"
    );
    assert!(
        number_in(&cache_request, "ms=") < 4_900,
        "the time spent on the connection is not deducted: {cache_request}"
    );
    connection
        .send(&served_reply(TRANSACTION_FIELD.1, "late"))
        .await;
    assert_eq!(waiting.client.response(1).await.body, b"late");
}

/// A request that must not run twice and that never got a connection was not sent. At its deadline it is
/// rejected (503) and does not count as failed (502).
#[tokio::test]
async fn request_never_sent_is_rejected_at_its_deadline() {
    let discovery = DiscoveryServer::start().await;
    let origin = UnresponsiveCacheHost::start().await;
    let endpoints = [endpoint_entry("o-1", origin.address, "origin", "Ready")];
    let dispatcher = DispatcherProcess::start_with_replacements(
        discovery.address,
        &endpoints,
        &[LONG_CONNECT_TIMEOUT, AT_MOST_ONCE],
    )
    .await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client
        .send_request(1, "/ops/submit", &[("HTTP_X_TTL_MS", "400")], b"x")
        .await;
    let response = client.response(1).await;
    assert_eq!(response.status, 503, "{response:?}");
    let received = received_until_shutdown(origin, dispatcher, vec![client]).await;
    assert!(!received.contains("PULL"), "{received}");
}

/// A request with an idempotency key may have run, and its second attempt gets a connection only after the key
/// has expired. The request is not sent again, and it fails: a rejection would say that a retry is harmless.
#[tokio::test]
async fn retry_is_not_sent_after_the_idempotency_window() {
    let discovery = DiscoveryServer::start().await;
    let origin = ManualCacheHost::start().await;
    let parent = UnresponsiveCacheHost::start().await;
    let endpoints = [
        endpoint_entry("o-1", origin.address, "origin", "Ready"),
        endpoint_entry("p-1", parent.address, "parent", "Ready"),
    ];
    let dispatcher = DispatcherProcess::start_with_replacements(
        discovery.address,
        &endpoints,
        &[LONG_CONNECT_TIMEOUT],
    )
    .await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let mut connections = Vec::new();
    client
        .send_request(
            1,
            "/ops/submit",
            &[IDEMPOTENCY_KEY_FIELD, ("HTTP_X_TTL_MS", "5000")],
            b"x",
        )
        .await;
    let (_, first_attempt) = origin.next_cache_request(&mut connections).await;
    let key_expiry = tokio::time::sleep(Duration::from_millis(2_000));
    // The next attempt goes to the parent, where no connection is established.
    drop(first_attempt);
    drop(connections);
    key_expiry.await;
    let parent = parent.accept_connections();
    let mut parent_connections = Vec::new();
    tokio::select! {
        response = client.response(1) => assert_eq!(response.status, 502, "{response:?}"),
        (cache_request, _) = parent.next_cache_request(&mut parent_connections) => {
            panic!("sent again after the idempotency window: {cache_request}")
        }
    }
}
