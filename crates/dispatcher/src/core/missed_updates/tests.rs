//! Purges of groups after a gap, and the removal of the gap after the purge horizon.
use super::*;

const HORIZON: Micros = 1_000;

#[test]
fn each_group_is_purged_once_as_of_gap_end() {
    let mut missed = MissedUpdates::new(HORIZON);
    assert_eq!(missed.take_pending_purge(5, 1), None, "no gap");
    missed.record(10);
    assert_eq!(missed.take_pending_purge(15, 1), Some(5));
    assert_eq!(missed.take_pending_purge(16, 1), None, "purged already");
    assert_eq!(missed.take_pending_purge(17, 2), Some(7));
    missed.record(20);
    assert_eq!(missed.take_pending_purge(25, 1), Some(5), "a later gap");
}

#[test]
fn gap_older_than_horizon_is_removed() {
    let mut missed = MissedUpdates::new(HORIZON);
    missed.record(10);
    assert_eq!(missed.take_pending_purge(10 + HORIZON, 1), Some(HORIZON));
    assert_eq!(missed.take_pending_purge(11 + HORIZON, 2), None);
    assert!(missed.gap.is_none());
}
