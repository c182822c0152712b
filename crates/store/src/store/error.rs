//! Errors of the store, for writers and for readers.

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
