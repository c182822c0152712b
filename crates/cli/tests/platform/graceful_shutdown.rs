//! Graceful shutdown: requests that are open or wait in the accept queue at SIGTERM are answered, and further
//! signals are handled.
use crate::support::*;
use crate::system_call_failures::FaultyPlatform;
use std::time::Duration;

/// Duration after SIGTERM at which new connections are no longer accepted.
const BEYOND_ACCEPT_PERIOD: Duration = Duration::from_millis(1_300);

/// Open requests, and requests on new connections while the listener stays open, are answered before the exit.
/// (The slow cache host sleeps on a thread of its own.)
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_after_sigterm_are_answered_before_the_exit() {
    let script = |id: &str, fields: &str| {
        if fields.contains("obj=aaaaaaaaaaaaaaaa") {
            // The reply is slow, but within the deadline.
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
        "a new connection shortly after SIGTERM was not served"
    );
    assert_eq!(client.response(1).await.status, 200);
    assert!(
        idle.response_or_close(2).await.is_none(),
        "an idle connection must be closed without a response"
    );
    assert_eq!(platform.dispatcher.wait_for_exit().await, 0);
}

/// Requests on connections in the accept queue and on an idle connection are answered when the listener
/// closes.
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
    // The dispatcher finds all requests at once when it continues, with the accept period over.
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

/// Accept fails while the listener closes. The connections in its queue are still accepted and answered.
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
        // The dispatcher finds all requests at once when it continues, with the accept period over.
        tokio::time::sleep(BEYOND_ACCEPT_PERIOD).await;
        faults.fail_next(SystemCall::Accept, error, 3);
        dispatcher.signal("-CONT");
        for (n, client) in queued.iter_mut().enumerate() {
            let response = client.response_or_close(1).await;
            assert!(
                response.is_some_and(|response| matches!(response.status, 200 | 503)),
                "error {error}: queued client {n} was not answered"
            );
        }
        assert_eq!(dispatcher.wait_for_exit().await, 0);
    }
}

/// A reload during shutdown names a new discovery server. The dispatcher follows it because open requests may
/// still need attempts. Open requests are answered, and the exit code is 0.
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
    // The file is half written when SIGHUP arrives, and completed later without another signal.
    let complete = configuration(dispatcher.address, second.address, &[]);
    dispatcher.write_configuration(&complete[..complete.len() / 2]);
    for signal in ["-HUP", "-TERM", "-INT"] {
        dispatcher.signal(signal);
    }
    // The dispatcher has read the incomplete file once it answers on a new connection.
    assert_ne!(dispatcher.health_status().await, 0);
    dispatcher.write_configuration(&complete);
    assert_eq!(second.next_poll().await.last_event_id, 1);
    connection.serve(&cache_request, "good").await;
    assert_eq!(client.response(1).await.body, b"good");
    assert!(client.response_or_close(2).await.is_none());
    assert_eq!(dispatcher.wait_for_exit().await, 0);
}

/// Ten reloads in a row name ten discovery servers, with one file half written, one server unreachable and
/// SIGTERM among them. The last server is followed, open requests are answered, and the exit code is 0.
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
