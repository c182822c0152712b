//! Concurrency limits and the latency objective that adapts them.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn late_responses_lower_the_concurrency_limit_of_a_zone() {
    let admitted = |elapsed: Micros| {
        let mut s = RouterFixture::new();
        for i in 0..200 {
            let sent = s.request(VIDEO, &format!("o{i}")).remove(0);
            s.complete_after(&sent, AttemptStatus::Ok, CacheStatus::Filled, elapsed);
        }
        (0..200)
            .filter(|i| !s.request(VIDEO, &format!("n{i}")).is_empty())
            .count()
    };
    let (quick, slow) = (admitted(50 * MS), admitted(2 * S));
    assert!(slow > 0 && slow < quick && quick < 200, "{slow} {quick}");
}

#[test]
fn request_is_rejected_after_two_rejections_for_lack_of_capacity() {
    let mut s = RouterFixture::new();
    let first = s.request(VIDEO, "a").remove(0);
    let second = s
        .complete(&first, AttemptStatus::Rejected, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(second.endpoint, first.endpoint);
    assert!(s
        .complete(&second, AttemptStatus::Rejected, CacheStatus::Unreported)
        .is_empty());
    assert!(matches!(s.final_responses()[..], [Action::Reject { .. }]));
}

#[test]
fn request_without_fill_capacity_makes_a_cached_only_attempt() {
    let mut s = RouterFixture::new();
    let looked = (0..80)
        .flat_map(|_| s.request(PAGE, "a"))
        .find(|sent| sent.source() == sent.endpoint)
        .unwrap();
    assert_eq!(
        (looked.fetch().max_age, looked.fetch().retention_rank),
        (32 * S, 0)
    );
    assert!(
        s.complete(&looked, AttemptStatus::Miss, CacheStatus::Unreported)
            .is_empty(),
        "no second look"
    );
    assert!(matches!(s.final_responses()[..], [Action::Reject { .. }]));
}

/// Some requests time out, all others are answered within the latency objective.
#[test]
fn timeouts_do_not_lower_the_concurrency_limit_of_a_zone() {
    let mut s = RouterFixture::new();
    let taken = |s: &mut RouterFixture| {
        let full: Vec<SentAttempt> = (0..200)
            .flat_map(|i| s.request(PAGE, &format!("f{i}")))
            .collect();
        let taken = full
            .iter()
            .filter(|sent| sent.source() != sent.endpoint)
            .count();
        full.iter()
            .for_each(|sent| drop(s.complete(sent, AttemptStatus::Ok, CacheStatus::Hit)));
        taken
    };
    let before = taken(&mut s);
    for i in 0..60 {
        let lost = s.request(PAGE, &format!("l{i}")).remove(0);
        let good: Vec<SentAttempt> = (0..4)
            .flat_map(|k| s.request(PAGE, &format!("g{i}-{k}")))
            .collect();
        s.now += 20 * MS;
        good.iter()
            .for_each(|sent| drop(s.complete(sent, AttemptStatus::Ok, CacheStatus::Hit)));
        s.complete_after(
            &lost,
            AttemptStatus::Timeout,
            CacheStatus::Unreported,
            3 * S,
        );
    }
    s.now += 10 * S;
    assert!(taken(&mut s) >= before, "{} of {before}", taken(&mut s));
}

/// A large response is late only in relation to its own size, where that is reported.
#[test]
fn lateness_is_measured_by_the_response_size() {
    let takes = |kb: Option<f64>| {
        let mut s = RouterFixture::new();
        let ask = |s: &mut RouterFixture, i: usize| {
            let object = ObjectId::named(&format!("o{i}"));
            let (id, left) = (RequestId(1_000_000 + i as u64), 3 * S);
            s.handle(Event::Request(Request {
                id,
                class: VIDEO,
                object,
                part: 0,
                group: 5,
                time_left: left,
                size_kb: None,
            }))
        };
        for i in 0..200 {
            let sent = ask(&mut s, i).remove(0);
            s.now += 700 * MS;
            // One in four is large: 700 ms of transfer at the highest rate.
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
            s.handle(Event::Outcome(outcome));
        }
        (200..400)
            .flat_map(|i| ask(&mut s, i))
            .filter(|sent| sent.source() != sent.endpoint)
            .count()
    };
    let (with_sizes, without_sizes) = (takes(Some(4_200.0)), takes(None));
    assert!(
        with_sizes > without_sizes,
        "{with_sizes} where sizes are reported, {without_sizes} where not"
    );
}

/// Late fills are due to the link or the origin: hits continue, and only what may need a fill is rejected.
#[test]
fn late_fills_do_not_lower_the_concurrency_limits_of_caches() {
    let taken_after = |cache_status: CacheStatus| {
        let mut s = RouterFixture::new();
        for i in 0..40 {
            let sent = s.request(PAGE, &format!("w{i}")).remove(0);
            s.complete_after(&sent, AttemptStatus::Ok, cache_status, 2 * S);
        }
        // The link has recovered; the limits are unchanged, or have to be learned again.
        for i in 0..60 {
            let sent = s.request(PAGE, &format!("v{i}")).remove(0);
            s.complete(&sent, AttemptStatus::Ok, CacheStatus::Filled);
        }
        let full: Vec<SentAttempt> = (0..200)
            .flat_map(|i| s.request(PAGE, &format!("f{i}")))
            .collect();
        full.iter()
            .filter(|sent| sent.source() != sent.endpoint)
            .count()
    };
    let (link, hosts) = (
        taken_after(CacheStatus::Filled),
        taken_after(CacheStatus::Hit),
    );
    assert!(
        link > 2 * hosts,
        "{link} after late fills, {hosts} after late hits"
    );
}
