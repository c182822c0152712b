//! Requests from their arrival to their final response.
use crate::harness::*;
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::{Input, Output};
use pointspindle_protocol::{
    EndpointListForm, PurgeHead, WireCacheStatus, WireEndpointState, WireStatus,
};

/// If the response and the deadline occur at the same time, the first one processed determines the single final response, and
/// the second has no effect.
#[test]
fn response_and_deadline_at_same_moment_give_one_final_response() {
    for response_first in [true, false] {
        let mut harness = Harness::new();
        let attempt = harness.sent_request(1, VIDEO).number;
        let mut outputs = harness.advance_to(START + 1_979 * MS);
        harness.now = START + 1_980 * MS;
        if !response_first {
            outputs.extend(harness.handle(Input::Tick));
        }
        outputs.extend(harness.start_response(1, attempt));
        outputs.extend(harness.end_attempt(1, attempt, AttemptEnd::Complete));
        if response_first {
            outputs.extend(harness.handle(Input::Tick));
        }
        assert_eq!(
            final_output_count(&outputs),
            1,
            "response first: {response_first}: {outputs:?}"
        );
        assert_eq!(
            matches!(outputs.last(), Some(Output::ForwardResponse { .. })),
            response_first
        );
        assert_eq!(harness.core.open_requests(), 0);
    }
}

#[test]
fn requests_to_silent_endpoints_are_answered_before_deadline() {
    let mut harness = Harness::new();
    for id in 1..=50 {
        harness.request(id, (id % 2) as usize);
    }
    let outputs = harness.advance_to(START + 2_000 * MS - 1);
    assert_eq!(final_output_count(&outputs), 50);
    assert_eq!(harness.core.open_requests(), 0);
}

/// After the head was forwarded there must be no other attempt, or the client would receive parts of two responses.
#[test]
fn connection_broken_after_head_aborts_response() {
    let mut harness = Harness::new();
    let attempt = harness.sent_request(1, VIDEO).number;
    assert_eq!(final_output_count(&harness.start_response(1, attempt)), 1);
    let outputs = harness.end_attempt(1, attempt, AttemptEnd::ConnectionLost);
    assert_eq!(outputs, [Output::AbortResponse { request: 1 }]);
    let late = harness.advance_to(START + 3_000 * MS);
    assert!(late.is_empty(), "{late:?}");
}

/// An endpoint hangs in the middle of a response body, other attempts at it time out, and it is ejected, which cancels all its
/// attempts. The response in progress must be aborted too, or its client waits forever.
#[test]
fn response_from_ejected_endpoint_is_aborted() {
    let mut harness = Harness::new();
    let removed = endpoint_record(CACHE_2, "cache", WireEndpointState::Gone);
    harness.apply_list(EndpointListForm::Delta, 2, vec![removed]);
    let attempt = harness.sent_request(1, VIDEO).number;
    harness.now += MS;
    harness.start_response(1, attempt);
    harness.now += MS;
    for id in 2..5 {
        assert_eq!(harness.sent_request(id, VIDEO).endpoint, CACHE_1);
    }
    let outputs = harness.advance_to(START + 1_800 * MS);
    let cancel = Output::CancelAttempt {
        request: 1,
        attempt,
    };
    let cancelled_at = outputs
        .iter()
        .position(|output| *output == cancel)
        .expect("the attempt is cancelled");
    assert_eq!(
        outputs[cancelled_at + 1],
        Output::AbortResponse { request: 1 }
    );
    harness.advance_to(START + 3_000 * MS);
    assert_eq!(harness.core.open_requests(), 0);
}

#[test]
fn client_disconnected_during_response_cancels_attempt_only() {
    let mut harness = Harness::new();
    let attempt = harness.sent_request(1, VIDEO).number;
    harness.start_response(1, attempt);
    let outputs = harness.handle(Input::ClientDisconnected(1));
    let cancel = Output::CancelAttempt {
        request: 1,
        attempt,
    };
    assert_eq!(outputs, [cancel]);
    assert!(harness.advance_to(START + 3_000 * MS).is_empty());
    assert_eq!(harness.core.open_requests(), 0);
}

#[test]
fn unsafe_request_is_retried_only_if_not_executed() {
    let mut harness = Harness::new();
    let attempt = harness.sent_request(1, SUBMIT).number;
    let outputs = harness.end_attempt(1, attempt, AttemptEnd::ConnectFailed);
    let retry = sent_attempt(&outputs).expect("not executed, so sent again");
    let end = AttemptEnd::ErrorReported {
        status: WireStatus::Rejected,
        cache_status: WireCacheStatus::Unreported,
        may_have_run: true,
    };
    assert_eq!(
        harness.end_attempt(1, retry.number, end),
        [Output::Fail { request: 1 }],
        "a rejection is not retried if its frame says that the request may have been executed"
    );
}

#[test]
fn purge_of_object_in_flight_limits_next_attempt() {
    let mut harness = Harness::new();
    let first = harness.sent_request(1, VIDEO);
    assert_eq!(
        first.fetch.unwrap().max_age,
        0,
        "a copy is valid until it is purged"
    );
    harness.handle(Input::Purge(PurgeHead {
        object: None,
        group: GROUP,
        age_us: 30 * MS,
        seq: 1,
    }));
    harness.now += 10 * MS;
    let outputs = harness.end_attempt(1, first.number, AttemptEnd::ConnectFailed);
    let fetch = sent_attempt(&outputs).unwrap().fetch.unwrap();
    assert!(
        (1..=40 * MS).contains(&fetch.max_age) && !fetch.coalesce,
        "{fetch:?}"
    );
}
