//! Errors of the store, for writers and for readers.

/// Reason for which a write, a purge or the opening of a store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The sizes in [`super::Options`] do not fit together.
    #[error(
        "invalid store sizes: capacity {capacity} and segment size {segment} bytes; expected a capacity of at least six segments and blocks of 1 byte to a quarter of a segment, at most 4 MiB"
    )]
    Options {
        /// Configured capacity, in bytes.
        capacity: u64,
        /// Configured segment size, in bytes.
        segment: u32,
    },
    /// An operation of the file system failed.
    #[error("disk operation failed: {0}")]
    Disk(#[from] std::io::Error),
    /// No copy of lower or equal rank is left to evict, or cleaning cannot free enough capacity.
    #[error("store is full: eviction and cleaning cannot free enough capacity")]
    Full,
    /// A purge covered the object after the fill had begun.
    #[error("object was purged during the fill")]
    Purged,
    /// The body's length differs from the declared one.
    #[error("body length mismatch: got {got} of {declared} declared bytes")]
    SizeMismatch {
        /// Declared size, in bytes.
        declared: u64,
        /// Bytes written to the fill.
        got: u64,
    },
    /// The store is read-only because the truncation after a failed write or fsync has failed as well. Copies are still served, and each
    /// later write retries the truncation.
    #[error("store is read-only until a failed truncation succeeds: {0}")]
    ReadOnly(String),
}

/// Reason for which a block could not be read. After any error but [`ReadError::NoSuchBlock`] the copy has been removed from the index.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The block does not match its checksum.
    #[error("block {0} does not match its checksum")]
    ChecksumMismatch(usize),
    /// The file system failed to read the block.
    #[error("reading block {0} failed: {1}")]
    Disk(usize, std::io::Error),
    /// The copy has no block of this number.
    #[error("copy has no block {0}")]
    NoSuchBlock(usize),
}
