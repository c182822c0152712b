//! The store: one writer behind a lock, readers beside it.
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
        Self { capacity: 1 << 30, segment: 64 << 20, block: 64 << 10, memory: 64 << 20 }
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
    /// A write or a sync failed and could not be taken back: what is held is still given out.
    #[error("the store takes nothing more: {0}")]
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
    closed: Option<String>,
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

/// A held copy, to be read. It can be read to its end whatever becomes of it in the store meanwhile.
pub struct Found {
    pub meta: Meta,
    pub seq: u64,
    store: Store,
    key: Key,
    places: Box<[Place]>,
    files: BTreeMap<u32, Arc<dyn DiskFile>>,
}

impl std::fmt::Debug for Found {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Found {:?}", self.meta)
    }
}

/// A copy on its way in. Dropped, it never was.
pub struct Fill {
    store: Store,
    meta: Meta,
    begun: u64,
    buffer: BytesMut,
    places: Vec<Place>,
    size: u64,
    over: bool,
}

impl std::fmt::Debug for Fill {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Fill of {} after {} bytes", self.meta.object, self.size)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
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
            closed: None,
            clock: Clock::default(),
            stats: Stats::default(),
        };
        let memory =
            Cache::with_weighter((options.memory / 32_768).max(64) as usize, options.memory.max(1), Weigh);
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
        let Some(recovery) = &mut inner.recovery else { return Ok(false) };
        match recovery.step(&*self.0.disk, &mut inner.index)? {
            None => inner.recovery = None,
            Some(Step::Empty(_)) => {}
            Some(Step::Found(Recovered { number, file, len, strikes, unsummed, last_seq })) => {
                inner.seq = inner.seq.max(last_seq);
                inner.clock.seen(recovery.newest_ms, wall_ms);
                // Its torn end stays: the summary says where it begins, and what had to be heeded of it.
                if let Some(records) = unsummed {
                    self.sum_up(number, len, &records);
                }
                inner.segments.insert(number, Segment { file, len, synced: len, pins: 0, strikes });
            }
        }
        let doubted = inner.recovery.as_mut().and_then(Recovery::take_doubted);
        if let Some(strikes) = doubted {
            inner.seq = inner.seq.max(strikes);
            let at = self.append(inner, &Word::Purge(Purge { strikes, ..Purge::default() }))?;
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
        let (name, beside) =
            (segments::summary_name(number), format!("{}.new", segments::summary_name(number)));
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
            let wanted = entry.places.iter().map(|p| p.segment).chain([entry.commit.0]);
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
            let meta = Commit::decode(&commit[..]).ok()?.meta.filter(|m| m.key() == *key)?;
            let (seq, places) = (entry.seq, entry.places.clone());
            Some(Found { meta, seq, store: self.clone(), key: *key, places, files })
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
        Fill { store: self.clone(), meta, begun, buffer, places, size: 0, over: false }
    }

    /// The held copy was confirmed: new times, the same bytes. False: it is not the one that is held any more.
    pub fn renew(&self, found: &Found, meta: Meta, wall_ms: u64) -> Result<bool, StoreError> {
        let mut inner = self.inner();
        let Some(entry) = inner.index.get(&found.key).filter(|e| e.seq == found.seq).cloned() else {
            return Ok(false);
        };
        let stored_ms = inner.clock.now(wall_ms);
        let meta = Meta { size: entry.size, stored_ms, ..meta };
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
            let mut purge = Purge { strikes: inner.seq, ..Purge::default() };
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
            inner.purges.retain(|(seq, _)| oldest.is_some_and(|oldest| *seq >= oldest));
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
        let oldest = inner.segments.iter().find(|(n, s)| s.pins == 0 && inner.active != Some(**n));
        let Some(number) = oldest.map(|(n, _)| *n).filter(|n| inner.segments.keys().next() == Some(n))
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
            inner.active.and_then(|n| Some((n, inner.segments.get(&n)?.len)))
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
        self.inner().recovery.as_ref().map_or(Vec::new(), |r| r.doubts.clone())
    }

    pub fn keys(&self) -> Vec<Key> {
        self.inner().index.keys()
    }

    /// Milliseconds since 1970 by the store's clock.
    pub fn now_ms(&self, wall_ms: u64) -> u64 {
        self.inner().clock.now(wall_ms)
    }

    // ---- writing, under the lock

    fn append(&self, inner: &mut Inner, word: &Word) -> Result<Place, StoreError> {
        let (kind, payload) = (word.kind(), word.payload());
        let place = self.write(inner, kind, &payload)?;
        if let Word::Purge(_) | Word::Gone(_) = word {
            if let Some(segment) = inner.segments.get_mut(&place.segment) {
                segment.strikes.push((place.offset, word.clone()));
            }
        }
        Ok(place)
    }

    fn write(&self, inner: &mut Inner, kind: Kind, payload: &[u8]) -> Result<Place, StoreError> {
        if let Some(why) = &inner.closed {
            return Err(StoreError::Closed(why.clone()));
        }
        let need = (HEAD + payload.len()) as u32;
        let full = |s: &Segment| s.len + need > self.0.options.segment && s.len > SEGMENT_HEAD as u32;
        if inner.active.and_then(|n| inner.segments.get(&n)).is_some_and(full) {
            self.seal(inner)?;
        }
        let number = match inner.active {
            Some(number) => number,
            None => self.create(inner)?,
        };
        self.put(inner, number, kind, payload)
    }

    fn put(&self, inner: &mut Inner, number: u32, kind: Kind, payload: &[u8]) -> Result<Place, StoreError> {
        inner.seq += 1;
        let bytes = record::encode(number, kind, inner.seq, payload);
        let Some(segment) = inner.segments.get_mut(&number) else { return Err(StoreError::NoRoom) };
        let offset = segment.len;
        if let Err(e) = segment.file.write_at(u64::from(offset), &bytes) {
            // What was written of it must not stand before what comes next.
            if let Err(e) = segment.file.truncate(u64::from(offset)) {
                inner.closed = Some(format!("a failed write cannot be taken back: {e}"));
            }
            return Err(e.into());
        }
        segment.len += bytes.len() as u32;
        inner.stats.written_bytes += bytes.len() as u64;
        if kind != Kind::Block {
            inner.records.extend_from_slice(&offset.to_le_bytes());
            inner.records.extend_from_slice(&bytes);
            inner.record_ends.push((segment.len, inner.records.len()));
        }
        Ok(Place { segment: number, offset, len: payload.len() as u32, crc: crc32fast::hash(payload) })
    }

    fn create(&self, inner: &mut Inner) -> Result<u32, StoreError> {
        let number = inner.next_segment;
        let name = segments::segment_name(number);
        let file = self.0.disk.create(&name)?;
        let begun =
            file.write_at(0, &segments::segment_head(number)).and_then(|()| self.0.disk.sync_names());
        if let Err(e) = begun {
            let _ = self.0.disk.remove(&name);
            return Err(e.into());
        }
        inner.next_segment += 1;
        let len = SEGMENT_HEAD as u32;
        let needed = inner.segments.keys().copied().chain(pending(inner)).collect();
        inner.segments.insert(number, Segment { file, len, synced: 0, pins: 0, strikes: Vec::new() });
        (inner.active, inner.records, inner.record_ends) = (Some(number), Vec::new(), Vec::new());
        let roster = Word::Roster(Roster { segments: needed });
        self.put(inner, number, Kind::Roster, &roster.payload())?;
        Ok(number)
    }

    /// Nothing more is written to the active segment.
    fn seal(&self, inner: &mut Inner) -> Result<(), StoreError> {
        let Some(number) = inner.active else { return Ok(()) };
        let Some(segment) = inner.segments.get_mut(&number) else { return Ok(()) };
        let synced = segment.file.sync();
        let len = segment.len;
        match synced {
            Ok(()) => segment.synced = len,
            Err(e) => {
                self.distrust(inner, number);
                return Err(e.into());
            }
        }
        let records = std::mem::take(&mut inner.records);
        inner.active = None;
        self.sum_up(number, len, &records);
        Ok(())
    }

    /// A sync failed: nothing written since the last good one is trusted. The segment ends there.
    fn distrust(&self, inner: &mut Inner, number: u32) {
        let Some(segment) = inner.segments.get_mut(&number) else { return };
        let good = segment.synced.max(SEGMENT_HEAD as u32);
        if segment.len <= good {
            return;
        }
        segment.len = good;
        let (kept, lost) = segment.strikes.drain(..).partition(|(offset, _)| *offset < good);
        segment.strikes = kept;
        let lost: Vec<(u32, Word)> = lost;
        inner.owed.extend(lost.into_iter().map(|(_, word)| word));
        let Some(segment) = inner.segments.get_mut(&number) else { return };
        let truncated = segment.file.truncate(u64::from(good));
        tracing::error!(
            segment = number,
            from = good,
            "store: a sync failed; what was written since is not trusted"
        );
        let lost: Vec<Key> = inner.index.share(number).keys.into_iter().collect();
        for key in lost {
            let beyond = |segment: u32, offset: u32| segment == number && offset >= good;
            let wrong = inner.index.get(&key).is_some_and(|e| {
                beyond(e.commit.0, e.commit.1) || e.places.iter().any(|p| beyond(p.segment, p.offset))
            });
            if wrong {
                // Not written here: the segment that would take it may be the one that fails.
                let seq = inner.index.remove(&key).map_or(0, |e| e.seq);
                inner.owed.push(Word::Gone(Gone::new(key, seq)));
                inner.stats.lost += 1;
            }
        }
        if inner.active == Some(number) {
            let kept =
                inner.record_ends.iter().rev().find(|(end, _)| *end <= good).map_or(0, |(_, at)| *at);
            let records = inner.records[..kept].to_vec();
            inner.active = None;
            match truncated {
                Ok(()) => self.sum_up(number, good, &records),
                Err(e) => inner.closed = Some(format!("a failed sync cannot be taken back: {e}")),
            }
        }
    }

    fn sync_upto(&self, number: u32, upto: u32) -> Result<(), StoreError> {
        let _one = lock(&self.0.syncing);
        let (file, len) = {
            let inner = self.inner();
            match inner.segments.get(&number) {
                // Somebody else's sync, or its sealing, has covered it.
                Some(segment) if segment.synced >= upto => return Ok(()),
                Some(segment) if segment.len >= upto => (segment.file.clone(), segment.len),
                Some(_) => {
                    return Err(StoreError::Disk(std::io::Error::other("a sync before it has failed")))
                }
                // Cleaned meanwhile: what mattered of it was synced elsewhere before it was removed.
                None => return Ok(()),
            }
        };
        let synced = file.sync();
        let mut inner = self.inner();
        match synced {
            Ok(()) => {
                let segment = inner.segments.get_mut(&number).filter(|s| s.len >= len);
                let Some(segment) = segment else {
                    return Err(StoreError::Disk(std::io::Error::other("a sync beside it has failed")));
                };
                segment.synced = segment.synced.max(len);
                Ok(())
            }
            Err(e) => {
                self.distrust(&mut inner, number);
                Err(e.into())
            }
        }
    }

    fn commit(&self, inner: &mut Inner, meta: Meta, places: Vec<Place>) -> Result<(), StoreError> {
        let commit = Commit { meta: Some(meta), places };
        let at = self.write(inner, Kind::Commit, &commit.encode_to_vec())?;
        let (Some(meta), places) = (commit.meta, commit.places) else { return Ok(()) };
        let key = meta.key();
        let record = (at.segment, at.offset, at.len + HEAD as u32);
        let (born, fresh, rank) = (meta.born_ms, meta.fresh_until_ms, meta.rank);
        let entry = Entry::new(meta.group, meta.size, born, fresh, rank, inner.seq, record, places);
        inner.index.insert(key, entry, false);
        Ok(())
    }

    // ---- space

    fn disk_bytes(&self, inner: &Inner) -> u64 {
        let pending = inner.recovery.as_ref().map_or(0, Recovery::pending_bytes);
        inner.segments.values().map(|s| u64::from(s.len)).sum::<u64>() + pending
    }

    /// Makes room for so many bytes more of a copy of this rank.
    fn room(&self, inner: &mut Inner, need: u64, rank: u32) -> Result<(), StoreError> {
        let segment = u64::from(self.0.options.segment);
        // One segment is being written, one is needed to clean into.
        let space = self.0.options.capacity - 2 * segment;
        let most = (space as f64 * FULL) as u64;
        while inner.index.live() + need > most {
            let key = inner.index.first_to_go(Some(rank)).ok_or(StoreError::NoRoom)?;
            let seq = inner.index.remove(&key).map_or(0, |e| e.seq);
            inner.stats.evicted += 1;
            self.gone(inner, key, seq);
        }
        // Early, and in small parts: nobody waits for a whole segment.
        if self.disk_bytes(inner) + need + segment > space {
            self.clean(inner, PAY * need)?;
        }
        let mut moved = 0;
        while self.disk_bytes(inner) + need > space {
            let more = self.clean(inner, segment)?;
            moved += more;
            // A whole turn without room: what is there cannot be made smaller.
            if more == 0 || moved > 2 * self.0.options.capacity {
                return Err(StoreError::NoRoom);
            }
        }
        Ok(())
    }

    fn clean(&self, inner: &mut Inner, most: u64) -> Result<u64, StoreError> {
        let mut moved = 0;
        while moved < most && inner.recovery.is_none() {
            let Some(victim) = inner.victim.or_else(|| self.choose(inner)) else { break };
            inner.victim = Some(victim);
            match inner.index.one_in(victim) {
                Some(key) => moved += self.move_out(inner, key, victim)?,
                None => {
                    // The file itself counts, so that a caller who needs room goes on.
                    moved += inner.segments.get(&victim).map_or(0, |s| u64::from(s.len));
                    inner.victim = None;
                    self.finish(inner, victim)?;
                }
            }
        }
        Ok(moved)
    }

    /// The emptiest segment that nobody writes to; of equals the oldest.
    fn choose(&self, inner: &Inner) -> Option<u32> {
        let fit = inner.segments.iter().filter(|(n, s)| inner.active != Some(**n) && s.pins == 0);
        let dense = |n: u32, s: &Segment| inner.index.live_in(n) as f64 / f64::from(s.len.max(1));
        // Purges and evictions are carried on until nothing older is left that they could strike: too many of them, and the log is
        // turned over from its oldest end.
        let strikes: usize = inner.segments.values().map(|s| s.strikes.len()).sum();
        if strikes > STRIKES_LEAST.max(2 * inner.index.len()) {
            return fit.map(|(n, _)| *n).min();
        }
        let all = fit.map(|(n, s)| (dense(*n, s), *n)).filter(|(dense, _)| *dense < DENSE);
        all.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, n)| n)
    }

    /// Writes anew what a copy has in a segment. Bytes moved.
    fn move_out(&self, inner: &mut Inner, key: Key, victim: u32) -> Result<u64, StoreError> {
        let Some(entry) = inner.index.get(&key).cloned() else { return Ok(0) };
        let read = |inner: &Inner, segment: u32, offset: u32, len: u32| {
            let file = inner.segments.get(&segment)?.file.clone();
            read_record(&*file, segment, offset, len)
        };
        let (segment, offset, len) = entry.commit;
        let commit = read(inner, segment, offset, len).and_then(|bytes| Commit::decode(&bytes[..]).ok());
        let (mut places, mut moved, mut right) = (entry.places.to_vec(), 0, true);
        for place in places.iter_mut().filter(|p| p.segment == victim) {
            let Some(block) = read(inner, victim, place.offset, place.len + HEAD as u32) else {
                right = false;
                break;
            };
            *place = self.write(inner, Kind::Block, &block)?;
            moved += u64::from(place.len) + HEAD as u64;
        }
        match commit.and_then(|c| c.meta).filter(|_| right) {
            Some(meta) => self.commit(inner, meta, places)?,
            None => {
                inner.index.remove(&key);
                inner.stats.lost += 1;
                self.gone(inner, key, entry.seq);
            }
        }
        // At least something, so that a caller's loop ends.
        Ok(moved + u64::from(len))
    }

    /// A segment in which nothing lives any more: what older ones need of it goes on, then it is removed.
    fn finish(&self, inner: &mut Inner, victim: u32) -> Result<(), StoreError> {
        self.pay_owed(inner)?;
        let oldest = inner.segments.keys().next().is_none_or(|first| *first >= victim);
        if !oldest {
            let strikes = inner.segments.get(&victim).map_or(Vec::new(), |s| s.strikes.clone());
            for (_, word) in strikes {
                self.append(inner, &word)?;
            }
        }
        let needed = inner.segments.keys().copied().filter(|n| *n != victim).collect();
        let at = self.append(inner, &Word::Roster(Roster { segments: needed }))?;
        // What was moved must be there before its old place goes.
        let Some(segment) = inner.segments.get_mut(&at.segment) else { return Ok(()) };
        if let Err(e) = segment.file.sync() {
            self.distrust(inner, at.segment);
            return Err(e.into());
        }
        segment.synced = segment.len;
        self.remove_segment(inner, victim);
        Ok(())
    }
}

