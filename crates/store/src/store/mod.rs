//! The store: one writer behind a lock, readers beside it.
mod fill;
mod found;
mod space;
mod write;

pub use fill::Fill;
pub use found::Found;

use crate::disk::{Disk, DiskFile};
use crate::index::{Entry, Index};
use crate::record::{self, Commit, Gone, Key, Kind, Meta, Place, Purge, Roster, Word, HEAD};
use crate::recover::{Recovered, Recovery, Step};
use crate::segments::{self, SEGMENT_HEAD};
use bytes::{Bytes, BytesMut};
use prost::Message;
use quick_cache::sync::Cache;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// Live bytes are kept below this share of the room, so that cleaning finds segments worth cleaning.
const FULL: f64 = 0.85;
/// A segment that is live to more than this is not worth cleaning.
const DENSE: f64 = 0.97;
/// Purges and evictions that may be carried on however few copies there are.
const STRIKES_LEAST: usize = 256;
/// Bytes that a write moves out of segments for each byte of its own, at most, while there is room enough.
const PAY: u64 = 2;

#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes on disk, everything included. At least six segments.
    pub capacity: u64,
    pub segment: u32,
    /// Bytes of a body under one checksum.
    pub block: u32,
    /// Bytes of blocks kept in memory.
    pub memory: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 1 << 30,
            segment: 64 << 20,
            block: 64 << 10,
            memory: 64 << 20,
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error(
        "capacity {capacity}: at least six segments of {segment} bytes; blocks up to a quarter of one"
    )]
    Options { capacity: u64, segment: u32 },
    #[error("disk: {0}")]
    Disk(#[from] std::io::Error),
    /// Nothing of lower or equal rank is left to make room.
    #[error("no room")]
    NoRoom,
    /// A purge came while it was filled.
    #[error("purged meanwhile")]
    Purged,
    #[error("{got} bytes came of {told}")]
    Short { told: u64, got: u64 },
    /// A write or a sync failed and could not be taken back so far: what is held is still given out, and each later write tries
    /// again.
    #[error("the store takes nothing for now: {0}")]
    Closed(String),
}

/// Why a block is not given out; the copy is held no more.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("block {0} is not what was written")]
    Wrong(usize),
    #[error("block {0}: {1}")]
    Disk(usize, std::io::Error),
    #[error("no block {0}")]
    None(usize),
}

/// What a purge strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    Object(String),
    Group(u64),
    All,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    pub copies: u64,
    pub live_bytes: u64,
    pub disk_bytes: u64,
    pub segments: u64,
    pub evicted: u64,
    pub purged: u64,
    /// Found wrong when they were read.
    pub lost: u64,
    /// Bytes of bodies that were taken, and bytes written for whatever reason: their ratio is the write amplification.
    pub taken_bytes: u64,
    pub written_bytes: u64,
    /// Read from memory, and from disk.
    pub memory_reads: u64,
    pub disk_reads: u64,
    /// Still to be read before everything is known.
    pub pending_bytes: u64,
}

struct Segment {
    file: Arc<dyn DiskFile>,
    len: u32,
    synced: u32,
    /// Blocks of fills that are not committed yet.
    pins: u32,
    /// Purges and evictions, with where they stand.
    strikes: Vec<(u32, Word)>,
}

/// A segment whose end is not trusted and could not be truncated so far. Forgotten once it is.
struct Uncut {
    segment: u32,
    at: u32,
    /// Of one that is not written to any more: its records, for the summary that is owed with the cut.
    records: Option<Vec<u8>>,
}

struct Inner {
    index: Index,
    segments: BTreeMap<u32, Segment>,
    active: Option<u32>,
    next_segment: u32,
    /// Of the active segment, for its summary; with their ends in the segment.
    records: Vec<u8>,
    record_ends: Vec<(u32, usize)>,
    seq: u64,
    recovery: Option<Recovery>,
    /// Purges since the oldest open fill began.
    purges: Vec<(u64, Purge)>,
    fills: BTreeSet<u64>,
    /// Purges and evictions that the disk did not take, or lost: to be written before a segment goes, or older commits of what they struck
    /// would come back.
    owed: Vec<Word>,
    /// The segment that is being cleaned.
    victim: Option<u32>,
    /// Ends that are still to be taken back; until then nothing is written.
    uncut: Vec<Uncut>,
    clock: Clock,
    stats: Stats,
}

/// Never goes back, also over restarts.
#[derive(Clone, Copy, Debug, Default)]
struct Clock {
    ahead_ms: u64,
    last_ms: u64,
}

impl Clock {
    fn now(&mut self, wall_ms: u64) -> u64 {
        self.last_ms = self.last_ms.max(wall_ms + self.ahead_ms);
        self.last_ms
    }

