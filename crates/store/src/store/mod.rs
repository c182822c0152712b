//! The store: one writer behind a lock, readers beside it.
mod clock;
mod error;
mod fill;
mod found;
mod options;
mod purge;
mod recovery;
mod space;
mod stats;
mod write;

pub use error::{ReadError, StoreError};
pub use fill::Fill;
pub use found::Found;
pub use options::Options;
pub use purge::What;
pub use stats::Stats;

use clock::Clock;
use found::read_record;

use crate::disk::{Disk, DiskFile};
use crate::index::{Entry, Index};
use crate::record::{
    self, BlockLocation, Commit, Key, Kind, Manifest, Meta, Purge, Record, Tombstone,
    RECORD_HEADER_BYTES,
};
use crate::recover::{RecoveredSegment, Recovery, Step};
use crate::segments::{self, SEGMENT_HEADER_BYTES};
use bytes::{Bytes, BytesMut};
use prost::Message;
use quick_cache::sync::Cache;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// Live bytes are kept below this share of the room, so that cleaning finds segments worth cleaning.
const MAX_LIVE_FRACTION: f64 = 0.85;
/// A segment that is live to more than this is not worth cleaning.
const MAX_CLEANABLE_LIVE_FRACTION: f64 = 0.97;
/// Purges and evictions that may be carried on however few copies there are.
const MIN_INVALIDATIONS_FOR_REWRITE: usize = 256;
/// Bytes that a write moves out of segments for each byte of its own, at most, while there is room enough.
const MAX_CLEANED_BYTES_PER_WRITTEN_BYTE: u64 = 2;

struct Segment {
    file: Arc<dyn DiskFile>,
    len: u32,
    synced: u32,
    /// Blocks of fills that are not committed yet.
    pins: u32,
    /// Purges and evictions, with where they stand.
    invalidation_records: Vec<(u32, Record)>,
}

/// A segment whose end is not trusted and could not be truncated so far. Forgotten once it is.
struct PendingTruncation {
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
    deferred_records: Vec<Record>,
    /// The segment that is being cleaned.
    victim: Option<u32>,
    /// Ends that are still to be taken back; until then nothing is written.
    pending_truncations: Vec<PendingTruncation>,
    clock: Clock,
    stats: Stats,
}

struct Shared {
    disk: Arc<dyn Disk>,
    options: Options,
    inner: Mutex<Inner>,
    /// One sync at a time: one that succeeds after one that failed proves nothing.
    syncing: Mutex<()>,
    memory: Cache<(u32, u32), Bytes, BlockWeight>,
}

#[derive(Clone)]
struct BlockWeight;

impl quick_cache::Weighter<(u32, u32), Bytes> for BlockWeight {
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
    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.0.inner)
    }

    /// Begins a fill. Its copy takes the place of the one that is held when it is committed.
    pub fn begin(&self, meta: Meta) -> Fill {
        let mut inner = self.inner();
        // A number of its own, so that a purge is before or after it.
        inner.seq += 1;
        let begun = inner.seq;
        inner.fills.insert(begun);
        drop(inner);
        let (buffer, locations) = (BytesMut::new(), Vec::new());
        Fill {
            store: self.clone(),
            meta,
            begun,
            buffer,
            locations,
            size: 0,
            over: false,
        }
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
