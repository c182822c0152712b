//! The remaining time of a request, which counts from when the client sent it, also while the dispatcher cannot
//! read; and requests with very little time.
use crate::support::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// Tolerance by which the time given to a cache host may exceed the remaining time of the request.
const TIME_LEFT_TOLERANCE: Duration = Duration::from_millis(150);

/// Duration for which the process is stopped.
const PAUSE: Duration = Duration::from_secs(1);

/// The process is stopped for a second. Requests that arrive meanwhile, in a batch on a new and on an idle
/// connection, have one second less.
#[tokio::test]
async fn time_in_socket_buffers_is_counted() {
    let discovery = DiscoveryServer::start().await;
    let mut cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut idle = FastCgiClient::connect(dispatcher.address).await;
    idle.request_page(1, &[]).await;
    assert_eq!(idle.response(1).await.status, 200);
    cache.next_message("PULL").await;
    for time_left_ms in [1_500u64, 4_000] {
        dispatcher.signal("-STOP");
        let sent = Instant::now();
        let time_left = time_left_ms.to_string();
        let mut new = FastCgiClient::connect(dispatcher.address).await;
        for client in [&mut idle, &mut new] {
            let batch: Vec<u8> = (1..=8)
                .flat_map(|id| {
                    fastcgi_request(id, "/ops/page", &[("HTTP_X_TTL_MS", &time_left)], b"").to_vec()
                })
                .collect();
            client.writer.write_all(&batch).await.unwrap();
        }
        let written = Instant::now();
        tokio::time::sleep(PAUSE).await;
        dispatcher.signal("-CONT");
        let mut answered = 0;
        for client in [&mut idle, &mut new] {
            for id in 1..=8 {
                answered += usize::from(client.response(id).await.status == 200);
            }
        }
        assert!(answered > 0, "no request was served in its remaining time");
        for _ in 0..answered {
            let cache_request = cache.next_message("PULL").await.line;
            let left = Duration::from_millis(time_left_ms).saturating_sub(written - sent + PAUSE);
            let forwarded = Duration::from_millis(number_in(&cache_request, "ms="));
            assert!(
                forwarded <= left + TIME_LEFT_TOLERANCE,
                "{time_left_ms} ms when sent a second ago: {cache_request}"
            );
        }
    }
}

/// Requests that arrive while the process runs are not charged for an earlier pause.
#[tokio::test]
async fn pause_is_charged_only_to_requests_that_waited_through_it() {
    let discovery = DiscoveryServer::start().await;
    let mut cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    dispatcher.signal("-STOP");
    tokio::time::sleep(PAUSE).await;
    dispatcher.signal("-CONT");
    dispatcher.catch_up().await;
    client.request_page(1, &[("HTTP_X_TTL_MS", "4000")]).await;
    assert_eq!(client.response(1).await.status, 200);
    let cache_request = cache.next_message("PULL").await.line;
    assert!(number_in(&cache_request, "ms=") > 3_000, "{cache_request}");
}

/// Requests with 1 to 40 ms left, at a cache host that never replies, get one response each. The cache host is
/// never given more time than the request has.
#[tokio::test]
async fn requests_with_very_little_time_left_are_each_answered() {
    let discovery = DiscoveryServer::start().await;
    let mut cache = ScriptedCacheHost::start(|_, _| Vec::new()).await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let requests: [(u16, &str, &[u8]); 2] = [(1, "/ops/page", b""), (2, "/ops/submit", b"x")];
    for time_left_ms in 1..=40u16 {
        let time_left = time_left_ms.to_string();
        let fields = [("HTTP_X_TTL_MS", time_left.as_str()), IDEMPOTENCY_KEY_FIELD];
        for (id, script, body) in requests {
            client.send_request(id, script, &fields, body).await;
        }
        for id in 1..=2 {
            assert!(
                matches!(client.response(id).await.status, 502 | 503),
                "{time_left_ms} ms"
            );
        }
        while let Ok(message) = cache.received.try_recv() {
            let line = message.line;
            assert!(
                !line.starts_with("PULL") || number_in(&line, "ms=") <= u64::from(time_left_ms),
                "{time_left_ms}: {line}"
            );
        }
    }
}
