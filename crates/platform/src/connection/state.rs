//! The state of a connection: its requests in flight, and what has arrived for them.
use super::cancellation;
use super::write_queue::{RequestEncoder, WriteQueue};
use bytes::Bytes;
use pointspindle_dispatcher::keep_alive::KeepAlive;
use pointspindle_platform_protocol::line_protocol::CacheResponse;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Ids that ended lately. One of them is not sent again on this connection: a response that crossed its cancellation, or
/// a duplicate of a response, would be taken for the new one's.
pub(super) const MAX_ENDED_IDS: usize = 256;

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestLoss {
    /// It was not sent completely.
    NotSent,
    /// It may have run: the connection broke, or can no longer be decoded.
    ConnectionBroken,
}

/// How a request ends.
pub(super) type RequestResult = Result<CacheResponse, RequestLoss>;

/// A request in flight, with the senders of its [`RequestProgress`].
#[derive(Debug)]
pub(super) struct Pending {
    /// Some: it is not written yet.
    written: Option<oneshot::Sender<()>>,
    result: oneshot::Sender<RequestResult>,
}

impl Pending {
    fn is_written(&self) -> bool {
        self.written.is_none()
    }
}

/// Where the owner of a request learns of its progress.
pub(super) struct RequestProgress {
    /// The request is written.
    pub written: oneshot::Receiver<()>,
    /// The request has ended.
    pub result: oneshot::Receiver<RequestResult>,
}

/// A response that has begun to arrive.
struct IncomingResponse {
    id: String,
    since: Instant,
}

/// See the module's documentation.
pub(super) struct ConnectionState {
    /// It takes new requests.
    pub is_open: bool,
    /// Requests by id.
    pub in_flight: HashMap<String, Pending>,
    pub write_queue: WriteQueue,
    /// Hashes of ids that ended; an id that collides with one of them is sent over another connection.
    pub ended_ids: VecDeque<u64>,
    incoming: Option<IncomingResponse>,
    /// When bytes last arrived, or were first awaited.
    pub last_received: Instant,
    /// When a request was last queued or completed.
    pub last_used: Instant,
    pub keep_alive: KeepAlive,
}

impl ConnectionState {
    /// An open connection without requests.
    pub fn new(now: Instant) -> Self {
        Self {
            is_open: true,
            in_flight: HashMap::new(),
            write_queue: WriteQueue::default(),
            ended_ids: VecDeque::new(),
            incoming: None,
            last_received: now,
            last_used: now,
            keep_alive: KeepAlive::default(),
        }
    }

    /// Since when a response has been arriving that nobody awaits: all responses behind it wait for its end.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.incoming
            .as_ref()
            .filter(|incoming| !self.in_flight.contains_key(&incoming.id))
            .map(|incoming| incoming.since)
    }

    /// Requests in flight, if this one could be sent now.
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

    /// Queues a request; none where the connection is closed or the id is in flight.
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
        let pending = Pending {
            written: Some(written),
            result,
        };
        self.in_flight.insert(id.to_owned(), pending);
        self.write_queue.push_request(id.to_owned(), encode);
        if self.in_flight.len() == 1 {
            // Nothing was awaited before: silence counts from now.
            self.last_received = now;
        }
        self.last_used = now;
        Some(RequestProgress {
            written: written_receiver,
            result: result_receiver,
        })
    }

    /// Makes an encoded request the current write. False: it is not to begin, or was cancelled meanwhile.
    pub fn begin_request(
        &mut self,
        id: String,
        encode: RequestEncoder,
        encoded: Option<Bytes>,
    ) -> bool {
        let Some(bytes) = encoded else {
            if let Some(pending) = self.in_flight.remove(&id) {
                let _ = pending.result.send(Err(RequestLoss::NotSent));
            }
            return false;
        };
        if !self.in_flight.contains_key(&id) {
            return false;
        }
        tracing::debug!(txn = id, "request started");
        self.write_queue.start_request(id, encode, bytes);
        true
    }

    /// Bytes of the current write were sent.
    pub fn bytes_sent(&mut self, sent: usize) {
        let Some(id) = self.write_queue.advance(sent) else {
            return;
        };
        let pending = self.in_flight.get_mut(&id);
        if let Some(written) = pending.and_then(|pending| pending.written.take()) {
            let _ = written.send(());
        }
    }

    /// Whether a request is next while no response can be outstanding: the endpoint may have closed the connection.
    pub fn is_idle_before_request(&self) -> bool {
        self.write_queue.is_next_a_request() && self.in_flight.values().all(|p| !p.is_written())
    }

    /// Bytes have arrived, of which the last ones belong to this incomplete response.
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

    /// Hands a response to its request. One that nobody awaits is dropped and does no harm: a duplicate, one of a
    /// cancelled request, or one to a request that is not written yet.
    pub fn complete(&mut self, response: CacheResponse) {
        let is_awaited = self
            .in_flight
            .get(&response.id)
            .is_some_and(Pending::is_written);
        if !is_awaited {
            return;
        }
        if let Some(pending) = self.in_flight.remove(&response.id) {
            self.remember_ended(&response.id);
            self.last_used = self.last_received;
            let _ = pending.result.send(Ok(response));
        }
    }

    /// Gives up a request. True: there is something to write for that.
    pub fn cancel(&mut self, id: &str, now: Instant) -> bool {
        if self.in_flight.remove(id).is_none() {
            return false;
        }
        if self.write_queue.remove_request(id) {
            return false;
        }
        // The rest of a request that has begun is owed, or what follows could not be parsed.
        self.write_queue.cancel_current(id, now);
        self.write_queue.push_control(cancellation(id));
        self.remember_ended(id);
        true
    }

    /// The connection is over: ends all that is in flight.
    pub fn end(&mut self) {
        self.is_open = false;
        self.write_queue.clear();
        for (_, pending) in std::mem::take(&mut self.in_flight) {
            let loss = if pending.is_written() {
                RequestLoss::ConnectionBroken
            } else {
                RequestLoss::NotSent
            };
            let _ = pending.result.send(Err(loss));
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
