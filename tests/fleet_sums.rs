//! Sums over many routers: each decides alone, and together they stay within what an endpoint can bear.
mod common;
use common::*;
use pointspindle::*;

/// An overloaded origin stays overloaded by the retries of its late responses. The sum of many routers' traffic shares is
/// nearly zero while responses are late, complete soon after the recovery, and little changed by one late response in
/// five.
#[test]
fn traffic_share_of_a_late_origin_falls_and_recovers() {
    let mut routers: Vec<RouterFixture> = (0..30)
        .map(|seed| RouterFixture::seeded(seed, settings(), fleet()))
        .collect();
    let mut round = |name: &str, answers: usize, bad: fn(usize) -> bool| {
        let mut passed = vec![0; answers];
        for (r, s) in routers.iter_mut().enumerate() {
            for (i, passed) in passed.iter_mut().enumerate() {
                let sent = s.request(VIDEO, &format!("{name}-{i}")).remove(0);
                if sent.fetch().only_if_cached {
                    s.complete(&sent, AttemptStatus::Miss, CacheStatus::SourceMiss);
                } else {
                    *passed += 1;
                    let elapsed = if bad(r + i) { 2 * S } else { 50 * MS };
                    s.complete_after(
                        &sent,
                        AttemptStatus::Ok,
                        CacheStatus::FilledByOrigin,
                        elapsed,
                    );
                }
            }
        }
        passed.iter().rev().take(10).sum::<usize>()
    };
    let all = 10 * 30;
    assert!(round("flaky", 60, |i| i % 5 == 0) > all / 2);
    assert!(round("jam", 40, |_| true) < all / 10);
    assert!(round("well", 150, |_| false) > all * 9 / 10);
}

/// Fills that a parent answers late are diverted to the origin, and return after the recovery.
#[test]
fn traffic_share_of_a_late_parent_falls_and_recovers() {
    let only = vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)];
    let mut routers: Vec<RouterFixture> = (0..30)
        .map(|seed| RouterFixture::seeded(seed, settings(), only.clone()))
        .collect();
    let mut round = |name: &str, answers: usize, late: bool| {
        let mut straight = 0;
        for s in &mut routers {
            for i in 0..answers {
                let sent = s.request(VIDEO, &format!("{name}-{i}")).remove(0);
                if sent.source() == EndpointId::named("origin") {
                    straight += (i >= answers - 10) as usize;
                    s.complete(&sent, AttemptStatus::Ok, CacheStatus::FilledByOrigin);
                } else if sent.source() == EndpointId::named("p1") {
                    let elapsed = if late { 2 * S } else { 50 * MS };
                    s.complete_after(&sent, AttemptStatus::Ok, CacheStatus::Filled, elapsed);
                } else {
                    s.complete(&sent, AttemptStatus::Miss, CacheStatus::Unreported);
                }
            }
        }
        straight
    };
    let all = 30 * 10;
    assert_eq!(round("well", 20, false), 0);
    assert!(round("late", 30, true) > all * 8 / 10);
    assert!(round("again", 300, false) < all / 10);
}

/// A parent fails, and no list reports when a new incarnation is in its place: the probes of 300 routers in any two
/// seconds have to be within its warm-up budget, though all routers have waited equally long.
#[test]
fn probes_of_an_unreachable_parent_stay_within_its_warm_up_budget() {
    let shared_settings = RouterSettings {
        routers: 300,
        zones: vec![Zone { routers: 0 }, Zone { routers: 6 }],
        ..settings()
    };
    let seeded = |me: u32| {
        RouterFixture::seeded(
            me.into(),
            RouterSettings {
                router_index: Some(me),
                ..shared_settings.clone()
            },
            fleet(),
        )
    };
    let mut routers: Vec<RouterFixture> = (0..300).map(seeded).collect();
    let unreachable = EndpointId::named("p1");
    let mut trials = Vec::new();
    for half in 0..240 {
        let mut now = 0;
        for s in &mut routers {
            s.now += S / 2;
            for i in 0..4 {
                let mut sent = s.request(VIDEO, &format!("v{half}-{i}"));
                while let Some(one) = sent.pop() {
                    let lost = one.source() == unreachable;
                    now += lost as u32;
                    let (status, cache_status) =
                        (AttemptStatus::Rejected, CacheStatus::SourceUnreachable);
                    let (status, cache_status) = if lost {
                        (status, cache_status)
                    } else {
                        (AttemptStatus::Ok, CacheStatus::Filled)
                    };
                    sent = s.complete(&one, status, cache_status);
                }
            }
        }
        trials.push(now);
    }
    let rule = shared_settings.parent_slow_start;
    let bears = rule.overload_factor * rule.initial_share * 6.0 * rule.overload_window as f64 / 1e6;
    let seconds = 300.0 / shared_settings.stream_kb_per_s;
    // The failure is detected within the first ten seconds.
    let worst = trials[20..]
        .windows(4)
        .map(|w| w.iter().sum::<u32>())
        .max()
        .expect("windows");
    assert!(worst > 0, "somebody tries");
    assert!(
        worst as f64 * seconds <= bears,
        "{worst} trials of {seconds} s in two seconds, {bears} s borne"
    );
}

