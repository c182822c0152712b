//! Leave to send bytes, granted by the peer.
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Semaphore;

/// A peer that grants more than this has lost count; tokio's own limit lies far higher.
const MOST: usize = 1 << 30;

#[derive(Debug)]
pub struct Credit {
    bytes: Semaphore,
    closed: AtomicBool,
}

impl Credit {
    pub fn new(bytes: u32) -> Self {
        Self {
            bytes: Semaphore::new(bytes as usize),
            closed: AtomicBool::new(false),
        }
    }

    /// Waits for at least one byte of credit and takes up to `most`; none once closed.
    pub async fn take(&self, most: u32) -> Option<u32> {
        let first = self.bytes.acquire().await.ok()?;
        first.forget();
        // What else is there now, without waiting: small credit is better used than waited with.
        let mut more = (most - 1).min(self.bytes.available_permits() as u32);
        while more > 0 {
            match self.bytes.try_acquire_many(more) {
                Ok(permit) => {
                    permit.forget();
                    break;
                }
                Err(_) => more = more.min(self.bytes.available_permits() as u32) / 2,
            }
        }
        Some(1 + more)
    }

    /// False if the peer granted more than a window can be.
    pub fn grant(&self, more: u32) -> bool {
        if self.closed.load(Ordering::Acquire) {
            return true;
        }
        if self.bytes.available_permits() + more as usize > MOST {
            return false;
        }
        self.bytes.add_permits(more as usize);
        true
    }

    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.bytes.close();
    }
}
