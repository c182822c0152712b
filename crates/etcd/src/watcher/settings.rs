//! Time-outs and intervals of the watcher.
use super::Micros;

/// Time-outs and intervals of a [`super::Watcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatcherSettings {
    /// Time without a response on a watch after which a progress request is sent.
    pub progress_interval_us: Micros,
    /// Time without a response after a progress request after which the watch is cancelled.
    pub response_timeout_us: Micros,
    /// Time since the view was last confirmed complete after which it is stale.
    pub stale_after_us: Micros,
    /// Backoff after the first failure, before jitter. Each further consecutive failure doubles it.
    pub initial_backoff_us: Micros,
    /// Longest backoff before jitter.
    pub max_backoff_us: Micros,
    /// Interval between purge mark reads; 0 disables them. A read is abandoned after three intervals.
    pub purge_confirmation_interval_us: Micros,
}

impl Default for WatcherSettings {
    /// Defaults that detect a silent watch within a second, the longest time in which a drain may take effect.
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
    /// Longest time without a response after which an open request is cancelled.
    pub(super) fn request_timeout_us(&self) -> Micros {
        self.progress_interval_us + self.response_timeout_us
    }
}
