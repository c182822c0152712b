//! Clients that send malformed or invalid input, or no input at all.
use crate::support::*;
use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Size of the header of a FastCGI record, which is all of a record without content.
const RECORD_HEADER_BYTES: usize = 8;
/// Content size of a large record, close to the maximum of 65535 bytes.
const LARGE_RECORD_BYTES: usize = 60_000;
const LARGE_RECORDS: usize = 8;

/// Returns inputs that are not a valid request: bytes that are not a record, requests that are too long or never
/// complete, and requests with invalid fields.
fn invalid_inputs() -> Vec<BytesMut> {
    let page_with = |field| fastcgi_request(1, "/ops/page", &[field], b"");
    let mut endless_params = begin_request_record(1);
    add_large_records(&mut endless_params, PARAMS, 1);
    let mut endless_body = fastcgi_request(1, "/ops/submit", &[IDEMPOTENCY_KEY_FIELD], b"x");
    endless_body.truncate(endless_body.len() - RECORD_HEADER_BYTES);
    add_large_records(&mut endless_body, STDIN, 1);
    let mut begun_twice = begin_request_record(1);
    begun_twice.extend(begin_request_record(1));
    let incomplete = begin_request_record(1);
    vec![
        BytesMut::from(&b"GET / HTTP/1.1\r\n\r\n"[..]),
        BytesMut::from(&[0xff; 300][..]),
        endless_params,
        endless_body,
        begun_twice,
        incomplete,
        BytesMut::new(),
        fastcgi_request(1, "/ops/none", &[], b""),
        fastcgi_request(1, "/ops/page", &[], b"a body"),
        page_with(("HTTP_X_TTL_MS", "-1")),
        page_with(("HTTP_X_TTL_MS", "99999999999")),
        page_with(("HTTP_X_TXN", "not hex at all!!")),
        page_with(("HTTP_X_ROW", "x y\r\nKILL z")),
        page_with(("HTTP_X_BATCH", "300")),
        page_with(("CONTENT_LENGTH", "-7")),
    ]
}

/// Adds records of about half a megabyte in total, more than any request may have.
fn add_large_records(out: &mut BytesMut, kind: u8, id: u16) {
    for _ in 0..LARGE_RECORDS {
        write_record(out, kind, id, &[b'x'; LARGE_RECORD_BYTES]);
    }
}

/// Each invalid input gets an error response or its connection is closed. None is served or forwarded, and
/// another client is served meanwhile.
#[tokio::test]
async fn invalid_requests_are_rejected_without_effect_on_other_clients() {
    let mut platform = TwoEndpointPlatform::start(|id, _| served_reply(id, "good")).await;
    let mut other_client = FastCgiClient::connect(platform.dispatcher.address).await;
    for (n, bytes) in invalid_inputs().into_iter().enumerate() {
        let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
        // The dispatcher may close the connection before all input is written.
        let _ = client.writer.write_all(&bytes).await;
        if let Some(response) = client.response_or_close(1).await {
            assert!(response.status != 200, "case {n}: {response:?}");
        }
        other_client.request_page(1, &[]).await;
        assert_eq!(other_client.response(1).await.body, b"good", "case {n}");
        platform.cache.next_message("PULL").await;
        assert!(
            platform.cache.received.try_recv().is_err(),
            "case {n}: an invalid request was forwarded"
        );
    }
    // A second request has the transaction id of an open one and another object: it is rejected, and the first
    // request is not affected.
    let transaction = ("HTTP_X_TXN", "9b1f03aa5c7e2dff");
    let both = [
        fastcgi_request(1, "/ops/page", &[transaction], b""),
        fastcgi_request(
            2,
            "/ops/page",
            &[transaction, ("HTTP_X_ROW", "cccccccccccccccc")],
            b"",
        ),
    ];
    other_client.writer.write_all(&both.concat()).await.unwrap();
    assert_eq!(other_client.response(2).await.status, 400);
    assert_eq!(other_client.response(1).await.status, 200);
}

/// More idle connections are opened than the dispatcher has capacity for. Each is closed, and another client is
/// served meanwhile.
#[tokio::test]
async fn idle_connections_beyond_the_capacity_are_closed() {
    let platform = TwoEndpointPlatform::start(|id, _| served_reply(id, "good")).await;
    let mut idle_clients = Vec::new();
    for n in 0..150 {
        idle_clients.push(FastCgiClient::connect(platform.dispatcher.address).await);
        if n % 30 == 0 {
            let mut other_client = FastCgiClient::connect(platform.dispatcher.address).await;
            other_client.request_page(1, &[]).await;
            // The dispatcher may close this connection to admit another; a web server would connect again.
            if let Some(response) = other_client.response_or_close(1).await {
                assert_eq!(response.body, b"good");
            }
        }
    }
    for client in &mut idle_clients {
        assert!(client.response_or_close(1).await.is_none());
    }
    let mut other_client = FastCgiClient::connect(platform.dispatcher.address).await;
    other_client.request_page(1, &[]).await;
    assert_eq!(other_client.response(1).await.body, b"good");
}

