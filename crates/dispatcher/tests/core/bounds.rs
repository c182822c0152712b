//! Bounds of the state that outlives requests.
use crate::harness::*;
use pointspindle_dispatcher::Input;
use pointspindle_protocol::PurgeHead;

/// Capacity of the purge log; beyond it, purges are merged by group.
const MAX_PURGES: usize = 16 * 1024;

#[test]
fn purge_log_stays_within_bound_and_expires() {
    let mut harness = Harness::new();
    let mut largest_count = 0;
    for n in 0..100_000_u64 {
        harness.handle(Input::Purge(PurgeHead {
            object: Some(format!("/video/{n}")),
            group: n % 1_000,
            age_us: 0,
            seq: 0,
        }));
        if n % 1_000 == 0 {
            let counts = harness.core.state_counts(harness.now);
            largest_count = largest_count.max(counts.purges);
        }
        harness.now += 1;
    }
    println!("largest number of recorded purges: {largest_count}");
    assert!(largest_count <= MAX_PURGES, "{largest_count}");
    // After this time no copy that is older than a purge is left.
    harness.now += 600_000 * MS;
    assert_eq!(harness.core.state_counts(harness.now).purges, 0);
}

#[test]
fn restarted_dispatchers_leave_only_current_roster() {
    let mut harness = Harness::new();
    for restart in 0..10_000_u64 {
        let name = |n: u64| {
            if n == restart % 50 {
                format!("d-{n}-{restart}")
            } else {
                format!("d-{n}")
            }
        };
        let roster = (0..50).map(|n| (name(n), "branch".to_owned())).collect();
        harness.now += MS;
        harness.handle(Input::Roster(roster));
    }
    assert_eq!(harness.core.state_counts(harness.now).dispatchers, 50);
}
