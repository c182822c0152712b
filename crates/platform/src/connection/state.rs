//! State of a connection: the requests in flight and the progress of their responses.
use super::cancellation::UnwrittenCancellations;
use super::encode_cancellation;
use super::write_queue::{EncodedRequest, NextWrite, RequestEncoder, RequestStarts, WriteQueue};
use pointspindle_dispatcher::keep_alive::KeepAlive;
use pointspindle_platform_protocol::line_protocol::CacheResponse;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Number of recently ended ids that are retained. A request with one of these ids is not sent on this connection: a
/// response that crossed the cancellation, or a duplicate of a response, would be taken for the new request's response.
pub(super) const MAX_ENDED_IDS: usize = 256;

/// Error of a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The request was not sent completely.
    NotSent,
    /// The connection broke or cannot be decoded any further; the request may have run.
    ConnectionBroken,
}

/// Result of a request.
pub(super) type RequestResult = Result<CacheResponse, RequestError>;

/// A request in flight, with the senders for its [`RequestProgress`].
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// Present until the request is written completely.
    written: Option<oneshot::Sender<()>>,
    result: oneshot::Sender<RequestResult>,
}

impl PendingRequest {
    fn is_written(&self) -> bool {
        self.written.is_none()
    }
}

/// Receivers for the progress of a request.
pub(super) struct RequestProgress {
    /// Receives a message when the request is written completely.
    pub written: oneshot::Receiver<()>,
    /// Receives the result when the request has ended.
    pub result: oneshot::Receiver<RequestResult>,
}

/// A response that is being received.
struct IncomingResponse {
    id: String,
    /// Time at which its first bytes arrived, or at which its request was cancelled.
    since: Instant,
}

/// State of a connection; see the documentation of the module.
pub(super) struct ConnectionState {
    /// Whether the connection accepts new requests.
    pub is_open: bool,
    /// Requests in flight, by id.
    pub in_flight: HashMap<String, PendingRequest>,
    pub write_queue: WriteQueue,
    /// Hashes of recently ended ids. A request whose id collides with one of them is sent over another connection.
    pub ended_ids: VecDeque<u64>,
    incoming: Option<IncomingResponse>,
    /// Time at which bytes were last received, or at which a response was first awaited.
    pub last_received: Instant,
    /// Time at which a request was last queued or completed.
    pub last_used: Instant,
    pub keep_alive: KeepAlive,
    /// Whether responses are not read for lack of memory. The endpoint is not blamed for the silence meanwhile.
    pub is_paused: bool,
    /// Whether input has arrived during the pause.
    pub has_input_in_pause: bool,
    cancellations: Arc<UnwrittenCancellations>,
}

impl ConnectionState {
    /// Creates the state of an open connection without requests.
    pub fn new(now: Instant, cancellations: Arc<UnwrittenCancellations>) -> Self {
        Self {
            is_open: true,
            in_flight: HashMap::new(),
            write_queue: WriteQueue::default(),
            ended_ids: VecDeque::new(),
            incoming: None,
            last_received: now,
            last_used: now,
            keep_alive: KeepAlive::default(),
            is_paused: false,
            has_input_in_pause: false,
            cancellations,
        }
    }

