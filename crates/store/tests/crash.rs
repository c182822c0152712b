//! Power lost at any operation, in the middle of a write too, thousands of times: no torn object is given out, nothing from before an
//! acknowledged purge comes back, and what is given out is a version that was committed.
use pointspindle_store::sim::SimDisk;
use pointspindle_store::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

const OPTIONS: Options = Options {
    capacity: 900_000,
    segment: 96 * 1024,
    block: 8 * 1024,
    memory: 64 * 1024,
};
const OBJECTS: u64 = 24;
const GROUPS: u64 = 4;

fn meta(object: u64, rank: u32) -> Meta {
    Meta {
        object: format!("/o/{object}"),
        group: object % GROUPS,
        rank,
        ..Meta::default()
    }
}

/// Bytes of a version: its number is in every line, and its length its own.
fn body(object: u64, version: u64) -> Vec<u8> {
    let len = (object * 7_919 + version * 104_729) % 40_000;
    let line = format!("{object}/{version};");
    line.bytes().cycle().take(len as usize).collect()
}

/// What may be there: by object, versions that were committed, with the number of the last purge before each began.
#[derive(Default)]
struct Model {
    versions: BTreeMap<u64, Vec<(u64, u64)>>,
    /// By object: the last purge that was acknowledged.
    purged: BTreeMap<u64, u64>,
    purges: u64,
    next: u64,
    /// The newest version that was committed, and the newest of which that was synced: nothing older is given out.
    committed: BTreeMap<u64, u64>,
    synced: BTreeMap<u64, u64>,
}

impl Model {
    fn purge(&mut self, what: &What) {
        for object in 0..OBJECTS {
            let struck = match what {
                What::Object(name) => *name == format!("/o/{object}"),
                What::Group(group) => object % GROUPS == *group,
                What::All => true,
            };
            if struck {
                self.purged.insert(object, self.purges);
            }
        }
    }
}

struct Play {
    disk: SimDisk,
    store: Store,
    model: Model,
    dice: StdRng,
    wall: u64,
    seed: u64,
    checked: u64,
    held: u64,
}

impl Play {
    fn check_one(&mut self, object: u64) {
        let Some(found) = self.store.get(&meta(object, 0).key()) else {
            return;
        };
        let mut bytes = Vec::new();
        for block in 0..found.blocks() {
            match found.read(block) {
                Ok(data) => bytes.extend_from_slice(&data),
                // Told as wrong, not given out.
                Err(_) => return,
            }
        }
        self.checked += 1;
        let seed = self.seed;
        let known = self
            .model
            .versions
            .get(&object)
            .cloned()
            .unwrap_or_default();
        let right = known.iter().find(|(v, _)| body(object, *v) == bytes);
        let Some((version, after)) = right else {
            panic!(
                "seed {seed}: /o/{object} is {} bytes that were never committed",
                bytes.len()
            )
        };
        let purged = self.model.purged.get(&object).copied().unwrap_or(0);
        assert!(
            *after >= purged,
            "seed {seed}: /o/{object} version {version} is from before purge {purged}"
        );
        let newest = self.model.synced.get(&object).copied().unwrap_or(0);
        assert!(
            *version >= newest,
            "seed {seed}: /o/{object} version {version} came back after {newest}"
        );
        assert_eq!(found.meta.size, bytes.len() as u64);
    }

    fn check_all(&mut self) {
        for object in 0..OBJECTS {
            self.check_one(object);
        }
        self.held += self.store.stats().copies;
    }

    fn fill(&mut self) -> Result<(), StoreError> {
        let object = self.dice.gen_range(0..OBJECTS);
        self.model.next += 1;
        let (version, after) = (self.model.next, self.model.purges);
        let mut fill = self.store.begin(meta(object, self.dice.gen_range(0..3)));
        // A purge in its middle: what was begun before is not held after.
        let purge = self.dice.gen_bool(0.05);
        for piece in body(object, version).chunks(self.dice.gen_range(1_000..20_000)) {
            fill.write(piece)?;
        }
        if purge {
            self.purge(What::Group(object % GROUPS))?;
        }
        // Known before it is tried: a commit whose acknowledgement is lost may stand.
        self.model
            .versions
            .entry(object)
            .or_default()
            .push((version, after));
        let done = fill.commit(self.wall);
        if purge {
            assert!(
                done.is_err(),
                "seed {}: a copy from before a purge was taken",
                self.seed
            );
        }
        match done {
            Err(StoreError::Purged) => Ok(()),
            done => {
                if done.is_ok() {
                    self.model.committed.insert(object, version);
                }
                done
            }
        }
    }