/// However many routers share it an ejection ends: the origin, which needs no slow start, and a parent without a
/// slow-start rule are probed again within seconds.
#[test]
fn endpoint_without_slow_start_is_probed_within_seconds() {
    let without_slow_start = SlowStartRule {
        initial_share: 0.0,
        ramp: 0,
        overload_factor: 0.0,
        overload_window: 0,
    };
    let zones = vec![Zone { routers: 0 }, Zone { routers: 300 }];
    let shared_settings = RouterSettings {
        routers: 300,
        zones,
        parent_slow_start: without_slow_start,
        ..settings()
    };
    for (name, kind) in [("p1", 1), ("origin", 2)] {
        let mut s = RouterFixture::with(
            shared_settings.clone(),
            vec![entry("c1", 0), entry(name, kind)],
        );
        let mut tries = Vec::new();
        for half in 0..60 {
            s.now += S / 2;
            let mut sent = s.request(VIDEO, &format!("{half}"));
            while let Some(one) = sent.pop() {
                let lost = one.source() == EndpointId::named(name);
                tries.extend(lost.then_some(half));
                let (status, cache_status) =
                    (AttemptStatus::Rejected, CacheStatus::SourceUnreachable);
                let (status, cache_status) = if lost {
                    (status, cache_status)
                } else {
                    (AttemptStatus::Miss, CacheStatus::Unreported)
                };
                sent = s.complete(&one, status, cache_status);
            }
        }
        let longest = tries.windows(2).map(|w| w[1] - w[0]).max().expect("tries");
        assert!(
            longest <= 12,
            "{name}: {longest} halves of a second between tries"
        );
        assert!(
            tries.last().is_some_and(|last| *last >= 48),
            "{name}: given up, {tries:?}"
        );
    }
}

/// A parent that leaves every second fill without a response is not down, and its failure score never ejects it. Its
/// traffic share falls all the same, in the sum of all routers; a response lost now and then changes little.
#[test]
fn fill_timeouts_lower_the_traffic_share_of_the_source() {
    let only = vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)];
    let straight = |every: usize| {
        let mut count = 0;
        for seed in 0..30 {
            let mut s = RouterFixture::seeded(seed, settings(), only.clone());
            for i in 0..60 {
                let sent = s.request(VIDEO, &format!("v-{i}")).remove(0);
                if sent.source() == EndpointId::named("origin") {
                    count += (i >= 40) as usize;
                    s.complete(&sent, AttemptStatus::Ok, CacheStatus::FilledByOrigin);
                    continue;
                }
                if i % every != 0 {
                    s.complete(&sent, AttemptStatus::Ok, CacheStatus::Filled);
                    continue;
                }
                // The cache answers other requests meanwhile, so it is not silent.
                s.now += 100 * MS;
                let other = s.request(VIDEO, &format!("other-{i}")).remove(0);
                s.complete(&other, AttemptStatus::Ok, CacheStatus::Hit);
                s.complete_after(
                    &sent,
                    AttemptStatus::Timeout,
                    CacheStatus::Unreported,
                    2 * S,
                );
            }
        }
        count
    };
    let all = 30 * 20;
    let (half, few) = (straight(2), straight(20));
    assert!(
        half > all * 6 / 10 && few < all / 10,
        "{half} and {few} of {all}"
    );
}
