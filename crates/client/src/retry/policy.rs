//! The settings of retries.
use std::time::Duration;

/// When a client retries: how often, how soon, and when it leaves a dispatcher alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Attempts of one call, the first included.
    pub max_attempts: u32,
    /// Retries that each call adds to the budget.
    pub retries_per_call: f64,
    /// Upper bound of the budget, in retries; the budget is full at the start.
    pub max_saved_retries: f64,
    /// Mean delay before the first retry; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Upper bound of the mean delay before a retry.
    pub max_backoff: Duration,
    /// Attempts in a row without any response after which a dispatcher's circuit breaker opens.
    pub breaker_threshold: u32,
    /// How long an open breaker blocks attempts at first; doubled with each failed trial.
    pub breaker_pause: Duration,
    /// Upper bound of that time.
    pub max_breaker_pause: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            retries_per_call: 0.2,
            max_saved_retries: 10.0,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            breaker_threshold: 3,
            breaker_pause: Duration::from_millis(500),
            max_breaker_pause: Duration::from_secs(8),
        }
    }
}
