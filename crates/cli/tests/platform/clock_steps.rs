//! The wall clock is stepped while a dispatcher runs. The ages of purges, endpoint starts and copies remain
//! durations of real time.
use crate::support::*;
use std::time::Duration;
use tokio::time::Instant;

/// The object that is purged.
const OBJECT: &str = "00000000000000aa";

/// Tolerance for rounding: the age limit of a cache request is in whole milliseconds, and the age of a purge is
/// counted from the end of its millisecond.
const ROUNDING_MS: u64 = 5;

/// Steps of the wall clock, forwards and backwards, in seconds.
const STEPS_SECONDS: [f64; 6] = [1.0, 5.0, 3_600.0, -1.0, -5.0, -3_600.0];

/// A dispatcher whose clock can be stepped, one cache host, and a discovery server with an open stream.
struct SteppablePlatform {
    faults: InjectedFaults,
    discovery: DiscoveryServer,
    /// The stream of the latest poll.
    stream: Option<DiscoveryStream>,
    cache: ScriptedCacheHost,
    endpoints: [String; 1],
    dispatcher: DispatcherProcess,
}

impl SteppablePlatform {
    /// Starts the platform with a correct wall clock.
    async fn start() -> Self {
        Self::start_with_step(0.0).await
    }

    /// Starts the platform with a wall clock that is off by `seconds`.
    async fn start_with_step(seconds: f64) -> Self {
        let mut discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start_serving("good").await;
        let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
        let faults = InjectedFaults::new();
        faults.step_wall_clock(seconds);
        let dispatcher = DispatcherProcess::spawn_with_faults(&faults, |address| {
            configuration(address, discovery.address, &endpoints)
        })
        .await;
        let stream = discovery.next_poll().await;
        Self {
            faults,
            discovery,
            stream: Some(stream),
            cache,
            endpoints,
            dispatcher,
        }
    }

    /// Publishes an event and waits until the dispatcher has applied it.
    async fn publish(&mut self, revision: u64, content: &str) {
        let stream = self.stream.take().expect("an open stream");
        self.stream = Some(self.discovery.publish(stream, revision, content).await);
    }

    /// Requests an object and returns the age limit of the cache request in milliseconds.
    async fn requested_max_age_ms(&mut self, object: &str) -> u64 {
        let mut client = FastCgiClient::connect(self.dispatcher.address).await;
        client.request_page(1, &[("HTTP_X_ROW", object)]).await;
        assert_eq!(client.response(1).await.status, 200);
        let cache_request = loop {
            let cache_request = self.cache.next_message("PULL").await.line;
            if cache_request.contains(&format!("obj={object}")) {
                break cache_request;
            }
        };
        number_in(&cache_request, "cap=")
    }

    /// Asserts that the dispatcher requests no copy from before a purge at `purged_at`.
    async fn assert_purge_is_respected(&mut self, object: &str, purged_at: Instant, case: &str) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let max_age_ms = self.requested_max_age_ms(object).await;
        let since_purge_ms = purged_at.elapsed().as_millis() as u64;
        assert!(
            max_age_ms >= 1 && max_age_ms <= since_purge_ms + ROUNDING_MS,
            "{case}: copies of up to {max_age_ms} ms requested, purged {since_purge_ms} ms ago"
        );
    }
}

async fn assert_purge_after_a_step_is_respected(step: f64) {
    let mut platform = SteppablePlatform::start().await;
    platform.faults.step_wall_clock(step);
    let purged_at = Instant::now();
    platform.publish(2, &purge(OBJECT, unix_ms())).await;
    let case = format!("{step} s before a purge");
    platform
        .assert_purge_is_respected(OBJECT, purged_at, &case)
        .await;
}

async fn assert_purge_published_after_a_step_is_respected(step: f64) {
    let mut platform = SteppablePlatform::start().await;
    let purged_at = Instant::now();
    let purged_unix_ms = unix_ms();
    platform.faults.step_wall_clock(step);
    platform.publish(2, &purge(OBJECT, purged_unix_ms)).await;
    let case = format!("{step} s between a purge and its event");
    platform
        .assert_purge_is_respected(OBJECT, purged_at, &case)
        .await;
}

