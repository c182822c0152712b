//! What many routers do together: each decides alone, the sum is held against what a member can bear.
mod common;
use common::*;
use pointspindle::*;

/// A jam of the origin keeps itself up: what it answers late is asked for again, by everybody. Shares of many routers,
/// summed: nearly nothing goes on to it while answers are late, all of it soon after it is well, and one bad answer in
/// five moves little.
#[test]
fn fills_for_a_jammed_origin_fall_for_the_sum_of_routers_and_come_back() {
    let mut routers: Vec<Stage> = (0..30)
        .map(|seed| Stage::seeded(seed, settings(), fleet()))
        .collect();
    let mut round = |name: &str, answers: usize, bad: fn(usize) -> bool| {
        let mut passed = vec![0; answers];
        for (r, s) in routers.iter_mut().enumerate() {
            for (i, passed) in passed.iter_mut().enumerate() {
                let sent = s.ask(VIDEO, &format!("{name}-{i}")).remove(0);
                if sent.fetch().only_if_cached {
                    s.end(&sent, AttemptStatus::Miss, CacheStatus::SourceMiss);
                } else {
                    *passed += 1;
                    let elapsed = if bad(r + i) { 2 * S } else { 50 * MS };
                    s.end_after(
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

/// What a parent answers late is asked of the origin, by as many as it answers in time, and comes back.
#[test]
fn fills_leave_a_parent_that_is_late_for_the_origin_and_come_back() {
    let only = vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)];
    let mut routers: Vec<Stage> = (0..30)
        .map(|seed| Stage::seeded(seed, settings(), only.clone()))
        .collect();
    let mut round = |name: &str, answers: usize, late: bool| {
        let mut straight = 0;
        for s in &mut routers {
            for i in 0..answers {
                let sent = s.ask(VIDEO, &format!("{name}-{i}")).remove(0);
                if sent.source() == EndpointId::named("origin") {
                    straight += (i >= answers - 10) as usize;
                    s.end(&sent, AttemptStatus::Ok, CacheStatus::FilledByOrigin);
                } else if sent.source() == EndpointId::named("p1") {
                    let elapsed = if late { 2 * S } else { 50 * MS };
                    s.end_after(&sent, AttemptStatus::Ok, CacheStatus::Filled, elapsed);
                } else {
                    s.end(&sent, AttemptStatus::Miss, CacheStatus::Unreported);
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

/// A parent goes, and nobody is told when a cold one is in its place: the trials of 300 routers in any two seconds have
/// to be within what that one bears, though each has waited for it as long as the others.
#[test]
fn trials_of_a_parent_that_is_gone_add_up_to_less_than_a_cold_one_bears() {
    let told = RouterSettings {
        routers: 300,
        zones: vec![Zone { routers: 0 }, Zone { routers: 6 }],
        ..settings()
    };
    let seeded = |me: u32| {
        Stage::seeded(
            me.into(),
            RouterSettings {
                router_index: Some(me),
                ..told.clone()
            },
            fleet(),
        )
    };
    let mut routers: Vec<Stage> = (0..300).map(seeded).collect();
    let gone = EndpointId::named("p1");
    let mut trials = Vec::new();
    for half in 0..240 {
        let mut now = 0;
        for s in &mut routers {
            s.now += S / 2;
            for i in 0..4 {
                let mut sent = s.ask(VIDEO, &format!("v{half}-{i}"));
                while let Some(one) = sent.pop() {
                    let lost = one.source() == gone;
                    now += lost as u32;
                    let (status, note) = (AttemptStatus::Rejected, CacheStatus::SourceUnreachable);
                    let (status, note) = if lost {
                        (status, note)
                    } else {
                        (AttemptStatus::Ok, CacheStatus::Filled)
                    };
                    sent = s.end(&one, status, note);
                }
            }
        }
        trials.push(now);
    }
    let rule = told.parent_slow_start;
    let bears = rule.overload_factor * rule.initial_share * 6.0 * rule.overload_window as f64 / 1e6;
    let seconds = 300.0 / told.stream_kb_per_s;
    // The first ten seconds are spent on finding it gone.
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

/// However many routers share it and whatever is told of cold members, a hold ends: the origin, which is never cold, and a
/// parent of whose cold start nothing is told are tried again within seconds.
#[test]
fn a_long_hold_is_for_what_may_come_back_cold_only() {
    let untold = SlowStartRule {
        initial_share: 0.0,
        ramp: 0,
        overload_factor: 0.0,
        overload_window: 0,
    };
    let zones = vec![Zone { routers: 0 }, Zone { routers: 300 }];
    let told = RouterSettings {
        routers: 300,
        zones,
        parent_slow_start: untold,
        ..settings()
    };
    for (name, kind) in [("p1", 1), ("origin", 2)] {
        let mut s = Stage::with(told.clone(), vec![entry("c1", 0), entry(name, kind)]);
        let mut tries = Vec::new();
        for half in 0..60 {
            s.now += S / 2;
            let mut sent = s.ask(VIDEO, &format!("{half}"));
            while let Some(one) = sent.pop() {
                let lost = one.source() == EndpointId::named(name);
                tries.extend(lost.then_some(half));
                let (status, note) = (AttemptStatus::Rejected, CacheStatus::SourceUnreachable);
                let (status, note) = if lost {
                    (status, note)
                } else {
                    (AttemptStatus::Miss, CacheStatus::Unreported)
                };
                sent = s.end(&one, status, note);
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

/// A parent that leaves every second fill without an answer is not down, and no mark of few answers ever holds it off: its
/// part falls all the same, at the sum of all routers, and an answer lost here and there moves little.
#[test]
fn fills_that_get_no_answer_in_their_time_count_against_the_source() {
    let only = vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)];
    let straight = |every: usize| {
        let mut count = 0;
        for seed in 0..30 {
            let mut s = Stage::seeded(seed, settings(), only.clone());
            for i in 0..60 {
                let sent = s.ask(VIDEO, &format!("v-{i}")).remove(0);
                if sent.source() == EndpointId::named("origin") {
                    count += (i >= 40) as usize;
                    s.end(&sent, AttemptStatus::Ok, CacheStatus::FilledByOrigin);
                    continue;
                }
                if i % every != 0 {
                    s.end(&sent, AttemptStatus::Ok, CacheStatus::Filled);
                    continue;
                }
                // The cache answers others meanwhile: it is not what is silent.
                s.now += 100 * MS;
                let other = s.ask(VIDEO, &format!("other-{i}")).remove(0);
                s.end(&other, AttemptStatus::Ok, CacheStatus::Hit);
                s.end_after(
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
