//! Decides what a FastCGI session waits for and when it is closed. It performs no I/O except for reading the clock.
use super::session_input::InputMode;
use super::TRANSIT_TIME;
use crate::shutdown::ShutdownPhase;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which input is awaited on an idle session shortly before the process ends. It applies also to a new
/// session, on which a client may retry a request that crossed a close.
const FINAL_INPUT_TIME: Duration = Duration::from_millis(20);

/// Time after the start of a session by which its first request must be complete, however late it began.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Status of a session, on which its plan depends.
#[derive(Clone, Copy, Debug)]
pub(super) struct SessionStatus {
    /// Number of open requests.
    pub open: usize,
    /// Number of open requests that are not complete.
    pub incomplete: usize,
    /// Time at which the oldest incomplete request began.
    pub oldest_incomplete_begun_at: Option<Instant>,
    /// Whether the client has sent a complete request, or must not be timed out for not having sent one.
    pub has_received_request: bool,
    /// Whether the session is closed once no request is open.
    pub is_finishing: bool,
    pub mode: InputMode,
    pub phase: ShutdownPhase,
}

/// Plan of what a session waits for and when it is closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitPlan {
    /// Whether requests are open.
    pub has_open_requests: bool,
    /// Whether the session has to be closed and no response is pending.
    pub is_closing: bool,
    /// Time at which the session closes; `None` if it does not close yet, or if it awaits the rest of an incomplete
    /// request.
    pub close_at: Option<Instant>,
    /// Time until which a complete request is awaited; `None` if none is awaited. Each incomplete request has its own
    /// time; this is the first one.
    pub complete_by: Option<Instant>,
}

impl WaitPlan {
    /// Returns whether the session has to be closed now.
    pub fn is_close_due(&self) -> bool {
        self.close_at.is_some_and(|at| Instant::now() >= at)
    }
}

/// Deadlines of a session, which persist from plan to plan.
#[derive(Debug)]
pub(super) struct SessionDeadlines {
    started_at: Instant,
    head_timeout: Duration,
    /// Time by which the session closes, whatever the client sends. It is set when the session first has to be closed
    /// and no response is pending.
    close_at: Option<Instant>,
}

impl SessionDeadlines {
    /// Creates the deadlines of a new session.
    pub fn new(head_timeout: Duration) -> Self {
        Self {
            started_at: Instant::now(),
            head_timeout,
            close_at: None,
        }
    }

    /// Returns the time within which a request must be complete after its begin.
    pub fn head_timeout(&self) -> Duration {
        self.head_timeout
    }

    /// Plans the next wait.
    pub fn plan(&mut self, status: SessionStatus) -> WaitPlan {
        let no_response_pending = status.open == status.incomplete;
        let is_shutting_down = status.phase > ShutdownPhase::Serving;
        let is_closing = no_response_pending && (status.is_finishing || is_shutting_down);
        let may_close = status.incomplete == 0 || status.mode != InputMode::Accepting;
        let close_at = is_closing.then(|| self.close_at(status));
        WaitPlan {
            has_open_requests: status.open > 0,
            is_closing,
            close_at: close_at.filter(|_| may_close),
            complete_by: self.complete_by(status),
        }
    }

    /// Returns the time until which a complete request is awaited. The time-out counts from the begin of each request; a
    /// session without a complete request has a limit of its own.
    fn complete_by(&self, status: SessionStatus) -> Option<Instant> {
        let by = status
            .oldest_incomplete_begun_at
            .map(|begun_at| begun_at + self.head_timeout);
        if status.has_received_request {
            return by;
        }
        let without_begun_request = self.started_at + self.head_timeout;
        Some(by.map_or(without_begun_request, |by| {
            by.min(self.started_at + FIRST_REQUEST_TIMEOUT)
        }))
    }

    /// Returns the time at which a session without pending responses is closed. Requests that were in transit when the
    /// close was decided are served first.
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

/// Sleeps until a time; never returns if there is none.
pub(super) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
