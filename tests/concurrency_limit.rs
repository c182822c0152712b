//! Concurrency limits, and their adaptation by the latency objective.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn late_responses_lower_the_concurrency_limit_of_a_zone() {
    let admitted = |elapsed: Micros| {
        let mut fixture = RouterFixture::new();
        for i in 0..200 {
            let sent = fixture.request(VIDEO, &format!("o{i}")).remove(0);
            fixture.complete_after(&sent, AttemptStatus::Ok, CacheStatus::Filled, elapsed);
        }
        (0..200)
            .filter(|i| !fixture.request(VIDEO, &format!("n{i}")).is_empty())
            .count()
    };
    let (fast, slow) = (admitted(50 * MS), admitted(2 * S));
    assert!(
        slow > 0 && slow < fast && fast < 200,
        "of 200 requests, {slow} admitted after slow responses and {fast} after fast ones"
    );
}

#[test]
fn request_is_rejected_after_two_rejections_for_lack_of_capacity() {
    let mut fixture = RouterFixture::new();
    let first = fixture.request(VIDEO, "a").remove(0);
    let second = fixture
        .complete(&first, AttemptStatus::Rejected, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(second.endpoint, first.endpoint);
    assert!(fixture
        .complete(&second, AttemptStatus::Rejected, CacheStatus::Unreported)
        .is_empty());
    assert!(matches!(
        fixture.final_responses()[..],
        [Action::Reject { .. }]
    ));
}

#[test]
fn request_without_fill_capacity_makes_a_cached_only_attempt() {
    let mut fixture = RouterFixture::new();
    let cached_only = (0..80)
        .flat_map(|_| fixture.request(PAGE, "a"))
        .find(|sent| sent.source() == sent.endpoint)
        .unwrap();
    assert_eq!(
        (
            cached_only.fetch().max_age,
            cached_only.fetch().retention_rank
        ),
        (32 * S, 0)
    );
    assert!(
        fixture
            .complete(&cached_only, AttemptStatus::Miss, CacheStatus::Unreported)
            .is_empty(),
        "attempt sent after the miss of a cached-only attempt"
    );
    assert!(matches!(
        fixture.final_responses()[..],
        [Action::Reject { .. }]
    ));
}

/// Some requests time out, and all others are answered within the latency objective: a timeout says nothing about
/// the load of the zone, so the limit must not fall.
#[test]
fn timeouts_do_not_lower_the_concurrency_limit_of_a_zone() {
    let mut fixture = RouterFixture::new();
    let count_admitted = |fixture: &mut RouterFixture| {
        let burst: Vec<SentAttempt> = (0..200)
            .flat_map(|i| fixture.request(PAGE, &format!("f{i}")))
            .collect();
        let admitted = burst
            .iter()
            .filter(|sent| sent.source() != sent.endpoint)
            .count();
        burst
            .iter()
            .for_each(|sent| drop(fixture.complete(sent, AttemptStatus::Ok, CacheStatus::Hit)));
        admitted
    };
    let before = count_admitted(&mut fixture);
    for i in 0..60 {
        let timed_out = fixture.request(PAGE, &format!("l{i}")).remove(0);
        let timely: Vec<SentAttempt> = (0..4)
            .flat_map(|k| fixture.request(PAGE, &format!("g{i}-{k}")))
            .collect();
        fixture.now += 20 * MS;
        timely
            .iter()
            .for_each(|sent| drop(fixture.complete(sent, AttemptStatus::Ok, CacheStatus::Hit)));
        fixture.complete_after(
            &timed_out,
            AttemptStatus::Timeout,
            CacheStatus::Unreported,
            3 * S,
        );
    }
    fixture.now += 10 * S;
    assert!(
        count_admitted(&mut fixture) >= before,
        "{} requests admitted after the timeouts, {before} before",
        count_admitted(&mut fixture)
    );
}

/// A large response must not count as late because of its size alone, where sizes are reported.
#[test]
fn lateness_is_measured_by_the_response_size() {
    let admitted_with_size = |kb: Option<f64>| {
        let mut fixture = RouterFixture::new();
        let send_request = |fixture: &mut RouterFixture, i: usize| {
            let object = ObjectId::named(&format!("o{i}"));
            let (id, left) = (RequestId(1_000_000 + i as u64), 3 * S);
            fixture.handle(Event::Request(Request {
                id,
                class: VIDEO,
                object,
                part: 0,
                group: 5,
                time_left: left,
                size_kb: None,
                idempotency_key: None,
            }))
        };
        for i in 0..200 {
            let sent = send_request(&mut fixture, i).remove(0);
            fixture.now += 700 * MS;
            // One response in four is large: 700 ms of transfer time at the highest rate.
            let (elapsed, kb) = if i % 4 == 0 {
                (700, kb)
            } else {
                (20, kb.map(|kb| kb / 35.0))
            };
            let (request, attempt, endpoint) = (sent.request, sent.attempt, sent.endpoint);
            let (status, cache_status, elapsed) =
                (AttemptStatus::Ok, CacheStatus::Hit, elapsed * MS);
            let outcome = AttemptOutcome {
                request,
                attempt,
                endpoint,
                status,
                cache_status,
                elapsed,
                size_kb: kb,
                request_closed: true,
            };
            fixture.handle(Event::Outcome(outcome));
        }
        (200..400)
            .flat_map(|i| send_request(&mut fixture, i))
            .filter(|sent| sent.source() != sent.endpoint)
            .count()
    };
    let (with_sizes, without_sizes) = (admitted_with_size(Some(4_200.0)), admitted_with_size(None));
    assert!(
        with_sizes > without_sizes,
        "{with_sizes} requests admitted with reported sizes, {without_sizes} without"
    );
}

/// Late fills are due to the link or the origin: hits must continue, and only requests that may need a fill are
/// rejected.
#[test]
fn late_fills_do_not_lower_the_concurrency_limits_of_caches() {
    let admitted_after = |cache_status: CacheStatus| {
        let mut fixture = RouterFixture::new();
        for i in 0..40 {
            let sent = fixture.request(PAGE, &format!("w{i}")).remove(0);
            fixture.complete_after(&sent, AttemptStatus::Ok, cache_status, 2 * S);
        }
        // The link has recovered. The cache limits are either unchanged or have to be learned again.
        for i in 0..60 {
            let sent = fixture.request(PAGE, &format!("v{i}")).remove(0);
            fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::Filled);
        }
        let burst: Vec<SentAttempt> = (0..200)
            .flat_map(|i| fixture.request(PAGE, &format!("f{i}")))
            .collect();
        burst
            .iter()
            .filter(|sent| sent.source() != sent.endpoint)
            .count()
    };
    let (after_fills, after_hits) = (
        admitted_after(CacheStatus::Filled),
        admitted_after(CacheStatus::Hit),
    );
    assert!(
        after_fills > 2 * after_hits,
        "{after_fills} requests admitted after late fills, {after_hits} after late hits"
    );
}
