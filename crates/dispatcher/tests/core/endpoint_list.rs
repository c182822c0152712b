//! Endpoint list updates, and the identification of the process at an address.
use crate::harness::*;
use pointspindle_protocol::{EndpointListForm, EndpointRecord, WireEndpointState};

/// A drain must take effect even if a preceding update was lost.
#[test]
fn delta_after_gap_is_applied_and_full_list_requested() {
    let mut harness = Harness::new();
    let draining = endpoint_record(CACHE_1, "cache", WireEndpointState::Draining);
    let resync_reason = harness.apply_list(EndpointListForm::Delta, 5, vec![draining.clone()]);
    assert!(resync_reason.is_some());
    for id in 1..=6 {
        assert_eq!(harness.sent_request(id, VIDEO).endpoint, CACHE_2);
    }
    // An outdated delta must not make the draining cache ready again.
    let ready = endpoint_record(CACHE_1, "cache", WireEndpointState::Ready);
    harness.apply_list(EndpointListForm::Delta, 4, vec![ready]);
    assert_eq!(harness.sent_request(40, VIDEO).endpoint, CACHE_2);
    let resync_reason = harness.apply_list(EndpointListForm::Full, 9, vec![draining]);
    assert_eq!(resync_reason, None);
    assert_eq!(harness.core.endpoint_list_seq(), 9);
}

/// Since reported ages jitter, a different age of the same incarnation must not be treated as a restart; another incarnation
/// must be.
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
        "the starting time that was reported first"
    );
    harness.apply_list(EndpointListForm::Delta, 4, vec![cache(2, 100 * MS)]);
    assert_eq!(started_ago(&harness), Some(100 * MS), "another incarnation");
}
