//! Sizes that a store is opened with.

#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes on disk, everything included. At least six segments.
    pub capacity: u64,
    pub segment: u32,
    /// Bytes of a body under one checksum.
    pub block: u32,
    /// Bytes of blocks kept in memory.
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
