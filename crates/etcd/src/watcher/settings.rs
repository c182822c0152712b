//! Time-outs and intervals of the watcher.
use super::Micros;

/// Time-outs and intervals of a [`super::Watcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatcherSettings {
    /// A watch without responses for this long is sent a progress request.
    pub progress_interval_us: Micros,
    /// A watch that does not respond for this long after the progress request is cancelled.
    pub response_timeout_us: Micros,
    /// The view is stale when it was not confirmed complete for this long.
    pub stale_after_us: Micros,
    /// Backoff after the first failure; doubled with each further one, and jittered.
    pub initial_backoff_us: Micros,
    /// Longest backoff before jitter.
    pub max_backoff_us: Micros,
    /// Interval of purge mark reads; 0: never. A read is abandoned after three intervals.
    pub purge_confirmation_interval_us: Micros,
}

impl Default for WatcherSettings {
    /// A silent watch is detected before a drain would be late, which is after a second.
    fn default() -> Self {
        Self {
            progress_interval_us: 150_000,
            response_timeout_us: 150_000,
            stale_after_us: 500_000,
            initial_backoff_us: 10_000,
            max_backoff_us: 1_000_000,
            purge_confirmation_interval_us: 0,
        }
    }
}

impl WatcherSettings {
    /// Longest time without a response before an open request is cancelled.
    pub(super) fn request_timeout_us(&self) -> Micros {
        self.progress_interval_us + self.response_timeout_us
    }
}
