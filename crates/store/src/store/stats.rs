//! Counters and gauges of the store.

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