    /// Returns the time since which an orphaned response has been received: a response to a request that is no longer
    /// in flight. It blocks all responses after it.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.incoming
            .as_ref()
            .filter(|incoming| !self.in_flight.contains_key(&incoming.id))
            .map(|incoming| incoming.since)
    }

    /// Returns the number of requests in flight if a request with this id can be sent now.
    pub fn in_flight_if_available(&self, id: &str, max_streams: usize) -> Option<usize> {
        let in_flight = self.in_flight.len();
        let is_available = self.is_open
            && in_flight < max_streams
            && !self.in_flight.contains_key(id)
            && self.blocked_since().is_none()
            && self.write_queue.cancelled_since().is_none()
            && !self.has_ended(id);
        is_available.then_some(in_flight)
    }

    /// Records whether responses are not read for lack of memory. Returns whether there is a write that may begin or
    /// continue.
    pub fn set_paused(&mut self, is_paused: bool, now: Instant) -> bool {
        if std::mem::replace(&mut self.is_paused, is_paused) && !is_paused {
            self.last_received = now;
            self.has_input_in_pause = false;
        }
        self.write_queue.has_writes(self.request_starts())
    }

    /// Returns whether requests may begin.
    pub fn request_starts(&self) -> RequestStarts {
        match self.is_paused {
            true => RequestStarts::Paused,
            false => RequestStarts::Allowed,
        }
    }

    /// Returns the current write, or begins the next one that may begin.
    pub fn begin_next_write(&mut self) -> NextWrite {
        let starts = self.request_starts();
        self.write_queue.begin_next(starts)
    }

    /// Queues a request. Returns `None` if the connection is closed or the id is in flight.
    pub fn enqueue(
        &mut self,
        id: &str,
        encode: RequestEncoder,
        now: Instant,
    ) -> Option<RequestProgress> {
        if !self.is_open || self.in_flight.contains_key(id) {
            return None;
        }
        let (written, written_receiver) = oneshot::channel();
        let (result, result_receiver) = oneshot::channel();
        let pending = PendingRequest {
            written: Some(written),
            result,
        };
        self.in_flight.insert(id.to_owned(), pending);
        self.write_queue.push_request(id.to_owned(), encode);
        if self.in_flight.len() == 1 {
            // No response was awaited before: the keep-alive time-out counts from now.
            self.last_received = now;
        }
        self.last_used = now;
        Some(RequestProgress {
            written: written_receiver,
            result: result_receiver,
        })
    }

    /// Makes an encoded request the current write. Returns false if the request must not begin or was cancelled
    /// meanwhile.
    pub fn begin_request(
        &mut self,
        id: String,
        encode: RequestEncoder,
        encoded: Option<EncodedRequest>,
    ) -> bool {
        let Some(encoded) = encoded else {
            if let Some(pending) = self.in_flight.remove(&id) {
                let _ = pending.result.send(Err(RequestError::NotSent));
            }
            return false;
        };
        if !self.in_flight.contains_key(&id) {
            return false;
        }
        tracing::debug!(transaction_id = id, "request started");
        self.write_queue.start_request(id, encode, encoded);
        true
    }

    /// Records that bytes of the current write were sent.
    pub fn bytes_sent(&mut self, sent: usize) {
        let Some(id) = self.write_queue.advance(sent) else {
            return;
        };
        let pending = self.in_flight.get_mut(&id);
        if let Some(written) = pending.and_then(|pending| pending.written.take()) {
            let _ = written.send(());
        }
    }

    /// Returns whether the next write is a request and no written request is in flight. The endpoint may have closed
    /// such a connection.
    pub fn is_idle_before_request(&self) -> bool {
        self.write_queue.is_next_a_request() && self.in_flight.values().all(|p| !p.is_written())
    }

    /// Records that bytes were received, the last of which belong to this incomplete response.
    pub fn bytes_received(&mut self, incomplete_response_id: Option<&str>, now: Instant) {
        self.last_received = now;
        let known_id = self.incoming.as_ref().map(|incoming| incoming.id.as_str());
        if known_id != incomplete_response_id {
            self.incoming = incomplete_response_id.map(|id| IncomingResponse {
                id: id.to_owned(),
                since: now,
            });
        }
    }

    /// Completes the request that a response belongs to. An orphaned response is dropped: a duplicate, a response to a
    /// cancelled request, or a response to a request that is not written yet.
    pub fn complete(&mut self, response: CacheResponse) {
        let is_awaited = self
            .in_flight
            .get(&response.id)
            .is_some_and(PendingRequest::is_written);
        if !is_awaited {
            return;
        }
        if let Some(pending) = self.in_flight.remove(&response.id) {
            self.remember_ended(&response.id);
            self.last_used = self.last_received;
            let _ = pending.result.send(Ok(response));
        }
    }

    /// Cancels a request. Returns whether a write was queued for it.
    pub fn cancel(&mut self, id: &str, now: Instant) -> bool {
        if self.in_flight.remove(id).is_none() {
            return false;
        }
        if self.write_queue.remove_request(id) {
            return false;
        }
        // The rest of a partly written request must be sent, or the endpoint could not parse the next line.
        self.write_queue.cancel_current(id, now);
        let cancellation = self.cancellations.add(id);
        self.write_queue
            .push_cancellation(encode_cancellation(id), cancellation);
        self.remember_ended(id);
        // The response becomes orphaned now, however long it has been arriving.
        if let Some(incoming) = self.incoming.as_mut().filter(|incoming| incoming.id == id) {
            incoming.since = now;
        }
        true
    }

    /// Ends the connection and all requests in flight.
    pub fn end(&mut self) {
        self.is_open = false;
        self.write_queue.clear();
        for (_, pending) in std::mem::take(&mut self.in_flight) {
            let error = if pending.is_written() {
                RequestError::ConnectionBroken
            } else {
                RequestError::NotSent
            };
            let _ = pending.result.send(Err(error));
        }
    }

    fn remember_ended(&mut self, id: &str) {
        if self.ended_ids.len() >= MAX_ENDED_IDS {
            self.ended_ids.pop_front();
        }
        self.ended_ids.push_back(hash_of(id));
    }

    fn has_ended(&self, id: &str) -> bool {
        let hash = hash_of(id);
        self.ended_ids.iter().any(|ended| *ended == hash)
    }
}

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
