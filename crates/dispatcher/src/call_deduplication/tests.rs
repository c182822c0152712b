//! The single live attempt of each call, and the bounds of the registry.
use super::*;

const LIMITS: CallRegistryLimits = CallRegistryLimits {
    max_calls: 3,
    retention: 100,
    max_response_bytes: 10,
};

fn stored_response(response: &str, bytes: usize) -> Option<SizedResponse<&str>> {
    Some(SizedResponse { response, bytes })
}

#[test]
fn retry_ends_running_attempt_and_begins_after_it() {
    let mut calls = CallRegistry::<&str>::new(LIMITS);
    assert_eq!(calls.begin(0, "a", 1), CallDecision::Run);
    assert_eq!(calls.begin(1, "a", 2), CallDecision::RunAfter(vec![1]));
    assert_eq!(
        calls.begin(2, "a", 3),
        CallDecision::RunAfter(vec![2, 1]),
        "a third attempt ends the waiting one as well"
    );
    assert_eq!(
        calls.end(3, "a", 2, None),
        None,
        "the attempt was waiting and had not run"
    );
    assert_eq!(calls.end(4, "a", 1, None), Some(3));
    assert_eq!(calls.end(5, "a", 1, None), None, "ended already");
    assert_eq!(calls.end(6, "a", 3, None), None);
    assert_eq!(
        calls.begin(7, "a", 4),
        CallDecision::Run,
        "no response was stored"
    );
}

#[test]
fn response_is_stored_within_retention_and_size_limit() {
    let mut calls = CallRegistry::new(LIMITS);
    assert_eq!(calls.begin(0, "a", 1), CallDecision::Run);
    assert_eq!(calls.begin(0, "b", 2), CallDecision::Run);
    calls.end(10, "a", 1, stored_response("six", 6));
    calls.end(10, "b", 2, stored_response("also six", 6));
    assert_eq!(calls.begin(20, "a", 3), CallDecision::Answered("six"));
    assert_eq!(
        calls.begin(20, "b", 4),
        CallDecision::Run,
        "the size limit left no room for its response"
    );
    calls.end(30, "b", 4, None);
    assert_eq!(calls.begin(111, "a", 5), CallDecision::Run, "expired");
    calls.end(112, "a", 5, None);
    assert_eq!(calls.begin(1_000, "c", 6), CallDecision::Run);
    calls.end(1_000, "c", 6, None);
    assert_eq!(calls.begin(2_000, "d", 7), CallDecision::Run);
    assert_eq!(
        (calls.len(), calls.response_bytes, calls.ended.len()),
        (1, 0, 0),
        "expired calls are removed completely"
    );
}

/// The running attempt can complete its response before it is ended on behalf of a retry.
#[test]
fn retry_waiting_during_response_runs_and_finds_it() {
    let mut calls = CallRegistry::new(LIMITS);
    calls.begin(0, "a", 1);
    assert_eq!(calls.begin(1, "a", 2), CallDecision::RunAfter(vec![1]));
    assert_eq!(calls.end(2, "a", 1, stored_response("done", 4)), Some(2));
    assert_eq!(calls.stored_response("a"), Some("done"));
    assert_eq!(calls.end(3, "a", 2, None), None);
    assert_eq!(
        calls.stored_response("a"),
        Some("done"),
        "the end of the retry does not remove the response"
    );
}

#[test]
fn full_registry_rejects_new_keys_and_accepts_known_ones() {
    let mut calls = CallRegistry::<&str>::new(LIMITS);
    for (n, call) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(calls.begin(0, call, n as u64), CallDecision::Run);
    }
    assert_eq!(calls.begin(0, "d", 9), CallDecision::Full);
    assert_eq!(calls.begin(0, "a", 10), CallDecision::RunAfter(vec![0]));
    calls.end(1, "b", 1, None);
    assert_eq!(
        calls.begin(50, "d", 11),
        CallDecision::Full,
        "ended calls are retained"
    );
    assert_eq!(calls.begin(200, "d", 12), CallDecision::Run);
}
