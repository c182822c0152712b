//! Bytes of bodies that connections hold: read from one peer and not yet taken by the other.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Counts over all connections that share it, and says when they hold much.
///
/// A stream is owed a whole window when it opens, so what is held can go on growing for a while after
/// [`Meter::is_crowded`]: up to the number of open streams times
/// [`STREAM_WINDOW`](pointspindle_protocol::streams::STREAM_WINDOW). Whoever opens streams bounds that number.
#[derive(Clone, Debug)]
pub struct BufferMeter {
    held: Arc<AtomicU64>,
    crowded: u64,
}

impl Default for BufferMeter {
    /// Counts and never finds it crowded.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl BufferMeter {
    /// From `crowded` bytes on streams get small windows.
    pub fn new(crowded: u64) -> Self {
        Self {
            held: Arc::default(),
            crowded,
        }
    }

    pub fn buffered_bytes(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    pub fn is_crowded(&self) -> bool {
        self.buffered_bytes() >= self.crowded
    }

    pub fn add(&self, bytes: usize) {
        self.held.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn sub(&self, bytes: usize) {
        self.held.fetch_sub(bytes as u64, Ordering::Relaxed);
    }
}
