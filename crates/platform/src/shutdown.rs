//! The schedule of a graceful shutdown, which depends on the longest deadline in the settings.
//!
//! The platform kills the process no earlier than [`KILL_DELAY`] plus the longest deadline, of which at most
//! [`MAX_DEADLINE`] counts, after SIGTERM. Clients use open connections until then. Every request that is read has its
//! response before.
use std::time::Duration;

const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time for which requests are served after SIGTERM, if the time until the kill permits; clients send to other
/// dispatchers after it.
const SERVING_TIME: Duration = Duration::from_millis(700);
/// Time reserved before the kill to write the last responses and to close the connections; it suffices for a process
/// that gets half a core.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(100);
/// Time reserved before [`LAST_RESPONSES_TIME`] to close idle connections.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(50);
/// Time before the kill at which the listener closes. Until then a request that crossed the close of its connection can
/// be retried on a new one.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(50);

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served.
    #[default]
    Serving,
    /// New requests are rejected, and idle connections are closed.
    Rejecting,
    /// The core has ended all requests, and incomplete ones are rejected.
    Finishing,
}

/// Times after SIGTERM at which the phases begin and the listener closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time at which [`ShutdownPhase::Rejecting`] begins.
    pub reject_at: Duration,
    /// Time at which [`ShutdownPhase::Finishing`] begins.
    pub finish_at: Duration,
    /// Time at which the listener closes.
    pub close_listener_at: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule for the longest deadline in the settings.
    pub fn new(longest_deadline: Duration) -> Self {
        let kill = longest_deadline.min(MAX_DEADLINE) + KILL_DELAY;
        let finish_at = kill - LAST_RESPONSES_TIME;
        Self {
            reject_at: SERVING_TIME.min(finish_at - IDLE_CLOSE_TIME),
            finish_at,
            close_listener_at: kill - LISTENER_CLOSE_MARGIN,
        }
    }
}

#[cfg(test)]
mod tests;
