//! Cancellations that are not written yet.
//!
//! An attempt counts as ended for its endpoint only once its cancellation has been written. Until then the next attempt of
//! the request is held back ([`UnwrittenCancellations::written`]): two attempts would be in flight at once. A cancellation
//! is written before requests that have not begun, also while memory is short. Only a peer that accepts no bytes delays it;
//! after [`CANCELLATION_TIMEOUT`] the connection is closed, which ends all attempts on it.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time within which a cancellation, or the rest of a request that was cancelled while it was partly sent, must be
/// written, or its connection is closed.
pub(crate) const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(100);

/// The number of unwritten cancellations of each request, on all connections.
#[derive(Debug, Default)]
pub(crate) struct UnwrittenCancellations {
    by_request: Mutex<HashMap<String, usize>>,
    /// Signals that the last cancellation of a request is written, or that its connection has ended.
    written: Notify,
}

impl UnwrittenCancellations {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.by_request
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records a cancellation that is to be written.
    pub(super) fn add(self: &Arc<Self>, request_id: &str) -> UnwrittenCancellation {
        *self.lock().entry(request_id.to_owned()).or_default() += 1;
        UnwrittenCancellation {
            all: self.clone(),
            request_id: request_id.to_owned(),
            since: Instant::now(),
        }
    }

    /// Waits until all cancellations of a request are written, or their connections have ended. Cancel safe.
    pub async fn written(&self, request_id: &str) {
        loop {
            let written = self.written.notified();
            tokio::pin!(written);
            // Registered before the check, so that no change is missed.
            written.as_mut().enable();
            if !self.lock().contains_key(request_id) {
                return;
            }
            written.await;
        }
    }

    fn remove(&self, request_id: &str) {
        let mut by_request = self.lock();
        let Some(count) = by_request.get_mut(request_id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            by_request.remove(request_id);
            self.written.notify_waiters();
        }
    }
}

/// A cancellation that is not written yet. Dropped once it is written, or when its connection ends.
#[derive(Debug)]
pub(super) struct UnwrittenCancellation {
    all: Arc<UnwrittenCancellations>,
    request_id: String,
    /// Time of the cancellation.
    pub since: Instant,
}

impl Drop for UnwrittenCancellation {
    fn drop(&mut self) {
        self.all.remove(&self.request_id);
    }
}

#[cfg(test)]
mod tests;
