//! Requests that are aborted, or whose client closes its connection, are cancelled at the cache host, and all of
//! their state is released.
use crate::connection_establishment::{received_until_shutdown, WaitingRequest};
use crate::support::*;
use bytes::BytesMut;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Maximum number of requests that may be open on one connection.
const MAX_OPEN_REQUESTS: u16 = 32;

/// Number of clients that abort their requests, or disconnect, at the same time.
const CLIENTS: usize = 8;

/// How a client ends its connection.
#[derive(Clone, Copy)]
enum ClientClose {
    Close,
    Reset,
    HalfClose,
}

/// Hundreds of requests are aborted at once. Each is cancelled at its cache host, and every request id can be
/// used again.
#[tokio::test]
async fn hundreds_of_simultaneous_aborts_release_all_requests() {
    let mut platform = TwoEndpointPlatform::start(silent_for_object_a).await;
    let mut clients = Vec::new();
    let mut aborts = BytesMut::new();
    for id in 1..=MAX_OPEN_REQUESTS {
        aborts.extend(abort_record(id));
    }
    for _ in 0..CLIENTS {
        let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
        for id in 1..=MAX_OPEN_REQUESTS {
            client.request_page(id, &[OBJECT_A_FIELD]).await;
        }
        clients.push(client);
    }
    // Requests within the capacity were forwarded; the others were rejected.
    platform.cache.next_message("PULL").await;
    for client in &mut clients {
        client.writer.write_all(&aborts).await.unwrap();
    }
    for client in &mut clients {
        for id in 1..=MAX_OPEN_REQUESTS {
            assert_ne!(client.response(id).await.status, 200);
        }
        client.request_page(1, &[]).await;
        assert_eq!(client.response(1).await.body, b"good");
    }
    platform.cache.next_message("KILL").await;
}

/// A connection with the maximum number of open requests, and one beyond it, is closed. Each request is
/// cancelled at its cache host, and none leaves state behind.
#[tokio::test]
async fn connection_close_cancels_all_open_requests() {
    for close in [
        ClientClose::Close,
        ClientClose::Reset,
        ClientClose::HalfClose,
    ] {
        assert_close_cancels_all(close).await;
    }
}

/// Opens the maximum number of requests and one more, and closes the connection as `close` says.
async fn assert_close_cancels_all(close: ClientClose) {
    let discovery = DiscoveryServer::start().await;
    let mut cache = ScriptedCacheHost::start(silent_for_object_a).await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let id_beyond_limit = MAX_OPEN_REQUESTS + 1;
    let transaction_of = |id: u16| format!("9b1f03aa000000{id:02x}");
    for id in 1..=id_beyond_limit {
        let transaction = transaction_of(id);
        client
            .request_page(id, &[("HTTP_X_TXN", &transaction), OBJECT_A_FIELD])
            .await;
    }
    let beyond_limit = client.response(id_beyond_limit).await;
    assert_eq!(
        (beyond_limit.status, beyond_limit.body.len()),
        (0, 0),
        "the request beyond the limit was not rejected with a FastCGI status"
    );
    let cache_request = cache.next_message("PULL").await.line;
    match close {
        ClientClose::HalfClose => client.writer.shutdown().await.unwrap(),
        ClientClose::Reset => client.reset(),
        ClientClose::Close => drop(client),
    }
    cache
        .next_message(&format!("KILL {}", transaction_id(&cache_request)))
        .await;
    // The same transaction ids can be used again.
    let mut next_client = FastCgiClient::connect(dispatcher.address).await;
    for id in 1..=MAX_OPEN_REQUESTS {
        let transaction = transaction_of(id);
        next_client
            .request_page(1, &[("HTTP_X_TXN", &transaction)])
            .await;
        assert_eq!(next_client.response(1).await.body, b"good");
    }
}

/// The clients of hundreds of requests disconnect at once. Forwarded requests are cancelled at their cache
/// host, the others are never forwarded, and none leaves state behind.
#[tokio::test]
async fn requests_of_disconnected_clients_are_cancelled_or_never_forwarded() {
    let discovery = DiscoveryServer::start().await;
    let mut cache = ScriptedCacheHost::start(silent_for_object_a).await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    for _ in 0..CLIENTS {
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        for id in 1..=MAX_OPEN_REQUESTS {
            client.request_page(id, &[OBJECT_A_FIELD]).await;
        }
    }
    let mut other_client = FastCgiClient::connect(dispatcher.address).await;
    other_client.request_page(1, &[TRANSACTION_FIELD]).await;
    assert_eq!(other_client.response(1).await.body, b"good");
    let mut open = BTreeSet::new();
    let mut last_request_seen = false;
    let all_cancelled = async {
        while !last_request_seen || !open.is_empty() {
            let line = cache.received.recv().await.unwrap().line;
            let id = transaction_id(&line).to_owned();
            match line.split(' ').next() {
                Some("PULL") if id == TRANSACTION_FIELD.1 => last_request_seen = true,
                Some("PULL") => assert!(open.insert(id), "{line}"),
                Some("KILL") => assert!(open.remove(&id), "{line}"),
                _ => {}
            }
        }
    };
    timeout(TEST_TIMEOUT, all_cancelled)
        .await
        .expect("not all forwarded requests were cancelled in time");
}

/// A request that is aborted while its connection to the cache host is being established is not forwarded.
#[tokio::test]
async fn request_aborted_during_connect_is_not_forwarded() {
    let mut waiting = WaitingRequest::start(&[TRANSACTION_FIELD]).await;
    waiting.client.abort(1).await;
    let received =
        received_until_shutdown(waiting.cache, waiting.dispatcher, vec![waiting.client]).await;
    assert!(!received.contains("PULL"), "{received}");
}

/// A request is aborted while the process is stopped, and its next attempt falls due during the stop. The
/// attempt is not made.
#[tokio::test]
async fn request_aborted_during_a_pause_is_not_retried() {
    let discovery = DiscoveryServer::start().await;
    let mut origin = ScriptedCacheHost::start(|id, _| overloaded_reply(id)).await;
    let endpoints = [endpoint_entry("o-1", origin.address, "origin", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    for round in 0..8u64 {
        let transaction = format!("9b1f03aa00ee{round:04x}");
        let fields = [("HTTP_X_TXN", transaction.as_str()), IDEMPOTENCY_KEY_FIELD];
        client.send_request(1, "/ops/submit", &fields, b"x").await;
        origin.next_message(&format!("PULL {transaction}")).await;
        // The origin rejects the request as overloaded; the dispatcher schedules a retry.
        tokio::time::sleep(Duration::from_millis(20)).await;
        dispatcher.signal("-STOP");
        while origin.received.try_recv().is_ok() {}
        client.writer.write_all(&abort_record(1)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        dispatcher.signal("-CONT");
        assert_eq!(
            client.response(1).await.status,
            0,
            "round {round}: an aborted request got a response"
        );
        assert_eq!(dispatcher.health_status().await, 200);
        while let Ok(message) = origin.received.try_recv() {
            let line = message.line;
            assert!(!line.starts_with("PULL"), "round {round}: {line}");
        }
    }
}
