//! Counters and gauges of the store.

/// A snapshot of the store's gauges and of its counters since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of copies in the index.
    pub copies: u64,
    /// Bytes of the records that the index refers to.
    pub live_bytes: u64,
    /// Bytes of the segments that were recovered or written.
    pub disk_bytes: u64,
    /// Number of segments that were recovered or written.
    pub segments: u64,
    /// Number of copies evicted.
    pub evicted: u64,
    /// Number of copies removed by purges.
    pub purged: u64,
    /// Number of copies removed because they could not be read or an fsync failed.
    pub lost: u64,
    /// Number of body bytes accepted from fills, counted as each block is written: the blocks of fills that are aborted later
    /// are included.
    pub accepted_bytes: u64,
    /// Total bytes written; divided by `accepted_bytes`, this is the write amplification.
    pub written_bytes: u64,
    /// Number of blocks served from the in-memory block cache.
    pub memory_reads: u64,
    /// Number of blocks read from disk.
    pub disk_reads: u64,
    /// Bytes of the segments that recovery has not read yet.
    pub pending_bytes: u64,
}
