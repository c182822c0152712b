//! Outlier detection: whose fault a failure is, ejection, probes and silent endpoints.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn unreported_error_counts_against_the_named_source() {
    let mut unreported = settings();
    unreported.cache_status_detail = CacheStatusDetail::None;
    let mut s = RouterFixture::with(unreported, fleet());
    let sent = s.request(PAGE, "a").remove(0);
    let stale = s
        .complete(&sent, AttemptStatus::Error, CacheStatus::Unreported)
        .remove(0);
    assert_eq!(
        (stale.endpoint, stale.source()),
        (sent.endpoint, sent.endpoint)
    );
}

#[test]
fn silent_cache_is_ejected_and_its_requests_are_retried() {
    let mut s = RouterFixture::new();
    let first = s.request(VIDEO, "a").remove(0);
    let second = s.request(VIDEO, "a").remove(0);
    assert_eq!(first.endpoint, second.endpoint);
    for _ in 0..30 {
        s.advance(25 * MS);
        if s.last_actions
            .iter()
            .any(|a| matches!(a, Action::Cancel { .. }))
        {
            break;
        }
    }
    assert!(s.now < T0 + 600 * MS, "found within the aim");
    let next = s
        .complete(&first, AttemptStatus::Cancelled, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(next.endpoint, first.endpoint);
    assert_ne!(s.request(VIDEO, "a")[0].endpoint, first.endpoint);
}

/// Slow clients keep their responses open for long; the cache has begun to respond and is alive.
#[test]
fn cache_with_a_started_response_is_not_silent() {
    let run = |begun: bool| {
        let mut stage = RouterFixture::with(
            settings(),
            fleet()
                .into_iter()
                .filter(|e| e.kind != 0)
                .chain([entry("c1", 0)])
                .collect(),
        );
        for n in 0..3 {
            let sent = stage.request(VIDEO, &format!("o{n}"));
            assert_eq!(sent[0].endpoint, EndpointId::named("c1"));
        }
        stage.now += 10 * MS;
        if begun {
            stage.handle(Event::ResponseStarted(EndpointId::named("c1")));
        }
        stage.advance(2 * S);
        stage
            .last_actions
            .iter()
            .filter(|a| matches!(a, Action::Cancel { .. }))
            .count()
    };
    assert_eq!(run(false), 3, "without a started response it is silent");
    assert_eq!(run(true), 0);
}

#[test]
fn slow_fills_do_not_make_a_source_silent() {
    let mut s = RouterFixture::new();
    let bound = s.request(PAGE, "a").remove(0);
    for i in 0..60 {
        // The caches are healthy: hits continue while five fills are slow.
        for sent in s.request(PAGE, &format!("o{i}")) {
            if i > 5 || sent.source() != bound.source() {
                s.complete(&sent, AttemptStatus::Ok, CacheStatus::Hit);
            }
        }
        assert!(s.advance(25 * MS).is_empty(), "sent again elsewhere");
        assert!(
            !s.last_actions
                .iter()
                .any(|a| matches!(a, Action::Cancel { .. })),
            "cancelled"
        );
    }
}

#[test]
fn ejected_endpoint_is_probed_after_the_ejection() {
    let mut s = RouterFixture::new();
    let sent = s.request(VIDEO, "a").remove(0);
    s.complete(&sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
    assert_ne!(s.request(VIDEO, "a")[0].endpoint, sent.endpoint);
    s.now += 4 * S;
    assert_eq!(s.request(VIDEO, "a")[0].endpoint, sent.endpoint);
}

#[test]
fn single_connection_reset_does_not_eject_a_cache() {
    let mut s = RouterFixture::new();
    let sent = s.request(VIDEO, "a").remove(0);
    s.complete(&sent, AttemptStatus::Reset, CacheStatus::Unreported);
    assert_eq!(s.request(VIDEO, "a")[0].endpoint, sent.endpoint);
}

/// Completes every request: with a reset at the failing caches, else with a hit.
fn fail_requests_at(s: &mut RouterFixture, failing: &[EndpointId]) {
    for i in 0..60 {
        let mut sent = s.request(VIDEO, &format!("o{i}"));
        while let Some(one) = sent.pop() {
            let bad = failing.contains(&one.endpoint);
            let (status, cache_status) = if bad {
                (AttemptStatus::Reset, CacheStatus::Unreported)
            } else {
                (AttemptStatus::Ok, CacheStatus::Hit)
            };
            sent = s.complete(&one, status, cache_status);
        }
    }
}

#[test]
fn outlier_is_ejected_but_not_most_of_a_zone() {
    let [c1, c2, _] = ["c1", "c2", "c3"].map(EndpointId::named);
    for (failing, used) in [(vec![c1], false), (vec![c1, c2], true)] {
        let mut s = RouterFixture::new();
        fail_requests_at(&mut s, &failing);
        let to_c1 = (0..40).any(|i| {
            let sent = s.request(VIDEO, &format!("n{i}")).remove(0);
            s.complete(&sent, AttemptStatus::Ok, CacheStatus::Hit);
            sent.endpoint == c1
        });
        assert_eq!(to_c1, used, "{} failing", failing.len());
    }
}

#[test]
fn slow_rejection_counts_against_the_source_where_unreported() {
    let mut unreported = settings();
    unreported.cache_status_detail = CacheStatusDetail::None;
    for (elapsed, blamed) in [(MS, false), (400 * MS, true)] {
        let mut s = RouterFixture::with(unreported.clone(), fleet());
        let sent = s.request(VIDEO, "a").remove(0);
        let next = s
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
            (blamed, blamed),
            "{elapsed}"
        );
    }
}

#[test]
fn request_is_rejected_after_one_attempt_at_each_dead_cache() {
    let mut s = RouterFixture::new();
    let (mut sent, mut tried) = (s.request(VIDEO, "a"), vec![]);
    while let Some(one) = sent.pop() {
        tried.push(one.endpoint);
        sent = s.complete(&one, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
    assert!(
        matches!(s.final_responses()[..], [Action::Reject { .. }]),
        "not left open until its deadline"
    );
}

/// The source fills three times as many requests as are lost, and the cache may be at fault: it is not ejected. Some
/// fills are diverted to the origin, and from an origin that loses some as well to stale copies.
#[test]
fn timeouts_at_a_live_cache_do_not_eject_its_source() {
    let parent = EndpointId::named("p1");
    let mut endpoints = fleet();
    endpoints.retain(|m| m.kind != 1 || m.id == parent);
    let mut s = RouterFixture::with(settings(), endpoints);
    let (mut there, mut spared) = (0, 0);
    for i in 0..60 {
        let lost = s.request(VIDEO, &format!("l{i}")).remove(0);
        there += (lost.source() == parent) as u32;
        // Every cache responds meanwhile, and the source fills three.
        let good: Vec<SentAttempt> = (0..9)
            .flat_map(|k| s.request(VIDEO, &format!("g{i}-{k}")))
            .collect();
        s.now += 20 * MS;
        for (k, sent) in good.iter().enumerate() {
            s.complete(
                sent,
                AttemptStatus::Ok,
                if k < 3 {
                    CacheStatus::Filled
                } else {
                    CacheStatus::Hit
                },
            );
        }
        s.complete_after(
            &lost,
            AttemptStatus::Timeout,
            CacheStatus::Unreported,
            3 * S,
        );
        let page = s.request(PAGE, &format!("p{i}")).remove(0);
        let fill = [parent, EndpointId::named("origin")].contains(&page.source());
        assert!(fill, "ejected after {i}");
        spared += (page.fetch().max_age != 12 * S) as u32;
        s.complete(&page, AttemptStatus::Ok, CacheStatus::Hit);
    }
    assert!(
        there >= 30 && spared <= 30,
        "{there} there and {spared} spared of 60"
    );
}

/// The network breaks connections of every endpoint alike: the origin is not ejected for it.
#[test]
fn few_connection_resets_do_not_eject_the_origin() {
    let mut s = RouterFixture::new();
    for _ in 0..3 {
        let write = s.request(KEYED, "w").remove(0);
        s.complete(&write, AttemptStatus::Reset, CacheStatus::Unreported);
    }
    assert!(!s.request(VIDEO, "a")[0].fetch().only_if_cached);
}
