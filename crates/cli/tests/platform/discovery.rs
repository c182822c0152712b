//! The discovery stream: its events, its replacement by a new configuration, and servers that are slow or
//! silent.
use crate::connection_establishment::announce_endpoint;
use crate::support::*;
use std::time::Duration;
use tokio::time::timeout;

/// Requests a page until its body is `body`.
async fn wait_until_served(dispatcher: &DispatcherProcess, body: &str) {
    let served = async {
        loop {
            let mut client = FastCgiClient::connect(dispatcher.address).await;
            client.request_page(1, &[]).await;
            if client.response(1).await.body == body.as_bytes() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, served).await.expect(body);
}

/// Draining and new endpoints in the stream's events are applied. After SIGHUP the new server is polled from the
/// last revision on.
#[tokio::test]
async fn stream_is_followed_and_replaced_at_sighup() {
    let mut platform = TwoEndpointPlatform::start(|id, _| served_reply(id, "one")).await;
    let stream = platform.discovery.next_poll().await;
    assert_eq!(
        stream.last_event_id, 1,
        "the poll does not start from the revision of the configuration"
    );
    let other = ScriptedCacheHost::start_serving("two").await;
    wait_until_served(&platform.dispatcher, "one").await;
    // A stream that ends in the middle of an event: the event is not applied, and is polled for again.
    let entries = [
        endpoint_entry("s-1", platform.cache.address, "box", "Terminating"),
        endpoint_entry("s-2", other.address, "box", "Ready"),
    ];
    let text = discovery_event(2, &endpoint_list(2, false, &entries));
    stream.send(text[..text.len() / 2].to_owned());
    drop(stream);
    let stream = platform.discovery.next_poll().await;
    assert_eq!(stream.last_event_id, 1);
    stream.send(text.clone() + &text);
    wait_until_served(&platform.dispatcher, "two").await;

    // An invalid configuration file has no effect.
    platform.dispatcher.reload("{\"name\":");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(platform.dispatcher.is_running());
    let mut second = DiscoveryServer::start().await;
    platform.dispatcher.reload(configuration(
        platform.dispatcher.address,
        second.address,
        &[],
    ));
    let stream = second.next_poll().await;
    assert_eq!(stream.last_event_id, 2);
    // The new server continues the revisions; it announces a new endpoint at the address of a removed one.
    let entries = [
        endpoint_entry("s-2", other.address, "box", "Gone"),
        endpoint_entry("s-3", platform.cache.address, "box", "Ready"),
    ];
    stream.send(discovery_event(3, &endpoint_list(3, false, &entries)));
    wait_until_served(&platform.dispatcher, "one").await;
}

/// `known` in a new configuration is ahead of the last event and leaves a gap. The server is polled for the
/// missing revisions.
#[tokio::test]
async fn revision_gap_of_a_new_configuration_is_polled() {
    let mut first = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(first.address, &endpoints).await;
    assert_eq!(first.next_poll().await.last_event_id, 1);
    let mut second = DiscoveryServer::start().await;
    let ahead = configuration(dispatcher.address, second.address, &endpoints)
        .replace("\"rev\":1", "\"rev\":5");
    dispatcher.reload(ahead);
    assert_eq!(
        second.next_poll().await.last_event_id,
        1,
        "revisions 2 to 4 were not polled for"
    );
}

/// A server accepts the connection and never responds. The poll times out and is repeated.
#[tokio::test]
async fn server_that_never_responds_is_polled_again() {
    let silent = ManualCacheHost::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(silent.address, &endpoints).await;
    let first = silent.accept().await;
    let second = silent.accept().await;
    let mut other_client = FastCgiClient::connect(dispatcher.address).await;
    other_client.request_page(1, &[]).await;
    assert_eq!(other_client.response(1).await.status, 200);
    drop(first);
    drop(second);
}

/// An overloaded server begins each response after two seconds. Its events are still applied.
#[tokio::test]
async fn events_of_a_slow_server_are_applied() {
    let mut slow = DiscoveryServer::start_with_delay(Duration::from_secs(2)).await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(slow.address, &endpoints).await;
    let other = ScriptedCacheHost::start_serving("other").await;
    let entries = [
        endpoint_entry("s-1", cache.address, "box", "Terminating"),
        endpoint_entry("s-2", other.address, "box", "Ready"),
    ];
    let event = discovery_event(2, &endpoint_list(2, false, &entries));
    // Each response carries the event, though its poll may have timed out. Once the event is applied, polls
    // start from its revision.
    let applied = async {
        loop {
            let stream = slow.next_poll().await;
            if stream.last_event_id == 2 {
                return;
            }
            stream.send_if_open(event.clone());
        }
    };
    timeout(TEST_TIMEOUT, applied)
        .await
        .expect("the event was not applied in time");
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client.request_page(1, &[]).await;
    assert_eq!(client.response(1).await.body, b"other");
}

/// A second new server is configured before the first new server has responded. The old stream is read until
/// the newest server responds.
#[tokio::test]
async fn previous_stream_is_read_until_the_newest_server_responds() {
    let mut first = DiscoveryServer::start().await;
    let silent = ManualCacheHost::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(first.address, &endpoints).await;
    let stream = first.next_poll().await;
    dispatcher.reload(configuration(
        dispatcher.address,
        silent.address,
        &endpoints,
    ));
    let unanswered_poll = silent.accept().await;
    let (_endpoint, _stream) = announce_endpoint(&mut first, stream, "", &[]).await;
    let mut newest = DiscoveryServer::start().await;
    dispatcher.reload(configuration(
        dispatcher.address,
        newest.address,
        &endpoints,
    ));
    assert_eq!(
        newest.next_poll().await.last_event_id,
        2,
        "the events of the old stream were not applied"
    );
    drop(unanswered_poll);
}

/// The clock of all timers advances by twenty minutes at once. A stream that is silent then is polled again, and
/// requests are served.
#[tokio::test]
async fn silent_stream_is_polled_again_after_twenty_minutes() {
    let mut discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let faults = InjectedFaults::new();
    let discovery_address = discovery.address;
    let dispatcher = DispatcherProcess::spawn_with_faults(&faults, |address| {
        configuration(address, discovery_address, &endpoints)
    })
    .await;
    let first_stream = discovery.next_poll().await;
    for round in 0..3 {
        // The stream has been read by now, and no more data arrives on it: data that arrived while the time
        // advances would show that the stream is alive.
        dispatcher.catch_up().await;
        discovery.stop_comments();
        faults.advance_time(Duration::from_secs(1_200));
        // The server is polled again because the stream counts as silent.
        let stream = discovery.next_poll().await;
        assert_eq!(stream.last_event_id, 1, "round {round}");
        dispatcher.catch_up().await;
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        for id in 1..=5 {
            client.request_page(id, &[]).await;
            assert_eq!(client.response(id).await.body, b"good", "round {round}");
        }
    }
    drop(first_stream);
}

/// Guards against a dispatcher that stops asking during a silence of discovery and sends requests to a draining host after
/// it: it polls for as long as there is no response (review case 9).
#[tokio::test]
async fn server_is_polled_throughout_a_long_silence() {
    const SILENT_POLLS: usize = 14;
    let mut discovery = DiscoveryServer::start_silent_for(SILENT_POLLS).await;
    let old = ScriptedCacheHost::start_serving("old").await;
    let new = ScriptedCacheHost::start_serving("new").await;
    let known = [endpoint_entry("s-1", old.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &known).await;
    let stream = discovery.next_poll().await;
    let changed = [
        endpoint_entry("s-1", old.address, "box", "Draining"),
        endpoint_entry("s-2", new.address, "box", "Ready"),
    ];
    stream.send(discovery_event(2, &endpoint_list(2, false, &changed)));
    wait_until_served(&dispatcher, "new").await;
}
