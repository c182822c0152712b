//! Outlier detection: fault attribution, ejection, probes and silent endpoints.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn unreported_error_counts_against_the_named_source() {
    let mut unreported = settings();
    unreported.cache_status_detail = CacheStatusDetail::None;
    let mut fixture = RouterFixture::with(unreported, fleet());
    let sent = fixture.request(PAGE, "a").remove(0);
    let stale = fixture
        .complete(&sent, AttemptStatus::Error, CacheStatus::Unreported)
        .remove(0);
    assert_eq!(
        (stale.endpoint, stale.source()),
        (sent.endpoint, sent.endpoint)
    );
}

#[test]
fn silent_cache_is_ejected_and_its_requests_are_retried() {
    let mut fixture = RouterFixture::new();
    let first = fixture.request(VIDEO, "a").remove(0);
    let second = fixture.request(VIDEO, "a").remove(0);
    assert_eq!(first.endpoint, second.endpoint);
    for _ in 0..30 {
        fixture.advance(25 * MS);
        if fixture
            .last_actions
            .iter()
            .any(|a| matches!(a, Action::Cancel { .. }))
        {
            break;
        }
    }
    assert!(
        fixture.now < T0 + 600 * MS,
        "silent cache not detected within 600 ms"
    );
    let next = fixture
        .complete(&first, AttemptStatus::Cancelled, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(next.endpoint, first.endpoint);
    assert_ne!(fixture.request(VIDEO, "a")[0].endpoint, first.endpoint);
}

/// Responses to slow clients stay open for long: a cache that has begun to respond is alive and must not be ejected.
#[test]
fn cache_with_a_started_response_is_not_silent() {
    let count_cancellations = |response_started: bool| {
        let mut fixture = RouterFixture::with(
            settings(),
            fleet()
                .into_iter()
                .filter(|e| e.kind != 0)
                .chain([entry("c1", 0)])
                .collect(),
        );
        for n in 0..3 {
            let sent = fixture.request(VIDEO, &format!("o{n}"));
            assert_eq!(sent[0].endpoint, EndpointId::named("c1"));
        }
        fixture.now += 10 * MS;
        if response_started {
            fixture.handle(Event::ResponseStarted(EndpointId::named("c1")));
        }
        fixture.advance(2 * S);
        fixture
            .last_actions
            .iter()
            .filter(|a| matches!(a, Action::Cancel { .. }))
            .count()
    };
    assert_eq!(
        count_cancellations(false),
        3,
        "a cache without a started response is silent, so all 3 attempts are cancelled"
    );
    assert_eq!(count_cancellations(true), 0);
}

#[test]
fn slow_fills_do_not_make_a_source_silent() {
    let mut fixture = RouterFixture::new();
    let slow_fill = fixture.request(PAGE, "a").remove(0);
    for i in 0..60 {
        // The caches are healthy: hits continue while five fills are slow.
        for sent in fixture.request(PAGE, &format!("o{i}")) {
            if i > 5 || sent.source() != slow_fill.source() {
                fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::Hit);
            }
        }
        assert!(
            fixture.advance(25 * MS).is_empty(),
            "attempt sent while fills were slow"
        );
        assert!(
            !fixture
                .last_actions
                .iter()
                .any(|a| matches!(a, Action::Cancel { .. })),
            "attempt cancelled while fills were slow"
        );
    }
}

#[test]
fn ejected_endpoint_is_probed_after_the_ejection() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(VIDEO, "a").remove(0);
    fixture.complete(&sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
    assert_ne!(fixture.request(VIDEO, "a")[0].endpoint, sent.endpoint);
    fixture.now += 4 * S;
    assert_eq!(fixture.request(VIDEO, "a")[0].endpoint, sent.endpoint);
}

#[test]
fn single_connection_reset_does_not_eject_a_cache() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(VIDEO, "a").remove(0);
    fixture.complete(&sent, AttemptStatus::Reset, CacheStatus::Unreported);
    assert_eq!(fixture.request(VIDEO, "a")[0].endpoint, sent.endpoint);
}

/// Completes every request, with a reset at the failing caches and with a hit at the others.
fn fail_requests_at(fixture: &mut RouterFixture, failing: &[EndpointId]) {
    for i in 0..60 {
        let mut sent = fixture.request(VIDEO, &format!("o{i}"));
        while let Some(one) = sent.pop() {
            let fails = failing.contains(&one.endpoint);
            let (status, cache_status) = if fails {
                (AttemptStatus::Reset, CacheStatus::Unreported)
            } else {
                (AttemptStatus::Ok, CacheStatus::Hit)
            };
            sent = fixture.complete(&one, status, cache_status);
        }
    }
}