fn pending(inner: &Inner) -> Vec<u32> {
    inner.recovery.as_ref().map_or(Vec::new(), Recovery::pending)
}

/// A record's payload, if it is what was written.
fn read_record(file: &dyn DiskFile, segment: u32, offset: u32, len: u32) -> Option<Vec<u8>> {
    let mut bytes = vec![0; len as usize];
    file.read_at(u64::from(offset), &mut bytes).ok()?;
    let head = record::decode_head(segment, &bytes)?;
    let payload = bytes.split_off(HEAD);
    (head.len as usize == payload.len() && crc32fast::hash(&payload) == head.crc).then_some(payload)
}

impl Found {
    pub fn blocks(&self) -> usize {
        self.places.len()
    }

    /// A block, if it is in memory.
    pub fn in_memory(&self, block: usize) -> Option<Bytes> {
        let place = self.places.get(block)?;
        self.store.0.memory.get(&(place.segment, place.offset))
    }

    /// A block of the body, in order; from memory, or from disk with its checksum found right.
    pub fn read(&self, block: usize) -> Result<Bytes, ReadError> {
        let place = self.places.get(block).ok_or(ReadError::None(block))?;
        let shared = &self.store.0;
        if let Some(bytes) = shared.memory.get(&(place.segment, place.offset)) {
            self.store.inner().stats.memory_reads += 1;
            return Ok(bytes);
        }
        let file = self.files.get(&place.segment).ok_or(ReadError::None(block))?;
        let mut bytes = vec![0; place.len as usize];
        if let Err(e) = file.read_at(u64::from(place.offset) + HEAD as u64, &mut bytes) {
            self.store.lose(&self.key, self.seq);
            return Err(ReadError::Disk(block, e));
        }
        if crc32fast::hash(&bytes) != place.crc {
            self.store.lose(&self.key, self.seq);
            return Err(ReadError::Wrong(block));
        }
        let bytes = Bytes::from(bytes);
        shared.memory.insert((place.segment, place.offset), bytes.clone());
        self.store.inner().stats.disk_reads += 1;
        Ok(bytes)
    }
}

