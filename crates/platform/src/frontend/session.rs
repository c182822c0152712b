//! A FastCGI session: one client connection with a reader, a writer, and a task for each request.
//!
//! A request is open on its session until its response is written, so what is buffered for a client that does not read is
//! bounded by the requests that it may have open. A client that sends no complete request in time loses its connection;
//! one that sends invalid requests gets an error for each, a few times.
//!
//! What is owed when a session ends. The client's close: nothing, all its requests are cancelled. Undecodable bytes, a
//! protocol violation, too many invalid requests, a request without keep-alive, an incomplete request that times out beside
//! others, graceful shutdown: the responses to all requests that were complete before; nothing that follows is accepted,
//! the client's close is still noticed, and the connection closes after the last response. Eviction for a new connection,
//! idle time-out, graceful shutdown: what has arrived in the same moment is read first, and served.
use super::client_stream::FastCgiClient;
use super::request_task::{self, TransactionGuard};
use super::response_writer::{response_channel, HttpStatus, Outgoing, ResponseSender};
use super::session_input::{ImmediateInput, InputEvent, InputMode, SessionInput};
use super::session_plan::{sleep_until, SessionDeadlines, SessionStatus, WaitPlan};
use super::Frontend;
use crate::shutdown::ShutdownPhase;
use bytes::Bytes;
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
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

/// Invalid requests of one session, after which it is closed.
const MAX_INVALID_REQUESTS: usize = 8;
/// Responses that wait for a client which does not read, beyond which it is disconnected.
const MAX_UNWRITTEN_RESPONSES: usize = 256;
/// Time for the client to take the last responses once its session is over, and for what it still sends to be read.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that input keeps a session open which was due to close.
const MAX_CLOSE_DELAYS: usize = 256;

/// The requests of one session, for its reader, its writer and the requests' own tasks.
#[derive(Default)]
pub(super) struct SessionRequests {
    assembler: Mutex<RequestAssembler>,
    /// A request was finished.
    finished: Notify,
}

impl SessionRequests {
    fn lock(&self) -> MutexGuard<'_, RequestAssembler> {
        self.assembler
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The response of a request is written.
    pub fn finish(&self, id: u16) {
        self.lock().finish(id);
        self.finished.notify_one();
    }
}

/// Serves a connection to its end.
pub(super) async fn run(frontend: Frontend, socket: TcpStream, permit: &ConnectionPermit) {
    let (read, write) = socket.into_split();
    let requests = Arc::new(SessionRequests::default());
    let (responses, writer) = response_channel();
    let writer = writer.run(RetryingWriteHalf::new(write), requests.clone());
    let mut writer = tokio::spawn(writer);
    let mut input = SessionInput::new(RetryingReadHalf::new(read));
    let mut session = Session::new(frontend, requests, responses);
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
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, input.discard_until_silent()).await;
    }
}

/// How a session has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionEnd {
    /// The client has closed, or is disconnected.
    Disconnected,
    /// It is closed from here, and no response is owed.
    Closed,
}

/// Why a request is answered with an error.
#[derive(Debug, thiserror::Error)]
enum RejectReason {
    #[error(transparent)]
    Assembly(#[from] InvalidRequest),
    #[error(transparent)]
    Parse(#[from] ClientRequestError),
    #[error("it is not complete in time")]
    IncompleteTimeout,
    #[error("its transaction id is in flight")]
    DuplicateTransaction,
}

/// Why the input of a session is not decoded any more.
#[derive(Debug, thiserror::Error)]
enum InputError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error(transparent)]
    Session(#[from] SessionError),
}

/// What a session sees.
enum SessionEvent {
    Input(InputEvent),
    CloseDue,
    RequestFinished,
    /// Eviction for a new connection, or the idle time-out.
    CloseRequested,
    IncompleteTimeout,
    /// The plan is to be made anew.
    PlanChanged,
}

/// What is done when input was awaited for long enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitEnd {
    /// The session is closed: nothing is owed.
    Close,
    /// Incomplete requests are rejected; others are open.
    RejectIncomplete,
}

