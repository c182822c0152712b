//! Counting of the body bytes that connections buffer, between the read from one peer and the write to the other.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A counter shared by several connections, with a threshold at which streams get reduced windows.
///
/// A stream is granted a full window when it opens, so the count may still grow after
/// [`BufferMeter::is_threshold_reached`] returns true, up to the number of open streams times
/// [`STREAM_WINDOW`](pointspindle_protocol::streams::STREAM_WINDOW). The owner of the connections limits the number of open
/// streams.
#[derive(Clone, Debug)]
pub struct BufferMeter {
    buffered_bytes: Arc<AtomicU64>,
    threshold_bytes: u64,
}

impl Default for BufferMeter {
    /// Creates a counter without a threshold.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl BufferMeter {
    /// Creates a counter; streams get reduced windows while it is at or above `threshold_bytes`.
    pub fn new(threshold_bytes: u64) -> Self {
        Self {
            buffered_bytes: Arc::default(),
            threshold_bytes,
        }
    }

    /// Returns the number of bytes that are buffered now.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes.load(Ordering::Relaxed)
    }

    /// Whether the threshold is reached.
    pub fn is_threshold_reached(&self) -> bool {
        self.buffered_bytes() >= self.threshold_bytes
    }

    /// Adds newly buffered bytes.
    pub fn add(&self, bytes: usize) {
        self.buffered_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Subtracts bytes that are no longer buffered.
    pub fn sub(&self, bytes: usize) {
        self.buffered_bytes
            .fetch_sub(bytes as u64, Ordering::Relaxed);
    }
}
