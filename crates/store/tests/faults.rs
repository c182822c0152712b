//! Behaviour of the store on disk faults, and eviction when the store is full.
mod common;

use common::{body, meta, OBJECTS, OPTIONS};
use pointspindle_store::sim::SimDisk;
use pointspindle_store::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;

/// Data with a flipped bit is never served, wherever on disk the bit is; a copy that fails its checksum is removed.
#[test]
fn flipped_bit_on_disk_is_never_served() {
    let mut lost = 0;
    let mut served = 0;
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let disk = SimDisk::default();
        let options = Options {
            memory: 0,
            ..OPTIONS
        };
        let store = Store::open(Arc::new(disk.clone()), options, 1_000).unwrap();
        for object in 0..OBJECTS {
            let mut fill = store.begin(meta(object, 1));
            fill.write(&body(object, 3)).unwrap();
            fill.commit(1_000).unwrap();
        }
        store.purge(&PurgeScope::Object("/o/1".into())).unwrap();
        if rng.gen() {
            store.close().unwrap();
        }
        let names: Vec<String> = Disk::list(&disk).unwrap();
        let name = &names[rng.gen_range(0..names.len())];
        assert!(disk.flip_bit(name, rng.gen_range(0..disk.file_len(name))));
        // The store is read without and with a restart.
        let reopened = Store::open(Arc::new(disk.after_crash(|| true)), options, 1_000).unwrap();
        reopened.recover_all(1_000).unwrap();
        for store in [store, reopened] {
            for object in 0..OBJECTS {
                let Some(found) = store.get(&meta(object, 1).key()) else {
                    continue;
                };
                assert_ne!(object, 1, "seed {seed}: purged object 1 was served");
                let read: Result<Vec<_>, _> = (0..found.blocks()).map(|n| found.read(n)).collect();
                match read {
                    Ok(blocks) => {
                        assert!(
                            blocks.concat() == body(object, 3),
                            "seed {seed}: /o/{object} was served with a wrong body"
                        );
                        served += 1;
                    }
                    Err(_) => {
                        lost += 1;
                        assert!(
                            store.get(&meta(object, 1).key()).is_none(),
                            "seed {seed}: unreadable copy /o/{object} is still in the index"
                        );
                    }
                }
            }
        }
        let report = check::check(&disk, true).unwrap();
        assert!(
            !report.faults.is_empty(),
            "seed {seed}: the check does not report a flipped bit in {name}"
        );
    }
    println!("{served} copies read, {lost} reported as corrupt");
    assert!(lost > 0 && served > 1_000);
}

/// A missing segment may have held purges: a copy older than it must not be served, a newer one must be.
#[test]
fn missing_segment_invalidates_older_copies() {
    let disk = SimDisk::default();
    let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
    let fill = |object: u64| {
        let mut fill = store.begin(meta(object, 1));
        fill.write(&body(object, 3)).unwrap();
        fill.commit(1_000).unwrap();
    };
    fill(2);
    store.close().unwrap();
    store.purge(&PurgeScope::Object("/o/2".into())).unwrap();
    store.close().unwrap();
    fill(5);
    store.close().unwrap();
    let names: Vec<String> = Disk::list(&disk)
        .unwrap()
        .into_iter()
        .filter(|n| n.ends_with(".log"))
        .collect();
    assert_eq!(names.len(), 3);
    for end in ["log", "sum"] {
        Disk::remove(&disk, &names[1].replace("log", end)).unwrap();
    }
    let store = Store::open(Arc::new(disk.after_crash(|| true)), OPTIONS, 1_000).unwrap();
    while store.recover(1_000).unwrap() {}
    assert!(
        store.get(&meta(5, 1).key()).is_some(),
        "a copy newer than the missing segment was lost"
    );
    assert!(
        store.get(&meta(2, 1).key()).is_none(),
        "a copy older than the missing segment, with its purge, was served"
    );
}

fn fill_ranked(store: &Store, object: String, rank: u32) -> Result<(), StoreError> {
    let mut fill = store.begin(Meta {
        object,
        rank,
        ..Meta::default()
    });
    fill.write(&[7; 10_000]).and_then(|()| fill.commit(1_000))
}

fn is_cached(store: &Store, object: String) -> bool {
    let meta = Meta {
        object,
        ..Meta::default()
    };
    store.get(&meta.key()).is_some()
}

