//! Restart detection before the endpoint list reports a restart, hellos and leases.
mod common;
use common::*;
use pointspindle::*;

/// Returns a router in a zone with one cache, to which every request is sent.
fn single_cache_fixture() -> RouterFixture {
    let mut fixture = RouterFixture::with(
        settings(),
        vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)],
    );
    // Skips the overload window after the router's own start.
    fixture.advance(60 * S);
    fixture
}

/// Returns how many of 60 simultaneous requests are sent.
fn admitted_requests(fixture: &mut RouterFixture) -> usize {
    let sent: Vec<SentAttempt> = (0..60)
        .flat_map(|n| fixture.request(VIDEO, &format!("x{n}-{}", fixture.now)))
        .collect();
    for attempt in &sent {
        fixture.complete(attempt, AttemptStatus::Ok, CacheStatus::Hit);
    }
    sent.len()
}

/// Sends requests whose connections are refused, each after a gap of the given time.
fn refuse_connections(fixture: &mut RouterFixture, gaps: &[Micros]) {
    for gap in gaps {
        fixture.now += gap;
        for sent in fixture.request(VIDEO, "a") {
            fixture.complete_after(
                &sent,
                AttemptStatus::ConnectFailed,
                CacheStatus::Unreported,
                0,
            );
        }
    }
}

fn answer_one_request(fixture: &mut RouterFixture) {
    let sent = fixture.request(VIDEO, "b");
    assert_eq!(sent.len(), 1, "exactly one attempt expected");
    fixture.complete(&sent[0], AttemptStatus::Ok, CacheStatus::Hit);
}

/// Whether the router limits requests to a warm-up budget.
fn stays_within_warm_up_budget(fixture: &mut RouterFixture) -> bool {
    let time_before = fixture.now;
    // Large responses exhaust even a large budget quickly: each is forty times as large as the others.
    let send_large_request = |fixture: &mut RouterFixture, n: u64| {
        fixture.handle(Event::Request(Request {
            id: RequestId(1_000_000 + fixture.now + n),
            class: VIDEO,
            object: ObjectId(n),
            part: 0,
            group: 5,
            time_left: 3 * S,
            size_kb: Some(12_000.0),
            idempotency_key: None,
        }))
    };
    let mut sent = Vec::new();
    for n in 0..40 {
        sent.extend(send_large_request(fixture, n));
    }
    for attempt in &sent {
        fixture.complete(attempt, AttemptStatus::Ok, CacheStatus::Hit);
    }
    fixture.now = time_before;
    sent.len() < 16
}

#[test]
fn response_after_refused_connections_is_a_new_incarnation() {
    let mut fixture = single_cache_fixture();
    assert!(
        !stays_within_warm_up_budget(&mut fixture),
        "a warm cache has no warm-up budget"
    );
    refuse_connections(&mut fixture, &[S, 600 * MS, 600 * MS]);
    assert!(
        stays_within_warm_up_budget(&mut fixture),
        "no process listens, so the next one to answer has just started"
    );
    fixture.now += 3 * S;
    answer_one_request(&mut fixture);
    fixture.now += 3 * S;
    assert!(
        stays_within_warm_up_budget(&mut fixture),
        "slow start ended before the end of the warm-up"
    );
    fixture.now += 13 * S;
    assert!(!stays_within_warm_up_budget(&mut fixture));
}

#[test]
fn single_refused_or_reset_connection_is_no_restart() {
    let mut fixture = single_cache_fixture();
    refuse_connections(&mut fixture, &[S]);
    fixture.now += S;
    answer_one_request(&mut fixture);
    assert!(!stays_within_warm_up_budget(&mut fixture));
    for _ in 0..3 {
        fixture.now += S;
        let sent = fixture.request(VIDEO, "a");
        fixture.complete(&sent[0], AttemptStatus::Reset, CacheStatus::Unreported);
    }
    fixture.now += 5 * S;
    answer_one_request(&mut fixture);
    assert!(!stays_within_warm_up_budget(&mut fixture));
}

/// An endpoint that refuses further connections, because of a connection limit or a full backlog, still answers
/// requests in flight. This must not count as a restart.
#[test]
fn refused_connections_with_requests_in_flight_are_no_restart() {
    let mut fixture = single_cache_fixture();
    let in_flight = fixture.request(VIDEO, "held");
    refuse_connections(&mut fixture, &[S, 600 * MS, 600 * MS]);
    fixture.complete(&in_flight[0], AttemptStatus::Ok, CacheStatus::Hit);
    fixture.now += 3 * S;
    answer_one_request(&mut fixture);
    assert!(!stays_within_warm_up_budget(&mut fixture));
}

#[test]
fn listed_start_replaces_the_inferred_one_unless_older() {
    let mut fixture = single_cache_fixture();
    refuse_connections(&mut fixture, &[S, 600 * MS, 600 * MS]);
    let last_refused_at = fixture.now;
    fixture.now += 3 * S;
    answer_one_request(&mut fixture);
    // A start before the outage belongs to the previous incarnation.
    fixture.update(vec![EndpointEntry {
        started_at: last_refused_at - 30 * S,
        ..entry("c1", 0)
    }]);
    assert!(stays_within_warm_up_budget(&mut fixture));
    // A start after the outage belongs to the current incarnation and replaces the inferred time.
    fixture.update(vec![EndpointEntry {
        started_at: last_refused_at + S,
        ..entry("c1", 0)
    }]);
    fixture.now = last_refused_at + 14 * S;
    assert!(
        !stays_within_warm_up_budget(&mut fixture),
        "slow start not over after 10 s of warm-up and an overload window"
    );
    // An older list arrives late.
    fixture.now = last_refused_at + 4 * S;
    fixture.update(vec![entry("c1", 0)]);
    assert!(stays_within_warm_up_budget(&mut fixture));
}

