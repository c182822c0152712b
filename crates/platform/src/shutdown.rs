//! The schedule of a graceful shutdown, a function of the longest deadline of the settings.
//!
//! The process may be killed as early as the longest deadline, counted as [`MAX_DEADLINE`] at most, plus [`KILL_DELAY`]
//! after SIGTERM; clients use open connections until then. Every request that is read has its response before.
use std::time::Duration;

const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Requests are served for this time where the kill permits: clients have moved on by then.
const SERVING_TIME: Duration = Duration::from_millis(700);
/// Reserved before the kill for the last responses to be written, also by a process that gets half a core, and for the
/// connections to close.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(100);
/// Reserved before that for idle connections to close.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(50);
/// The listener closes this long before the kill: a request that crossed a close is retried on a new connection.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(50);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served.
    #[default]
    Serving,
    /// New requests are rejected, and idle connections are closed.
    Rejecting,
    /// No request is open any more, and incomplete ones are rejected.
    Finishing,
}

/// Times from SIGTERM on at which the phases begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Begin of [`ShutdownPhase::Rejecting`].
    pub reject_at: Duration,
    /// Begin of [`ShutdownPhase::Finishing`].
    pub finish_at: Duration,
    /// The listener closes.
    pub close_listener_at: Duration,
}

impl ShutdownSchedule {
    /// The schedule for the longest deadline of the settings.
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
