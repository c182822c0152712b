//! Counting of the body bytes that connections buffer, between the read from one peer and the write to the other.
use bytes::Bytes;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
    /// Part of `bytes` that is announced and not received yet.
    unreceived: AtomicU64,
    /// Whether the owner of the meter has no memory left, whatever the number of bytes is.
    is_exhausted: AtomicBool,
    /// Signals that the limit is not reached any more.
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

    /// Returns the number of bytes for the admission of new work: the largest number while memory is exhausted.
    pub fn admission_bytes(&self) -> u64 {
        match self.is_exhausted() {
            true => u64::MAX,
            false => self.buffered_bytes(),
        }
    }

    /// Returns the number of bytes that are counted already and not received yet.
    pub fn unreceived_bytes(&self) -> u64 {
        self.buffered.unreceived.load(Ordering::Relaxed)
    }

    /// Whether the threshold is reached, or memory is exhausted.
    pub fn is_threshold_reached(&self) -> bool {
        self.is_exhausted() || self.buffered_bytes() >= self.threshold_bytes
    }

    /// Whether the limit is reached, or memory is exhausted.
    pub fn is_limit_reached(&self) -> bool {
        self.is_exhausted() || self.buffered_bytes() >= self.max_bytes
    }

    fn is_exhausted(&self) -> bool {
        self.buffered.is_exhausted.load(Ordering::Relaxed)
    }

    /// Sets whether the owner of the meter has no memory left: the limits then count as reached, whatever the number of
    /// bytes is.
    pub fn set_exhausted(&self, is_exhausted: bool) {
        let was_exhausted = self
            .buffered
            .is_exhausted
            .swap(is_exhausted, Ordering::Relaxed);
        if was_exhausted && !is_exhausted {
            self.buffered.below_limit.notify_waiters();
        }
    }

    /// Replaces the number of unreceived bytes of one body.
    pub fn set_unreceived(&self, before: usize, now: usize) {
        let unreceived = &self.buffered.unreceived;
        unreceived.fetch_add(now as u64, Ordering::Relaxed);
        unreceived.fetch_sub(before as u64, Ordering::Relaxed);
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
