//! Retries and final responses: idempotency, deadlines, backoff.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn timeout_at_the_deadline_gets_a_final_response() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(VIDEO, "a").remove(0);
    fixture.now += sent.timeout;
    assert!(fixture
        .complete(&sent, AttemptStatus::Timeout, CacheStatus::Unreported)
        .is_empty());
    assert_eq!(fixture.final_responses().len(), 1);
}

#[test]
fn request_without_endpoints_is_rejected_before_its_deadline() {
    let mut fixture = RouterFixture::with(settings(), vec![]);
    assert!(fixture.request(VIDEO, "a").is_empty());
    assert!(
        matches!(fixture.final_responses()[..], [Action::Reject { .. }]),
        "cacheable request without endpoints not rejected at once"
    );
    assert!(
        fixture.request(UNSAFE, "a").is_empty() && fixture.final_responses().is_empty(),
        "uncacheable request must wait for an endpoint"
    );
    let mut rejected_at = None;
    for _ in 0..200 {
        fixture.advance(20 * MS);
        if matches!(fixture.final_responses()[..], [Action::Reject { .. }]) {
            rejected_at = Some(fixture.now);
        }
    }
    assert!(rejected_at.is_some_and(|at| at <= T0 + 3 * S));
}

#[test]
fn no_attempt_is_sent_after_the_client_disconnected() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(VIDEO, "a").remove(0);
    fixture.handle(Event::ClientDisconnected(sent.request));
    assert!(fixture
        .complete(&sent, AttemptStatus::Cancelled, CacheStatus::Unreported)
        .is_empty());
    assert!(fixture.advance(50 * MS).is_empty());
    assert!(fixture.final_responses().is_empty());
}

#[test]
fn not_idempotent_request_that_may_have_run_fails() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(UNSAFE, "a").remove(0);
    assert!(fixture
        .complete(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
        .is_empty());
    assert!(matches!(
        fixture.final_responses()[..],
        [Action::Fail { .. }]
    ));
}

/// How the attempt of a request, or the request itself, ends.
type RequestEnd = fn(&mut RouterFixture, &SentAttempt);

/// Guards against a rejection, which tells the client that a retry is harmless, after an attempt that may have run: the
/// endpoints may have forgotten the key when the retry arrives.
#[test]
fn keyed_request_that_may_have_run_fails_whatever_ends_it() {
    let ends: [(&str, Micros, RequestEnd); 5] = [
        ("connection lost after the window", 2_100 * MS, |f, sent| {
            f.complete(sent, AttemptStatus::Reset, CacheStatus::Unreported);
        }),
        (
            "connection lost within the window",
            1_900 * MS,
            |f, sent| {
                f.complete(sent, AttemptStatus::Reset, CacheStatus::Unreported);
            },
        ),
        ("error after a run", 2_100 * MS, |f, sent| {
            f.complete(sent, AttemptStatus::Error, CacheStatus::Unreported);
        }),
        ("deadline", 3 * S, |f, sent| {
            f.complete(sent, AttemptStatus::Timeout, CacheStatus::Unreported);
        }),
        (
            "shutdown with the attempt in flight",
            100 * MS,
            |f, sent| {
                f.handle(Event::FinishNow(sent.request));
            },
        ),
    ];
    for (name, after, end) in ends {
        let mut fixture = RouterFixture::new();
        let sent = fixture.request(KEYED, "a").remove(0);
        fixture.now += after;
        end(&mut fixture, &sent);
        let responses = fixture.final_responses();
        assert!(
            matches!(responses[..], [Action::Fail { .. }]),
            "{name}: {responses:?}"
        );
    }
}

/// Guards against a second run of a key that the client sends again in a new request, after it gave up the first one.
#[test]
fn key_that_may_have_run_is_not_sent_again_after_its_window() {
    for (after, attempts) in [(1_700 * MS, 1), (1_900 * MS, 0), (8 * S, 0)] {
        let mut fixture = RouterFixture::new();
        let first = fixture.request_with_key(KEYED, "a", "key").remove(0);
        fixture.handle(Event::ClientDisconnected(first.request));
        fixture.now += after;
        let again = fixture.request_with_key(KEYED, "a", "key");
        assert_eq!(again.len(), attempts, "{after} us after the first run");
        let fails = matches!(fixture.final_responses()[..], [Action::Fail { .. }]);
        assert_eq!(fails, attempts == 0, "{after} us after the first run");
        assert_eq!(fixture.request_with_key(KEYED, "a", "other").len(), 1);
    }
}