    fn purge(&mut self, what: What) -> Result<(), StoreError> {
        self.model.purges += 1;
        self.store.purge(&what)?;
        self.model.purge(&what);
        Ok(())
    }

    fn step(&mut self) -> Result<(), StoreError> {
        self.wall += 10;
        match self.dice.gen_range(0..100) {
            0..=54 => match self.fill() {
                Err(StoreError::NoRoom) => Ok(()),
                done => done,
            },
            55..=59 => {
                let object = self.dice.gen_range(0..OBJECTS);
                self.purge(What::Object(format!("/o/{object}")))
            }
            60..=62 => {
                let group = self.dice.gen_range(0..GROUPS);
                self.purge(What::Group(group))
            }
            63 if self.dice.gen_bool(0.2) => self.purge(What::All),
            64..=69 => {
                self.store.sync()?;
                self.model.synced = self.model.committed.clone();
                Ok(())
            }
            70..=74 => self.store.maintain(20_000).map(drop),
            75..=79 => {
                let object = self.dice.gen_range(0..OBJECTS);
                if let Some(found) = self.store.get(&meta(object, 0).key()) {
                    let fresh_until_ms = self.wall + 5_000;
                    self.store.renew(
                        &found,
                        Meta {
                            fresh_until_ms,
                            ..found.meta.clone()
                        },
                        self.wall,
                    )?;
                }
                Ok(())
            }
            80 if self.dice.gen_bool(0.3) => self.store.close(),
            81..=83 => self.store.recover(self.wall).map(drop),
            _ => {
                let object = self.dice.gen_range(0..OBJECTS);
                self.check_one(object);
                Ok(())
            }
        }
    }

    /// Until power is lost.
    fn run(&mut self) {
        let operations = self.dice.gen_range(0..250);
        self.disk.lose_power_in(operations);
        if self.dice.gen_bool(0.1) {
            self.disk.fail_syncs(1);
        }
        while !self.disk.is_dead() {
            let done = self.step();
            // A sync that fails is told to whoever waits for it, and the store goes on.
            let told = matches!(&done, Err(e) if e.to_string().contains("cannot write"));
            if told {
                // Nothing since the last good sync is promised.
                self.model.committed = self.model.synced.clone();
            }
            if done.is_err() && !told && !self.disk.is_dead() {
                panic!("seed {}: {done:?}", self.seed);
            }
        }
    }
}

