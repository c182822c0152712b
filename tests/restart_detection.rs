//! Restart detection: restarts that no endpoint list has reported yet, hellos and leases.
mod common;
use common::*;
use pointspindle::*;

/// A zone of one cache, so that every request goes there.
fn single_cache_fixture() -> RouterFixture {
    let mut s = RouterFixture::with(
        settings(),
        vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)],
    );
    // Beyond the overload window after the router's own start.
    s.advance(60 * S);
    s
}

/// How many of 60 requests at once are sent to it.
fn admitted_requests(s: &mut RouterFixture) -> usize {
    let sent: Vec<SentAttempt> = (0..60)
        .flat_map(|n| s.request(VIDEO, &format!("x{n}-{}", s.now)))
        .collect();
    for one in &sent {
        s.complete(one, AttemptStatus::Ok, CacheStatus::Hit);
    }
    sent.len()
}

/// Refused connections, each so long after the one before it.
fn refuse_connections(s: &mut RouterFixture, gaps: &[Micros]) {
    for gap in gaps {
        s.now += gap;
        for sent in s.request(VIDEO, "a") {
            s.complete_after(
                &sent,
                AttemptStatus::ConnectFailed,
                CacheStatus::Unreported,
                0,
            );
        }
    }
}

fn answer_one_request(s: &mut RouterFixture) {
    let sent = s.request(VIDEO, "b");
    assert_eq!(sent.len(), 1, "one may try");
    s.complete(&sent[0], AttemptStatus::Ok, CacheStatus::Hit);
}

/// Whether the router keeps to a warm-up budget.
fn keeps_to_warm_up_budget(s: &mut RouterFixture) -> bool {
    let was = s.now;
    // Small budgets show with large responses: each as large as forty of the others.
    let dear = |s: &mut RouterFixture, n: u64| {
        s.handle(Event::Request(Request {
            id: RequestId(1_000_000 + s.now + n),
            class: VIDEO,
            object: ObjectId(n),
            part: 0,
            group: 5,
            time_left: 3 * S,
            size_kb: Some(12_000.0),
        }))
    };
    let mut sent = Vec::new();
    for n in 0..40 {
        sent.extend(dear(s, n));
    }
    for one in &sent {
        s.complete(one, AttemptStatus::Ok, CacheStatus::Hit);
    }
    s.now = was;
    sent.len() < 16
}

#[test]
fn response_after_refused_connections_is_a_new_incarnation() {
    let mut s = single_cache_fixture();
    assert!(!keeps_to_warm_up_budget(&mut s), "warm");
    refuse_connections(&mut s, &[S, 600 * MS, 600 * MS]);
    assert!(
        keeps_to_warm_up_budget(&mut s),
        "no process is there: what answers next has just started"
    );
    s.now += 3 * S;
    answer_one_request(&mut s);
    s.now += 3 * S;
    assert!(keeps_to_warm_up_budget(&mut s), "its warm-up is not over");
    s.now += 13 * S;
    assert!(!keeps_to_warm_up_budget(&mut s));
}

#[test]
fn single_refused_or_reset_connection_is_no_restart() {
    let mut s = single_cache_fixture();
    refuse_connections(&mut s, &[S]);
    s.now += S;
    answer_one_request(&mut s);
    assert!(!keeps_to_warm_up_budget(&mut s));
    for _ in 0..3 {
        s.now += S;
        let sent = s.request(VIDEO, "a");
        s.complete(&sent[0], AttemptStatus::Reset, CacheStatus::Unreported);
    }
    s.now += 5 * S;
    answer_one_request(&mut s);
    assert!(!keeps_to_warm_up_budget(&mut s));
}

/// An endpoint that accepts no further connections (a limit, a full backlog) still answers requests in flight.
#[test]
fn refused_connections_with_requests_in_flight_are_no_restart() {
    let mut s = single_cache_fixture();
    let in_flight = s.request(VIDEO, "held");
    refuse_connections(&mut s, &[S, 600 * MS, 600 * MS]);
    s.complete(&in_flight[0], AttemptStatus::Ok, CacheStatus::Hit);
    s.now += 3 * S;
    answer_one_request(&mut s);
    assert!(!keeps_to_warm_up_budget(&mut s));
}

#[test]
fn listed_start_replaces_the_inferred_one_unless_older() {
    let mut s = single_cache_fixture();
    refuse_connections(&mut s, &[S, 600 * MS, 600 * MS]);
    let down = s.now;
    s.now += 3 * S;
    answer_one_request(&mut s);
    // A start before the outage: this incarnation came after it.
    s.update(vec![EndpointEntry {
        started_at: down - 30 * S,
        ..entry("c1", 0)
    }]);
    assert!(keeps_to_warm_up_budget(&mut s));
    // The start of this incarnation: exact from now on.
    s.update(vec![EndpointEntry {
        started_at: down + S,
        ..entry("c1", 0)
    }]);
    s.now = down + 14 * S;
    assert!(
        !keeps_to_warm_up_budget(&mut s),
        "10 s of warm-up and a window after its start"
    );
    // An older list that arrives late.
    s.now = down + 4 * S;
    s.update(vec![entry("c1", 0)]);
    assert!(keeps_to_warm_up_budget(&mut s));
}

