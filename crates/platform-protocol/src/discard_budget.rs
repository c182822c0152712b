//! Bounds the bytes that a client sends for requests that are not open.
//!
//! A request that was answered before it was complete still has records on their way: they are allowed for each such
//! request and do not count on the connection, which other clients may share. All other bytes count; complete requests
//! restore a part of the budget, so that a long life of the connection does not exhaust it.
use crate::fastcgi::HEADER_BYTES;
use std::collections::VecDeque;

/// Largest number of bytes that count on a connection.
pub(crate) const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Number of bytes that a complete request restores.
const RESTORED_BYTES: usize = 1024;
/// Largest number of requests with an allowance; beyond it the oldest one is forgotten.
const MAX_ALLOWANCES: usize = 64;

/// Records that may still arrive for a request that has ended.
#[derive(Debug)]
struct Allowance {
    id: u16,
    bytes: usize,
}

/// The budget of one connection.
#[derive(Debug, Default)]
pub(crate) struct DiscardBudget {
    counted_bytes: usize,
    /// Bounded by [`MAX_ALLOWANCES`].
    allowances: VecDeque<Allowance>,
}

impl DiscardBudget {
    /// Allows bytes of a request that has ended before it was complete.
    pub fn allow(&mut self, id: u16, bytes: usize) {
        self.forget(id);
        if self.allowances.len() == MAX_ALLOWANCES {
            self.allowances.pop_front();
        }
        self.allowances.push_back(Allowance { id, bytes });
    }

    /// Forgets the allowance of a request, whose id is reused or whose last record has arrived.
    pub fn forget(&mut self, id: u16) {
        self.allowances.retain(|allowance| allowance.id != id);
    }

    /// Restores a part of the budget: a request is complete.
    pub fn restore(&mut self) {
        self.counted_bytes = self.counted_bytes.saturating_sub(RESTORED_BYTES);
    }

    /// Discards a record with this content length. Returns whether the budget suffices.
    pub fn discard(&mut self, id: u16, content_bytes: usize) -> bool {
        let mut bytes = content_bytes + HEADER_BYTES;
        let mut allowances = self.allowances.iter_mut();
        if let Some(allowance) = allowances.find(|allowance| allowance.id == id) {
            let allowed = bytes.min(allowance.bytes);
            allowance.bytes -= allowed;
            bytes -= allowed;
        }
        self.counted_bytes += bytes;
        self.counted_bytes <= MAX_DISCARDED_BYTES
    }
}
