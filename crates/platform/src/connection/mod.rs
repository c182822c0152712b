//! One connection to an endpoint over the line protocol: requests out, responses in.
//!
//! A request is encoded right before its first byte, when the socket is writable: its owner decides then whether it may
//! still begin, and until then nothing of it is in any buffer. What has arrived is read before anything is written, so
//! that a connection which the endpoint has closed takes no new request.
//!
//! What is owed when a request is dropped: nothing before its first byte; a cancellation once all its bytes are sent; in
//! the middle of its bytes their rest and a cancellation, and where the endpoint does not take the rest, the connection
//! is closed ([`Connection::close_if_unusable`]), so that the request is never complete there. When the connection ends,
//! each request learns whether it may have run.
//!
//! State: an entry for each request in flight, dropped when it ends; what waits to be written; a bounded number of ids
//! that ended lately, whose responses may still arrive.
mod in_flight_request;
mod metered_codec;
mod state;
mod write_queue;

pub(crate) use in_flight_request::InFlightRequest;
pub(crate) use state::RequestLoss;
pub(crate) use write_queue::RequestEncoder;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use metered_codec::MeteredCodec;
use pointspindle::Micros;
use pointspindle_dispatcher::keep_alive::{KeepAliveRule, KeepAliveVerdict};
use pointspindle_platform_protocol::line_protocol::{self, CacheResponse, ResponseStatus};
use pointspindle_transport::{BufferMeter, RetryingReadHalf};
use state::ConnectionState;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use write_queue::NextWrite;

/// Fits the lines of responses; a body allocates its own space.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Id of health checks; no request has it.
const HEALTH_CHECK_ID: &str = "sign";

/// A connection to an endpoint, shared by its requests; [`Connection::run`] serves it.
pub(crate) struct Connection {
    state: Mutex<ConnectionState>,
    /// Something is to be written.
    write_pending: Notify,
    close_requested: Notify,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("in_flight", &self.lock().in_flight.len())
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// An open connection without requests.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(ConnectionState::new(Instant::now())),
            write_pending: Notify::new(),
            close_requested: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Requests in flight, if this one could be sent now.
    pub fn in_flight_if_available(&self, id: &str, max_streams: usize) -> Option<usize> {
        self.lock().in_flight_if_available(id, max_streams)
    }

    /// Queues a request; none where the connection is closed or the id is in flight.
    pub fn send(self: &Arc<Self>, id: &str, encode: RequestEncoder) -> Option<InFlightRequest> {
        let mut state = self.lock();
        let progress = state.enqueue(id, encode, Instant::now())?;
        self.write_pending.notify_one();
        tracing::debug!(connection = ?Arc::as_ptr(self), in_flight = state.in_flight.len(), "request queued");
        drop(state);
        Some(InFlightRequest::new(self.clone(), id.to_owned(), progress))
    }

    /// Gives up a request that has not ended.
    fn cancel(&self, id: &str) {
        let needs_write = self.lock().cancel(id, Instant::now());
        if needs_write {
            self.write_pending.notify_one();
        }
    }

    /// Queues a health check.
    pub fn send_health_check(&self) {
        tracing::debug!(connection = ?std::ptr::from_ref(self), "health check sent");
        let mut out = BytesMut::new();
        line_protocol::write_health_check(&mut out, HEALTH_CHECK_ID);
        self.lock().write_queue.push_control(out.freeze());
        self.write_pending.notify_one();
    }

    /// Closes the connection with all that is in flight.
    pub fn close(&self) {
        self.close_requested.notify_one();
    }

    /// Closes the connection if nothing is in flight; from then on it takes no request.
    pub fn close_if_idle(&self) -> bool {
        let mut state = self.lock();
        let is_idle = state.in_flight.is_empty();
        state.is_open &= !is_idle;
        if is_idle {
            self.close_requested.notify_one();
        }
        is_idle
    }

