//! Endpoint lists, and which process is behind an address.
use crate::harness::*;
use pointspindle_protocol::{EndpointListForm, EndpointRecord, WireEndpointState};

/// A drain must not wait for the list that was lost before it.
#[test]
fn delta_after_gap_is_applied_and_full_list_requested() {
    let mut harness = Harness::new();
    let draining = endpoint_record(CACHE_1, "cache", WireEndpointState::Draining);
    let resync_reason = harness.apply_list(EndpointListForm::Delta, 5, vec![draining.clone()]);
    assert!(resync_reason.is_some());
    for id in 1..=6 {
        assert_eq!(harness.sent_request(id, VIDEO).endpoint, CACHE_2);
    }
    // An outdated delta must not bring it back.
    let ready = endpoint_record(CACHE_1, "cache", WireEndpointState::Ready);
    harness.apply_list(EndpointListForm::Delta, 4, vec![ready]);
    assert_eq!(harness.sent_request(40, VIDEO).endpoint, CACHE_2);
    let resync_reason = harness.apply_list(EndpointListForm::Full, 9, vec![draining]);
    assert_eq!(resync_reason, None);
    assert_eq!(harness.core.endpoint_list_seq(), 9);
}

/// Reported ages jitter: the same incarnation must not look like another process, and another incarnation must.
#[test]
fn same_incarnation_keeps_starting_time() {
    let mut harness = Harness::new();
    let cache = |incarnation, started_ago_us| EndpointRecord {
        incarnation,
        started_ago_us: Some(started_ago_us),
        ..endpoint_record(CACHE_1, "cache", WireEndpointState::Ready)
    };
    let started_ago = |harness: &Harness| {
        let list = harness.core.endpoint_list(harness.now);
        let mut endpoints = list.endpoints.iter();
        let cache = endpoints.find(|record| record.address == CACHE_1);
        cache.unwrap().started_ago_us
    };
    harness.apply_list(EndpointListForm::Delta, 2, vec![cache(1, 500 * MS)]);
    harness.now += 1_000 * MS;
    harness.apply_list(EndpointListForm::Delta, 3, vec![cache(1, 1_700 * MS)]);
    assert_eq!(
        started_ago(&harness),
        Some(1_500 * MS),
        "as reported at first"
    );
    harness.apply_list(EndpointListForm::Delta, 4, vec![cache(2, 100 * MS)]);
    assert_eq!(started_ago(&harness), Some(100 * MS), "another incarnation");
}
