//! The store temporary plain files and `redb` on the same work, in one run: fills, hits over a Zipf trace, a purge of a group, a restart.
//!
//! `cargo bench -p pointspindle-store`. Files are on the machine's temporary folder; what is read again comes from the page cache.
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

/// 4 KiB to 1 MiB, small ones more often.
fn size(object: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(object);
    (4_096.0 * 2_f64.powf(8.0 * rng.gen::<f64>().powi(2))) as usize
}

fn body(object: u64) -> Vec<u8> {
    (0..size(object))
        .map(|n| (n as u64 * 31 + object) as u8)
        .collect()
}

/// Ranks by Zipf with exponent 1.
fn trace() -> Vec<u64> {
    let sums: Vec<f64> = (1..=OBJECTS)
        .scan(0.0, |sum, n| {
            *sum += 1.0 / n as f64;
            Some(*sum)
        })
        .collect();
    let mut rng = StdRng::seed_from_u64(9);
    let all = sums[sums.len() - 1];
    (0..GETS)
        .map(|_| sums.partition_point(|s| *s < rng.gen::<f64>() * all) as u64)
        .collect()
}

trait Peer {
    fn put(&mut self, object: u64, body: &[u8]);
    fn get(&mut self, object: u64) -> usize;
    fn sync(&mut self);
    /// Durable when it returns.
    fn purge(&mut self, group: u64);
}

struct Ours(Store);

fn key(object: u64) -> Meta {
    Meta {
        object: format!("/o/{object}"),
        group: object % GROUPS,
        rank: 1,
        ..Meta::default()
    }
}

fn ours(folder: &Path) -> Ours {
    let options = Options {
        capacity: 4 << 30,
        segment: 64 << 20,
        block: 64 << 10,
        memory: 64 << 20,
    };
    let store = Store::open(Arc::new(Folder::lock(folder).unwrap()), options, 1).unwrap();
    store.recover_all(1).unwrap();
    Ours(store)
}

impl Peer for Ours {
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
        self.0.purge(&What::Group(group)).unwrap();
    }
}

/// A file for each object, in a folder for each group; a purge removes the files and syncs the folder.
struct Files(std::path::PathBuf);

impl Peer for Files {
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

impl Peer for Redb {
    fn put(&mut self, object: u64, body: &[u8]) {
        let mut write = self.0.begin_write().unwrap();
        // Durable with the sync, like the other stores.
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

fn at(times: &mut [Duration], q: f64) -> f64 {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e6
}

fn run(name: &str, peer: &mut dyn Peer, trace: &[u64]) {
    let began = Instant::now();
    let mut bytes = 0;
    for object in 0..OBJECTS {
        let body = body(object);
        bytes += body.len();
        peer.put(object, &body);
    }
    peer.sync();
    let filled = began.elapsed().as_secs_f64();
    let mut times = Vec::new();
    let began = Instant::now();
    let mut read = 0;
    for object in trace {
        let one = Instant::now();
        read += peer.get(*object);
        times.push(one.elapsed());
    }
    let got = began.elapsed().as_secs_f64();
    let mut purges: Vec<Duration> = (0..20)
        .map(|group| {
            let one = Instant::now();
            peer.purge(group);
            one.elapsed()
        })
        .collect();
    println!(
        "{name:<8} fills {:>6.0}/s {:>5.0} MB/s, gets {:>7.0}/s {:>6.0} MB/s p50 {:>5.0} us p99 {:>6.0} us, purge of a group p50 {:>7.0} us",
        OBJECTS as f64 / filled,
        bytes as f64 / filled / 1e6,
        GETS as f64 / got,
        read as f64 / got / 1e6,
        at(&mut times, 0.5),
        at(&mut times, 0.99),
        at(&mut purges, 0.5),
    );
}

fn main() {
    let trace = trace();
    for round in 0..3 {
        println!("round {round}");
        let folder = tempfile::tempdir().unwrap();
        let mut store = ours(folder.path());
        run("store", &mut store, &trace);
        let copies = store.0.keys().len();
        let stats = store.0.stats();
        let amplification = stats.written_bytes as f64 / stats.taken_bytes as f64;
        // Restart after a crash, then after a clean close.
        drop(store);
        let began = Instant::now();
        let store = ours(folder.path());
        let torn = began.elapsed();
        assert_eq!(store.0.keys().len(), copies);
        store.0.close().unwrap();
        drop(store);
        let began = Instant::now();
        let store = ours(folder.path());
        assert_eq!(store.0.keys().len(), copies);
        println!(
            "         {copies} copies again after a crash in {:.1} ms, after a stop in {:.1} ms; written {amplification:.3} of taken",
            torn.as_secs_f64() * 1e3,
            began.elapsed().as_secs_f64() * 1e3
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
