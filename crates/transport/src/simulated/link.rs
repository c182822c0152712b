//! The link between two addresses of a simulated network.
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// The state of a link, shared by all connections between its two addresses.
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

    /// Waits until the link is not partitioned.
    pub(super) async fn wait_until_open(&self) {
        loop {
            // Registered before the check, so that a partition that is healed in between is not missed.
            let healed = self.healed.notified();
            if !self.is_partitioned() {
                return;
            }
            healed.await;
        }
    }
}
