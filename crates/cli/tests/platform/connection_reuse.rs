//! Connections to cache hosts that are reused. No reply, close or address of an earlier request or endpoint is
//! attributed to a later one.
use crate::support::*;

/// A cache host closes an idle connection at the moment when a request that must not run twice is assigned to
/// it. No byte was sent, so the request goes over another connection.
#[tokio::test]
async fn connection_closed_while_idle_receives_no_request() {
    let discovery = DiscoveryServer::start().await;
    let origin = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("o-1", origin.address, "origin", "Ready")];
    let at_most_once = ("deduplicated", "at_most_once");
    let dispatcher =
        DispatcherProcess::start_with_replacements(discovery.address, &endpoints, &[at_most_once])
            .await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let mut connections = Vec::new();
    for round in 0..8 {
        client.send_request(1, "/ops/submit", &[], b"x").await;
        let (cache_request, mut connection) = origin.next_cache_request(&mut connections).await;
        connection.serve(&cache_request, "good").await;
        assert_eq!(client.response(1).await.status, 200, "round {round}");
        connections.push(connection);
        // When the dispatcher continues, it finds both at once: the close of all its connections and the request.
        dispatcher.signal("-STOP");
        connections.clear();
        client.send_request(2, "/ops/submit", &[], b"x").await;
        dispatcher.signal("-CONT");
        let (cache_request, mut connection) = origin.next_cache_request(&mut connections).await;
        connection.serve(&cache_request, "again").await;
        assert_eq!(client.response(2).await.body, b"again", "round {round}");
        connections.push(connection);
    }
}

/// A reply that never ends, to an aborted request, does not delay later requests.
#[tokio::test]
async fn unfinished_reply_delays_no_later_request() {
    let discovery = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let mut connections = Vec::new();
    client.request_page(1, &[]).await;
    let (cache_request, mut blocked) = cache.next_cache_request(&mut connections).await;
    let id = transaction_id(&cache_request);
    let unfinished = format!("{id} served rev=77aa,since=1764576000123,res=mem 200000\r\nand then");
    blocked.send(unfinished.as_bytes()).await;
    // The reply reaches the dispatcher's buffers before the abort.
    client.abort(1).await;
    // These requests are sent at once; each must arrive on another connection than the blocked one.
    for id in 1..=6 {
        client
            .request_page(id, &[("HTTP_X_ROW", &format!("{id:016x}"))])
            .await;
    }
    for _ in 1..=6 {
        let (cache_request, mut connection) = cache.next_cache_request(&mut connections).await;
        connection.serve(&cache_request, "good").await;
        connections.push(connection);
    }
    for id in 1..=6 {
        assert_eq!(client.response(id).await.body, b"good");
    }
    // The dispatcher closes the connection of the unfinished reply, and has sent only the cancellation on it.
    let received = blocked.read_to_close().await;
    assert!(
        received.starts_with("KILL") && !received.contains("PULL"),
        "{received}"
    );
}

/// A duplicate of a reply arrives while its transaction id is used again for another object. It is not taken for
/// the new reply.
#[tokio::test]
async fn duplicate_reply_is_not_taken_for_a_later_request_of_the_same_id() {
    let discovery = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let mut connections = Vec::new();
    client.request_page(1, &[TRANSACTION_FIELD]).await;
    let (_, mut first_connection) = cache.next_cache_request(&mut connections).await;
    first_connection
        .send(&served_reply(TRANSACTION_FIELD.1, "first"))
        .await;
    assert_eq!(client.response(1).await.body, b"first");
    let first_address = first_connection.peer_address();
    connections.push(first_connection);
    client
        .request_page(2, &[TRANSACTION_FIELD, ("HTTP_X_ROW", "00000000000000bb")])
        .await;
    let (_, mut connection) = cache.next_cache_request(&mut connections).await;
    if connection.peer_address() == first_address {
        connection
            .send(&served_reply(TRANSACTION_FIELD.1, "first"))
            .await;
    }
    connection
        .send(&served_reply(TRANSACTION_FIELD.1, "second"))
        .await;
    assert_eq!(client.response(2).await.body, b"second");
}

/// A new endpoint has the address of a removed one from which a reply is still outstanding. Each reply goes to
/// its own request.
#[tokio::test]
async fn new_endpoint_at_a_reused_address_gets_a_connection_of_its_own() {
    let mut discovery = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let stream = discovery.next_poll().await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client.request_page(1, &[TRANSACTION_FIELD]).await;
    let mut connections = Vec::new();
    let (_, mut old_connection) = cache.next_cache_request(&mut connections).await;
    let old_address = old_connection.peer_address();
    let entries = [
        endpoint_entry("s-1", cache.address, "box", "Gone"),
        endpoint_entry("s-9", cache.address, "box", "Ready"),
    ];
    discovery
        .publish(stream, 2, &endpoint_list(2, false, &entries))
        .await;
    client
        .request_page(2, &[("HTTP_X_ROW", "00000000000000bb")])
        .await;
    let (cache_request, mut new_connection) = cache.next_cache_request(&mut connections).await;
    assert_ne!(
        new_connection.peer_address(),
        old_address,
        "the new endpoint reuses the connection of the old one: {cache_request}"
    );
    old_connection
        .send(&served_reply(TRANSACTION_FIELD.1, "old"))
        .await;
    new_connection.serve(&cache_request, "new").await;
    assert_eq!(client.response(1).await.body, b"old");
    assert_eq!(client.response(2).await.body, b"new");
}