impl Fill {
    /// What is known of the copy by now; before its first byte.
    pub fn describe(&mut self, meta: Meta) {
        self.meta = meta;
    }

    /// More of the body. After an error nothing is kept of it.
    pub fn write(&mut self, mut bytes: &[u8]) -> Result<(), StoreError> {
        let block = self.store.0.options.block as usize;
        while !bytes.is_empty() {
            let some = bytes.len().min(block - self.buffer.len());
            self.buffer.extend_from_slice(&bytes[..some]);
            self.size += some as u64;
            bytes = &bytes[some..];
            if self.buffer.len() == block {
                self.flush()?;
            }
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), StoreError> {
        if self.buffer.is_empty() || self.over {
            return Ok(());
        }
        let store = self.store.clone();
        let mut inner = store.inner();
        let written = store
            .room(&mut inner, (HEAD + self.buffer.len()) as u64, self.meta.rank)
            .and_then(|()| store.write(&mut inner, Kind::Block, &self.buffer));
        match written {
            Ok(place) => {
                if let Some(segment) = inner.segments.get_mut(&place.segment) {
                    segment.pins += 1;
                }
                inner.stats.taken_bytes += self.buffer.len() as u64;
                self.places.push(place);
                self.buffer.clear();
                Ok(())
            }
            Err(e) => {
                self.end(&mut inner);
                Err(e)
            }
        }
    }

    /// Nothing of it is pinned any more, and purges are not kept for it.
    fn end(&mut self, inner: &mut Inner) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        inner.fills.remove(&self.begun);
        for place in &self.places {
            if let Some(segment) = inner.segments.get_mut(&place.segment) {
                segment.pins = segment.pins.saturating_sub(1);
            }
        }
    }

