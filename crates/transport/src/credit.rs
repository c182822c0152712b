//! Flow-control credit: the number of bytes that the peer allows this side to send.
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Semaphore;

/// Largest credit that the protocol allows; the semaphore's own limit is far higher.
const MAX_CREDIT_BYTES: usize = 1 << 30;

/// Number of bytes that may be sent on a stream or on a connection.
#[derive(Debug)]
pub struct Credit {
    bytes: Semaphore,
    closed: AtomicBool,
}

impl Credit {
    /// Creates a credit of `bytes` bytes.
    pub fn new(bytes: u32) -> Self {
        Self {
            bytes: Semaphore::new(bytes as usize),
            closed: AtomicBool::new(false),
        }
    }

    /// Waits for at least one byte of credit and takes up to `max` bytes; returns `None` once the credit is closed.
    pub async fn take(&self, max: u32) -> Option<u32> {
        let first = self.bytes.acquire().await.ok()?;
        first.forget();
        // Takes the rest of the available credit without waiting: sending a few bytes now is better than waiting for more.
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

    /// Adds credit; returns false if the total would exceed the largest window that the protocol allows.
    pub fn grant(&self, more: u32) -> bool {
        if self.closed.load(Ordering::Acquire) {
            return true;
        }
        if self.bytes.available_permits() + more as usize > MAX_CREDIT_BYTES {
            return false;
        }
        self.bytes.add_permits(more as usize);
        true
    }

    /// Makes all pending and later calls of [`Credit::take`] return `None`.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.bytes.close();
    }

    fn available(&self) -> u32 {
        self.bytes.available_permits() as u32
    }
}
