//! Whether a new request may begin while many are in flight: a decision without I/O.
//!
//! Memory is bounded in three steps. Every stream has a window, so a slow reader stops its own stream. From
//! [`RequestBudget::crowded_bytes`] buffered bytes on, over all connections, windows shrink to a quarter: back-pressure reaches the
//! endpoints. From [`RequestBudget::max_buffered_bytes`] on, and with [`RequestBudget::max_requests`] open, new requests are rejected with a
//! Retry-After; admitted requests continue. An open request can only grow by its windows, so nothing begins that could not
//! be buffered.
use pointspindle::Micros;

/// Shortest Retry-After of a rejected request; the longest is twice this, at random.
const MIN_RETRY_AFTER_US: Micros = 500_000;

/// Bounds of what is in flight. It keeps no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestBudget {
    /// Open requests.
    pub max_requests: usize,
    /// Buffered bytes from which on windows shrink.
    pub crowded_bytes: u64,
    /// Buffered bytes from which on new requests are rejected.
    pub max_buffered_bytes: u64,
}

/// Whether a new request may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// It may.
    Admit,
    /// It is rejected.
    Reject {
        /// When the client should retry.
        retry_after: Micros,
    },
}

impl RequestBudget {
    /// Windows shrink from half of the bytes on.
    pub fn new(requests: usize, full: u64) -> Self {
        Self {
            max_requests: requests,
            crowded_bytes: full / 2,
            max_buffered_bytes: full,
        }
    }

    /// Decides about a new request. `random` draws from 0 to 1, and is called for rejected requests only.
    pub fn decide(
        &self,
        open_requests: usize,
        buffered_bytes: u64,
        random: impl FnOnce() -> f64,
    ) -> BudgetDecision {
        if open_requests < self.max_requests && buffered_bytes < self.max_buffered_bytes {
            return BudgetDecision::Admit;
        }
        let spread = MIN_RETRY_AFTER_US as f64 * random().clamp(0.0, 1.0);
        BudgetDecision::Reject {
            retry_after: MIN_RETRY_AFTER_US + spread as Micros,
        }
    }
}

#[cfg(test)]
mod tests;
