//! Permission to send bytes, granted by the peer.
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Semaphore;

/// Credit above this breaks the protocol; the semaphore's own limit is far higher.
const MAX_CREDIT: usize = 1 << 30;

/// Bytes that may be sent on a stream or on a connection.
#[derive(Debug)]
pub struct Credit {
    bytes: Semaphore,
    closed: AtomicBool,
}

impl Credit {
    /// Credit of a number of bytes.
    pub fn new(bytes: u32) -> Self {
        Self {
            bytes: Semaphore::new(bytes as usize),
            closed: AtomicBool::new(false),
        }
    }

    /// Waits for at least one byte of credit and takes up to `max`; `None` once closed.
    pub async fn take(&self, max: u32) -> Option<u32> {
        let first = self.bytes.acquire().await.ok()?;
        first.forget();
        // Whatever else is available is taken without waiting: sending little now is better than waiting for more.
        let mut more = (max - 1).min(self.available());
        while more > 0 {
            match self.bytes.try_acquire_many(more) {
                Ok(permit) => {
                    permit.forget();
                    break;
                }
                Err(_) => more = more.min(self.available()) / 2,
            }
        }
        Some(1 + more)
    }

    /// Adds credit; false if the peer granted more than a window can be.
    pub fn grant(&self, more: u32) -> bool {
        if self.closed.load(Ordering::Acquire) {
            return true;
        }
        if self.bytes.available_permits() + more as usize > MAX_CREDIT {
            return false;
        }
        self.bytes.add_permits(more as usize);
        true
    }

    /// Fails all waiting and later calls of [`Credit::take`].
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.bytes.close();
    }

    fn available(&self) -> u32 {
        self.bytes.available_permits() as u32
    }
}