struct Session {
    frontend: Frontend,
    requests: Arc<SessionRequests>,
    responses: ResponseSender,
    /// Cancelled when the session is over.
    cancelled: CancellationToken,
    /// Cancellation of the requests in flight.
    in_flight: HashMap<u16, CancellationToken>,
    invalid_requests: usize,
    /// The client has sent a complete request, or is not to be timed out for want of one.
    has_received_request: bool,
    mode: InputMode,
    /// It is closed once nothing is open.
    is_finishing: bool,
    deadlines: SessionDeadlines,
    /// Times that input has kept it open when it was due to close.
    close_delays: usize,
}

impl Session {
    fn new(frontend: Frontend, requests: Arc<SessionRequests>, responses: ResponseSender) -> Self {
        let head_timeout_us = frontend.settings.dispatcher.listen.head_timeout_us;
        let head_timeout = Duration::from_micros(head_timeout_us);
        Self {
            frontend,
            requests,
            responses,
            cancelled: CancellationToken::new(),
            in_flight: HashMap::new(),
            invalid_requests: 0,
            has_received_request: false,
            mode: InputMode::Accepting,
            is_finishing: false,
            deadlines: SessionDeadlines::new(head_timeout),
            close_delays: 0,
        }
    }

    /// Serves requests until the session is over.
    async fn serve(&mut self, input: &mut SessionInput, permit: &ConnectionPermit) -> SessionEnd {
        let mut phase = self.frontend.phase.clone();
        loop {
            if self.frontend.phase() == ShutdownPhase::Finishing {
                self.reject_incomplete();
            }
            let plan = self.plan();
            if self.responses.unwritten() > MAX_UNWRITTEN_RESPONSES {
                tracing::debug!("client disconnected: it does not read its responses");
                return SessionEnd::Disconnected;
            }
            let is_close_due = plan.is_close_due();
            if is_close_due {
                self.close_delays += 1;
                if self.close_delays > MAX_CLOSE_DELAYS {
                    return SessionEnd::Closed;
                }
                // The runtime polls its sockets first: what arrived by now, also while the process was paused, is seen.
                tokio::task::yield_now().await;
            }
            let event = tokio::select! {
                // Input first: a request that has arrived is served, though its connection is to be closed.
                biased;
                event = input.next(self.mode) => SessionEvent::Input(event),
                () = std::future::ready(()), if is_close_due => SessionEvent::CloseDue,
                () = self.requests.finished.notified() => SessionEvent::RequestFinished,
                () = sleep_until(plan.close_at), if plan.close_at.is_some() => SessionEvent::PlanChanged,
                () = permit.close_requested(), if !plan.has_open_requests && !plan.is_leaving => {
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
        let (open, incomplete) = {
            let requests = self.requests.lock();
            (requests.open_count(), requests.incomplete_count())
        };
        self.deadlines.plan(SessionStatus {
            open,
            incomplete,
            has_received_request: self.has_received_request,
            is_finishing: self.is_finishing,
            mode: self.mode,
            phase: self.frontend.phase(),
        })
    }

    /// Handles what was seen. Returns how the session ends, if it does.
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
            }
            SessionEvent::Input(InputEvent::Record(record)) => {
                permit.busy();
                self.handle_record(record);
                self.update_permit(permit);
            }
            SessionEvent::CloseDue => return self.end_wait(WaitEnd::Close, input),
            SessionEvent::RequestFinished => self.update_permit(permit),
            SessionEvent::CloseRequested => {
                // What arrived in this very moment is served first.
                self.is_finishing = true;
                self.has_received_request = true;
            }
            SessionEvent::IncompleteTimeout if plan.nothing_owed => {
                return self.end_wait(WaitEnd::Close, input)
            }
            SessionEvent::IncompleteTimeout => {
                return self.end_wait(WaitEnd::RejectIncomplete, input)
            }
        }
        None
    }

    fn update_permit(&self, permit: &ConnectionPermit) {
        if self.requests.lock().open_count() == 0 {
            permit.idle();
        }
    }

