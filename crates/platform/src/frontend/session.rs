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
use super::client_stream::FastCgiClient;
use super::input_budget::{retry_after_lack_of_memory, InputAccount};
use super::request_task::{self, TransactionGuard};
use super::response_writer::{response_channel, HttpStatus, Outgoing, ResponseSender};
use super::session_input::{ImmediateInput, InputEvent, InputMode, SessionInput};
use super::session_plan::{sleep_until, SessionDeadlines, SessionStatus, WaitPlan};
use super::Frontend;
use crate::shutdown::ShutdownPhase;
use bytes::Bytes;
use pointspindle::IdempotencyKey;
use pointspindle_dispatcher::net::connection_registry::ConnectionPermit;
use pointspindle_platform_protocol::client_request::{
    self, ClientMessage, ClientRequest, ClientRequestError,
};
use pointspindle_platform_protocol::fastcgi::{ProtocolStatus, Record, RecordError};
use pointspindle_platform_protocol::request_assembly::{
    InvalidRequest, RecordOutcome, RequestAssembler, SessionError,
};
use pointspindle_transport::{RetryingReadHalf, RetryingWriteHalf};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

/// Number by which invalid requests may exceed valid ones before a session is closed.
const MAX_INVALID_REQUESTS: usize = 8;
/// Number of unwritten responses beyond which a client that does not read is disconnected.
const MAX_UNWRITTEN_RESPONSES: usize = 256;
/// Time-out, after the end of a session, of writing the last responses, and then of discarding what the client still
/// sends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that input may delay the close of a session.
const MAX_CLOSE_DELAYS: usize = 256;

/// Requests of one session, shared by its reader and its writer.
#[derive(Default)]
pub(super) struct SessionRequests {
    assembler: Mutex<RequestAssembler>,
    /// Signals that a request was finished.
    finished: Notify,
}

impl SessionRequests {
    fn lock(&self) -> MutexGuard<'_, RequestAssembler> {
        self.assembler
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Drops the incomplete request that occupies most memory. Returns its id and the memory that the others occupy, or
    /// `None` if none occupies any.
    pub fn drop_largest_incomplete(&self) -> Option<(u16, usize)> {
        let mut requests = self.lock();
        let id = requests.drop_largest_incomplete()?;
        let remaining_bytes = requests.incomplete_bytes();
        drop(requests);
        // The session plans anew.
        self.finished.notify_one();
        Some((id, remaining_bytes))
    }

    /// Finishes a request whose response is written.
    pub fn finish(&self, id: u16) {
        self.lock().finish(id);
        self.finished.notify_one();
    }
}

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

