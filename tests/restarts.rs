//! Restarts that no list has told of yet, and what a member says of itself.
mod common;
use common::*;
use pointspindle::*;

/// One cache, so that it is always the one that is asked.
fn alone() -> Stage {
    let mut s = Stage::with(
        settings(),
        vec![entry("c1", 0), entry("p1", 1), entry("origin", 2)],
    );
    // Long enough for the router's own start to be past.
    s.wait(60 * S);
    s
}

/// Requests that reach it at once, each refused or answered by nobody yet.
fn taken(s: &mut Stage) -> usize {
    let sent: Vec<Sent> = (0..60)
        .flat_map(|n| s.ask(VIDEO, &format!("x{n}-{}", s.now)))
        .collect();
    for one in &sent {
        s.end(one, AttemptStatus::Ok, CacheStatus::Hit);
    }
    sent.len()
}

/// Refused connections at these moments, each after the one before it.
fn refused(s: &mut Stage, gaps: &[Micros]) {
    for gap in gaps {
        s.now += gap;
        for sent in s.ask(VIDEO, "a") {
            s.end_after(
                &sent,
                AttemptStatus::ConnectFailed,
                CacheStatus::Unreported,
                0,
            );
        }
    }
}

fn answered(s: &mut Stage) {
    let sent = s.ask(VIDEO, "b");
    assert_eq!(sent.len(), 1, "one may try");
    s.end(&sent[0], AttemptStatus::Ok, CacheStatus::Hit);
}