    /// Ends a wait for input, unless something has arrived: looked for in the very moment before, since the process may have
    /// been paused through the wait.
    fn end_wait(&mut self, end: WaitEnd, input: &mut SessionInput) -> Option<SessionEnd> {
        match input.read_now(self.mode) {
            ImmediateInput::Disconnected => return Some(SessionEnd::Disconnected),
            ImmediateInput::Buffered => return None,
            ImmediateInput::Nothing | ImmediateInput::Discarded => {}
        }
        match end {
            WaitEnd::Close => {
                if self.responses.unwritten() == 0 {
                    input.close_write_half();
                }
                Some(SessionEnd::Closed)
            }
            WaitEnd::RejectIncomplete => {
                self.time_out_incomplete();
                None
            }
        }
    }

    /// Accepts nothing more: requests that were complete before are served.
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

    fn time_out_incomplete(&mut self) {
        let incomplete = self.requests.lock().drop_incomplete();
        for id in incomplete {
            self.reject_invalid(id, RejectReason::IncompleteTimeout);
        }
    }

    fn send(&self, outgoing: Outgoing) {
        self.responses.send(outgoing);
    }

    fn handle_record(&mut self, record: Record) {
        let unread_time = self.frontend.pause_detector.unread_time(Instant::now());
        let outcome = self.requests.lock().handle(record);
        match outcome {
            Ok(outcome) if self.mode == InputMode::Accepting => {
                self.handle_outcome(outcome, unread_time);
            }
            Ok(outcome) => self.ignore_outcome(outcome),
            Err(error) => self.stop_decoding(error.into()),
        }
    }

    /// `unread_time`: the longest that the record may have been buffered.
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

    /// Obeys cancellations only.
    fn ignore_outcome(&mut self, outcome: RecordOutcome) {
        match outcome {
            RecordOutcome::Aborted { id, was_complete } => self.abort(id, was_complete),
            RecordOutcome::Complete { id, .. } => self.requests.lock().finish(id),
            RecordOutcome::Pending
            | RecordOutcome::Reply(_)
            | RecordOutcome::Invalid { .. }
            | RecordOutcome::TooManyOpen { .. }
            | RecordOutcome::UnknownRole { .. } => {}
        }
    }

    fn abort(&mut self, id: u16, was_complete: bool) {
        if !was_complete {
            self.send(Outgoing::end(id, ProtocolStatus::Complete));
        } else if let Some(request) = self.in_flight.get(&id) {
            request.cancel();
        }
    }

    fn reject_invalid(&mut self, id: u16, reason: RejectReason) {
        tracing::debug!(%reason, "client request rejected");
        self.has_received_request = true;
        self.send(Outgoing::empty_response(id, HttpStatus::BadRequest));
        self.count_invalid();
    }

    /// After some invalid requests the session is closed, once the valid ones are served.
    fn count_invalid(&mut self) {
        self.invalid_requests += 1;
        if self.invalid_requests >= MAX_INVALID_REQUESTS {
            self.is_finishing = true;
            self.mode = InputMode::Ignoring;
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
        // Without an endpoint list no request could be sent.
        let is_ready = is_serving && self.frontend.core.endpoint_list_seq() > 0;
        let status = if is_ready {
            HttpStatus::Ok
        } else {
            HttpStatus::ServiceUnavailable
        };
        self.send(Outgoing::empty_response(id, status));
    }

    fn begin_request(&mut self, id: u16, request: ClientRequest, body: Bytes) {
        if self.frontend.phase() > ShutdownPhase::Serving {
            // Another dispatcher has time for it.
            return self.send(Outgoing::empty_response(id, HttpStatus::ServiceUnavailable));
        }
        let Some(transaction) = TransactionGuard::reserve(&self.frontend, &request.transaction_id)
        else {
            return self.reject_invalid(id, RejectReason::DuplicateTransaction);
        };
        let cancelled = self.cancelled.child_token();
        self.in_flight.retain(|_, token| !token.is_cancelled());
        self.in_flight.insert(id, cancelled.clone());
        let client = FastCgiClient::new(id, self.responses.clone(), cancelled);
        let span = tracing::debug_span!(
            "request",
            txn = %request.transaction_id,
            class = request.class,
            timeout_ms = request.timeout_ms
        );
        let task = request_task::run(self.frontend.clone(), transaction, request, body, client);
        tokio::spawn(task.instrument(span));
    }
}
