//! Power lost at any operation, in the middle of a write too, thousands of times: no torn object is given out, nothing from before an
//! acknowledged purge comes back, and what is given out is a version that was committed.
mod common;

use common::{body, meta, GROUPS, OBJECTS, OPTIONS};
use pointspindle_store::sim::SimDisk;
use pointspindle_store::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

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
fn power_loss_anywhere_keeps_copies_intact_and_purges_durable() {
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
fn unpurged_synced_copy_after_power_loss_is_recovered() {
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
