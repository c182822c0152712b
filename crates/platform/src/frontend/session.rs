//! A FastCGI session: one client connection with a reader, a writer, and a task for each request.
//!
//! A request is open on its session until its response is written, so the limit on open requests also limits what is
//! buffered for a client that does not read. A connection may be a web server's, with many clients behind it, so what one
//! request does costs only that request: each has its own time to become complete, and one that exceeds it gets an error
//! response, like an invalid one. Valid requests make up for invalid ones; only if these prevail, the connection is closed.
//! A new connection is closed if its first request is not complete in time.
//!
//! A session ends for one of these reasons:
//! - The client closes the connection: all its requests are cancelled.
//! - The input cannot be decoded, or the protocol is violated: no further request is read. The requests that were complete
//!   before are served, unless the client closes the connection, and the connection closes after the last response.
//! - Too many requests were invalid: further requests are rejected, and the connection closes after the last response.
//! - A request without keep-alive was received, or the dispatcher is shutting down: the connection closes after the
//!   last response.
//! - The connection is evicted for a new one or is idle for too long: it closes when no request is open.
//!
//! Before the dispatcher closes a connection for one of the last two reasons, it reads and serves what has already
//! arrived.
//!
//! A session handles input in turns of a limited number of records and reads ([`super::input_pace`]). Other tasks run
//! between them, and time-outs that are overdue then take effect although more input is there.
mod incoming;

use super::input_budget::InputAccount;
use super::input_pace::SessionPace;
use super::response_writer::{response_channel, ResponseSender};
use super::session_input::{ImmediateInput, InputEvent, InputMode, SessionInput};
use super::session_plan::{sleep_until, SessionDeadlines, SessionStatus, WaitPlan};
use super::session_requests::SessionRequests;
use super::Frontend;
use crate::shutdown::ShutdownPhase;
use pointspindle_dispatcher::net::connection_registry::ConnectionPermit;
use pointspindle_platform_protocol::fastcgi::RecordError;
use pointspindle_platform_protocol::request_assembly::SessionError;
use pointspindle_transport::{RetryingReadHalf, RetryingWriteHalf};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Number of unwritten responses beyond which a client that does not read is disconnected.
const MAX_UNWRITTEN_RESPONSES: usize = 256;
/// Time-out, after the end of a session, of writing the last responses, and then of discarding what the client still
/// sends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that input may delay the close of a session.
const MAX_CLOSE_DELAYS: usize = 256;
/// Time for which input may delay the time-out of incomplete requests.
const MAX_TIMEOUT_DELAY: Duration = Duration::from_millis(100);

/// Serves a connection until it ends.
pub(super) async fn run(
    frontend: Frontend,
    socket: TcpStream,
    peer: SocketAddr,
    permit: &ConnectionPermit,
) {
    let (read, write) = socket.into_split();
    let requests = Arc::new(SessionRequests::default());
    let (responses, writer) = response_channel();
    let writer = writer.run(RetryingWriteHalf::new(write), requests.clone());
    let mut writer = tokio::spawn(writer);
    let mut input = SessionInput::new(RetryingReadHalf::new(read));
    let mut session = Session::new(frontend, peer, requests, responses);
    let end = session.serve(&mut input, permit).await;
    session.cancelled.cancel();
    // The writer ends when the last request's task has dropped its sender.
    drop(session);
    if tokio::time::timeout(CLOSE_TIMEOUT, &mut writer)
        .await
        .is_err()
    {
        writer.abort();
    }
    if end == SessionEnd::Closed {
        // A close with bytes unread would reset the connection and lose the last responses.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, input.discard_until_idle()).await;
    }
}

/// How a session has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionEnd {
    /// The client has closed the connection, or is disconnected.
    Disconnected,
    /// The dispatcher closes the connection, and no response is pending.
    Closed,
}

/// Error that ends the decoding of a session's input.
#[derive(Debug, thiserror::Error)]
enum InputError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error(transparent)]
    Session(#[from] SessionError),
}

/// An event that a session handles.
enum SessionEvent {
    Input(InputEvent),
    CloseDue,
    RequestFinished,
    /// The connection is evicted for a new one, or has been idle for too long.
    CloseRequested,
    IncompleteTimeout,
    /// Input may be handled again.
    InputResumed,
    /// The session has to make a new plan.
    PlanChanged,
}

