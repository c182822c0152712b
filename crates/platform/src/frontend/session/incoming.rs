//! How a session handles its requests: from the records of the input to a task for each valid request, and to a response
//! for every other one.
use super::{InputError, Session};
use crate::frontend::client_stream::FastCgiClient;
use crate::frontend::input_budget::retry_after_lack_of_memory;
use crate::frontend::request_task::{self, TransactionGuard};
use crate::frontend::response_writer::{HttpStatus, Outgoing};
use crate::frontend::session_input::{InputEvent, InputMode, SessionInput};
use crate::shutdown::ShutdownPhase;
use bytes::Bytes;
use pointspindle::IdempotencyKey;
use pointspindle_platform_protocol::client_request::{
    self, ClientMessage, ClientRequest, ClientRequestError,
};
use pointspindle_platform_protocol::fastcgi::{ProtocolStatus, Record};
use pointspindle_platform_protocol::request_assembly::{InvalidRequest, RecordOutcome};
use std::time::Duration;
use tokio::time::Instant;
use tracing::Instrument;

/// Number by which invalid requests may exceed valid ones before a session is closed.
const MAX_INVALID_REQUESTS: usize = 8;

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

impl Session {
    /// Stops decoding the input. Requests that were complete before are still served.
    pub(super) fn stop_decoding(&mut self, error: InputError) {
        tracing::debug!(%error, "client input cannot be decoded");
        let _ = self.requests.lock().drop_incomplete();
        self.is_finishing = true;
        self.mode = InputMode::Discarding;
        self.has_received_request = true;
    }

    pub(super) fn reject_incomplete(&mut self) {
        let incomplete = self.requests.lock().drop_incomplete();
        for id in incomplete {
            self.send(Outgoing::empty_response(id, HttpStatus::ServiceUnavailable));
        }
    }

    /// Rejects the requests that were not complete in time. If no request of the session was complete before, the session
    /// ends with them.
    pub(super) fn time_out_incomplete(&mut self) {
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

    /// Handles a record and those that have been read together with it, until the turn is over.
    pub(super) fn handle_records(&mut self, first: Record, input: &mut SessionInput) {
        let now = Instant::now();
        let unread_time = self.frontend.pause_detector.unread_time(now);
        let mut next = Some(InputEvent::Record(first));
        while let Some(InputEvent::Record(record)) = next {
            self.handle_record(record, now, unread_time);
            let is_next_handled = self.mode != InputMode::Discarding && !self.is_turn_over();
            next = is_next_handled.then(|| input.next_buffered()).flatten();
        }
        if let Some(InputEvent::Undecodable(error)) = next {
            self.stop_decoding(error.into());
        }
    }

    fn handle_record(&mut self, record: Record, now: Instant, unread_time: Duration) {
        self.pace.count_record();
        let outcome = self.requests.lock().handle(record, now.into_std());
        match outcome {
            Ok(outcome) => self.handle_outcome(outcome, unread_time),
            Err(error) => self.stop_decoding(error.into()),
        }
    }

    /// Handles the outcome of a record. `unread_time` is the longest time for which the record may have been buffered.
    fn handle_outcome(&mut self, outcome: RecordOutcome, unread_time: Duration) {
        match outcome {
            RecordOutcome::Pending => {}
            RecordOutcome::Reply(bytes) => {
                self.pace.count_reply();
                self.send(Outgoing::bytes(bytes));
            }
            RecordOutcome::Invalid { id, reason } => self.reject_invalid(id, reason.into()),
            RecordOutcome::TooManyOpen { id } => {
                self.pace.count_reply();
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
            self.pace.count_reply();
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
        self.pace.count_request();
        self.account.mark_established();
        if self.mode == InputMode::Accepting {
            self.invalid_requests = self.invalid_requests.saturating_sub(1);
        }
    }

    /// Begins a complete request.
    fn begin(&mut self, id: u16, params: &Bytes, body: Bytes, unread_time: Duration) {
        match client_request::parse(params, &body, &self.frontend.settings.classes) {
            Ok(ClientMessage::HealthCheck) => {
                self.pace.count_request();
                self.reply_to_health_check(id);
            }
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
        let request_bodies = self.frontend.core.transport.memory.request_bodies();
        if !body.is_empty() && request_bodies.is_threshold_reached() {
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
            false => request_bodies.track(body),
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