/// A key whose only attempt did not run is free again, and one that is long past is forgotten.
#[test]
fn key_that_did_not_run_or_is_long_past_is_sent() {
    let mut fixture = RouterFixture::new();
    let first = fixture.request_with_key(KEYED, "a", "key").remove(0);
    fixture.handle(Event::ClientDisconnected(first.request));
    fixture.complete(&first, AttemptStatus::NotSent, CacheStatus::Unreported);
    fixture.now += 3 * S;
    let second = fixture.request_with_key(KEYED, "a", "key").remove(0);
    fixture.complete(&second, AttemptStatus::Ok, CacheStatus::Unreported);
    fixture.now += 13 * S;
    assert_eq!(fixture.request_with_key(KEYED, "a", "key").len(), 1);
}

#[test]
fn keyed_request_that_did_not_run_is_rejected() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(KEYED, "a").remove(0);
    fixture.now += 2_990 * MS;
    fixture.complete(&sent, AttemptStatus::Rejected, CacheStatus::Unreported);
    assert!(matches!(
        fixture.final_responses()[..],
        [Action::Reject { .. }]
    ));
}

#[test]
fn not_idempotent_request_that_did_not_run_is_retried() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(UNSAFE, "a").remove(0);
    assert_eq!(
        fixture
            .complete(&sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported)
            .len(),
        1
    );
}

#[test]
fn retry_is_not_sent_after_the_idempotency_window() {
    for (after, resent) in [(500 * MS, 1), (1_990 * MS, 0)] {
        let mut fixture = RouterFixture::new();
        let sent = fixture.request(KEYED, "a").remove(0);
        fixture.now += after;
        assert_eq!(
            fixture
                .complete(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
                .len(),
            resent,
            "connection reset {after} us after the request"
        );
    }
}

#[test]
fn idempotency_window_begins_with_the_first_run() {
    let mut fixture = RouterFixture::new();
    let first = fixture.request(KEYED, "a").remove(0);
    fixture.now += 1_000 * MS;
    let second = fixture
        .complete(&first, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    fixture.now += 950 * MS;
    assert!(fixture
        .complete(&second, AttemptStatus::Reset, CacheStatus::Unreported)
        .is_empty());
}

/// A retry that was delayed after its `Send` action must not be started after the idempotency window.
#[test]
fn delayed_retry_may_begin_only_within_the_idempotency_window() {
    let mut fixture = RouterFixture::new();
    let first = fixture.request(KEYED, "a").remove(0);
    fixture.now += 500 * MS;
    let again = fixture
        .complete(&first, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    // Half a second of the window of two seconds has passed; the margin before its end is for the transmission.
    assert!(fixture.router.may_start_attempt(fixture.now, again.request));
    assert!(fixture
        .router
        .may_start_attempt(fixture.now + 1_200 * MS, again.request));
    assert!(!fixture
        .router
        .may_start_attempt(fixture.now + 1_490 * MS, again.request));
    let idempotent = fixture.request(VIDEO, "b").remove(0);
    assert!(
        fixture
            .router
            .may_start_attempt(fixture.now + 1_990 * MS, idempotent.request),
        "idempotent classes have no idempotency window"
    );
}

#[test]
fn request_has_one_attempt_in_flight_at_most() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(VIDEO, "a").remove(0);
    for _ in 0..40 {
        assert!(fixture.advance(25 * MS).is_empty());
    }
    assert_eq!(
        fixture
            .complete(&sent, AttemptStatus::Cancelled, CacheStatus::Unreported)
            .len(),
        1
    );
}

#[test]
fn attempts_do_not_exceed_the_maximum() {
    let mut fixture = RouterFixture::new();
    let mut sent = fixture.request(VIDEO, "a");
    let mut count = 0;
    while let Some(attempt) = sent.pop() {
        count += 1;
        sent = fixture.complete(&attempt, AttemptStatus::Rejected, CacheStatus::Unreported);
        for _ in 0..20 {
            if sent.is_empty() {
                sent = fixture.advance(25 * MS);
            }
        }
    }
    assert!(
        (2..=6).contains(&count),
        "{count} attempts, 2 to 6 expected"
    );
}

#[test]
fn rejected_uncacheable_request_is_retried_after_a_backoff() {
    let mut fixture = RouterFixture::new();
    let first = fixture.request(KEYED, "a").remove(0);
    assert!(fixture
        .complete(&first, AttemptStatus::Rejected, CacheStatus::Unreported)
        .is_empty());
    assert!(fixture.advance(50 * MS).is_empty());
    assert_eq!(fixture.advance(150 * MS).len(), 1);
}
