//! Retries and final responses: idempotency, deadlines, backoff.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn timeout_at_the_deadline_gets_a_final_response() {
    let mut s = RouterFixture::new();
    let sent = s.request(VIDEO, "a").remove(0);
    s.now += sent.timeout;
    assert!(s
        .complete(&sent, AttemptStatus::Timeout, CacheStatus::Unreported)
        .is_empty());
    assert_eq!(s.final_responses().len(), 1);
}

#[test]
fn request_without_endpoints_is_rejected_before_its_deadline() {
    let mut s = RouterFixture::with(settings(), vec![]);
    assert!(s.request(VIDEO, "a").is_empty());
    assert!(
        matches!(s.final_responses()[..], [Action::Reject { .. }]),
        "the client comes back"
    );
    assert!(
        s.request(UNSAFE, "a").is_empty() && s.final_responses().is_empty(),
        "this one can only wait"
    );
    let mut answered = None;
    for _ in 0..200 {
        s.advance(20 * MS);
        if matches!(s.final_responses()[..], [Action::Reject { .. }]) {
            answered = Some(s.now);
        }
    }
    assert!(answered.is_some_and(|at| at <= T0 + 3 * S));
}

#[test]
fn nothing_is_sent_after_the_client_disconnected() {
    let mut s = RouterFixture::new();
    let sent = s.request(VIDEO, "a").remove(0);
    s.handle(Event::ClientDisconnected(sent.request));
    assert!(s
        .complete(&sent, AttemptStatus::Cancelled, CacheStatus::Unreported)
        .is_empty());
    assert!(s.advance(50 * MS).is_empty());
    assert!(s.final_responses().is_empty());
}

#[test]
fn not_idempotent_request_that_may_have_run_fails() {
    let mut s = RouterFixture::new();
    let sent = s.request(UNSAFE, "a").remove(0);
    assert!(s
        .complete(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
        .is_empty());
    assert!(matches!(s.final_responses()[..], [Action::Fail { .. }]));
}

#[test]
fn not_idempotent_request_that_did_not_run_is_retried() {
    let mut s = RouterFixture::new();
    let sent = s.request(UNSAFE, "a").remove(0);
    assert_eq!(
        s.complete(&sent, AttemptStatus::ConnectFailed, CacheStatus::Unreported)
            .len(),
        1
    );
}

#[test]
fn retry_is_not_sent_after_the_idempotency_window() {
    for (after, resent) in [(500 * MS, 1), (1_990 * MS, 0)] {
        let mut s = RouterFixture::new();
        let sent = s.request(KEYED, "a").remove(0);
        s.now += after;
        assert_eq!(
            s.complete(&sent, AttemptStatus::Reset, CacheStatus::Unreported)
                .len(),
            resent,
            "{after}"
        );
    }
}

#[test]
fn idempotency_window_begins_with_the_first_run() {
    let mut s = RouterFixture::new();
    let first = s.request(KEYED, "a").remove(0);
    s.now += 1_000 * MS;
    let second = s
        .complete(&first, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    s.now += 950 * MS;
    assert!(s
        .complete(&second, AttemptStatus::Reset, CacheStatus::Unreported)
        .is_empty());
}

/// A retry that has to wait since its `Send` action may not begin once the idempotency window is over.
#[test]
fn waiting_retry_may_begin_within_the_idempotency_window_only() {
    let mut s = RouterFixture::new();
    let first = s.request(KEYED, "a").remove(0);
    s.now += 500 * MS;
    let again = s
        .complete(&first, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    // Half a second of the two has passed; the margin at the end is for the transmission.
    assert!(s.router.may_begin(s.now, again.request));
    assert!(s.router.may_begin(s.now + 1_200 * MS, again.request));
    assert!(!s.router.may_begin(s.now + 1_490 * MS, again.request));
    let free = s.request(VIDEO, "b").remove(0);
    assert!(
        s.router.may_begin(s.now + 1_990 * MS, free.request),
        "safe classes have no window"
    );
}

#[test]
fn request_has_one_attempt_in_flight_at_most() {
    let mut s = RouterFixture::new();
    let sent = s.request(VIDEO, "a").remove(0);
    for _ in 0..40 {
        assert!(s.advance(25 * MS).is_empty());
    }
    assert_eq!(
        s.complete(&sent, AttemptStatus::Cancelled, CacheStatus::Unreported)
            .len(),
        1
    );
}

#[test]
fn attempts_do_not_exceed_the_maximum() {
    let mut s = RouterFixture::new();
    let mut sent = s.request(VIDEO, "a");
    let mut count = 0;
    while let Some(one) = sent.pop() {
        count += 1;
        sent = s.complete(&one, AttemptStatus::Rejected, CacheStatus::Unreported);
        for _ in 0..20 {
            if sent.is_empty() {
                sent = s.advance(25 * MS);
            }
        }
    }
    assert!((2..=6).contains(&count), "{count}");
}

#[test]
fn rejected_uncacheable_request_is_retried_after_a_backoff() {
    let mut s = RouterFixture::new();
    let first = s.request(KEYED, "a").remove(0);
    assert!(s
        .complete(&first, AttemptStatus::Rejected, CacheStatus::Unreported)
        .is_empty());
    assert!(s.advance(50 * MS).is_empty());
    assert_eq!(s.advance(150 * MS).len(), 1);
}
