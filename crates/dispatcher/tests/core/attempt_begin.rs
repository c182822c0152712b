//! The check immediately before the first byte of an attempt. An attempt that may not begin has not been executed, so a retry
//! is safe even for unsafe requests, whatever has changed after the router requested the attempt.
use crate::harness::*;
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::{Input, Output};
use pointspindle_protocol::{EndpointListForm, PurgeHead, WireEndpointState};

#[test]
fn attempt_of_disconnected_client_does_not_begin() {
    let mut harness = Harness::new();
    let attempt = harness.sent_request(1, VIDEO).number;
    assert!(harness.core.may_start_attempt(START, 1, attempt));
    harness.handle(Input::ClientDisconnected(1));
    assert_eq!(harness.core.begin(START, 1, attempt), None);
}

/// Removes or drains the receiving endpoint of an attempt or the source of its fill, and checks that the request is sent to
/// another endpoint.
fn check_endpoint_change(state: WireEndpointState, affects_source: bool) {
    let mut harness = Harness::new();
    let sent = harness.sent_request(1, VIDEO);
    let source = sent.fetch.and_then(|fetch| fetch.source);
    let source = source.expect("a fill has a source");
    let (affected, kind) = if affects_source {
        (source, "parent")
    } else {
        (sent.endpoint, "cache")
    };
    let change = endpoint_record(&affected, kind, state);
    harness.apply_list(EndpointListForm::Delta, 2, vec![change]);
    assert_eq!(
        harness.core.begin(START, 1, sent.number),
        None,
        "{state:?}, source: {affects_source}"
    );
    let outputs = harness.end_attempt(1, sent.number, AttemptEnd::NotSent);
    let next = sent_attempt(&outputs).expect("another attempt");
    assert_ne!(next.endpoint, affected);
    let next_source = next.fetch.and_then(|fetch| fetch.source);
    assert_ne!(next_source.as_ref(), Some(&affected));
    assert!(harness.core.begin(START, 1, next.number).is_some());
    assert!(harness.core.begin(START, 1, sent.number).is_none());
}

#[test]
fn attempt_to_or_from_unavailable_endpoint_does_not_begin() {
    for state in [WireEndpointState::Draining, WireEndpointState::Gone] {
        for affects_source in [false, true] {
            check_endpoint_change(state, affects_source);
        }
    }
}

#[test]
fn attempt_after_deadline_does_not_begin() {
    let mut harness = Harness::new();
    let attempt = harness.sent_request(1, VIDEO).number;
    let late = harness.core.begin(START + 1_000 * MS, 1, attempt);
    assert_eq!(
        late.map(|terms| terms.time_left),
        Some(980 * MS),
        "the remaining time has decreased"
    );
    let too_late = harness.core.begin(START + 1_980 * MS, 1, attempt);
    assert_eq!(too_late, None);
}

#[test]
fn timed_out_attempt_counts_as_executed_only_if_begun() {
    for has_begun in [true, false] {
        let mut harness = Harness::new();
        let attempt = harness.sent_request(1, SUBMIT).number;
        assert!(!has_begun || harness.core.begin(START, 1, attempt).is_some());
        let outputs = harness.advance_to(START + 2_000 * MS);
        let is_failed = outputs.contains(&Output::Fail { request: 1 });
        assert_eq!(is_failed, has_begun, "{outputs:?}");
        let is_rejected = outputs
            .iter()
            .any(|output| matches!(output, Output::Reject { .. }));
        assert_eq!(is_rejected, !has_begun, "{outputs:?}");
        // An endpoint to which no byte could be written in time counts as not reached.
        let status = if has_begun {
            "timeout"
        } else {
            "connect_failed"
        };
        let counts = harness.core.take_attempt_counts();
        assert_eq!(counts.get(status), Some(&1));
    }
}

/// Applies a purge after the router requested an attempt. Returns the terms with which the attempt begins.
fn terms_after_purge(object: Option<&str>) -> pointspindle_dispatcher::core::AttemptTerms {
    let mut harness = Harness::new();
    let attempt = harness.sent_request(1, VIDEO).number;
    harness.now = START + 300 * MS;
    harness.handle(Input::Purge(PurgeHead {
        object: object.map(Into::into),
        group: GROUP,
        age_us: 7 * MS,
        seq: 1,
    }));
    let terms = harness.core.begin(harness.now, 1, attempt);
    terms.expect("the attempt may begin")
}

/// After a purge of the object or of its group, between the router's request for the attempt and the first byte, no older copy
/// is acceptable.
#[test]
fn purge_before_first_byte_limits_copy_age() {
    let mut harness = Harness::new();
    let attempt = harness.sent_request(1, VIDEO).number;
    let unlimited = harness.core.begin(START, 1, attempt).unwrap().max_age;
    assert_eq!(
        terms_after_purge(Some("/video/2")).max_age,
        unlimited,
        "another object's purge"
    );
    for object in [Some("/video/1"), None] {
        let terms = terms_after_purge(object);
        assert!(
            terms.max_age > 0 && terms.max_age <= 7 * MS && !terms.may_coalesce,
            "{terms:?} ({unlimited} before)"
        );
    }
}