/// Reason for which a request gets an error response.
#[derive(Debug, thiserror::Error)]
enum RejectReason {
    #[error(transparent)]
    Assembly(#[from] InvalidRequest),
    #[error(transparent)]
    Parse(#[from] ClientRequestError),
    #[error("request was not complete within the head time-out")]
    IncompleteTimeout,
    #[error("a request with the same transaction id is in flight")]
    DuplicateTransaction,
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
        let head_timeout_us = frontend.settings.dispatcher.listen.head_timeout_us;
        let head_timeout = Duration::from_micros(head_timeout_us);
        Self {
            frontend,
            requests,
            responses,
            account,
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
                event = input.next(self.mode) => SessionEvent::Input(event),
                () = std::future::ready(()), if is_close_due => SessionEvent::CloseDue,
                () = self.requests.finished.notified() => SessionEvent::RequestFinished,
                () = sleep_until(plan.close_at), if plan.close_at.is_some() => SessionEvent::PlanChanged,
                () = permit.close_requested(), if !plan.has_open_requests && !plan.is_closing => {
                    SessionEvent::CloseRequested
                }
                () = sleep_until(plan.complete_by), if plan.complete_by.is_some() => {
                    SessionEvent::IncompleteTimeout
                }
                _ = phase.changed() => SessionEvent::PlanChanged,
            };
            if let Some(end) = self.handle(event, &plan, input, permit) {
                return end;
            }
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
            SessionEvent::Input(InputEvent::Disconnected) => return Some(SessionEnd::Disconnected),
            SessionEvent::Input(InputEvent::Undecodable(error)) => {
                self.stop_decoding(error.into());
                self.update_permit(permit);
                self.report_memory();
            }
            SessionEvent::Input(InputEvent::Record(record)) => {
                permit.mark_busy();
                self.handle_record(record);
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
        match input.read_now(self.mode) {
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

    /// Stops decoding the input. Requests that were complete before are still served.
    fn stop_decoding(&mut self, error: InputError) {
        tracing::debug!(%error, "client input cannot be decoded");
        let _ = self.requests.lock().drop_incomplete();
        self.is_finishing = true;
        self.mode = InputMode::Discarding;
        self.has_received_request = true;
    }

    fn reject_incomplete(&mut self) {
        let incomplete = self.requests.lock().drop_incomplete();
        for id in incomplete {
            self.send(Outgoing::empty_response(id, HttpStatus::ServiceUnavailable));
        }
    }

    /// Rejects the requests that were not complete in time. If no request of the session was complete before, the session
    /// ends with them.
    fn time_out_incomplete(&mut self) {
        let timed_out = if self.has_received_request {
            let overdue = Instant::now().checked_sub(self.deadlines.head_timeout());
            let overdue = overdue.map(Instant::into_std);
            overdue.map(|by| self.requests.lock().drop_incomplete_begun_by(by))
        } else {
            self.is_finishing = true;
            Some(self.requests.lock().drop_incomplete())
        };
        for id in timed_out.into_iter().flatten() {
            if self.has_received_valid_request {
                self.respond_invalid(id, RejectReason::IncompleteTimeout);
            } else {
                self.reject_invalid(id, RejectReason::IncompleteTimeout);
            }
        }
    }

    fn send(&self, outgoing: Outgoing) {
        self.responses.send(outgoing);
    }

    fn handle_record(&mut self, record: Record) {
        let unread_time = self.frontend.pause_detector.unread_time(Instant::now());
        let now = Instant::now().into_std();
        let outcome = self.requests.lock().handle(record, now);
        match outcome {
            Ok(outcome) => self.handle_outcome(outcome, unread_time),
            Err(error) => self.stop_decoding(error.into()),
        }
    }

    /// Handles the outcome of a record. `unread_time` is the longest time for which the record may have been buffered.
    fn handle_outcome(&mut self, outcome: RecordOutcome, unread_time: Duration) {
        match outcome {
            RecordOutcome::Pending => {}
            RecordOutcome::Reply(bytes) => self.send(Outgoing::bytes(bytes)),
            RecordOutcome::Invalid { id, reason } => self.reject_invalid(id, reason.into()),
            RecordOutcome::TooManyOpen { id } => {
                self.send(Outgoing::end_unopened(id, ProtocolStatus::Overloaded));
            }
            RecordOutcome::UnknownRole { id } => {
                self.send(Outgoing::end_unopened(id, ProtocolStatus::UnknownRole));
                self.count_invalid();
            }
            RecordOutcome::Aborted { id, was_complete } => self.abort(id, was_complete),
            RecordOutcome::Complete {
                id,
                params,
                body,
                keep_alive,
            } => {
                self.has_received_request = true;
                self.is_finishing |= !keep_alive;
                self.begin(id, &params, body, unread_time);
            }
        }
    }

    fn abort(&mut self, id: u16, was_complete: bool) {
        if !was_complete {
            self.send(Outgoing::end_request(id, ProtocolStatus::Complete));
        } else if let Some(request) = self.in_flight.get(&id) {
            request.cancel();
        }
    }

    /// Rejects a request and counts it as invalid.
    fn reject_invalid(&mut self, id: u16, reason: RejectReason) {
        self.respond_invalid(id, reason);
        self.count_invalid();
    }

    fn respond_invalid(&mut self, id: u16, reason: RejectReason) {
        tracing::debug!(%reason, "client request rejected");
        self.has_received_request = true;
        self.send(Outgoing::empty_response(id, HttpStatus::BadRequest));
    }

    /// Counts an invalid request. At [`MAX_INVALID_REQUESTS`], the session is closed once the valid ones are served, and
    /// requests that become complete until then are rejected.
    fn count_invalid(&mut self) {
        self.invalid_requests += 1;
        if self.invalid_requests == MAX_INVALID_REQUESTS {
            self.is_finishing = true;
            self.mode = InputMode::Rejecting;
            self.reject_incomplete();
        }
    }

    /// Counts a valid request, which makes up for an invalid one.
    fn count_valid(&mut self) {
        self.has_received_valid_request = true;
        self.account.mark_established();
        if self.mode == InputMode::Accepting {
            self.invalid_requests = self.invalid_requests.saturating_sub(1);
        }
    }

    /// Begins a complete request.
    fn begin(&mut self, id: u16, params: &Bytes, body: Bytes, unread_time: Duration) {
        match client_request::parse(params, &body, &self.frontend.settings.classes) {
            Ok(ClientMessage::HealthCheck) => self.reply_to_health_check(id),
            Ok(ClientMessage::Request(mut request)) => {
                let timeout = Duration::from_millis(request.timeout_ms);
                request.timeout_ms = timeout.saturating_sub(unread_time).as_millis() as u64;
                self.begin_request(id, request, body);
            }
            Err(error) => self.reject_invalid(id, error.into()),
        }
    }

    fn reply_to_health_check(&self, id: u16) {
        let is_serving = self.frontend.phase() == ShutdownPhase::Serving;
        // Before the first endpoint list, no request can be sent to an endpoint.
        let is_ready = is_serving && self.frontend.core.endpoint_list_seq() > 0;
        let status = if is_ready {
            HttpStatus::Ok
        } else {
            HttpStatus::ServiceUnavailable
        };
        self.send(Outgoing::empty_response(id, status));
    }

    /// Rejects a complete request, which has reached neither the core nor an endpoint. It fails if an earlier request may
    /// have run its idempotency key, since a rejection says that a retry is harmless.
    fn reject_unless_run(&self, id: u16, request: &ClientRequest, rejection: Outgoing) {
        let key = IdempotencyKey::from_text(&request.idempotency_key);
        match self.frontend.core.may_have_run(key) {
            true => self.send(Outgoing::empty_response(id, HttpStatus::BadGateway)),
            false => self.send(rejection),
        }
    }

    fn begin_request(&mut self, id: u16, request: ClientRequest, body: Bytes) {
        self.count_valid();
        if self.frontend.phase() > ShutdownPhase::Serving || self.mode == InputMode::Rejecting {
            // The client retries on another dispatcher, which has more time for the request.
            let rejection = Outgoing::empty_response(id, HttpStatus::ServiceUnavailable);
            return self.reject_unless_run(id, &request, rejection);
        }
        if !body.is_empty() && self.frontend.request_bodies.is_threshold_reached() {
            self.frontend.core.record_over_budget();
            let retry_after = retry_after_lack_of_memory(&self.frontend.core);
            return self.reject_unless_run(id, &request, Outgoing::rejection(id, retry_after));
        }
        let Some(transaction) = TransactionGuard::reserve(&self.frontend, &request.transaction_id)
        else {
            return self.reject_invalid(id, RejectReason::DuplicateTransaction);
        };
        let body = match body.is_empty() {
            true => body,
            false => self.frontend.request_bodies.track(body),
        };
        let cancelled = self.cancelled.child_token();
        self.in_flight.retain(|_, token| !token.is_cancelled());
        self.in_flight.insert(id, cancelled.clone());
        let client = FastCgiClient::new(id, self.responses.clone(), cancelled);
        let span = tracing::debug_span!(
            "request",
            transaction_id = %request.transaction_id,
            class = request.class,
            timeout_ms = request.timeout_ms
        );
        let task = request_task::run(self.frontend.clone(), transaction, request, body, client);
        tokio::spawn(task.instrument(span));
    }
}
