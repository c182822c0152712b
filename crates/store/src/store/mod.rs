//! The store: writers share one lock; readers take it only to look up a copy.
//!
//! The methods of [`Store`] are grouped by task: `recovery`, `found` (reads), `fill`, `purge`, `space` (eviction and cleaning), `write`.
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
pub use found::StoredCopy;
pub use options::Options;
pub use purge::PurgeScope;
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
/// Number of purges and tombstones that the log may hold, whatever the number of copies, before its oldest segment is rewritten.
const MIN_INVALIDATIONS_FOR_REWRITE: usize = 256;
/// Limit of cleaning work per written byte while the disk has free capacity.
const MAX_CLEANED_BYTES_PER_WRITTEN_BYTE: u64 = 2;

/// Estimated overhead of an entry in the block cache, in bytes.
const CACHE_ENTRY_BYTES: u64 = 64;

/// A segment on disk, open for reading; the active one also for writing.
struct Segment {
    file: Arc<dyn DiskFile>,
    /// Offset at which the last record ends.
    len: u32,
    /// Offset up to which the content is durable.
    synced: u32,
    /// Number of blocks that open fills have in the segment; a pinned segment is not cleaned.
    pins: u32,
    /// Purges and tombstones with their offsets, in ascending order.
    invalidation_records: Vec<(u32, Record)>,
}

/// A truncation that failed and has to be retried. The entry is dropped once it succeeds or the segment is removed.
struct PendingTruncation {
    segment: u32,
    /// Length to which the segment has to be truncated.
    offset: u32,
    /// Records for the summary to be written after the truncation; `None` if the segment is still active.
    records: Option<Vec<u8>>,
}

/// State under the writer lock.
struct Inner {
    index: Index,
    segments: BTreeMap<u32, Segment>,
    active: Option<u32>,
    next_segment: u32,
    /// Encoded records of the active segment, except for blocks, as its summary will hold them.
    active_records: Vec<u8>,
    /// For each record in `active_records`: its end in the segment, and its end in `active_records`.
    active_record_ends: Vec<(u32, usize)>,
    /// Last sequence number that was assigned.
    seq: u64,
    /// Progress of recovery; `None` once it is complete.
    recovery: Option<Recovery>,
    /// Purges since the oldest open fill began, with their sequence numbers.
    recent_purges: Vec<(u64, Purge)>,
    /// Sequence numbers at which the open fills began.
    open_fills: BTreeSet<u64>,
    /// Purges and tombstones whose write failed or was lost. They are written again before any segment is removed; otherwise the older
    /// commits that they cover would be recovered after a restart.
    deferred_records: Vec<Record>,
    /// The segment that is being cleaned.
    victim: Option<u32>,
    /// Truncations to be retried; writes are refused until all have succeeded.
    pending_truncations: Vec<PendingTruncation>,
    clock: Clock,
    stats: Stats,
}

/// State shared by all clones of a [`Store`] and its readers.
struct Shared {
    disk: Arc<dyn Disk>,
    options: Options,
    inner: Mutex<Inner>,
    /// Serializes fsyncs: an fsync that succeeds after a failed one does not prove that the earlier writes are durable.
    syncing: Mutex<()>,
    /// Verified blocks by segment and offset.
    block_cache: Cache<(u32, u32), Bytes, BlockWeight>,
}

#[derive(Clone)]
struct BlockWeight;

impl quick_cache::Weighter<(u32, u32), Bytes> for BlockWeight {
    fn weight(&self, _: &(u32, u32), block: &Bytes) -> u64 {
        block.len() as u64 + CACHE_ENTRY_BYTES
    }
}

/// Handle of an open store; clones share the same store.
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

    /// Begins a fill. Its commit replaces a stored copy of the same key.
    pub fn begin(&self, meta: Meta) -> Fill {
        let mut inner = self.inner();
        // The fill takes a sequence number, which orders it against purges.
        inner.seq += 1;
        let start_seq = inner.seq;
        inner.open_fills.insert(start_seq);
        drop(inner);
        Fill {
            store: self.clone(),
            meta,
            start_seq,
            buffer: BytesMut::new(),
            locations: Vec::new(),
            size: 0,
            ended: false,
        }
    }

    /// Makes everything written so far durable.
    pub fn sync(&self) -> Result<(), StoreError> {
        let up_to = {
            let inner = self.inner();
            inner
                .active
                .and_then(|n| Some((n, inner.segments.get(&n)?.len)))
        };
        up_to.map_or(Ok(()), |(number, len)| self.sync_up_to(number, len))
    }

    /// Syncs and seals the active segment, so that the next start reads only summaries.
    pub fn close(&self) -> Result<(), StoreError> {
        self.sync()?;
        let mut inner = self.inner();
        self.seal(&mut inner)
    }

    /// Returns a snapshot of the counters and gauges.
    pub fn stats(&self) -> Stats {
        let inner = self.inner();
        let mut stats = inner.stats;
        stats.copies = inner.index.len() as u64;
        stats.live_bytes = inner.index.live_bytes();
        stats.disk_bytes = inner.segments.values().map(|s| u64::from(s.len)).sum();
        stats.segments = inner.segments.len() as u64;
        stats.pending_bytes = inner.recovery.as_ref().map_or(0, Recovery::pending_bytes);
        stats
    }

    /// Returns the keys of all copies in the index, in ascending order.
    pub fn keys(&self) -> Vec<Key> {
        self.inner().index.keys()
    }

    /// Returns the time by the store's clock, which never goes back, in milliseconds since 1970.
    pub fn now_ms(&self, wall_ms: u64) -> u64 {
        self.inner().clock.now(wall_ms)
    }
}

fn pending_segments(inner: &Inner) -> Vec<u32> {
    inner
        .recovery
        .as_ref()
        .map_or(Vec::new(), Recovery::pending)
}
