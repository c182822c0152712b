//! The format of the state file, and the ages that are restored after a restart.
use crate::harness::*;
use pointspindle_clock::BootMoment;
use pointspindle_dispatcher::core::state::{Snapshot, StateError};
use pointspindle_dispatcher::Input;
use pointspindle_protocol::{EndpointListForm, PurgeHead, WireEndpointState};
use std::time::Duration;

fn boot_moment(boot: &str, ms: u64) -> BootMoment {
    BootMoment {
        boot_id: boot.into(),
        since_boot: Duration::from_millis(ms),
    }
}

#[test]
fn restored_state_has_ages_grown_by_elapsed_time() {
    let mut harness = Harness::new();
    harness.handle(Input::Purge(PurgeHead {
        object: Some("/video/1".into()),
        group: GROUP,
        age_us: 5 * MS,
        seq: 1,
    }));
    let snapshot = harness.core.snapshot(harness.now);
    let bytes = snapshot.to_bytes(1_000_000, Some(&boot_moment("one", 1_000)));
    let restore =
        |now: Option<BootMoment>| Snapshot::from_bytes(&bytes).unwrap().restore(now.as_ref());
    let restored = restore(Some(boot_moment("one", 3_000)));
    let list = restored.endpoint_list;
    assert_eq!(
        (list.form(), list.endpoints.len(), list.seq),
        (EndpointListForm::Cached, 4, 1)
    );
    assert_eq!(restored.purges[0].age_us, 2_005 * MS);
    // If the elapsed time is unknown, the saved age is used, so a purge never counts as older than it is.
    for unknown in [Some(boot_moment("another", 3_000)), None] {
        assert_eq!(restore(unknown).purges[0].age_us, 5 * MS);
    }
}

/// The file was written by a version of the program from before its types were renamed, so the keys of its JSON must not
/// change.
#[test]
fn state_file_of_previous_version_is_read_completely() {
    let bytes = include_bytes!("../data/state-version-1.state");
    let snapshot = Snapshot::from_bytes(bytes).expect("the file is readable");
    let restored = snapshot.restore(Some(&boot_moment("boot-1", 101_000)));
    let list = restored.endpoint_list;
    assert_eq!((list.seq, list.endpoints.len()), (42, 2));
    let cache = &list.endpoints[0];
    assert_eq!(cache.address, CACHE_1);
    assert_eq!(cache.state(), WireEndpointState::Ready);
    assert_eq!((cache.weight, cache.cell, cache.incarnation), (8.0, 3, 17));
    assert_eq!((cache.zone.as_str(), cache.kind.as_str()), ("b", "cache"));
    assert_eq!(cache.started_ago_us, Some(6_000 * MS));
    let origin = &list.endpoints[1];
    assert_eq!(origin.state(), WireEndpointState::Draining);
    assert_eq!(origin.started_ago_us, None);
    let object_purge = PurgeHead {
        object: Some("/page/1".into()),
        group: 7,
        age_us: 1_250 * MS,
        seq: 0,
    };
    let group_purge = PurgeHead {
        object: None,
        group: 8,
        age_us: 1_000 * MS,
        seq: 0,
    };
    assert_eq!(restored.purges, [object_purge, group_purge]);
    let written = snapshot.to_bytes(1_700_000_000_000, Some(&boot_moment("boot-1", 100_000)));
    assert_eq!(written, bytes, "the rewritten file is identical");
}

#[test]
fn damaged_or_unrecognized_file_is_rejected() {
    let mut harness = Harness::new();
    let good = harness.core.snapshot(harness.now).to_bytes(1, None);
    for cut in [0, 5, 20, 40, good.len() - 1] {
        assert!(Snapshot::from_bytes(&good[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..good.len() {
        let mut wrong = good.clone();
        wrong[at] ^= 1;
        assert!(Snapshot::from_bytes(&wrong).is_err(), "byte {at} changed");
    }
    assert_eq!(
        Snapshot::from_bytes(b"[dispatcher]\nname = x\n"),
        Err(StateError::NotAStateFile)
    );
    let later = String::from_utf8(good)
        .unwrap()
        .replacen("state 1", "state 2", 1);
    assert_eq!(
        Snapshot::from_bytes(later.as_bytes()),
        Err(StateError::UnsupportedVersion(2))
    );
}

#[test]
fn purges_over_limit_are_merged_by_group() {
    let mut harness = Harness::new();
    for n in 0..20_000 {
        harness.handle(Input::Purge(PurgeHead {
            object: Some(format!("/video/{n}")),
            group: n % 7,
            age_us: 0,
            seq: 1,
        }));
    }
    let purges = harness.core.snapshot(harness.now).restore(None).purges;
    let merged_groups: Vec<u64> = purges
        .iter()
        .filter(|purge| purge.object.is_none())
        .map(|purge| purge.group)
        .collect();
    assert_eq!(merged_groups, (0..7).collect::<Vec<u64>>());
    harness.now += 60_000 * MS;
    let purges = harness.core.snapshot(harness.now).restore(None).purges;
    assert!(purges.is_empty(), "expired after the purge horizon");
}
