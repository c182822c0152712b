//! The link between two addresses.
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// Shared by all connections between two addresses.
#[derive(Debug, Default)]
pub(super) struct Link {
    partitioned: AtomicBool,
    healed: Notify,
}

impl Link {
    pub(super) fn partition(&self) {
        self.partitioned.store(true, Ordering::SeqCst);
    }

    pub(super) fn heal(&self) {
        self.partitioned.store(false, Ordering::SeqCst);
        self.healed.notify_waiters();
    }

    pub(super) fn is_partitioned(&self) -> bool {
        self.partitioned.load(Ordering::SeqCst)
    }

    /// Waits for the end of a partition.
    pub(super) async fn wait_until_open(&self) {
        loop {
            // Registered before the check, so that a heal in between is not missed.
            let healed = self.healed.notified();
            if !self.is_partitioned() {
                return;
            }
            healed.await;
        }
    }
}
