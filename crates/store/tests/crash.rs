//! Power loss at any operation, also in the middle of a write: no torn object is served, no copy from before an acknowledged purge is
//! recovered, and every served version was committed.
mod common;

use common::{body, meta, GROUPS, OBJECTS, OPTIONS};
use pointspindle_store::sim::SimDisk;
use pointspindle_store::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Reference model of scope the store may serve.
#[derive(Default)]
struct Model {
    /// Versions whose commit was attempted, by object, each with the number of purges before its fill began.
    versions: BTreeMap<u64, Vec<(u64, u64)>>,
    /// Number of the last acknowledged purge, by object.
    purged: BTreeMap<u64, u64>,
    purges: u64,
    last_version: u64,
    /// Newest committed version, by object.
    committed: BTreeMap<u64, u64>,
    /// Newest synced version, by object; no older one may be served.
    synced: BTreeMap<u64, u64>,
}

impl Model {
    fn purge(&mut self, scope: &PurgeScope) {
        for object in 0..OBJECTS {
            let covered = match scope {
                PurgeScope::Object(name) => *name == format!("/o/{object}"),
                PurgeScope::Group(group) => object % GROUPS == *group,
                PurgeScope::All => true,
            };
            if covered {
                self.purged.insert(object, self.purges);
            }
        }
    }
}

struct CrashRun {
    disk: SimDisk,
    store: Store,
    model: Model,
    rng: StdRng,
    wall_ms: u64,
    seed: u64,
    checked: u64,
    cached: u64,
}

impl CrashRun {
    fn check_one(&mut self, object: u64) {
        let Some(found) = self.store.get(&meta(object, 0).key()) else {
            return;
        };
        let mut bytes = Vec::new();
        for block in 0..found.blocks() {
            match found.read(block) {
                Ok(data) => bytes.extend_from_slice(&data),
                // A block that fails its checksum is reported, not served.
                Err(_) => return,
            }
        }
        self.checked += 1;
        let seed = self.seed;
        let versions = self
            .model
            .versions
            .get(&object)
            .cloned()
            .unwrap_or_default();
        let served = versions.iter().find(|(v, _)| body(object, *v) == bytes);
        let Some((version, purges_before)) = served else {
            panic!(
                "seed {seed}: /o/{object} was served with {} bytes that were never committed",
                bytes.len()
            )
        };
        let purged = self.model.purged.get(&object).copied().unwrap_or(0);
        assert!(
            *purges_before >= purged,
            "seed {seed}: /o/{object} version {version} is from before purge {purged}"
        );
        let newest = self.model.synced.get(&object).copied().unwrap_or(0);
        assert!(
            *version >= newest,
            "seed {seed}: /o/{object} version {version} was served although version {newest} was synced"
        );
        assert_eq!(found.meta.size, bytes.len() as u64);
    }

    fn check_all(&mut self) {
        for object in 0..OBJECTS {
            self.check_one(object);
        }
        self.cached += self.store.stats().copies;
    }

    fn fill(&mut self) -> Result<(), StoreError> {
        let object = self.rng.gen_range(0..OBJECTS);
        self.model.last_version += 1;
        let version = self.model.last_version;
        let purges_before = self.model.purges;
        let mut fill = self.store.begin(meta(object, self.rng.gen_range(0..3)));
        // The commit of a fill must be refused if its object was purged during the fill.
        let is_purged_during_fill = self.rng.gen_bool(0.05);
        for piece in body(object, version).chunks(self.rng.gen_range(1_000..20_000)) {
            fill.write(piece)?;
        }
        if is_purged_during_fill {
            self.purge(PurgeScope::Group(object % GROUPS))?;
        }
        // The version is recorded before its commit: an unacknowledged commit may still be durable.
        self.model
            .versions
            .entry(object)
            .or_default()
            .push((version, purges_before));
        let result = fill.commit(self.wall_ms);
        if is_purged_during_fill {
            assert!(
                result.is_err(),
                "seed {}: a fill that began before a purge was committed",
                self.seed
            );
        }
        match result {
            Err(StoreError::Purged) => Ok(()),
            result => {
                if result.is_ok() {
                    self.model.committed.insert(object, version);
                }
                result
            }
        }
    }

    fn purge(&mut self, scope: PurgeScope) -> Result<(), StoreError> {
        self.model.purges += 1;
        self.store.purge(&scope)?;
        self.model.purge(&scope);
        Ok(())
    }

