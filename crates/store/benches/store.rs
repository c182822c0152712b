//! Compares the store with plain files and `redb` on the same work: fills, hits over a Zipf trace and purges of groups. For the store it
//! also measures a restart.
//!
//! Run with `cargo bench -p pointspindle-store`. The files are in the machine's temporary folder; repeated reads come from the page cache.
use pointspindle_store::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redb::{ReadableDatabase, TableDefinition};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const OBJECTS: u64 = 4_000;
const GETS: usize = 40_000;
const GROUPS: u64 = 100;

/// Returns the body size of an object: 4 KiB to 1 MiB, with small sizes more frequent.
fn size(object: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(object);
    (4_096.0 * 2_f64.powf(8.0 * rng.gen::<f64>().powi(2))) as usize
}

fn body(object: u64) -> Vec<u8> {
    (0..size(object))
        .map(|n| (n as u64 * 31 + object) as u8)
        .collect()
}

/// Returns a trace of requested objects, distributed by Zipf with exponent 1.
fn trace() -> Vec<u64> {
    let sums: Vec<f64> = (1..=OBJECTS)
        .scan(0.0, |sum, n| {
            *sum += 1.0 / n as f64;
            Some(*sum)
        })
        .collect();
    let mut rng = StdRng::seed_from_u64(9);
    let total = sums[sums.len() - 1];
    (0..GETS)
        .map(|_| sums.partition_point(|s| *s < rng.gen::<f64>() * total) as u64)
        .collect()
}

trait Candidate {
    fn put(&mut self, object: u64, body: &[u8]);
    fn get(&mut self, object: u64) -> usize;
    fn sync(&mut self);
    /// Removes all objects of a group; durable on return.
    fn purge(&mut self, group: u64);
}

struct SegmentStore(Store);

fn key(object: u64) -> Meta {
    Meta {
        object: format!("/o/{object}"),
        group: object % GROUPS,
        rank: 1,
        ..Meta::default()
    }
}

fn open_store(folder: &Path) -> SegmentStore {
    let options = Options {
        capacity: 4 << 30,
        segment: 64 << 20,
        block: 64 << 10,
        memory: 64 << 20,
    };
    let store = Store::open(Arc::new(Folder::open_locked(folder).unwrap()), options, 1).unwrap();
    store.recover_all(1).unwrap();
    SegmentStore(store)
}

impl Candidate for SegmentStore {
    fn put(&mut self, object: u64, body: &[u8]) {
        let mut fill = self.0.begin(key(object));
        fill.write(body).unwrap();
        fill.commit(1).unwrap();
    }

    fn get(&mut self, object: u64) -> usize {
        let Some(found) = self.0.get(&key(object).key()) else {
            return 0;
        };
        (0..found.blocks())
            .map(|n| found.read(n).unwrap().len())
            .sum()
    }

    fn sync(&mut self) {
        self.0.sync().unwrap();
    }

    fn purge(&mut self, group: u64) {
        self.0.purge(&PurgeScope::Group(group)).unwrap();
    }
}

/// Stores each object as a file, in a folder for its group; a purge removes the files and syncs the folder.
struct Files(std::path::PathBuf);

impl Candidate for Files {
    fn put(&mut self, object: u64, body: &[u8]) {
        let folder = self.0.join((object % GROUPS).to_string());
        std::fs::create_dir_all(&folder).unwrap();
        let temporary = folder.join(format!("{object}.new"));
        let name = folder.join(object.to_string());
        std::fs::write(&temporary, body).unwrap();
        std::fs::rename(temporary, name).unwrap();
    }

    fn get(&mut self, object: u64) -> usize {
        let name = self
            .0
            .join((object % GROUPS).to_string())
            .join(object.to_string());
        std::fs::read(name).map_or(0, |bytes| bytes.len())
    }

    fn sync(&mut self) {
        for folder in std::fs::read_dir(&self.0).unwrap().flatten() {
            for file in std::fs::read_dir(folder.path()).unwrap().flatten() {
                std::fs::File::open(file.path())
                    .unwrap()
                    .sync_data()
                    .unwrap();
            }
            std::fs::File::open(folder.path())
                .unwrap()
                .sync_all()
                .unwrap();
        }
    }