#[test]
fn second_restart_within_a_warm_up_begins_slow_start_again() {
    let mut s = single_cache_fixture();
    refuse_connections(&mut s, &[S, 600 * MS, 600 * MS]);
    s.now += S;
    answer_one_request(&mut s);
    s.now += 5 * S;
    refuse_connections(&mut s, &[S, 600 * MS, 600 * MS]);
    s.now += 3 * S;
    answer_one_request(&mut s);
    let second = s.now;
    // After the warm-up of the first incarnation.
    s.now = second + 2 * S;
    assert!(keeps_to_warm_up_budget(&mut s));
}

/// A process that was only paused, or a new incarnation: the endpoint list shows soon which it is.
#[test]
fn response_after_silence_begins_slow_start_for_two_windows() {
    let mut s = single_cache_fixture();
    let lost: Vec<SentAttempt> = (0..3)
        .flat_map(|n| s.request(VIDEO, &format!("l{n}")))
        .collect();
    s.advance(2 * S);
    for one in &lost {
        s.complete(one, AttemptStatus::Cancelled, CacheStatus::Unreported);
    }
    s.now += 6 * S;
    answer_one_request(&mut s);
    assert!(keeps_to_warm_up_budget(&mut s));
    s.now += 5 * S;
    assert!(!keeps_to_warm_up_budget(&mut s));
}

/// A listed start stays valid when a silence after it turns out to have been a pause.
#[test]
fn pause_within_a_warm_up_does_not_end_slow_start() {
    let mut s = single_cache_fixture();
    let started = s.now;
    s.update(vec![EndpointEntry {
        started_at: started,
        ..entry("c1", 0)
    }]);
    s.now += S;
    let lost: Vec<SentAttempt> = (0..3)
        .flat_map(|n| s.request(VIDEO, &format!("l{n}")))
        .collect();
    s.advance(2 * S);
    for one in &lost {
        s.complete(one, AttemptStatus::Cancelled, CacheStatus::Unreported);
    }
    s.now = started + 4 * S;
    answer_one_request(&mut s);
    s.now = started + 4 * S + 4 * S + 100 * MS;
    assert!(
        keeps_to_warm_up_budget(&mut s),
        "eight seconds into a warm-up of ten"
    );
}

#[test]
fn hello_replaces_every_inferred_start() {
    let mut s = single_cache_fixture();
    let endpoint = EndpointId::named("c1");
    s.handle(Event::Hello {
        endpoint,
        started_at: s.now - S,
    });
    assert!(keeps_to_warm_up_budget(&mut s), "ahead of the list");
    s.update(vec![EndpointEntry {
        started_at: s.now - 300 * S,
        ..entry("c1", 0)
    }]);
    assert!(
        keeps_to_warm_up_budget(&mut s),
        "a list of before does not undo it"
    );
    s.now += 13 * S;
    refuse_connections(&mut s, &[S, 600 * MS, 600 * MS]);
    assert!(keeps_to_warm_up_budget(&mut s));
    s.handle(Event::Hello {
        endpoint,
        started_at: 0,
    });
    assert!(
        !keeps_to_warm_up_budget(&mut s),
        "the same process as ever: the way to it was cut"
    );
}

#[test]
fn lease_replaces_the_warm_up_budget_until_it_expires() {
    let mut s = single_cache_fixture();
    let endpoint = EndpointId::named("c1");
    s.handle(Event::Hello {
        endpoint,
        started_at: s.now,
    });
    s.handle(Event::Lease {
        endpoint,
        work_s: 0.0,
        duration: 250 * MS,
    });
    assert_eq!(admitted_requests(&mut s), 0, "nothing yet");
    s.now += 250 * MS;
    s.handle(Event::Lease {
        endpoint,
        work_s: 0.21,
        duration: 250 * MS,
    });
    assert!(
        (2..=4).contains(&admitted_requests(&mut s)),
        "some four of 0.05 s"
    );
    s.now += 300 * MS;
    assert_eq!(
        admitted_requests(&mut s),
        0,
        "lapsed, the next one is on its way"
    );
    s.now += 600 * MS;
    assert!(
        admitted_requests(&mut s) > 10,
        "the connection is lost: its own part again"
    );
}

#[test]
fn new_incarnation_starts_without_ejection() {
    let mut s = RouterFixture::new();
    s.now += 3 * S;
    let home = s.request(VIDEO, "a").remove(0);
    s.complete(&home, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
    assert_ne!(s.request(VIDEO, "a")[0].endpoint, home.endpoint);
    let mut back = fleet().into_iter().find(|e| e.id == home.endpoint).unwrap();
    (back.started_at, back.weight) = (s.now, 60.0);
    s.update(vec![back]);
    assert_eq!(s.request(VIDEO, "a")[0].endpoint, home.endpoint);
}