fn crashes() -> u64 {
    std::env::var("POINTSPINDLE_CRASHES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(600)
}

#[test]
fn power_lost_anywhere_tears_nothing_and_undoes_no_purge() {
    let (mut done, mut checked, mut held, mut seed) = (0, 0, 0, 0);
    while done < crashes() {
        seed += 1;
        let disk = SimDisk::default();
        let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
        let dice = StdRng::seed_from_u64(seed);
        let mut play = Play {
            disk,
            store,
            model: Model::default(),
            dice,
            wall: 1_000,
            seed,
            checked: 0,
            held: 0,
        };
        for _ in 0..12 {
            play.run();
            play.model.committed = play.model.synced.clone();
            done += 1;
            let keep = play.dice.gen_range(0.0..1.0);
            let mut dice = StdRng::seed_from_u64(play.dice.gen());
            play.disk = play.disk.after_crash(|| dice.gen_bool(keep));
            // Power may be lost again while it recovers.
            if play.dice.gen_bool(0.2) {
                play.disk.lose_power_in(play.dice.gen_range(0..6));
                if let Ok(store) = Store::open(Arc::new(play.disk.clone()), OPTIONS, play.wall) {
                    let _ = store.recover_all(play.wall);
                }
                play.disk = play.disk.after_crash(|| dice.gen_bool(keep));
                done += 1;
            }
            // Set back at times: the store's own clock does not go back.
            play.wall = play
                .wall
                .saturating_sub(play.dice.gen_range(0..500))
                .max(1_000);
            play.store = Store::open(Arc::new(play.disk.clone()), OPTIONS, play.wall)
                .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
            if play.dice.gen_bool(0.5) {
                play.check_all();
                play.store.recover_all(play.wall).unwrap();
            }
            play.check_all();
        }
        checked += play.checked;
        held += play.held;
    }
    println!("{done} crashes, {checked} copies read, {held} held after them");
    assert!(
        held > done && checked > 5 * done,
        "nothing survives: the test shows nothing"
    );
}

/// Without the sync of a purge, or its record, the same play must find a copy that came back.
#[test]
fn what_stood_before_a_purge_is_there_without_it() {
    let disk = SimDisk::default();
    let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
    for (object, purged) in [(1, false), (2, true)] {
        let mut fill = store.begin(meta(object, 1));
        fill.write(&body(object, 9)).unwrap();
        fill.commit(1_000).unwrap();
        store.sync().unwrap();
        if purged {
            store.purge(&What::Object(format!("/o/{object}"))).unwrap();
        }
    }
    let after = Store::open(Arc::new(disk.after_crash(|| false)), OPTIONS, 1_000).unwrap();
    after.recover_all(1_000).unwrap();
    assert!(after.get(&meta(1, 1).key()).is_some(), "synced, so held");
    assert!(after.get(&meta(2, 1).key()).is_none(), "purged, so gone");
}

/// A disk that forgets: a flipped bit anywhere is never given out, and costs the copies that it touches.
#[test]
fn a_flipped_bit_is_never_given_out() {
    let (mut lost, mut kept) = (0, 0);
    for seed in 0..60 {
        let mut dice = StdRng::seed_from_u64(seed);
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
        store.purge(&What::Object("/o/1".into())).unwrap();
        if dice.gen() {
            store.close().unwrap();
        }
        let names: Vec<String> = Disk::list(&disk).unwrap();
        let name = &names[dice.gen_range(0..names.len())];
        assert!(disk.flip(name, dice.gen_range(0..disk.len_of(name))));
        // Alive, and after a restart.
        let again = Store::open(Arc::new(disk.after_crash(|| true)), options, 1_000).unwrap();
        again.recover_all(1_000).unwrap();
        for store in [store, again] {
            for object in 0..OBJECTS {
                let Some(found) = store.get(&meta(object, 1).key()) else {
                    continue;
                };
                assert_ne!(object, 1, "seed {seed}: purged");
                let read: Result<Vec<_>, _> = (0..found.blocks()).map(|n| found.read(n)).collect();
                match read {
                    Ok(blocks) => {
                        assert!(
                            blocks.concat() == body(object, 3),
                            "seed {seed}: /o/{object}"
                        );
                        kept += 1;
                    }
                    Err(_) => {
                        lost += 1;
                        assert!(store.get(&meta(object, 1).key()).is_none(), "held no more");
                    }
                }
            }
        }
        let report = check::check(&disk, true).unwrap();
        assert!(
            !report.wrong.is_empty(),
            "seed {seed}: a flip in {name} that the check does not see"
        );
    }
    println!("{kept} read, {lost} told as wrong");
    assert!(lost > 0 && kept > 1_000);
}

#[test]
fn a_missing_segment_may_have_held_a_purge() {
    let disk = SimDisk::default();
    let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
    let fill = |object: u64| {
        let mut fill = store.begin(meta(object, 1));
        fill.write(&body(object, 3)).unwrap();
        fill.commit(1_000).unwrap();
    };
    fill(2);
    store.close().unwrap();
    store.purge(&What::Object("/o/2".into())).unwrap();
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
        "newer than what is missing"
    );
    assert!(
        store.get(&meta(2, 1).key()).is_none(),
        "older: it may have been purged, and was"
    );
}

