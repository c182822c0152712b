//! Counters and gauges of the store.

/// A snapshot of the store's counters (since it was opened) and gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Copies in the index.
    pub copies: u64,
    /// Bytes of records that the index refers to.
    pub live_bytes: u64,
    /// Bytes of the recovered and written segments.
    pub disk_bytes: u64,
    /// Segments recovered or written.
    pub segments: u64,
    /// Copies evicted.
    pub evicted: u64,
    /// Copies removed by purges.
    pub purged: u64,
    /// Copies removed because they could not be read, or because an fsync failed.
    pub lost: u64,
    /// Body bytes accepted from fills.
    pub taken_bytes: u64,
    /// Bytes written in all; divided by `taken_bytes` this is the write amplification.
    pub written_bytes: u64,
    /// Blocks served from memory.
    pub memory_reads: u64,
    /// Blocks served from disk.
    pub disk_reads: u64,
    /// Bytes of segments that recovery has still to read.
    pub pending_bytes: u64,
}
