//! Sizes that a store is opened with.

/// Sizes of a store, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limit of all files together. At least six segments.
    pub capacity: u64,
    /// Size at which a segment is sealed.
    pub segment: u32,
    /// Body bytes under one checksum; at most a quarter of a segment.
    pub block: u32,
    /// Limit of the in-memory block cache.
    pub memory: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 1 << 30,
            segment: 64 << 20,
            block: 64 << 10,
            memory: 64 << 20,
        }
    }
}