/// Input after which the dispatcher reads no more from a client's connection and closes it.
struct UnreadableInput {
    name: &'static str,
    bytes: BytesMut,
}

/// Returns bytes that are not a record, and records that the protocol does not allow in their place.
fn unreadable_inputs() -> [UnreadableInput; 5] {
    let mut records_of_no_request = BytesMut::new();
    add_large_records(&mut records_of_no_request, STDIN, 77);
    [
        UnreadableInput {
            name: "bytes that are not a record",
            bytes: BytesMut::from(&[0xff; 64][..]),
        },
        UnreadableInput {
            name: "an HTTP head",
            bytes: BytesMut::from(&b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"[..]),
        },
        UnreadableInput {
            name: "a request with the id of an open one",
            bytes: begin_request_record(1),
        },
        UnreadableInput {
            name: "a request without an id",
            bytes: begin_request_record(0),
        },
        UnreadableInput {
            name: "large records for a request that is not open",
            bytes: records_of_no_request,
        },
    ]
}

/// Requests that were complete before the unreadable bytes are answered; bytes after the unreadable ones are
/// not read.
#[tokio::test]
async fn requests_before_unreadable_bytes_are_answered() {
    let discovery = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut connections = Vec::new();
    for UnreadableInput { name, bytes } in unreadable_inputs() {
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        client.request_page(1, &[TRANSACTION_FIELD]).await;
        let (cache_request, mut connection) = cache.next_cache_request(&mut connections).await;
        let behind = fastcgi_request(9, "/ops/page", &[("HTTP_X_ROW", "00000000000000ee")], b"");
        let input = [bytes, behind].concat();
        client.writer.write_all(&input).await.unwrap();
        tokio::time::sleep(Duration::from_millis(150)).await;
        connection.serve(&cache_request, "good").await;
        let response = client
            .response_or_close(1)
            .await
            .unwrap_or_else(|| panic!("{name}: closed without a response"));
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, &b"good"[..]),
            "{name}"
        );
        assert!(
            client.response_or_close(9).await.is_none(),
            "{name}: a request after the unreadable bytes was answered"
        );
        connections.push(connection);
        // If the request after the unreadable bytes had been forwarded, it would arrive before this one.
        let mut other_client = FastCgiClient::connect(dispatcher.address).await;
        other_client.request_page(1, &[]).await;
        let (cache_request, mut connection) = cache.next_cache_request(&mut connections).await;
        assert!(
            !cache_request.contains("00000000000000ee"),
            "{name}: {cache_request}"
        );
        connection.serve(&cache_request, "usual").await;
        assert_eq!(other_client.response(1).await.body, b"usual", "{name}");
        connections.push(connection);
    }
}

/// The close of a client's connection is detected also after unreadable bytes: its open requests are cancelled
/// at the cache host.
#[tokio::test]
async fn client_close_after_unreadable_bytes_cancels_its_requests() {
    let discovery = DiscoveryServer::start().await;
    let mut cache = ScriptedCacheHost::start(silent_for_object_a).await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    for UnreadableInput { name, bytes } in unreadable_inputs() {
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        client
            .request_page(1, &[TRANSACTION_FIELD, OBJECT_A_FIELD])
            .await;
        cache
            .next_message(&format!("PULL {}", TRANSACTION_FIELD.1))
            .await;
        client.writer.write_all(&bytes).await.unwrap();
        assert_eq!(dispatcher.health_status().await, 200, "{name}");
        drop(client);
        cache
            .next_message(&format!("KILL {}", TRANSACTION_FIELD.1))
            .await;
    }
}

/// Valid requests are answered before their connection is closed for invalid requests, and also when another
/// request on the connection never completes.
#[tokio::test]
async fn valid_requests_are_answered_before_their_connection_is_closed() {
    let discovery = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut connections = Vec::new();
    assert_answered_before_close_for_invalid_requests(&dispatcher, &cache, &mut connections).await;
    assert_answered_beside_an_incomplete_request(&dispatcher, &cache, &mut connections).await;
}