    fn purge(&mut self, group: u64) {
        let folder = self.0.join(group.to_string());
        for file in std::fs::read_dir(&folder).unwrap().flatten() {
            std::fs::remove_file(file.path()).unwrap();
        }
        std::fs::File::open(folder).unwrap().sync_all().unwrap();
    }
}

const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("objects");

struct Redb(redb::Database);

impl Candidate for Redb {
    fn put(&mut self, object: u64, body: &[u8]) {
        let mut write = self.0.begin_write().unwrap();
        // Writes become durable with the sync, as in the other candidates.
        write.set_durability(redb::Durability::None).unwrap();
        write
            .open_table(TABLE)
            .unwrap()
            .insert(object, body)
            .unwrap();
        write.commit().unwrap();
    }

    fn get(&mut self, object: u64) -> usize {
        let table = self.0.begin_read().unwrap().open_table(TABLE).unwrap();
        table
            .get(object)
            .unwrap()
            .map_or(0, |v| v.value().to_vec().len())
    }

    fn sync(&mut self) {
        self.0.begin_write().unwrap().commit().unwrap();
    }

    fn purge(&mut self, group: u64) {
        let write = self.0.begin_write().unwrap();
        {
            let mut table = write.open_table(TABLE).unwrap();
            for object in (0..OBJECTS).filter(|o| o % GROUPS == group) {
                table.remove(object).unwrap();
            }
        }
        write.commit().unwrap();
    }
}

fn percentile_us(times: &mut [Duration], quantile: f64) -> f64 {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * quantile) as usize].as_secs_f64() * 1e6
}

fn run(name: &str, candidate: &mut dyn Candidate, trace: &[u64]) {
    let start = Instant::now();
    let mut bytes = 0;
    for object in 0..OBJECTS {
        let body = body(object);
        bytes += body.len();
        candidate.put(object, &body);
    }
    candidate.sync();
    let fill_secs = start.elapsed().as_secs_f64();
    let mut times = Vec::new();
    let start = Instant::now();
    let mut read_bytes = 0;
    for object in trace {
        let start = Instant::now();
        read_bytes += candidate.get(*object);
        times.push(start.elapsed());
    }
    let get_secs = start.elapsed().as_secs_f64();
    let mut purges: Vec<Duration> = (0..20)
        .map(|group| {
            let start = Instant::now();
            candidate.purge(group);
            start.elapsed()
        })
        .collect();
    println!(
        "{name:<8} fills {:>6.0}/s {:>5.0} MB/s, gets {:>7.0}/s {:>6.0} MB/s p50 {:>5.0} us p99 {:>6.0} us, purge of a group p50 {:>7.0} us",
        OBJECTS as f64 / fill_secs,
        bytes as f64 / fill_secs / 1e6,
        GETS as f64 / get_secs,
        read_bytes as f64 / get_secs / 1e6,
        percentile_us(&mut times, 0.5),
        percentile_us(&mut times, 0.99),
        percentile_us(&mut purges, 0.5),
    );
}

fn main() {
    let trace = trace();
    for round in 0..3 {
        println!("round {round}");
        let folder = tempfile::tempdir().unwrap();
        let mut store = open_store(folder.path());
        run("store", &mut store, &trace);
        let copies = store.0.keys().len();
        let stats = store.0.stats();
        let amplification = stats.written_bytes as f64 / stats.accepted_bytes as f64;
        // The store is reopened as after a crash, then after a clean close.
        drop(store);
        let start = Instant::now();
        let store = open_store(folder.path());
        let after_crash = start.elapsed();
        assert_eq!(store.0.keys().len(), copies);
        store.0.close().unwrap();
        drop(store);
        let start = Instant::now();
        let store = open_store(folder.path());
        assert_eq!(store.0.keys().len(), copies);
        println!(
            "         {copies} copies recovered after a crash in {:.1} ms, after a clean close in {:.1} ms; write amplification {amplification:.3}",
            after_crash.as_secs_f64() * 1e3,
            start.elapsed().as_secs_f64() * 1e3
        );
        let folder = tempfile::tempdir().unwrap();
        run("files", &mut Files(folder.path().into()), &trace);
        let folder = tempfile::tempdir().unwrap();
        run(
            "redb",
            &mut Redb(redb::Database::create(folder.path().join("db")).unwrap()),
            &trace,
        );
    }
}