/// Lowest rank first, then the least recently used; a low rank never takes a high one's place. Bounded, however long it goes on.
#[test]
fn room_is_made_by_rank_and_use_within_the_capacity() {
    let disk = SimDisk::default();
    let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
    let fill = |object: String, rank: u32| {
        let mut fill = store.begin(Meta {
            object,
            rank,
            ..Meta::default()
        });
        fill.write(&[7; 10_000]).and_then(|()| fill.commit(1_000))
    };
    for n in 0..20 {
        fill(format!("/high/{n}"), 3).unwrap();
        fill(format!("/mid/{n}"), 2).unwrap();
    }
    let held = |object: String| {
        store
            .get(
                &Meta {
                    object,
                    ..Meta::default()
                }
                .key(),
            )
            .is_some()
    };
    for n in 0..2_000 {
        fill(format!("/low/{n}"), 1).unwrap();
        assert!(held("/mid/0".into()), "used all the time");
        assert!(
            store.stats().disk_bytes <= OPTIONS.capacity,
            "{:?}",
            store.stats()
        );
    }
    assert!(
        (0..20).all(|n| held(format!("/high/{n}")) && held(format!("/mid/{n}"))),
        "{:?}",
        store.stats()
    );
    // Higher ranks push lower ones out, and among equals the least used goes first.
    for n in 0..70 {
        let _ = fill(format!("/higher/{n}"), 3);
    }
    let mids = (0..20).filter(|n| held(format!("/mid/{n}"))).count();
    assert!(
        mids < 20 && !(0..2_000).any(|n| held(format!("/low/{n}"))),
        "{mids}: {:?}",
        store.stats()
    );
    let s = store.stats();
    let files: usize = Disk::list(&disk)
        .unwrap()
        .iter()
        .map(|n| disk.len_of(n))
        .sum();
    println!(
        "{s:?}, {files} bytes of files, amplification {:.2}",
        s.written_bytes as f64 / s.taken_bytes as f64
    );
    assert!(files as u64 <= OPTIONS.capacity * 11 / 10);
    assert!(matches!(fill("/late".into(), 0), Err(StoreError::NoRoom)) || held("/late".into()));
}

#[test]
fn a_full_disk_and_a_second_process_are_told() {
    let disk = SimDisk::default();
    let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
    let mut fill = store.begin(meta(1, 1));
    fill.write(&[1; 30_000]).unwrap();
    fill.commit(1_000).unwrap();
    disk.room(Some(40_000));
    let mut fill = store.begin(meta(2, 1));
    let failed = (0..10).find_map(|_| fill.write(&[2; 8_192]).err());
    assert!(matches!(failed, Some(StoreError::Disk(_))), "{failed:?}");
    drop(fill);
    assert!(
        store.get(&meta(1, 1).key()).is_some(),
        "what is held is still given out"
    );
    // A purge is kept whatever the disk says of room, and what it strikes is gone.
    let _ = store.purge(&What::Object("/o/1".into()));
    assert!(store.get(&meta(1, 1).key()).is_none());

    let folder = tempfile::tempdir().unwrap();
    let first = Folder::lock(folder.path()).unwrap();
    let told = Folder::lock(folder.path()).unwrap_err().to_string();
    assert!(told.contains("another process has it"), "{told}");
    assert!(Folder::look(folder.path()).is_ok());
    drop(first);
    Folder::lock(folder.path()).unwrap();
}

/// Neither a write nor taking it back works for a while (no room, then errors of the disk): once the disk works again the store
/// does, and what it took meanwhile is held, now and after a restart.
#[test]
fn a_disk_that_recovers_is_written_to_again() {
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
        disk.fail_truncates(3);
        if sync_fails {
            fill(&store, 2).unwrap();
            disk.fail_syncs(1);
            assert!(store.sync().is_err());
        } else {
            disk.room(Some(40_000));
            assert!(fill(&store, 2).is_err());
            disk.room(None);
        }
        for n in 0..2 {
            assert!(
                fill(&store, 3).is_err(),
                "try {n}: it cannot be taken back yet"
            );
            assert!(
                store.get(&key(1)).is_some(),
                "what is held is still given out"
            );
        }
        fill(&store, 3).unwrap_or_else(|e| panic!("the disk works again: {e}"));
        store.purge(&What::Object("/o/1".into())).unwrap();
        store.sync().unwrap();
        for store in [
            store,
            Store::open(Arc::new(disk.after_crash(|| false)), OPTIONS, 2_000).unwrap(),
        ] {
            store.recover_all(2_000).unwrap();
            let held = [1, 2, 3].map(|object| store.get(&key(object)).is_some());
            assert_eq!(held, [false, false, true], "a sync failed: {sync_fails}");
        }
    }
}
