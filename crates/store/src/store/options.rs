//! Size settings of a store.

/// Size settings of a store, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limit of the total size of all segments; at least six segments.
    pub capacity: u64,
    /// Size at which a segment is sealed.
    pub segment: u32,
    /// Number of body bytes that share one checksum; at most a quarter of a segment.
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
