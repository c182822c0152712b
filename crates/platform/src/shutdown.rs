//! When a dispatcher that is told to end does what: a function of the longest deadline of its settings.
//!
//! The process may be killed as early as the longest deadline, counted as [`DEADLINE_MOST`] at most, plus [`KILL_AFTER`] after
//! SIGTERM; clients use open connections until then. Whatever is read has its answer before.
use std::time::Duration;

const DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Requests are served on for so long where the kill leaves the time: those that are to come have come by then.
const SERVE_ON: Duration = Duration::from_millis(700);
/// Kept before the kill for the last answers to be written, also by a process that gets half a core, and for the connections to
/// close.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// Kept before that for connections with nothing open: they close in this time.
const LAST_REQUESTS: Duration = Duration::from_millis(50);
/// A request that crossed a close is sent again on a new connection: the listener closes so long before the kill.
const LISTENER: Duration = Duration::from_millis(50);

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    #[default]
    Serving,
    /// New requests are refused, and connections with nothing open are closed.
    Refusing,
    /// Nothing is open any more, and what is not whole by now is refused.
    Ending,
}

/// Spans from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    pub refuse: Duration,
    pub end: Duration,
    pub close_listener: Duration,
}

impl Schedule {
    pub fn new(longest_deadline: Duration) -> Self {
        let kill = longest_deadline.min(DEADLINE_MOST) + KILL_AFTER;
        let end = kill - LAST_ANSWERS;
        Self {
            refuse: SERVE_ON.min(end - LAST_REQUESTS),
            end,
            close_listener: kill - LISTENER,
        }
    }
}

#[cfg(test)]
mod tests;