    /// Records were written at this time: a clock that was set back since goes on from there.
    fn seen(&mut self, at_ms: u64, wall_ms: u64) {
        if at_ms > wall_ms + self.ahead_ms {
            self.ahead_ms = at_ms - wall_ms;
        }
        self.last_ms = self.last_ms.max(at_ms);
    }
}

struct Shared {
    disk: Arc<dyn Disk>,
    options: Options,
    inner: Mutex<Inner>,
    /// One sync at a time: one that succeeds after one that failed proves nothing.
    syncing: Mutex<()>,
    memory: Cache<(u32, u32), Bytes, Weigh>,
}

#[derive(Clone)]
struct Weigh;

impl quick_cache::Weighter<(u32, u32), Bytes> for Weigh {
    fn weight(&self, _: &(u32, u32), block: &Bytes) -> u64 {
        block.len() as u64 + 64
    }
}

/// Clones are the same store.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Store")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Store {
    /// Opens a folder; nothing is held before [`Store::recover`] has found it. `wall_ms`: milliseconds since 1970.
    pub fn open(disk: Arc<dyn Disk>, options: Options, wall_ms: u64) -> Result<Self, StoreError> {
        let (capacity, segment) = (options.capacity, options.segment);
        let too_small =
            capacity < 6 * u64::from(segment) || options.block == 0 || options.block > segment / 4;
        if too_small || options.block as usize > record::MOST {
            return Err(StoreError::Options { capacity, segment });
        }
        for name in disk.list()?.iter().filter(|n| n.ends_with(".new")) {
            disk.remove(name)?;
        }
        let recovery = Recovery::new(&*disk)?;
        let inner = Inner {
            index: Index::default(),
            segments: BTreeMap::new(),
            active: None,
            next_segment: recovery.newest() + 1,
            records: Vec::new(),
            record_ends: Vec::new(),
            seq: 0,
            recovery: Some(recovery),
            purges: Vec::new(),
            fills: BTreeSet::new(),
            owed: Vec::new(),
            victim: None,
            uncut: Vec::new(),
            clock: Clock::default(),
            stats: Stats::default(),
        };
        let memory = Cache::with_weighter(
            (options.memory / 32_768).max(64) as usize,
            options.memory.max(1),
            Weigh,
        );
        let store = Self(Arc::new(Shared {
            disk,
            options,
            inner: Mutex::new(inner),
            syncing: Mutex::new(()),
            memory,
        }));
        // The newest records tell which numbers have been used: nothing is written before one is read.
        while store.inner().seq == 0 && store.recover(wall_ms)? {}
        Ok(store)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.0.inner)
    }

    /// Reads one more segment of what was left by the last run; false: everything is known.
    pub fn recover(&self, wall_ms: u64) -> Result<bool, StoreError> {
        let mut inner = self.inner();
        let inner = &mut *inner;
        let Some(recovery) = &mut inner.recovery else {
            return Ok(false);
        };
        match recovery.step(&*self.0.disk, &mut inner.index)? {
            None => inner.recovery = None,
            Some(Step::Empty(_)) => {}
            Some(Step::Found(Recovered {
                number,
                file,
                len,
                strikes,
                unsummed,
                last_seq,
            })) => {
                inner.seq = inner.seq.max(last_seq);
                inner.clock.seen(recovery.newest_ms, wall_ms);
                // Its torn end stays: the summary says where it begins, and what had to be heeded of it.
                if let Some(records) = unsummed {
                    self.sum_up(number, len, &records);
                }
                inner.segments.insert(
                    number,
                    Segment {
                        file,
                        len,
                        synced: len,
                        pins: 0,
                        strikes,
                    },
                );
            }
        }
        let doubted = inner.recovery.as_mut().and_then(Recovery::take_doubted);
        if let Some(strikes) = doubted {
            inner.seq = inner.seq.max(strikes);
            let at = self.append(
                inner,
                &Word::Purge(Purge {
                    strikes,
                    ..Purge::default()
                }),
            )?;
            if let Some(segment) = inner.segments.get_mut(&at.segment) {
                segment.file.sync()?;
                segment.synced = segment.len;
            }
        }
        if inner.recovery.as_ref().is_some_and(Recovery::is_done) {
            inner.recovery = None;
        }
        Ok(inner.recovery.is_some())
    }

    /// Reads everything that was left.
    pub fn recover_all(&self, wall_ms: u64) -> Result<(), StoreError> {
        while self.recover(wall_ms)? {}
        Ok(())
    }

    /// A summary that cannot be written costs time at the next start, and nothing else.
    fn sum_up(&self, number: u32, len: u32, records: &[u8]) {
        let (name, beside) = (
            segments::summary_name(number),
            format!("{}.new", segments::summary_name(number)),
        );
        let disk = &self.0.disk;
        let _ = disk.remove(&beside);
        let write = || {
            let file = disk.create(&beside)?;
            file.write_at(0, &segments::summary(number, len, records))?;
            file.sync()?;
            disk.rename(&beside, &name)?;
            disk.sync_names()
        };
        if let Err(e) = write() {
            tracing::warn!(segment = number, error = %e, "store: no summary");
            let _ = disk.remove(&beside);
        }
    }

    /// The copy, if it is held and that is known by now.
    pub fn get(&self, key: &Key) -> Option<Found> {
        let (entry, files) = {
            let mut inner = self.inner();
            let entry = inner.index.touch(key)?.clone();
            let wanted = entry
                .places
                .iter()
                .map(|p| p.segment)
                .chain([entry.commit.0]);
            let file = |n: u32| Some((n, inner.segments.get(&n)?.file.clone()));
            let files: Option<BTreeMap<u32, Arc<dyn DiskFile>>> = wanted.map(file).collect();
            if files.is_none() && inner.recovery.is_some() {
                // Some of it stands in a segment that is still to be read.
                return None;
            }
            (entry, files)
        };
        let found = files.and_then(|files| {
            let (segment, offset, len) = entry.commit;
            let commit = read_record(&**files.get(&segment)?, segment, offset, len)?;
            let meta = Commit::decode(&commit[..])
                .ok()?
                .meta
                .filter(|m| m.key() == *key)?;
            let (seq, places) = (entry.seq, entry.places.clone());
            Some(Found {
                meta,
                seq,
                store: self.clone(),
                key: *key,
                places,
                files,
            })
        });
        if found.is_none() {
            self.lose(key, entry.seq);
        }
        found
    }

    /// A copy is not what it should be.
    fn lose(&self, key: &Key, seq: u64) {
        let mut inner = self.inner();
        if inner.index.get(key).is_some_and(|e| e.seq == seq) {
            inner.index.remove(key);
            inner.stats.lost += 1;
            self.gone(&mut inner, *key, seq);
        }
    }

    /// Has been taken out of the index: recorded now, or when the disk takes it.
    fn gone(&self, inner: &mut Inner, key: Key, seq: u64) {
        inner.owed.push(Word::Gone(Gone::new(key, seq)));
        let _ = self.pay_owed(inner);
    }

    fn pay_owed(&self, inner: &mut Inner) -> Result<(), StoreError> {
        while let Some(word) = inner.owed.pop() {
            if let Err(e) = self.append(inner, &word) {
                inner.owed.push(word);
                return Err(e);
            }
        }
        Ok(())
    }

    /// Begins a fill. Its copy takes the place of the one that is held when it is committed.
    pub fn begin(&self, meta: Meta) -> Fill {
        let mut inner = self.inner();
        // A number of its own, so that a purge is before or after it.
        inner.seq += 1;
        let begun = inner.seq;
        inner.fills.insert(begun);
        drop(inner);
        let (buffer, places) = (BytesMut::new(), Vec::new());
        Fill {
            store: self.clone(),
            meta,
            begun,
            buffer,
            places,
            size: 0,
            over: false,
        }
    }

    /// The held copy was confirmed: new times, the same bytes. False: it is not the one that is held any more.
    pub fn renew(&self, found: &Found, meta: Meta, wall_ms: u64) -> Result<bool, StoreError> {
        let mut inner = self.inner();
        let Some(entry) = inner
            .index
            .get(&found.key)
            .filter(|e| e.seq == found.seq)
            .cloned()
        else {
            return Ok(false);
        };
        let stored_ms = inner.clock.now(wall_ms);
        let meta = Meta {
            size: entry.size,
            stored_ms,
            ..meta
        };
        if meta.key() != found.key {
            return Ok(false);
        }
        self.commit(&mut inner, meta, entry.places.to_vec())?;
        Ok(true)
    }

    /// Takes away what it strikes, durably when this returns well. After an error it is gone from the index all the same, and may
    /// be back after a crash.
    pub fn purge(&self, what: &What) -> Result<usize, StoreError> {
        let (count, upto) = {
            let mut inner = self.inner();
            let mut purge = Purge {
                strikes: inner.seq,
                ..Purge::default()
            };
            let keys = match what {
                What::Object(object) => {
                    let object = record::object_number(object);
                    (purge.object_low, purge.object_high) = (object as u64, (object >> 64) as u64);
                    purge.of_object = true;
                    inner.index.of_object(object)
                }
                What::Group(group) => {
                    (purge.group, purge.of_group) = (*group, true);
                    inner.index.of_group(*group)
                }
                What::All => inner.index.keys(),
            };
            for key in &keys {
                inner.index.remove(key);
            }
            if let Some(recovery) = &mut inner.recovery {
                recovery.struck.purge(&purge);
            }
            let seq = inner.seq;
            inner.purges.push((seq, purge));
            let oldest = inner.fills.first().copied();
            inner
                .purges
                .retain(|(seq, _)| oldest.is_some_and(|oldest| *seq >= oldest));
            inner.stats.purged += keys.len() as u64;
            // Twice: a bit that flips in one of them must not undo it.
            let word = Word::Purge(purge);
            if matches!(self.append(&mut inner, &word), Err(StoreError::Disk(_))) {
                self.sacrifice(&mut inner);
            }
            let upto = match self.append(&mut inner, &word) {
                Ok(upto) => upto,
                Err(e) => {
                    inner.owed.push(word);
                    return Err(e);
                }
            };
            (keys.len(), upto)
        };
        self.sync_upto(upto.segment, upto.offset + upto.len + HEAD as u32)?;
        Ok(count)
    }

    /// The oldest segment goes, with all that is in it: room for what must be written.
    fn sacrifice(&self, inner: &mut Inner) -> bool {
        let oldest = inner
            .segments
            .iter()
            .find(|(n, s)| s.pins == 0 && inner.active != Some(**n));
        let Some(number) = oldest
            .map(|(n, _)| *n)
            .filter(|n| inner.segments.keys().next() == Some(n))
        else {
            return false;
        };
        if inner.recovery.is_some() {
            return false;
        }
        while let Some(key) = inner.index.one_in(number) {
            inner.index.remove(&key);
            inner.stats.evicted += 1;
        }
        self.remove_segment(inner, number)
    }

    fn remove_segment(&self, inner: &mut Inner, number: u32) -> bool {
        if self.0.disk.remove(&segments::segment_name(number)).is_err() {
            return false;
        }
        let _ = self.0.disk.remove(&segments::summary_name(number));
        inner.segments.remove(&number);
        inner.index.forget_segment(number);
        true
    }

    /// Moves up to so many bytes out of segments that are mostly dead. What was moved; 0: nothing is worth it.
    pub fn maintain(&self, bytes: u64) -> Result<u64, StoreError> {
        let mut inner = self.inner();
        self.clean(&mut inner, bytes)
    }

    pub fn sync(&self) -> Result<(), StoreError> {
        let upto = {
            let inner = self.inner();
            inner
                .active
                .and_then(|n| Some((n, inner.segments.get(&n)?.len)))
        };
        upto.map_or(Ok(()), |(number, len)| self.sync_upto(number, len))
    }

    /// Everything is synced and summed up: the next start reads summaries only.
    pub fn close(&self) -> Result<(), StoreError> {
        self.sync()?;
        let mut inner = self.inner();
        self.seal(&mut inner)
    }

    pub fn stats(&self) -> Stats {
        let inner = self.inner();
        let mut s = inner.stats;
        s.copies = inner.index.len() as u64;
        s.live_bytes = inner.index.live();
        s.disk_bytes = inner.segments.values().map(|s| u64::from(s.len)).sum();
        s.segments = inner.segments.len() as u64;
        s.pending_bytes = inner.recovery.as_ref().map_or(0, Recovery::pending_bytes);
        s
    }

    /// Why things were given up at recovery, as far as that has come.
    pub fn doubts(&self) -> Vec<String> {
        self.inner()
            .recovery
            .as_ref()
            .map_or(Vec::new(), |r| r.doubts.clone())
    }

    pub fn keys(&self) -> Vec<Key> {
        self.inner().index.keys()
    }

    /// Milliseconds since 1970 by the store's clock.
    pub fn now_ms(&self, wall_ms: u64) -> u64 {
        self.inner().clock.now(wall_ms)
    }
}

fn pending(inner: &Inner) -> Vec<u32> {
    inner
        .recovery
        .as_ref()
        .map_or(Vec::new(), Recovery::pending)
}

/// A record's payload, if it is what was written.
fn read_record(file: &dyn DiskFile, segment: u32, offset: u32, len: u32) -> Option<Vec<u8>> {
    let mut bytes = vec![0; len as usize];
    file.read_at(u64::from(offset), &mut bytes).ok()?;
    let head = record::decode_head(segment, &bytes)?;
    let payload = bytes.split_off(HEAD);
    (head.len as usize == payload.len() && crc32fast::hash(&payload) == head.crc).then_some(payload)
}