/// Of 2 x 0.2 x 6 x 2 s, 70 in 100 for this router alone, at 0.05 s each: 67. Warm it takes more.
fn is_careful(s: &mut Stage) -> bool {
    let was = s.now;
    // Small budgets show with dear requests: each as forty of ours.
    let dear = |s: &mut Stage, n: u64| {
        s.tell(Event::Request(Request {
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
        s.end(one, AttemptStatus::Ok, CacheStatus::Hit);
    }
    s.now = was;
    sent.len() < 16
}

#[test]
fn refused_for_a_while_and_then_answered_it_is_a_new_process() {
    let mut s = alone();
    assert!(!is_careful(&mut s), "warm");
    refused(&mut s, &[S, 600 * MS, 600 * MS]);
    assert!(
        is_careful(&mut s),
        "no process is there: what answers next has just started"
    );
    s.now += 3 * S;
    answered(&mut s);
    s.now += 3 * S;
    assert!(is_careful(&mut s), "its warm-up is not over");
    s.now += 13 * S;
    assert!(!is_careful(&mut s));
}

#[test]
fn a_single_refusal_or_a_broken_connection_is_no_restart() {
    let mut s = alone();
    refused(&mut s, &[S]);
    s.now += S;
    answered(&mut s);
    assert!(!is_careful(&mut s));
    for _ in 0..3 {
        s.now += S;
        let sent = s.ask(VIDEO, "a");
        s.end(&sent[0], AttemptStatus::Reset, CacheStatus::Unreported);
    }
    s.now += 5 * S;
    answered(&mut s);
    assert!(!is_careful(&mut s));
}

/// A member that takes no further connections (a limit, a full queue of its kernel) still answers what it has.
#[test]
fn refusals_beside_answers_under_way_are_no_restart() {
    let mut s = alone();
    let held = s.ask(VIDEO, "held");
    refused(&mut s, &[S, 600 * MS, 600 * MS]);
    s.end(&held[0], AttemptStatus::Ok, CacheStatus::Hit);
    s.now += 3 * S;
    answered(&mut s);
    assert!(!is_careful(&mut s));
}

#[test]
fn the_list_corrects_what_was_guessed_and_an_older_one_does_not_undo_it() {
    let mut s = alone();
    refused(&mut s, &[S, 600 * MS, 600 * MS]);
    let down = s.now;
    s.now += 3 * S;
    answered(&mut s);
    // Of a start before the outage: this process came after it.
    s.update(vec![EndpointEntry {
        started_at: down - 30 * S,
        ..entry("c1", 0)
    }]);
    assert!(is_careful(&mut s));
    // Of this one: exact from now on.
    s.update(vec![EndpointEntry {
        started_at: down + S,
        ..entry("c1", 0)
    }]);
    s.now = down + 14 * S;
    assert!(
        !is_careful(&mut s),
        "10 s of warm-up and a window after its start"
    );
    // A list of before, told late.
    s.now = down + 4 * S;
    s.update(vec![entry("c1", 0)]);
    assert!(is_careful(&mut s));
}

#[test]
fn two_restarts_within_one_warm_up_count_from_the_second() {
    let mut s = alone();
    refused(&mut s, &[S, 600 * MS, 600 * MS]);
    s.now += S;
    answered(&mut s);
    s.now += 5 * S;
    refused(&mut s, &[S, 600 * MS, 600 * MS]);
    s.now += 3 * S;
    answered(&mut s);
    let second = s.now;
    // Past the warm-up of the first.
    s.now = second + 2 * S;
    assert!(is_careful(&mut s));
}

/// A process that was only paused, or one that came back without a word: the list tells soon which it was.
#[test]
fn after_silence_it_is_treated_with_care_for_two_windows() {
    let mut s = alone();
    let lost: Vec<Sent> = (0..3)
        .flat_map(|n| s.ask(VIDEO, &format!("l{n}")))
        .collect();
    s.wait(2 * S);
    for one in &lost {
        s.end(one, AttemptStatus::Cancelled, CacheStatus::Unreported);
    }
    s.now += 6 * S;
    answered(&mut s);
    assert!(is_careful(&mut s));
    s.now += 5 * S;
    assert!(!is_careful(&mut s));
}

/// A told start stays in force when a silence after it turns out to have been a pause (found by a hunt: a host slow to
/// death, restarted, silent for want of answers, then taken for warm and pushed over).
#[test]
fn a_pause_within_a_warm_up_does_not_make_it_warm() {
    let mut s = alone();
    let started = s.now;
    s.update(vec![EndpointEntry {
        started_at: started,
        ..entry("c1", 0)
    }]);
    s.now += S;
    let lost: Vec<Sent> = (0..3)
        .flat_map(|n| s.ask(VIDEO, &format!("l{n}")))
        .collect();
    s.wait(2 * S);
    for one in &lost {
        s.end(one, AttemptStatus::Cancelled, CacheStatus::Unreported);
    }
    s.now = started + 4 * S;
    answered(&mut s);
    s.now = started + 4 * S + 4 * S + 100 * MS;
    assert!(is_careful(&mut s), "eight seconds into a warm-up of ten");
}

#[test]
fn a_hello_is_believed_at_once_and_ends_every_guess() {
    let mut s = alone();
    let endpoint = EndpointId::named("c1");
    s.tell(Event::Hello {
        endpoint,
        started_at: s.now - S,
    });
    assert!(is_careful(&mut s), "ahead of the list");
    s.update(vec![EndpointEntry {
        started_at: s.now - 300 * S,
        ..entry("c1", 0)
    }]);
    assert!(is_careful(&mut s), "a list of before does not undo it");
    s.now += 13 * S;
    refused(&mut s, &[S, 600 * MS, 600 * MS]);
    assert!(is_careful(&mut s));
    s.tell(Event::Hello {
        endpoint,
        started_at: 0,
    });
    assert!(
        !is_careful(&mut s),
        "the same process as ever: the way to it was cut"
    );
}

#[test]
fn a_lease_stands_in_for_the_guess_until_leases_stop_coming() {
    let mut s = alone();
    let endpoint = EndpointId::named("c1");
    s.tell(Event::Hello {
        endpoint,
        started_at: s.now,
    });
    s.tell(Event::Lease {
        endpoint,
        work_s: 0.0,
        duration: 250 * MS,
    });
    assert_eq!(taken(&mut s), 0, "nothing yet");
    s.now += 250 * MS;
    s.tell(Event::Lease {
        endpoint,
        work_s: 0.21,
        duration: 250 * MS,
    });
    assert!((2..=4).contains(&taken(&mut s)), "some four of 0.05 s");
    s.now += 300 * MS;
    assert_eq!(taken(&mut s), 0, "lapsed, the next one is on its way");
    s.now += 600 * MS;
    assert!(
        taken(&mut s) > 10,
        "the connection is lost: its own part again"
    );
}
