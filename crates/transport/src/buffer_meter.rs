//! Counts the bytes of bodies that connections buffer: read from one peer and not yet written to the other.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A counter over all connections that share it, with a threshold from which streams get small windows.
///
/// A stream is granted a complete window when it opens, so the count may go on growing after [`BufferMeter::is_crowded`], up
/// to the number of open streams times [`STREAM_WINDOW`](pointspindle_protocol::streams::STREAM_WINDOW). The owner of the
/// connections bounds that number.
#[derive(Clone, Debug)]
pub struct BufferMeter {
    buffered_bytes: Arc<AtomicU64>,
    crowded_bytes: u64,
}

impl Default for BufferMeter {
    /// A counter without a threshold.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl BufferMeter {
    /// From `crowded_bytes` on streams get small windows.
    pub fn new(crowded_bytes: u64) -> Self {
        Self {
            buffered_bytes: Arc::default(),
            crowded_bytes,
        }
    }

    /// Bytes that are buffered now.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes.load(Ordering::Relaxed)
    }

    /// Whether the threshold is reached.
    pub fn is_crowded(&self) -> bool {
        self.buffered_bytes() >= self.crowded_bytes
    }

    /// Counts bytes that were buffered.
    pub fn add(&self, bytes: usize) {
        self.buffered_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Discounts bytes that are no longer buffered.
    pub fn sub(&self, bytes: usize) {
        self.buffered_bytes
            .fetch_sub(bytes as u64, Ordering::Relaxed);
    }
}
