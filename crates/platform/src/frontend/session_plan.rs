//! Decides what a FastCGI session waits for and when it is closed. No I/O but for the clock.
use super::session_input::InputMode;
use super::TRANSIT_TIME;
use crate::shutdown::ShutdownPhase;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which input is awaited on an idle session shortly before the process ends: also on a new one, on which a
/// request is retried that crossed a close.
const FINAL_INPUT_TIME: Duration = Duration::from_millis(20);

/// What a plan depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SessionStatus {
    /// Open requests.
    pub open: usize,
    /// Those of them that are not complete.
    pub incomplete: usize,
    /// The client has sent a complete request, or is not to be timed out for want of one.
    pub has_received_request: bool,
    /// The session is closed once nothing is open.
    pub is_finishing: bool,
    pub mode: InputMode,
    pub phase: ShutdownPhase,
}

/// What a session waits for, and when it is closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitPlan {
    pub has_open_requests: bool,
    /// No complete request is open.
    pub nothing_owed: bool,
    /// The session is to be closed, and nothing is owed.
    pub is_leaving: bool,
    /// When it closes; none: not yet, or the rest of an incomplete request may still come.
    pub close_at: Option<Instant>,
    /// A complete request is awaited until then.
    pub complete_by: Option<Instant>,
}

impl WaitPlan {
    /// Whether the session is to be closed now.
    pub fn is_close_due(&self) -> bool {
        self.close_at.is_some_and(|at| Instant::now() >= at)
    }
}

/// The deadlines of a session, kept from plan to plan.
#[derive(Debug)]
pub(super) struct SessionDeadlines {
    head_timeout: Duration,
    /// Set when the session was first due to close with nothing open: it closes by then, whatever the client sends.
    close_at: Option<Instant>,
    /// Set while a complete request is awaited.
    complete_by: Option<Instant>,
}

impl SessionDeadlines {
    /// Deadlines of a new session.
    pub fn new(head_timeout: Duration) -> Self {
        Self {
            head_timeout,
            close_at: None,
            complete_by: None,
        }
    }

    /// Plans the next wait.
    pub fn plan(&mut self, status: SessionStatus) -> WaitPlan {
        let awaits_complete = status.incomplete > 0 || !status.has_received_request;
        self.complete_by = awaits_complete.then(|| self.complete_by());
        let nothing_owed = status.open == status.incomplete;
        let is_shutting_down = status.phase > ShutdownPhase::Serving;
        let is_leaving = nothing_owed && (status.is_finishing || is_shutting_down);
        let may_close = status.incomplete == 0 || status.mode != InputMode::Accepting;
        let close_at = is_leaving.then(|| self.close_at(status));
        WaitPlan {
            has_open_requests: status.open > 0,
            nothing_owed,
            is_leaving,
            close_at: close_at.filter(|_| may_close),
            complete_by: self.complete_by,
        }
    }

    /// When a complete request must have come: counted from when it was first awaited.
    fn complete_by(&self) -> Instant {
        self.complete_by
            .unwrap_or_else(|| Instant::now() + self.head_timeout)
    }

    /// When a session with nothing open is closed: what was in transit when that was decided is served first.
    fn close_at(&mut self, status: SessionStatus) -> Instant {
        let transit_time = match status.phase {
            _ if status.mode == InputMode::Discarding => Duration::ZERO,
            ShutdownPhase::Finishing => FINAL_INPUT_TIME,
            ShutdownPhase::Serving | ShutdownPhase::Rejecting => TRANSIT_TIME,
        };
        let at = Instant::now() + transit_time;
        let earliest = self.close_at.map_or(at, |earlier| earlier.min(at));
        self.close_at = Some(earliest);
        earliest
    }
}

/// Sleeps until then; without a time for ever.
pub(super) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
