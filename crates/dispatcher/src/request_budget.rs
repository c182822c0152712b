//! Admission of new requests while many are in flight. This module performs no I/O.
//!
//! Memory is bounded in three steps. Every stream has a window, so a slow reader stops its own stream. From
//! [`RequestBudget::soft_limit_bytes`] buffered bytes on, counted over all connections, windows shrink to a quarter, so that
//! back-pressure reaches the endpoints. From [`RequestBudget::max_buffered_bytes`] on, or with
//! [`RequestBudget::max_requests`] open requests, new requests are rejected with a Retry-After; admitted requests continue. The
//! buffers of an open request are limited by its windows, so no request is admitted that could not be buffered.
use pointspindle::Micros;

/// Shortest Retry-After of a rejected request. The value is drawn at random from this to twice this.
const MIN_RETRY_AFTER_US: Micros = 500_000;

/// Bounds of open requests and buffered bytes. It holds no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestBudget {
    /// Largest number of open requests.
    pub max_requests: usize,
    /// Number of buffered bytes from which on windows shrink.
    pub soft_limit_bytes: u64,
    /// Number of buffered bytes from which on new requests are rejected.
    pub max_buffered_bytes: u64,
}

/// The decision about a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The request is admitted.
    Admit,
    /// The request is rejected.
    Reject {
        /// Time after which the client should retry.
        retry_after: Micros,
    },
}

impl RequestBudget {
    /// Creates a budget in which windows shrink from half of `max_buffered_bytes` on.
    pub fn new(max_requests: usize, max_buffered_bytes: u64) -> Self {
        Self {
            max_requests,
            soft_limit_bytes: max_buffered_bytes / 2,
            max_buffered_bytes,
        }
    }

    /// Decides about a new request. `random` draws uniformly from 0 to 1, and is called for rejected requests only.
    pub fn decide(
        &self,
        open_requests: usize,
        buffered_bytes: u64,
        random: impl FnOnce() -> f64,
    ) -> BudgetDecision {
        if open_requests < self.max_requests && buffered_bytes < self.max_buffered_bytes {
            return BudgetDecision::Admit;
        }
        BudgetDecision::Reject {
            retry_after: rejection_retry_after(random),
        }
    }
}

/// Returns the Retry-After of a request that is rejected for lack of memory. `random` draws uniformly from 0 to 1.
pub fn rejection_retry_after(random: impl FnOnce() -> f64) -> Micros {
    let spread = MIN_RETRY_AFTER_US as f64 * random().clamp(0.0, 1.0);
    MIN_RETRY_AFTER_US + spread as Micros
}

#[cfg(test)]
mod tests;
