//! Graceful shutdown: what was open or waits in the accept queue at SIGTERM is answered, and further signals
//! are followed.
use crate::support::*;
use crate::system_call_failures::FaultyPlatform;
use std::time::Duration;

/// Longer than new connections are accepted after SIGTERM.
const BEYOND_ACCEPT_PERIOD: Duration = Duration::from_millis(1_300);

/// Requests that are open, and requests on new connections, for as long as the listener stays open. (The slow
/// cache host sleeps on a thread of its own.)
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_after_sigterm_are_answered_before_the_exit() {
    let script = |id: &str, fields: &str| {
        if fields.contains("obj=aaaaaaaaaaaaaaaa") {
            // Slow, but within the deadline.
            std::thread::sleep(Duration::from_millis(1_500));
        }
        served_reply(id, "good")
    };
    let platform = TwoEndpointPlatform::start(script).await;
    let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
    let mut idle = FastCgiClient::connect(platform.dispatcher.address).await;
    idle.request_page(1, &[]).await;
    assert_eq!(idle.response(1).await.status, 200);
    client.request_page(1, &[OBJECT_A_FIELD]).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    platform.dispatcher.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut new_client = FastCgiClient::connect(platform.dispatcher.address).await;
    new_client.request_page(1, &[]).await;
    assert_eq!(
        new_client.response(1).await.status,
        200,
        "new connections are still accepted for a moment"
    );
    assert_eq!(client.response(1).await.status, 200);
    assert!(
        idle.response_or_close(2).await.is_none(),
        "closed without a response when nothing is open"
    );
    assert_eq!(platform.dispatcher.wait_for_exit().await, 0);
}

/// Requests on connections in the accept queue, and on an idle connection, when the listener closes: each is
/// answered.
#[tokio::test]
async fn queued_connections_are_answered_when_the_listener_closes() {
    let discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut idle = FastCgiClient::connect(dispatcher.address).await;
    idle.request_page(1, &[]).await;
    assert_eq!(idle.response(1).await.status, 200);
    dispatcher.signal("-TERM");
    dispatcher.signal("-STOP");
    let mut queued = dispatcher.connect_with_requests(12).await;
    idle.request_page(2, &[]).await;
    // It finds all of this at once, and the accept period over.
    tokio::time::sleep(BEYOND_ACCEPT_PERIOD).await;
    dispatcher.signal("-CONT");
    let response = idle.response(2).await;
    assert!(matches!(response.status, 200 | 503), "{response:?}");
    for client in &mut queued {
        let response = client.response(1).await;
        assert!(matches!(response.status, 200 | 503), "{response:?}");
    }
    assert_eq!(dispatcher.wait_for_exit().await, 0);
}

/// Accept fails while the listener closes: the connections in its queue are accepted and answered all the
/// same.
#[tokio::test]
async fn queued_connections_are_answered_when_accept_fails_at_shutdown() {
    for error in [errno::ECONNABORTED, errno::EINTR, errno::ENFILE] {
        let FaultyPlatform {
            faults,
            dispatcher,
            discovery: _discovery,
            cache: _cache,
        } = FaultyPlatform::start().await;
        dispatcher.signal("-TERM");
        dispatcher.signal("-STOP");
        let mut queued = dispatcher.connect_with_requests(12).await;
        // It finds all of this at once, and the accept period over.
        tokio::time::sleep(BEYOND_ACCEPT_PERIOD).await;
        faults.fail_next(SystemCall::Accept, error, 3);
        dispatcher.signal("-CONT");
        for (n, client) in queued.iter_mut().enumerate() {
            let response = client.response_or_close(1).await;
            assert!(
                response.is_some_and(|response| matches!(response.status, 200 | 503)),
                "error {error}: queued client {n}"
            );
        }
        assert_eq!(dispatcher.wait_for_exit().await, 0);
    }
}

/// SIGTERM, further signals and a new discovery server: that is followed, for attempts are still made. What
/// is open is answered, and the exit code is 0.
#[tokio::test]
async fn reload_during_shutdown_is_followed() {
    let mut first = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(first.address, &endpoints).await;
    first.next_poll().await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client.request_page(1, &[]).await;
    let (cache_request, mut connection) = cache.next_cache_request(&mut Vec::new()).await;
    dispatcher.signal("-TERM");
    let mut second = DiscoveryServer::start().await;
    // Half written when the signal comes; complete later, without another signal.
    let complete = configuration(dispatcher.address, second.address, &[]);
    dispatcher.write_configuration(&complete[..complete.len() / 2]);
    for signal in ["-HUP", "-TERM", "-INT"] {
        dispatcher.signal(signal);
    }
    // It has read the half once a new connection is answered.
    assert_ne!(dispatcher.health_status().await, 0);
    dispatcher.write_configuration(&complete);
    assert_eq!(second.next_poll().await.last_event_id, 1);
    connection.serve(&cache_request, "good").await;
    assert_eq!(client.response(1).await.body, b"good");
    assert!(client.response_or_close(2).await.is_none());
    assert_eq!(dispatcher.wait_for_exit().await, 0);
}

/// Ten reloads in a row, each with another discovery server, one half written and one unreachable, and
/// SIGTERM among them: the last one is followed, what is open is answered, and the exit code is 0.
#[tokio::test]
async fn last_of_ten_reloads_is_followed_with_sigterm_among_them() {
    let first = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(first.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client.request_page(1, &[]).await;
    let (cache_request, mut connection) = cache.next_cache_request(&mut Vec::new()).await;
    let unreachable = refusing_address();
    let mut servers = Vec::new();
    for n in 0..10 {
        let next = DiscoveryServer::start().await;
        let server = if n == 6 { unreachable } else { next.address };
        let complete = configuration(dispatcher.address, server, &endpoints);
        let written = match n {
            4 => &complete[..complete.len() / 2],
            _ => &complete,
        };
        dispatcher.reload(written);
        if n == 8 {
            dispatcher.signal("-TERM");
        }
        servers.push(next);
    }
    let mut last = servers.pop().unwrap();
    let stream = last.next_poll().await;
    assert_eq!(stream.last_event_id, 1);
    last.publish(stream, 2, &purge("00000000000000aa", 1)).await;
    connection.serve(&cache_request, "good").await;
    assert_eq!(client.response(1).await.body, b"good");
    assert!(client.response_or_close(2).await.is_none());
    assert_eq!(dispatcher.wait_for_exit().await, 0);
}