async fn assert_purges_around_a_step_are_respected(step: f64) {
    let second = "00000000000000bb";
    let mut platform = SteppablePlatform::start().await;
    let purged_at = Instant::now();
    platform.publish(2, &purge(OBJECT, unix_ms())).await;
    platform.faults.step_wall_clock(step);
    let second_purged_at = Instant::now();
    platform.publish(3, &purge(second, unix_ms())).await;
    let case = format!("{step} s after the first purge");
    platform
        .assert_purge_is_respected(OBJECT, purged_at, &case)
        .await;
    let case = format!("{step} s before the second purge");
    platform
        .assert_purge_is_respected(second, second_purged_at, &case)
        .await;
}

/// The clock is stepped before a purge, between a purge and its event, and between two purges.
#[tokio::test]
async fn purge_age_is_unaffected_by_clock_steps() {
    for step in STEPS_SECONDS {
        assert_purge_after_a_step_is_respected(step).await;
        assert_purge_published_after_a_step_is_respected(step).await;
        assert_purges_around_a_step_are_respected(step).await;
    }
}

/// The clock is stepped, and then a new configuration lists one more purge.
#[tokio::test]
async fn age_of_a_configured_purge_is_unaffected_by_clock_steps() {
    for step in STEPS_SECONDS {
        let mut platform = SteppablePlatform::start().await;
        platform.faults.step_wall_clock(step);
        let purged_at = Instant::now();
        let purged_unix_ms = unix_ms();
        let mut new_server = DiscoveryServer::start().await;
        let known = format!("}},{{\"rev\":2,{}}}]}},", purge(OBJECT, purged_unix_ms));
        let text = configuration(
            platform.dispatcher.address,
            new_server.address,
            &platform.endpoints,
        );
        let text = with_replacements(
            text,
            &[
                ("}]},", known.as_str()),
                ("\"known\":{\"rev\":1", "\"known\":{\"rev\":2"),
            ],
        );
        platform.dispatcher.reload(text);
        let stream = new_server.next_poll().await;
        assert_eq!(stream.last_event_id, 2);
        platform
            .assert_purge_is_respected(
                OBJECT,
                purged_at,
                &format!("{step} s before a new configuration"),
            )
            .await;
    }
}

/// A clock that was ahead since the start is corrected. All ages are right from then on.
#[tokio::test]
async fn purge_age_is_unaffected_by_a_clock_correction() {
    for ahead in [5.0, 3_600.0] {
        let mut platform = SteppablePlatform::start_with_step(ahead).await;
        platform.faults.step_wall_clock(0.0);
        let purged_at = Instant::now();
        let purged_unix_ms = unix_ms();
        platform.publish(2, &purge(OBJECT, purged_unix_ms)).await;
        platform
            .assert_purge_is_respected(OBJECT, purged_at, &format!("{ahead} s ahead until now"))
            .await;
    }
}

/// An endpoint that is announced after a clock step has its real age: it gets the requests that its slow start
/// allows, and not those of a warmed-up endpoint.
#[tokio::test]
async fn start_age_of_an_endpoint_is_unaffected_by_clock_steps() {
    for step in [5.0, 3_600.0, -3_600.0] {
        let mut platform = SteppablePlatform::start().await;
        let mut warming_up = ScriptedCacheHost::start_serving("cold").await;
        // Waits for the end of the first slow-start window: a dispatcher that has just started forwards no
        // request to an endpoint in warm-up.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        platform.faults.step_wall_clock(step);
        let born = format!("\"share\":10,\"born_ms\":{}", unix_ms());
        let entry = endpoint_entry("s-2", warming_up.address, "box", "Ready")
            .replace("\"share\":50,\"born_ms\":0", &born);
        let drained = endpoint_entry("s-1", platform.cache.address, "box", "Terminating");
        let list = endpoint_list(2, false, &[drained, entry]);
        platform.publish(2, &list).await;
        let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
        let mut served = 0;
        for n in 0..200u32 {
            let object = format!("{n:016x}");
            client.request_page(1, &[("HTTP_X_ROW", &object)]).await;
            served += usize::from(client.response(1).await.status == 200);
        }
        println!("{step} s: an endpoint in warm-up served {served} of 200");
        assert!(
            (1..100).contains(&served),
            "{step} s: {served} of 200 were served by an endpoint that has just started"
        );
        warming_up.next_message("PULL").await;
    }
}