#[test]
fn outlier_is_ejected_but_not_most_of_a_zone() {
    let [c1, c2, _] = ["c1", "c2", "c3"].map(EndpointId::named);
    for (failing, used) in [(vec![c1], false), (vec![c1, c2], true)] {
        let mut fixture = RouterFixture::new();
        fail_requests_at(&mut fixture, &failing);
        let to_c1 = (0..40).any(|i| {
            let sent = fixture.request(VIDEO, &format!("n{i}")).remove(0);
            fixture.complete(&sent, AttemptStatus::Ok, CacheStatus::Hit);
            sent.endpoint == c1
        });
        assert_eq!(
            to_c1,
            used,
            "whether c1 gets requests with {} failing caches",
            failing.len()
        );
    }
}

#[test]
fn slow_rejection_counts_against_the_source_where_unreported() {
    let mut unreported = settings();
    unreported.cache_status_detail = CacheStatusDetail::None;
    for (elapsed, source_at_fault) in [(MS, false), (400 * MS, true)] {
        let mut fixture = RouterFixture::with(unreported.clone(), fleet());
        let sent = fixture.request(VIDEO, "a").remove(0);
        let next = fixture
            .complete_after(
                &sent,
                AttemptStatus::Rejected,
                CacheStatus::Unreported,
                elapsed,
            )
            .remove(0);
        assert_eq!(
            (
                next.endpoint == sent.endpoint,
                next.source() != sent.source()
            ),
            (source_at_fault, source_at_fault),
            "whether a rejection after {elapsed} us is retried at the same cache with another source"
        );
    }
}

#[test]
fn request_is_rejected_after_one_attempt_at_each_unreachable_cache() {
    let mut fixture = RouterFixture::new();
    let (mut sent, mut tried) = (fixture.request(VIDEO, "a"), vec![]);
    while let Some(one) = sent.pop() {
        tried.push(one.endpoint);
        sent = fixture.complete(&one, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
    assert!(
        matches!(fixture.final_responses()[..], [Action::Reject { .. }]),
        "request not rejected after its attempts at all caches failed"
    );
}

/// The source completes three times as many fills as are lost, and the cache may be at fault, so the source must not
/// be ejected. Some fills are diverted to the origin, and from an origin that loses some as well to stale copies.
#[test]
fn timeouts_at_a_live_cache_do_not_eject_its_source() {
    let parent = EndpointId::named("p1");
    let mut endpoints = fleet();
    endpoints.retain(|m| m.kind != 1 || m.id == parent);
    let mut fixture = RouterFixture::with(settings(), endpoints);
    let (mut via_parent, mut accepting_stale) = (0, 0);
    for i in 0..60 {
        let timed_out = fixture.request(VIDEO, &format!("l{i}")).remove(0);
        via_parent += (timed_out.source() == parent) as u32;
        // Every cache responds in the meantime, and the source completes three fills.
        let answered: Vec<SentAttempt> = (0..9)
            .flat_map(|k| fixture.request(VIDEO, &format!("g{i}-{k}")))
            .collect();
        fixture.now += 20 * MS;
        for (k, sent) in answered.iter().enumerate() {
            fixture.complete(
                sent,
                AttemptStatus::Ok,
                if k < 3 {
                    CacheStatus::Filled
                } else {
                    CacheStatus::Hit
                },
            );
        }
        fixture.complete_after(
            &timed_out,
            AttemptStatus::Timeout,
            CacheStatus::Unreported,
            3 * S,
        );
        let page = fixture.request(PAGE, &format!("p{i}")).remove(0);
        let fill = [parent, EndpointId::named("origin")].contains(&page.source());
        assert!(
            fill,
            "iteration {i}: page fetched neither from the parent nor from the origin"
        );
        accepting_stale += (page.fetch().max_age != 12 * S) as u32;
        fixture.complete(&page, AttemptStatus::Ok, CacheStatus::Hit);
    }
    assert!(
        via_parent >= 30 && accepting_stale <= 30,
        "of 60 iterations, {via_parent} with a fill from the parent and {accepting_stale} with a page that may be stale"
    );
}

/// Network failures reset connections to any endpoint, so a few resets must not eject the origin.
#[test]
fn few_connection_resets_do_not_eject_the_origin() {
    let mut fixture = RouterFixture::new();
    for _ in 0..3 {
        let write = fixture.request(KEYED, "w").remove(0);
        fixture.complete(&write, AttemptStatus::Reset, CacheStatus::Unreported);
    }
    assert!(!fixture.request(VIDEO, "a")[0].fetch().only_if_cached);
}