/// Action at the end of a wait for input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitEnd {
    /// The session is closed; no response is pending.
    Close,
    /// Incomplete requests are rejected while complete ones are open.
    RejectIncomplete,
}

struct Session {
    frontend: Frontend,
    requests: Arc<SessionRequests>,
    responses: ResponseSender,
    account: InputAccount,
    pace: SessionPace,
    /// Time before which no further input is handled, because the records of this client lead to no requests.
    input_paused_until: Option<Instant>,
    /// Cancelled when the session ends.
    cancelled: CancellationToken,
    /// Cancellation tokens of the requests in flight, by request id.
    in_flight: HashMap<u16, CancellationToken>,
    /// Number of invalid requests, less those that valid ones have made up for.
    invalid_requests: usize,
    /// Whether a valid request was received.
    has_received_valid_request: bool,
    /// Whether the client has sent a complete request, or must not be timed out for not having sent one.
    has_received_request: bool,
    mode: InputMode,
    /// Whether the session is closed once no request is open.
    is_finishing: bool,
    deadlines: SessionDeadlines,
    /// Number of times that input has delayed the close.
    close_delays: usize,
}

impl Session {
    fn new(
        frontend: Frontend,
        peer: SocketAddr,
        requests: Arc<SessionRequests>,
        responses: ResponseSender,
    ) -> Self {
        let account = frontend
            .input_budget
            .open(peer, requests.clone(), responses.clone());
        let pace = SessionPace::new(frontend.input_pace.clone());
        let head_timeout_us = frontend.settings.dispatcher.listen.head_timeout_us;
        let head_timeout = Duration::from_micros(head_timeout_us);
        Self {
            frontend,
            requests,
            responses,
            account,
            pace,
            input_paused_until: None,
            cancelled: CancellationToken::new(),
            in_flight: HashMap::new(),
            invalid_requests: 0,
            has_received_valid_request: false,
            has_received_request: false,
            mode: InputMode::Accepting,
            is_finishing: false,
            deadlines: SessionDeadlines::new(head_timeout),
            close_delays: 0,
        }
    }

    /// Serves requests until the session ends.
    async fn serve(&mut self, input: &mut SessionInput, permit: &ConnectionPermit) -> SessionEnd {
        let mut phase = self.frontend.phase.clone();
        loop {
            if self.frontend.phase() == ShutdownPhase::Finishing {
                self.reject_incomplete();
                self.report_memory();
            }
            let plan = self.plan();
            if self.responses.unwritten_count() > MAX_UNWRITTEN_RESPONSES {
                tracing::debug!("client disconnected: too many responses are unwritten");
                return SessionEnd::Disconnected;
            }
            if self.is_turn_over() {
                tokio::task::yield_now().await;
                self.end_turn(&plan);
            }
            let input_paused_until = self.input_paused_until;
            let is_close_due = plan.is_close_due();
            if is_close_due {
                self.close_delays += 1;
                if self.close_delays > MAX_CLOSE_DELAYS {
                    return SessionEnd::Closed;
                }
                // Yields so that the runtime polls its sockets: input that has arrived, also during a pause, is read.
                tokio::task::yield_now().await;
            }
            let event = tokio::select! {
                // Input is polled first: a request that has arrived is served although its connection has to close.
                biased;
                event = input.next(self.mode), if input_paused_until.is_none() => {
                    SessionEvent::Input(event)
                }
                () = std::future::ready(()), if is_close_due => SessionEvent::CloseDue,
                () = self.requests.finished.notified() => SessionEvent::RequestFinished,
                () = sleep_until(plan.close_at), if plan.close_at.is_some() => SessionEvent::PlanChanged,
                () = permit.close_requested(), if !plan.has_open_requests && !plan.is_closing => {
                    SessionEvent::CloseRequested
                }
                () = sleep_until(plan.complete_by), if plan.complete_by.is_some() => {
                    SessionEvent::IncompleteTimeout
                }
                () = sleep_until(input_paused_until), if input_paused_until.is_some() => {
                    SessionEvent::InputResumed
                }
                _ = phase.changed() => SessionEvent::PlanChanged,
            };
            if let Some(end) = self.handle(event, &plan, input, permit) {
                return end;
            }
            self.pace.count_reads(input.take_reads());
        }
    }

    /// Returns whether other tasks must run before further input is handled.
    fn is_turn_over(&self) -> bool {
        let is_over = self.pace.is_turn_over(false);
        is_over && self.pace.is_turn_over(self.is_catching_up())
    }

