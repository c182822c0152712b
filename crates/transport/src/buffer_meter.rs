//! Counting of the body bytes that connections buffer, between the read from one peer and the write to the other.
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// A counter shared by several connections, with a threshold at which streams get reduced windows.
///
/// A stream is granted a full window when it opens, so the count may still grow after
/// [`BufferMeter::is_threshold_reached`] returns true, up to the number of open streams times
/// [`STREAM_WINDOW`](pointspindle_protocol::streams::STREAM_WINDOW). The owner of the connections limits the number of open
/// streams.
#[derive(Clone, Debug)]
pub struct BufferMeter {
    buffered: Arc<Buffered>,
    threshold_bytes: u64,
    max_bytes: u64,
}

#[derive(Debug, Default)]
struct Buffered {
    bytes: AtomicU64,
    /// Signals that the number of bytes has fallen below the limit.
    below_limit: Notify,
}

impl Default for BufferMeter {
    /// Creates a counter without a threshold.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl BufferMeter {
    /// Creates a counter without a limit; streams get reduced windows while it is at or above `threshold_bytes`.
    pub fn new(threshold_bytes: u64) -> Self {
        Self::with_limit(threshold_bytes, u64::MAX)
    }

    /// Creates a counter with a limit: while it is at or above `max_bytes`, connections that buffer complete bodies
    /// start to read no further one.
    pub fn with_limit(threshold_bytes: u64, max_bytes: u64) -> Self {
        Self {
            buffered: Arc::default(),
            threshold_bytes,
            max_bytes,
        }
    }

    /// Returns the number of bytes that are buffered now.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered.bytes.load(Ordering::Relaxed)
    }

    /// Whether the threshold is reached.
    pub fn is_threshold_reached(&self) -> bool {
        self.buffered_bytes() >= self.threshold_bytes
    }

    /// Whether the limit is reached.
    pub fn is_limit_reached(&self) -> bool {
        self.buffered_bytes() >= self.max_bytes
    }

    /// Waits until the limit is not reached. Cancel safe.
    pub async fn below_limit(&self) {
        loop {
            let below_limit = self.buffered.below_limit.notified();
            tokio::pin!(below_limit);
            // Registered before the check, so that no change is missed.
            below_limit.as_mut().enable();
            if !self.is_limit_reached() {
                return;
            }
            below_limit.await;
        }
    }

    /// Adds newly buffered bytes.
    pub fn add(&self, bytes: usize) {
        self.buffered
            .bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a body until its last reference is dropped.
    pub fn track(&self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        self.add(body.len());
        Bytes::from_owner(TrackedBody {
            body,
            meter: self.clone(),
        })
    }

    /// Subtracts bytes that are no longer buffered.
    pub fn sub(&self, bytes: usize) {
        let bytes = bytes as u64;
        let before = self.buffered.bytes.fetch_sub(bytes, Ordering::Relaxed);
        if before >= self.max_bytes && before - bytes < self.max_bytes {
            self.buffered.below_limit.notify_waiters();
        }
    }
}

/// A body that is counted on a meter.
struct TrackedBody {
    body: Bytes,
    meter: BufferMeter,
}

impl AsRef<[u8]> for TrackedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.meter.sub(self.body.len());
    }
}
