//! The store: one writer behind a lock; readers take the lock only to look up a copy.
//!
//! [`Store`] is implemented by concern: `recovery`, `found` (reads), `fill`, `purge`, `space` (eviction and cleaning), `write`.
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
use crate::index::{Entry, Index, RecordLocation};
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

/// Limit of live bytes as a fraction of the usable capacity, so that segment cleaning always finds dead bytes.
const MAX_LIVE_FRACTION: f64 = 0.85;
/// Segments with a higher fraction of live bytes are not cleaned.
const MAX_CLEANABLE_LIVE_FRACTION: f64 = 0.97;
/// Purges and tombstones allowed in the log regardless of the number of copies, before its oldest segment is rewritten.
const MIN_INVALIDATIONS_FOR_REWRITE: usize = 256;
/// Limit of cleaning work per written byte while capacity is left.
const MAX_CLEANED_BYTES_PER_WRITTEN_BYTE: u64 = 2;

/// Estimated overhead of an entry in the block cache.
const CACHE_ENTRY_BYTES: u64 = 64;

/// A segment on disk, open for reading; the active one also for writing.
struct Segment {
    file: Arc<dyn DiskFile>,
    /// End of the last record.
    len: u32,
    /// Durable up to this offset.
    synced: u32,
    /// Blocks of open fills; a pinned segment is not cleaned.
    pins: u32,
    /// Purges and tombstones with their offsets, ascending.
    invalidation_records: Vec<(u32, Record)>,
}

/// A truncation that failed and is still owed. Forgotten once it succeeds or the segment is removed.
struct PendingTruncation {
    segment: u32,
    at: u32,
    /// For a segment that is no longer active: its records, for the summary owed after the truncation.
    records: Option<Vec<u8>>,
}

/// State under the writer lock.
struct Inner {
    index: Index,
    segments: BTreeMap<u32, Segment>,
    active: Option<u32>,
    next_segment: u32,
    /// Records of the active segment but blocks, for its summary.
    records: Vec<u8>,
    /// For each of `records`: its end in the segment, and its end in `records`.
    record_ends: Vec<(u32, usize)>,
    /// Last sequence number used.
    seq: u64,
    /// None once recovery is complete.
    recovery: Option<Recovery>,
    /// Purges since the oldest open fill began, by sequence number.
    purges: Vec<(u64, Purge)>,
    /// Sequence numbers at which the open fills began.
    fills: BTreeSet<u64>,
    /// Purges and tombstones owed because their write failed or was lost. They are written before any segment is removed; otherwise
    /// older commits that they cover would be recovered after a restart.
    deferred_records: Vec<Record>,
    /// The segment that is being cleaned.
    victim: Option<u32>,
    /// Owed truncations; nothing is written before they have succeeded.
    pending_truncations: Vec<PendingTruncation>,
    clock: Clock,
    stats: Stats,
}

/// State shared by all clones of a [`Store`] and its readers.
struct Shared {
    disk: Arc<dyn Disk>,
    options: Options,
    inner: Mutex<Inner>,
    /// Serializes fsyncs: one that succeeds after one that failed proves nothing about the earlier writes.
    syncing: Mutex<()>,
    /// Verified blocks by segment and offset.
    memory: Cache<(u32, u32), Bytes, BlockWeight>,
}

#[derive(Clone)]
struct BlockWeight;

impl quick_cache::Weighter<(u32, u32), Bytes> for BlockWeight {
    fn weight(&self, _: &(u32, u32), block: &Bytes) -> u64 {
        block.len() as u64 + CACHE_ENTRY_BYTES
    }
}

/// Handle of an open store; clones share it.
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

    /// Begins a fill. On commit its copy replaces the stored one of the same key.
    pub fn begin(&self, meta: Meta) -> Fill {
        let mut inner = self.inner();
        // A sequence number of its own orders the fill against purges.
        inner.seq += 1;
        let begun = inner.seq;
        inner.fills.insert(begun);
        drop(inner);
        Fill {
            store: self.clone(),
            meta,
            begun,
            buffer: BytesMut::new(),
            locations: Vec::new(),
            size: 0,
            over: false,
        }
    }

    /// Makes everything written so far durable.
    pub fn sync(&self) -> Result<(), StoreError> {
        let upto = {
            let inner = self.inner();
            inner
                .active
                .and_then(|n| Some((n, inner.segments.get(&n)?.len)))
        };
        upto.map_or(Ok(()), |(number, len)| self.sync_upto(number, len))
    }

    /// Syncs and seals the active segment, so that the next start reads only summaries.
    pub fn close(&self) -> Result<(), StoreError> {
        self.sync()?;
        let mut inner = self.inner();
        self.seal(&mut inner)
    }

    /// A snapshot of the counters and gauges.
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

    /// Keys of all copies in the index, ascending.
    pub fn keys(&self) -> Vec<Key> {
        self.inner().index.keys()
    }

    /// Milliseconds since 1970 by the store's clock, which never goes back.
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
