//! Settings of retries.
use std::time::Duration;

/// Limits on retries, the delays before them, and the settings of circuit breakers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Largest number of attempts of one call, including the first.
    pub max_attempts: u32,
    /// Number of retries, usually a fraction, that each call adds to the budget.
    pub retries_per_call: f64,
    /// Upper bound of the budget, as a number of retries; the budget is full at the start.
    pub max_saved_retries: f64,
    /// Mean delay before the first retry; it doubles with each further retry.
    pub initial_backoff: Duration,
    /// Upper bound of the mean delay before a retry.
    pub max_backoff: Duration,
    /// Number of attempts in a row without any response after which a dispatcher's circuit breaker opens.
    pub breaker_threshold: u32,
    /// Time for which a breaker blocks attempts when it first opens; it doubles with each failed trial.
    pub breaker_pause: Duration,
    /// Upper bound of the time for which a breaker blocks attempts, before jitter.
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