    /// Returns whether input that has arrived during a pause of the process is being read.
    fn is_catching_up(&self) -> bool {
        let unread_time = self.frontend.pause_detector.unread_time(Instant::now());
        !unread_time.is_zero()
    }

    /// Ends a turn of input. Requests whose time-out input has delayed for too long are rejected; after a pause of the
    /// process, input that has arrived meanwhile is handled first.
    fn end_turn(&mut self, plan: &WaitPlan) {
        let now = Instant::now();
        self.input_paused_until = self.pace.end_turn(now);
        let is_overdue = plan
            .complete_by
            .is_some_and(|by| now > by + MAX_TIMEOUT_DELAY);
        if is_overdue && !self.is_catching_up() {
            self.time_out_incomplete();
            self.report_memory();
        }
    }

    fn plan(&mut self) -> WaitPlan {
        let requests = self.requests.lock();
        let open = requests.open_count();
        let incomplete = requests.incomplete_count();
        let oldest_incomplete_begun_at = requests.oldest_incomplete_begun_at();
        drop(requests);
        self.deadlines.plan(SessionStatus {
            open,
            incomplete,
            oldest_incomplete_begun_at: oldest_incomplete_begun_at.map(Instant::from_std),
            has_received_request: self.has_received_request,
            is_finishing: self.is_finishing,
            mode: self.mode,
            phase: self.frontend.phase(),
        })
    }

    /// Handles an event. Returns how the session ends, if it does.
    fn handle(
        &mut self,
        event: SessionEvent,
        plan: &WaitPlan,
        input: &mut SessionInput,
        permit: &ConnectionPermit,
    ) -> Option<SessionEnd> {
        match event {
            SessionEvent::PlanChanged | SessionEvent::Input(InputEvent::Discarded) => {}
            SessionEvent::InputResumed => self.input_paused_until = None,
            SessionEvent::Input(InputEvent::Disconnected) => return Some(SessionEnd::Disconnected),
            SessionEvent::Input(InputEvent::Undecodable(error)) => {
                self.stop_decoding(error.into());
                self.update_permit(permit);
                self.report_memory();
            }
            SessionEvent::Input(InputEvent::Record(record)) => {
                permit.mark_busy();
                self.handle_records(record, input);
                self.update_permit(permit);
                self.report_memory();
            }
            SessionEvent::CloseDue => return self.end_wait(WaitEnd::Close, input),
            SessionEvent::RequestFinished => self.update_permit(permit),
            SessionEvent::CloseRequested => {
                // The session does not close at once: input that has already arrived is served first.
                self.is_finishing = true;
                self.has_received_request = true;
            }
            SessionEvent::IncompleteTimeout if !plan.has_open_requests => {
                return self.end_wait(WaitEnd::Close, input)
            }
            SessionEvent::IncompleteTimeout => {
                return self.end_wait(WaitEnd::RejectIncomplete, input)
            }
        }
        None
    }

    /// Reports the memory of the incomplete requests to the budget, which may reject some of them.
    fn report_memory(&self) {
        let bytes = self.requests.lock().incomplete_bytes();
        self.account.report(bytes);
    }

    fn update_permit(&self, permit: &ConnectionPermit) {
        if self.requests.lock().open_count() == 0 {
            permit.mark_idle();
        }
    }

    /// Ends a wait for input, unless input has arrived. This is checked right before, since the process may have been
    /// paused during the wait.
    fn end_wait(&mut self, end: WaitEnd, input: &mut SessionInput) -> Option<SessionEnd> {
        // Input of a client whose input is paused is not awaited.
        let arrived = match self.input_paused_until {
            None => input.read_now(self.mode),
            Some(_) => ImmediateInput::Empty,
        };
        match arrived {
            ImmediateInput::Disconnected => return Some(SessionEnd::Disconnected),
            ImmediateInput::Buffered => return None,
            ImmediateInput::Empty | ImmediateInput::Discarded => {}
        }
        match end {
            WaitEnd::Close => {
                if self.responses.unwritten_count() == 0 {
                    input.close_write_half();
                }
                Some(SessionEnd::Closed)
            }
            WaitEnd::RejectIncomplete => {
                self.time_out_incomplete();
                self.report_memory();
                None
            }
        }
    }
}