/// Eviction takes the lowest rank first, then the least recently used; a copy never evicts one of a higher rank.
#[test]
fn full_store_evicts_by_rank_then_recency_within_capacity() {
    let disk = SimDisk::default();
    let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
    let fill = |object: String, rank: u32| fill_ranked(&store, object, rank);
    for n in 0..20 {
        fill(format!("/high/{n}"), 3).unwrap();
        fill(format!("/mid/{n}"), 2).unwrap();
    }
    let cached = |object: String| is_cached(&store, object);
    for n in 0..2_000 {
        fill(format!("/low/{n}"), 1).unwrap();
        assert!(
            cached("/mid/0".into()),
            "a copy in continuous use was evicted"
        );
        assert!(
            store.stats().disk_bytes <= OPTIONS.capacity,
            "{:?}",
            store.stats()
        );
    }
    assert!(
        (0..20).all(|n| cached(format!("/high/{n}")) && cached(format!("/mid/{n}"))),
        "{:?}",
        store.stats()
    );
    // A higher rank evicts lower ones; among equal ranks the least recently used copy is evicted first.
    for n in 0..70 {
        let _ = fill(format!("/higher/{n}"), 3);
    }
    let mid_copies = (0..20).filter(|n| cached(format!("/mid/{n}"))).count();
    assert!(
        mid_copies < 20 && !(0..2_000).any(|n| cached(format!("/low/{n}"))),
        "{mid_copies}: {:?}",
        store.stats()
    );
    let s = store.stats();
    let files: usize = Disk::list(&disk)
        .unwrap()
        .iter()
        .map(|n| disk.file_len(n))
        .sum();
    println!(
        "{s:?}, {files} bytes of files, write amplification {:.2}",
        s.written_bytes as f64 / s.accepted_bytes as f64
    );
    assert!(files as u64 <= OPTIONS.capacity * 11 / 10);
    assert!(matches!(fill("/late".into(), 0), Err(StoreError::Full)) || cached("/late".into()));
}

#[test]
fn full_disk_and_second_process_are_reported() {
    let disk = SimDisk::default();
    let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
    let mut fill = store.begin(meta(1, 1));
    fill.write(&[1; 30_000]).unwrap();
    fill.commit(1_000).unwrap();
    disk.set_capacity(Some(40_000));
    let mut fill = store.begin(meta(2, 1));
    let failed = (0..10).find_map(|_| fill.write(&[2; 8_192]).err());
    assert!(matches!(failed, Some(StoreError::Disk(_))), "{failed:?}");
    drop(fill);
    assert!(
        store.get(&meta(1, 1).key()).is_some(),
        "a stored copy is not served while writes fail"
    );
    // A purge on a full disk still removes the copy.
    let _ = store.purge(&PurgeScope::Object("/o/1".into()));
    assert!(store.get(&meta(1, 1).key()).is_none());

    let folder = tempfile::tempdir().unwrap();
    let first = Folder::open_locked(folder.path()).unwrap();
    let error = Folder::open_locked(folder.path()).unwrap_err().to_string();
    assert!(
        error.contains("folder is locked by another process"),
        "{error}"
    );
    assert!(Folder::open_read_only(folder.path()).is_ok());
    drop(first);
    Folder::open_locked(folder.path()).unwrap();
}

/// Writes or fsyncs fail, and so do the truncations after them. Once the disk works again, the store accepts writes, and these survive a
/// restart.
#[test]
fn recovered_disk_accepts_writes_again() {
    let key = |object: u64| meta(object, 1).key();
    for sync_fails in [false, true] {
        let disk = SimDisk::default();
        let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
        let fill = |store: &Store, object: u64| {
            let mut fill = store.begin(meta(object, 1));
            fill.write(&[object as u8; 30_000])
                .and_then(|()| fill.commit(1_000))
        };
        fill(&store, 1).unwrap();
        store.sync().unwrap();
        disk.fail_truncations(3);
        if sync_fails {
            fill(&store, 2).unwrap();
            disk.fail_syncs(1);
            assert!(store.sync().is_err());
        } else {
            disk.set_capacity(Some(40_000));
            assert!(fill(&store, 2).is_err());
            disk.set_capacity(None);
        }
        for n in 0..2 {
            assert!(
                fill(&store, 3).is_err(),
                "attempt {n}: a write was accepted before the truncation succeeded"
            );
            assert!(
                store.get(&key(1)).is_some(),
                "a stored copy is not served while writes fail"
            );
        }
        fill(&store, 3)
            .unwrap_or_else(|e| panic!("write refused although the disk works again: {e}"));
        store.purge(&PurgeScope::Object("/o/1".into())).unwrap();
        store.sync().unwrap();
        for store in [
            store,
            Store::open(Arc::new(disk.after_crash(|| false)), OPTIONS, 2_000).unwrap(),
        ] {
            store.recover_all(2_000).unwrap();
            let cached = [1, 2, 3].map(|object| store.get(&key(object)).is_some());
            assert_eq!(cached, [false, false, true], "failed fsync: {sync_fails}");
        }
    }
}