    /// Closes the connection if a response that nobody awaits has been arriving, or the rest of a cancelled request has
    /// been unsent, for the respective time.
    pub fn close_if_unusable(&self, unawaited_limit: Duration, unsent_limit: Duration) -> bool {
        let mut state = self.lock();
        let is_blocked = state
            .blocked_since()
            .is_some_and(|since| since.elapsed() >= unawaited_limit);
        let is_stuck = state
            .write_queue
            .cancelled_since()
            .is_some_and(|since| since.elapsed() >= unsent_limit);
        let is_unusable = is_blocked || is_stuck;
        state.is_open &= !is_unusable;
        if is_unusable {
            self.close_requested.notify_one();
        }
        is_unusable
    }

    /// Decides whether the connection still carries anything.
    pub fn check_keep_alive(
        &self,
        rule: &KeepAliveRule,
        now: Micros,
        to_micros: impl FnOnce(Instant) -> Micros,
    ) -> KeepAliveVerdict {
        let mut state = self.lock();
        let last_received = to_micros(state.last_received);
        let is_awaited = !state.in_flight.is_empty();
        state.keep_alive.check(rule, now, last_received, is_awaited)
    }

    /// Since when nothing is in flight; none: something is.
    pub fn idle_since(&self) -> Option<Instant> {
        let state = self.lock();
        state.in_flight.is_empty().then_some(state.last_used)
    }

    fn handle_response(&self, response: CacheResponse) {
        let mut state = self.lock();
        state.last_received = Instant::now();
        if response.status == ResponseStatus::HealthCheckReply {
            tracing::debug!(connection = ?std::ptr::from_ref(self), "health check answered");
            return;
        }
        state.complete(response);
    }

    /// Bytes have arrived, of which the last ones belong to this incomplete response.
    fn bytes_received(&self, incomplete_response_id: Option<&str>) {
        self.lock()
            .bytes_received(incomplete_response_id, Instant::now());
    }

    /// Makes the next write current: the rest of the last one, or a new one that may begin. False: there is none.
    fn prepare_write(&self) -> bool {
        loop {
            let next = self.lock().write_queue.begin_next();
            let (id, mut encode) = match next {
                NextWrite::Current => return true,
                NextWrite::Nothing => return false,
                NextWrite::Request { id, encode } => (id, encode),
            };
            // Called without the lock: the encoder takes the core's.
            let encoded = encode();
            if self.lock().begin_request(id, encode, encoded) {
                return true;
            }
        }
    }

    /// Writes what is queued, as far as the socket takes it.
    fn write(&self, socket: &OwnedWriteHalf) -> io::Result<()> {
        while self.prepare_write() {
            let unsent = self.lock().write_queue.unsent();
            match socket.try_write(&unsent) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(sent) => self.lock().bytes_sent(sent),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.lock().write_queue.requeue_unstarted();
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Moves bytes until the connection ends. Returns why it did; none: it was closed from here.
    pub async fn run(self: Arc<Self>, socket: TcpStream, meter: BufferMeter) -> Option<String> {
        let (read, write) = socket.into_split();
        let codec = MeteredCodec::new(self.clone(), meter);
        let read = RetryingReadHalf::new(read);
        let mut responses = FramedRead::with_capacity(read, codec, READ_BUFFER_BYTES);
        let mut has_yielded = false;
        let reason = loop {
            let has_writes = self.lock().write_queue.has_writes();
            tokio::select! {
                biased;
                _ = self.close_requested.notified() => break None,
                response = responses.next() => match response {
                    Some(Ok(response)) => self.handle_response(response),
                    Some(Err(e)) => break Some(e.to_string()),
                    None => break Some("closed by the endpoint".to_owned()),
                },
                writable = write.writable(), if has_writes => {
                    // An idle connection may have been closed by the endpoint: the runtime polls its sockets once more
                    // before the first request.
                    if self.lock().is_idle_before_request() && !has_yielded {
                        has_yielded = true;
                        tokio::task::yield_now().await;
                        continue;
                    }
                    has_yielded = false;
                    if let Err(e) = writable.and_then(|()| self.write(&write)) {
                        break Some(e.to_string());
                    }
                }
                _ = self.write_pending.notified() => {}
            }
        };
        self.lock().end();
        reason
    }
}

/// The cancellation of a request, encoded.
fn cancellation(id: &str) -> Bytes {
    let mut out = BytesMut::new();
    line_protocol::write_cancel(&mut out, id);
    out.freeze()
}

#[cfg(test)]
mod tests;