#[test]
fn second_restart_within_a_warm_up_begins_slow_start_again() {
    let mut fixture = single_cache_fixture();
    refuse_connections(&mut fixture, &[S, 600 * MS, 600 * MS]);
    fixture.now += S;
    answer_one_request(&mut fixture);
    fixture.now += 5 * S;
    refuse_connections(&mut fixture, &[S, 600 * MS, 600 * MS]);
    fixture.now += 3 * S;
    answer_one_request(&mut fixture);
    let second_start = fixture.now;
    // After the warm-up of the first incarnation.
    fixture.now = second_start + 2 * S;
    assert!(stays_within_warm_up_budget(&mut fixture));
}

/// After silence the endpoint may be a new incarnation or a process that was paused. Slow start lasts until the
/// endpoint list would have reported a restart.
#[test]
fn response_after_silence_begins_slow_start_for_two_windows() {
    let mut fixture = single_cache_fixture();
    let unanswered: Vec<SentAttempt> = (0..3)
        .flat_map(|n| fixture.request(VIDEO, &format!("l{n}")))
        .collect();
    fixture.advance(2 * S);
    for attempt in &unanswered {
        fixture.complete(attempt, AttemptStatus::Cancelled, CacheStatus::Unreported);
    }
    fixture.now += 6 * S;
    answer_one_request(&mut fixture);
    assert!(stays_within_warm_up_budget(&mut fixture));
    fixture.now += 5 * S;
    assert!(!stays_within_warm_up_budget(&mut fixture));
}

/// A listed start stays valid if a later silence turns out to have been a pause.
#[test]
fn pause_within_a_warm_up_does_not_end_slow_start() {
    let mut fixture = single_cache_fixture();
    let started = fixture.now;
    fixture.update(vec![EndpointEntry {
        started_at: started,
        ..entry("c1", 0)
    }]);
    fixture.now += S;
    let unanswered: Vec<SentAttempt> = (0..3)
        .flat_map(|n| fixture.request(VIDEO, &format!("l{n}")))
        .collect();
    fixture.advance(2 * S);
    for attempt in &unanswered {
        fixture.complete(attempt, AttemptStatus::Cancelled, CacheStatus::Unreported);
    }
    fixture.now = started + 4 * S;
    answer_one_request(&mut fixture);
    fixture.now = started + 4 * S + 4 * S + 100 * MS;
    assert!(
        stays_within_warm_up_budget(&mut fixture),
        "slow start ended after 8 s of a warm-up of 10 s"
    );
}

#[test]
fn hello_replaces_every_inferred_start() {
    let mut fixture = single_cache_fixture();
    let endpoint = EndpointId::named("c1");
    fixture.handle(Event::Hello {
        endpoint,
        started_at: fixture.now - S,
    });
    assert!(
        stays_within_warm_up_budget(&mut fixture),
        "hello did not begin slow start before the endpoint list reported the restart"
    );
    fixture.update(vec![EndpointEntry {
        started_at: fixture.now - 300 * S,
        ..entry("c1", 0)
    }]);
    assert!(
        stays_within_warm_up_budget(&mut fixture),
        "an older start in the endpoint list replaced the start in the hello"
    );
    fixture.now += 13 * S;
    refuse_connections(&mut fixture, &[S, 600 * MS, 600 * MS]);
    assert!(stays_within_warm_up_budget(&mut fixture));
    fixture.handle(Event::Hello {
        endpoint,
        started_at: 0,
    });
    assert!(
        !stays_within_warm_up_budget(&mut fixture),
        "hello reports a process that has run for long: only the connection was interrupted"
    );
}

#[test]
fn lease_replaces_the_warm_up_budget_until_it_expires() {
    let mut fixture = single_cache_fixture();
    let endpoint = EndpointId::named("c1");
    fixture.handle(Event::Hello {
        endpoint,
        started_at: fixture.now,
    });
    fixture.handle(Event::Lease {
        endpoint,
        work_s: 0.0,
        duration: 250 * MS,
    });
    assert_eq!(
        admitted_requests(&mut fixture),
        0,
        "requests sent under a lease without work"
    );
    fixture.now += 250 * MS;
    fixture.handle(Event::Lease {
        endpoint,
        work_s: 0.21,
        duration: 250 * MS,
    });
    assert!(
        (2..=4).contains(&admitted_requests(&mut fixture)),
        "a lease of 0.21 s of work allows about four requests of 0.05 s"
    );
    fixture.now += 300 * MS;
    assert_eq!(
        admitted_requests(&mut fixture),
        0,
        "requests sent after the end of the lease, before the next one is overdue"
    );
    fixture.now += 600 * MS;
    assert!(
        admitted_requests(&mut fixture) > 10,
        "warm-up budget not used again although no lease has arrived for three durations"
    );
}

#[test]
fn new_incarnation_starts_without_ejection() {
    let mut fixture = RouterFixture::new();
    fixture.now += 3 * S;
    let home = fixture.request(VIDEO, "a").remove(0);
    fixture.complete(&home, AttemptStatus::ConnectFailed, CacheStatus::Unreported);
    assert_ne!(fixture.request(VIDEO, "a")[0].endpoint, home.endpoint);
    let mut new_incarnation = fleet().into_iter().find(|e| e.id == home.endpoint).unwrap();
    (new_incarnation.started_at, new_incarnation.weight) = (fixture.now, 60.0);
    fixture.update(vec![new_incarnation]);
    assert_eq!(fixture.request(VIDEO, "a")[0].endpoint, home.endpoint);
}