    fn step(&mut self) -> Result<(), StoreError> {
        self.wall_ms += 10;
        match self.rng.gen_range(0..100) {
            0..=54 => match self.fill() {
                Err(StoreError::Full) => Ok(()),
                result => result,
            },
            55..=59 => {
                let object = self.rng.gen_range(0..OBJECTS);
                self.purge(PurgeScope::Object(format!("/o/{object}")))
            }
            60..=62 => {
                let group = self.rng.gen_range(0..GROUPS);
                self.purge(PurgeScope::Group(group))
            }
            63 if self.rng.gen_bool(0.2) => self.purge(PurgeScope::All),
            64..=69 => {
                self.store.sync()?;
                self.model.synced = self.model.committed.clone();
                Ok(())
            }
            70..=74 => self.store.maintain(20_000).map(drop),
            75..=79 => {
                let object = self.rng.gen_range(0..OBJECTS);
                if let Some(found) = self.store.get(&meta(object, 0).key()) {
                    let fresh_until_ms = self.wall_ms + 5_000;
                    self.store.renew(
                        &found,
                        Meta {
                            fresh_until_ms,
                            ..found.meta.clone()
                        },
                        self.wall_ms,
                    )?;
                }
                Ok(())
            }
            80 if self.rng.gen_bool(0.3) => self.store.close(),
            81..=83 => self.store.recover(self.wall_ms).map(drop),
            _ => {
                let object = self.rng.gen_range(0..OBJECTS);
                self.check_one(object);
                Ok(())
            }
        }
    }

    /// Runs random steps until power is lost.
    fn run(&mut self) {
        let operations = self.rng.gen_range(0..250);
        self.disk.lose_power_after(operations);
        if self.rng.gen_bool(0.1) {
            self.disk.fail_syncs(1);
        }
        while !self.disk.is_powered_off() {
            let result = self.step();
            // A failed fsync is reported to the caller, and the store continues to work.
            let sync_failed =
                matches!(&result, Err(e) if e.to_string().contains("injected fsync failure"));
            if sync_failed {
                // Commits since the last successful fsync are not guaranteed to survive.
                self.model.committed = self.model.synced.clone();
            }
            if result.is_err() && !sync_failed && !self.disk.is_powered_off() {
                panic!("seed {}: {result:?}", self.seed);
            }
        }
    }
}

fn min_crashes() -> u64 {
    std::env::var("POINTSPINDLE_CRASHES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(600)
}

#[test]
fn power_loss_anywhere_keeps_copies_intact_and_purges_durable() {
    let mut crashes = 0;
    let mut checked = 0;
    let mut cached = 0;
    let mut seed = 0;
    while crashes < min_crashes() {
        seed += 1;
        let disk = SimDisk::default();
        let store = Store::open(Arc::new(disk.clone()), OPTIONS, 1_000).unwrap();
        let rng = StdRng::seed_from_u64(seed);
        let mut run = CrashRun {
            disk,
            store,
            model: Model::default(),
            rng,
            wall_ms: 1_000,
            seed,
            checked: 0,
            cached: 0,
        };
        for _ in 0..12 {
            run.run();
            run.model.committed = run.model.synced.clone();
            crashes += 1;
            let survival_probability = run.rng.gen_range(0.0..1.0);
            let mut rng = StdRng::seed_from_u64(run.rng.gen());
            run.disk = run.disk.after_crash(|| rng.gen_bool(survival_probability));
            // Power may be lost again during recovery.
            if run.rng.gen_bool(0.2) {
                run.disk.lose_power_after(run.rng.gen_range(0..6));
                if let Ok(store) = Store::open(Arc::new(run.disk.clone()), OPTIONS, run.wall_ms) {
                    let _ = store.recover_all(run.wall_ms);
                }
                run.disk = run.disk.after_crash(|| rng.gen_bool(survival_probability));
                crashes += 1;
            }
            // The wall clock may be set back; the store's clock must not be.
            run.wall_ms = run
                .wall_ms
                .saturating_sub(run.rng.gen_range(0..500))
                .max(1_000);
            run.store = Store::open(Arc::new(run.disk.clone()), OPTIONS, run.wall_ms)
                .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
            if run.rng.gen_bool(0.5) {
                run.check_all();
                run.store.recover_all(run.wall_ms).unwrap();
            }
            run.check_all();
        }
        checked += run.checked;
        cached += run.cached;
    }
    println!("{crashes} crashes, {checked} copies read, {cached} copies recovered");
    assert!(
        cached > crashes && checked > 5 * crashes,
        "too few copies survived for the test to be meaningful: {crashes} crashes, {checked} copies read, {cached} copies recovered"
    );
}

/// Control: a synced copy survives a power loss unless it was purged.
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
            store
                .purge(&PurgeScope::Object(format!("/o/{object}")))
                .unwrap();
        }
    }
    let recovered = Store::open(Arc::new(disk.after_crash(|| false)), OPTIONS, 1_000).unwrap();
    recovered.recover_all(1_000).unwrap();
    assert!(
        recovered.get(&meta(1, 1).key()).is_some(),
        "a synced copy was not recovered"
    );
    assert!(
        recovered.get(&meta(2, 1).key()).is_none(),
        "a purged copy was recovered"
    );
}