/// A connection is closed for many invalid requests, after its valid request was answered.
async fn assert_answered_before_close_for_invalid_requests(
    dispatcher: &DispatcherProcess,
    cache: &ManualCacheHost,
    connections: &mut Vec<CacheHostConnection>,
) {
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client.request_page(1, &[]).await;
    let (cache_request, mut connection) = cache.next_cache_request(connections).await;
    for id in 2..=20 {
        client.send_request(id, "/ops/none", &[], b"").await;
    }
    assert_eq!(client.response(2).await.status, 400);
    // The dispatcher has read all requests once it answers on a new connection.
    assert_eq!(dispatcher.health_status().await, 200);
    connection.serve(&cache_request, "good").await;
    connections.push(connection);
    assert_eq!(client.response(1).await.body, b"good");
    assert!(
        client.response_or_close(99).await.is_none(),
        "the connection was not closed after the last response"
    );
}

/// A request is answered although another request on its connection never completes.
async fn assert_answered_beside_an_incomplete_request(
    dispatcher: &DispatcherProcess,
    cache: &ManualCacheHost,
    connections: &mut Vec<CacheHostConnection>,
) {
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client.request_page(1, &[]).await;
    let (cache_request, connection) = cache.next_cache_request(connections).await;
    connections.push(connection);
    let incomplete = begin_request_record(2);
    client.writer.write_all(&incomplete).await.unwrap();
    // Meanwhile the cache host answers health checks.
    let timed_out = tokio::select! {
        response = client.response(2) => response,
        (cache_request, _) = cache.next_cache_request(connections) => panic!("{cache_request}"),
    };
    assert_eq!(
        timed_out.status, 400,
        "the incomplete request was not rejected"
    );
    for connection in connections {
        connection.serve(&cache_request, "good").await;
    }
    assert_eq!(client.response(1).await.body, b"good");
}

/// The dispatcher is stopped for longer than its time-out for the first request of a connection. Requests that
/// were sent meanwhile count as arrived in time.
#[tokio::test]
async fn requests_that_arrive_during_a_pause_beyond_the_head_timeout_are_answered() {
    const PAUSE: Duration = Duration::from_millis(2_500);
    const CLIENTS: usize = 40;
    let platform = TwoEndpointPlatform::start(|id, _| served_reply(id, "good")).await;
    let dispatcher = &platform.dispatcher;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(FastCgiClient::connect(dispatcher.address).await);
    }
    // All connections have been accepted once this one is answered.
    assert_eq!(dispatcher.health_status().await, 200);
    dispatcher.signal("-STOP");
    for client in &mut clients {
        client.request_page(1, &[]).await;
    }
    tokio::time::sleep(PAUSE).await;
    dispatcher.signal("-CONT");
    for (n, client) in clients.iter_mut().enumerate() {
        let response = client.response_or_close(1).await;
        let response = response.unwrap_or_else(|| panic!("client {n}: closed without a response"));
        assert!(
            matches!(response.status, 200 | 503),
            "client {n}: {response:?}"
        );
    }
}

/// Guards against floods of records that belong to no request: input that never pauses must not keep a connection open.
#[tokio::test]
async fn floods_of_records_of_no_request_are_ended_and_others_are_served() {
    const FLOODING_CLIENTS: usize = 20;
    const RECORDS_PER_WRITE: usize = 512;
    let platform = TwoEndpointPlatform::start(|id, _| served_reply(id, "good")).await;
    let address = platform.dispatcher.address;
    let records = [
        abort_record(77),
        fastcgi_record(GET_VALUES, 0),
        fastcgi_record(STDIN, 77),
        fastcgi_record(99, 0),
    ];
    let mut floods = Vec::new();
    for n in 0..FLOODING_CLIENTS {
        let bytes = records[n % records.len()].repeat(RECORDS_PER_WRITE);
        floods.push(tokio::spawn(async move {
            let FastCgiClient { mut writer, .. } = FastCgiClient::connect(address).await;
            let flood = async { while writer.write_all(&bytes).await.is_ok() {} };
            timeout(TEST_TIMEOUT, flood)
                .await
                .expect("the connection of a flooding client was not closed in time");
        }));
    }
    let mut other_client = FastCgiClient::connect(address).await;
    while floods.iter().any(|flood| !flood.is_finished()) {
        other_client.request_page(1, &[]).await;
        assert_eq!(other_client.response(1).await.body, b"good");
    }
    for flood in floods {
        flood.await.unwrap();
    }
}

/// Returns a record without content.
fn fastcgi_record(record_type: u8, id: u16) -> BytesMut {
    let mut out = BytesMut::new();
    write_record(&mut out, record_type, id, &[]);
    out
}
