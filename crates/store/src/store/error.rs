//! Errors of the store, for writers and for readers.

/// Why a write, a purge or an open failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The sizes in [`super::Options`] do not fit together.
    #[error(
        "capacity {capacity}: at least six segments of {segment} bytes; blocks up to a quarter of one"
    )]
    Options {
        /// Configured capacity, in bytes.
        capacity: u64,
        /// Configured segment size, in bytes.
        segment: u32,
    },
    /// An operation of the file system failed.
    #[error("disk: {0}")]
    Disk(#[from] std::io::Error),
    /// No copy of lower or equal rank is left to evict.
    #[error("no room")]
    NoRoom,
    /// A purge covered the object after the fill had begun.
    #[error("purged meanwhile")]
    Purged,
    /// The body's length differs from the declared one.
    #[error("{got} bytes came of {declared}")]
    Short {
        /// Declared size, in bytes.
        declared: u64,
        /// Bytes written to the fill.
        got: u64,
    },
    /// The store is read-only: truncation after a failed write or fsync failed too. Copies are still served, and each later write
    /// retries the truncation.
    #[error("the store takes nothing for now: {0}")]
    Closed(String),
}

/// Why a block could not be read. Except after [`ReadError::None`] the copy was removed from the index.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The block does not match its checksum.
    #[error("block {0} is not what was written")]
    Wrong(usize),
    /// The file system failed to read the block.
    #[error("block {0}: {1}")]
    Disk(usize, std::io::Error),
    /// The copy has no block of this number.
    #[error("no block {0}")]
    None(usize),
}