    /// The copy is whole: it is held from now on. It may be lost by a crash until the next sync.
    pub fn commit(mut self, wall_ms: u64) -> Result<(), StoreError> {
        self.flush()?;
        let store = self.store.clone();
        let mut inner = store.inner();
        if self.over {
            return Err(StoreError::NoRoom);
        }
        let told = self.meta.size;
        if told != 0 && told != self.size {
            return Err(StoreError::Short { told, got: self.size });
        }
        let key = self.meta.key();
        let struck = inner.purges.iter().any(|(seq, p)| {
            *seq >= self.begun
                && match (p.of_object, p.of_group) {
                    (true, _) => p.object() == key.object,
                    (_, true) => p.group == self.meta.group,
                    _ => true,
                }
        });
        if struck {
            return Err(StoreError::Purged);
        }
        // A failed sync may have taken some of it away.
        let there = |p: &Place| {
            inner.segments.get(&p.segment).is_some_and(|s| p.offset + p.len + HEAD as u32 <= s.len)
        };
        if !self.places.iter().all(there) {
            return Err(StoreError::Disk(std::io::Error::other("a sync failed while it was filled")));
        }
        let stored_ms = inner.clock.now(wall_ms);
        let meta = Meta { size: self.size, stored_ms, ..std::mem::take(&mut self.meta) };
        let places = self.places.clone();
        store.room(&mut inner, 1_024 + 32 * places.len() as u64, meta.rank)?;
        store.commit(&mut inner, meta, places)
    }
}

impl Drop for Fill {
    fn drop(&mut self) {
        let store = self.store.clone();
        let mut inner = store.inner();
        self.end(&mut inner);
    }
}
