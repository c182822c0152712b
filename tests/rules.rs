//! The five rules, one small test each and more where a rule has several sides.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn a_timeout_at_the_deadline_still_gets_a_final_answer() {
    let mut s = Stage::new();
    let sent = s.ask(VIDEO, "a").remove(0);
    s.now += sent.timeout;
    assert!(s
        .end(&sent, AttemptStatus::Timeout, CacheStatus::Unreported)
        .is_empty());
    assert_eq!(s.finals().len(), 1);
}

#[test]
fn with_nobody_to_send_to_a_request_is_refused_in_time() {
    let mut s = Stage::with(settings(), vec![]);
    assert!(s.ask(VIDEO, "a").is_empty());
    assert!(
        matches!(s.finals()[..], [Action::Reject { .. }]),
        "the client comes back"
    );
    assert!(
        s.ask(UNSAFE, "a").is_empty() && s.finals().is_empty(),
        "this one can only wait"
    );
    let mut answered = None;
    for _ in 0..200 {
        s.wait(20 * MS);
        if matches!(s.finals()[..], [Action::Reject { .. }]) {
            answered = Some(s.now);
        }
    }
    assert!(answered.is_some_and(|at| at <= T0 + 3 * S));
}

#[test]
fn after_a_hang_up_nothing_goes_out() {
    let mut s = Stage::new();
    let sent = s.ask(VIDEO, "a").remove(0);
    s.tell(Event::ClientDisconnected(sent.request));
    assert!(s
        .end(&sent, AttemptStatus::Cancelled, CacheStatus::Unreported)
        .is_empty());
    assert!(s.wait(50 * MS).is_empty());
    assert!(s.finals().is_empty());
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_resent() {
    let mut s = Stage::new();
    let sent = s.ask(UNSAFE, "a").remove(0);
    assert!(s
        .end(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
        .is_empty());
    assert!(matches!(s.finals()[..], [Action::Fail { .. }]));
}

#[test]
fn an_unsafe_request_that_did_not_run_is_sent_again() {
    let mut s = Stage::new();
    let sent = s.ask(UNSAFE, "a").remove(0);
    assert_eq!(
        s.end(&sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported)
            .len(),
        1
    );
}

#[test]
fn a_keyed_request_is_resent_only_within_its_window() {
    for (after, resent) in [(500 * MS, 1), (1_990 * MS, 0)] {
        let mut s = Stage::new();
        let sent = s.ask(KEYED, "a").remove(0);
        s.now += after;
        assert_eq!(
            s.end(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
                .len(),
            resent,
            "{after}"
        );
    }
}

#[test]
fn the_keyed_window_counts_from_the_first_send_that_may_have_run() {
    let mut s = Stage::new();
    let first = s.ask(KEYED, "a").remove(0);
    s.now += 1_000 * MS;
    let second = s
        .end(&first, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    s.now += 950 * MS;
    assert!(s
        .end(&second, AttemptStatus::Reset, CacheStatus::Unreported)
        .is_empty());
}

#[test]
fn two_attempts_are_never_out_together() {
    let mut s = Stage::new();
    let sent = s.ask(VIDEO, "a").remove(0);
    for _ in 0..40 {
        assert!(s.wait(25 * MS).is_empty());
    }
    assert_eq!(
        s.end(&sent, AttemptStatus::Cancelled, CacheStatus::Unreported)
            .len(),
        1
    );
}

#[test]
fn attempts_stay_under_the_most_allowed() {
    let mut s = Stage::new();
    let mut sent = s.ask(VIDEO, "a");
    let mut count = 0;
    while let Some(one) = sent.pop() {
        count += 1;
        sent = s.end(&one, AttemptStatus::Rejected, CacheStatus::Unreported);
        for _ in 0..20 {
            if sent.is_empty() {
                sent = s.wait(25 * MS);
            }
        }
    }
    assert!((2..=6).contains(&count), "{count}");
}

#[test]
fn a_draining_cache_gets_nothing_new() {
    let mut s = Stage::new();
    let home = s.ask(VIDEO, "a").remove(0).endpoint;
    let mut gone = fleet().into_iter().find(|e| e.id == home).unwrap();
    gone.state = EndpointState::Draining;
    s.update(vec![gone]);
    for i in 0..50 {
        assert!(s
            .ask(VIDEO, &format!("o{i}"))
            .iter()
            .all(|sent| sent.endpoint != home));
    }
}

#[test]
fn a_draining_parent_is_named_as_no_source() {
    let mut s = Stage::new();
    let parent = s.ask(VIDEO, "a").remove(0).source();
    let mut gone = fleet().into_iter().find(|e| e.id == parent).unwrap();
    gone.state = EndpointState::Gone;
    s.update(vec![gone]);
    for i in 0..50 {
        assert!(s
            .ask(VIDEO, &format!("o{i}"))
            .iter()
            .all(|sent| sent.source() != parent));
    }
}

#[test]
fn who_is_missing_from_a_full_list_has_left() {
    let mut s = Stage::new();
    let home = s.ask(VIDEO, "a").remove(0).endpoint;
    let rest = fleet().into_iter().filter(|e| e.id != home).collect();
    s.tell(Event::EndpointList {
        update: ListUpdate::Full,
        entries: rest,
    });
    assert_ne!(s.ask(VIDEO, "a")[0].endpoint, home);
}

/// Work sent to one member within two seconds, in seconds of sending.
fn pushed(s: &mut Stage, count: usize, to: EndpointId, as_source: bool) -> f64 {
    let mut n = 0;
    for i in 0..count {
        for sent in s.ask(VIDEO, &format!("push{i}")) {
            n += (if as_source {
                sent.source()
            } else {
                sent.endpoint
            } == to) as usize;
            s.end(
                &sent,
                AttemptStatus::Ok,
                if as_source {
                    CacheStatus::Filled
                } else {
                    CacheStatus::Hit
                },
            );
        }
        s.now += 2 * S / count as Micros;
    }
    n as f64 * 0.05
}

#[test]
fn a_cold_cache_is_not_pushed_over() {
    let mut s = Stage::new();
    let mut cold = entry("c1", 0);
    s.now += 10 * S;
    cold.started_at = s.now;
    s.update(vec![cold.clone()]);
    let work = pushed(&mut s, 2000, cold.id, false);
    assert!(work > 0.0, "it gets some");
    assert!(work <= 2.0 * 0.36 * 6.0 * 2.0, "{work}");
}

#[test]
fn a_cold_parent_is_not_pushed_over_by_fills() {
    let mut s = Stage::new();
    let mut cold = entry("p1", 1);
    s.now += 10 * S;
    cold.started_at = s.now;
    s.update(vec![cold.clone()]);
    let work = pushed(&mut s, 2000, cold.id, true);
    assert!(work > 0.0, "it gets some");
    assert!(work <= 2.0 * 0.19 * 6.0 * 2.0 / 2.0, "{work}");
}

#[test]
fn a_router_just_started_leaves_cold_members_alone_for_a_window() {
    let mut endpoints = fleet();
    for m in endpoints.iter_mut().filter(|m| m.kind == 0) {
        m.started_at = T0 - S;
    }
    let mut s = Stage::with(settings(), endpoints);
    assert!(s.ask(VIDEO, "a").is_empty());
    s.now += 1_900 * MS;
    assert!(s.ask(VIDEO, "a").is_empty());
    s.now += 200 * MS;
    assert_eq!(s.ask(VIDEO, "a").len(), 1);
}

#[test]
fn a_purge_limits_the_age_asked_for() {
    let mut s = Stage::new();
    s.tell(Event::Purge {
        object: Some(ObjectId::named("a")),
        group: 5,
        age: 100 * MS,
    });
    for class in [VIDEO, PAGE] {
        let sent = s.ask(class, "a").remove(0);
        assert_eq!(sent.fetch().max_age, 100 * MS);
        assert!(
            !sent.fetch().coalesce,
            "a fill begun before the purge hands on the old copy"
        );
        let other = s.ask(class, "b").remove(0);
        assert_ne!(other.fetch().max_age, 100 * MS);
    }
}

#[test]
fn a_purge_just_now_never_asks_for_age_zero() {
    let mut s = Stage::new();
    s.tell(Event::Purge {
        object: None,
        group: 5,
        age: 0,
    });
    assert_eq!(s.ask(VIDEO, "a")[0].fetch().max_age, 1);
    assert_eq!(s.ask(PAGE, "b")[0].fetch().max_age, 1);
}

#[test]
fn a_purge_is_forgotten_once_no_older_copy_is_left() {
    let mut s = Stage::new();
    s.tell(Event::Purge {
        object: None,
        group: 5,
        age: 0,
    });
    s.now += 5_900 * MS;
    assert_eq!(s.ask(VIDEO, "a")[0].fetch().max_age, 5_900 * MS);
    s.now += 2 * S;
    assert_eq!(s.ask(VIDEO, "a")[0].fetch().max_age, 0);
}

#[test]
fn the_stale_try_is_never_older_than_a_purge() {
    let mut s = Stage::new();
    s.tell(Event::Purge {
        object: Some(ObjectId::named("a")),
        group: 5,
        age: 700 * MS,
    });
    let sent = s.ask(PAGE, "a").remove(0);
    let stale = s
        .end(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    assert_eq!(
        (stale.fetch().max_age, stale.source()),
        (700 * MS, stale.endpoint)
    );
}

/// Sends from `count` routers, all of one location, to one cold member within its window, in seconds of sending.
fn pushed_by_all(count: u32, kind: usize) -> f64 {
    let cold = EndpointId::named(["c1", "p1"][kind]);
    let mut sum = 0.0;
    for me in 0..count {
        let mut set = settings();
        (set.routers, set.router_index, set.zones[1].routers) = (count, Some(me), count);
        let mut s = Stage::with(set, fleet());
        s.now += 10 * S;
        let mut entry = entry(["c1", "p1"][kind], kind);
        (entry.started_at, entry.weight) = (s.now, 60.0);
        s.update(vec![entry]);
        s.now += S;
        for i in 0..200 {
            for sent in s.ask(VIDEO, &format!("push{i}")) {
                sum += 0.05
                    * (if kind == 1 {
                        sent.source()
                    } else {
                        sent.endpoint
                    } == cold) as u8 as f64;
                s.end(&sent, AttemptStatus::Ok, CacheStatus::Filled);
            }
            s.now += 10 * MS;
        }
    }
    sum
}

#[test]
fn many_routers_together_use_a_cold_member_and_do_not_push_it_over() {
    for count in [3, 40, 200] {
        let (cache, parent) = (pushed_by_all(count, 0), pushed_by_all(count, 1));
        // Two windows' starts lie within these two seconds; the later one is warmer.
        assert!(cache <= 2.0 * 0.44 * 60.0 * 2.0, "{count}: {cache}");
        assert!(parent <= 2.0 * 0.24 * 60.0 * 2.0, "{count}: {parent}");
        assert!(cache > 1.0 && parent > 1.0, "{count}: {cache} {parent}");
    }
}

#[test]
fn counts_that_contradict_each_other_leave_a_cold_parent_alone() {
    for (routers, me, here) in [(0, Some(500), 2), (0, None, 400), (3, Some(499), 0)] {
        let mut set = settings();
        (set.routers, set.router_index, set.zones[1].routers) = (routers, me, here);
        let mut s = Stage::with(set, fleet());
        let mut cold = entry("p1", 1);
        s.now += 10 * S;
        cold.started_at = s.now;
        s.update(vec![cold.clone()]);
        // One of some five hundred: two seconds' budget is 1.7 s of sending for all of them.
        assert!(
            pushed(&mut s, 400, cold.id, true) <= 2.0 * 0.05,
            "{routers} {me:?} {here}"
        );
    }
}

/// Slow readers hold their answers open for long; the cache that feeds them has begun to answer and lives.
#[test]
fn a_cache_that_has_begun_to_answer_is_not_silent() {
    let run = |begun: bool| {
        let mut stage = Stage::with(
            settings(),
            fleet()
                .into_iter()
                .filter(|e| e.kind != 0)
                .chain([entry("c1", 0)])
                .collect(),
        );
        for n in 0..3 {
            let sent = stage.ask(VIDEO, &format!("o{n}"));
            assert_eq!(sent[0].endpoint, EndpointId::named("c1"));
        }
        stage.now += 10 * MS;
        if begun {
            stage.tell(Event::ResponseStarted(EndpointId::named("c1")));
        }
        stage.wait(2 * S);
        stage
            .last
            .iter()
            .filter(|a| matches!(a, Action::Cancel { .. }))
            .count()
    };
    assert_eq!(run(false), 3, "without a word it is silent");
    assert_eq!(run(true), 0);
}

/// Two doors, one of which tells sizes: quick answers to the other's requests are of small objects only, and a
/// cold member charged by them was pushed over on an overloaded deploy day.
#[test]
fn where_some_sizes_are_told_the_untold_do_not_make_a_cold_member_look_cheap() {
    let cold_sends = |untold: usize| {
        let mut stage = Stage::new();
        let told = |stage: &mut Stage, n: usize| stage.ask(VIDEO, &format!("told{n}"));
        for n in 0..200 {
            let sent = told(&mut stage, n);
            stage.end(&sent[0], AttemptStatus::Ok, CacheStatus::Hit);
        }
        for n in 0..untold {
            let sent = stage.tell(Event::Request(Request {
                id: RequestId(100_000 + n as u64),
                class: VIDEO,
                object: ObjectId::named(&format!("u{n}")),
                part: 0,
                group: 5,
                time_left: 3 * S,
                size_kb: None,
            }));
            stage.end_after(&sent[0], AttemptStatus::Ok, CacheStatus::Hit, MS);
        }
        stage.now += 100 * S;
        let now = stage.now;
        stage.update(vec![EndpointEntry {
            started_at: now,
            ..entry("c9", 0)
        }]);
        let mut sends = 0;
        for n in 0..400 {
            let sent = told(&mut stage, 1_000 + n);
            sends += sent
                .iter()
                .filter(|s| s.endpoint == EndpointId::named("c9"))
                .count();
            for sent in sent {
                stage.end(&sent, AttemptStatus::Ok, CacheStatus::Hit);
            }
        }
        sends
    };
    let (plain, mixed) = (cold_sends(0), cold_sends(500));
    assert!(
        plain > 0 && mixed <= plain + 2,
        "{plain} sends to a cold cache, {mixed} after quick untold answers"
    );
}

/// The resend is ordered within the window and has to wait: it may not begin once the window is over.
#[test]
fn a_resend_that_waits_may_begin_within_the_window_only() {
    let mut s = Stage::new();
    let first = s.ask(KEYED, "a").remove(0);
    s.now += 500 * MS;
    let again = s
        .end(&first, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    // Half a second of the two has gone by; the last stretch is for the way there.
    assert!(s.router.may_begin(s.now, again.request));
    assert!(s.router.may_begin(s.now + 1_200 * MS, again.request));
    assert!(!s.router.may_begin(s.now + 1_490 * MS, again.request));
    let free = s.ask(VIDEO, "b").remove(0);
    assert!(
        s.router.may_begin(s.now + 1_990 * MS, free.request),
        "safe classes have no window"
    );
}
