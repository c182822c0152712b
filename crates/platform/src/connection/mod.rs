//! One connection to an endpoint over the line protocol.
//!
//! A request is encoded right before its first byte is sent, when the socket is writable. Its owner decides at this
//! moment whether it may still begin; before, none of its bytes are in any buffer. Received bytes are read before
//! anything is written, so that no new request is sent on a connection that the endpoint has closed.
//!
//! A request that is dropped before its first byte is sent is removed from the queue. If all its bytes are sent, a
//! cancellation follows. If a part of its bytes is sent, the rest and a cancellation follow; if the endpoint does not
//! accept the rest, the connection is closed ([`Connection::close_if_unusable`]), so that the endpoint never receives
//! the complete request. Cancellations are written before requests that have not begun, also while responses are not read
//! for lack of memory, and the next attempt of a request waits for them ([`cancellation`]). When the connection ends, each request ends with an error that says whether it may have run.
//!
//! The state consists of an entry for each request in flight, which is removed when the request ends, the queue of
//! writes, and a limited number of ids of requests that ended recently, whose responses may still arrive.
mod cancellation;
mod in_flight_request;
mod metered_codec;
mod state;
mod write_queue;

pub(crate) use cancellation::{UnwrittenCancellations, CANCELLATION_TIMEOUT};
pub(crate) use in_flight_request::InFlightRequest;
pub(crate) use state::RequestError;
pub(crate) use write_queue::{EncodedRequest, RequestEncoder};

use crate::memory::MemoryMonitor;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use metered_codec::MeteredCodec;
use pointspindle::Micros;
use pointspindle_dispatcher::keep_alive::{KeepAliveAction, KeepAliveRule};
use pointspindle_platform_protocol::line_protocol::{
    self, CacheResponse, LineError, ResponseStatus,
};
use pointspindle_transport::{BufferMeter, RetryingReadHalf};
use state::ConnectionState;
use std::io::{self, IoSlice};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Poll;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use write_queue::NextWrite;

/// Initial capacity of the read buffer, which fits response lines; space for a body is reserved when its length is
/// known.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Number of responses that are handled before other tasks run.
const TURN_RESPONSES: usize = 64;
/// Id of health checks, which differs from all request ids: these have only hex digits.
const HEALTH_CHECK_ID: &str = "sign";

/// A connection to an endpoint, shared by its requests. [`Connection::run`] reads from and writes to its socket.
pub(crate) struct Connection {
    state: Mutex<ConnectionState>,
    /// Signals that a write was queued.
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
    /// Creates an open connection without requests. Its cancellations are recorded until they are written.
    pub fn new(cancellations: Arc<UnwrittenCancellations>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(ConnectionState::new(Instant::now(), cancellations)),
            write_pending: Notify::new(),
            close_requested: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the number of requests in flight if a request with this id can be sent now.
    pub fn in_flight_if_available(&self, id: &str, max_streams: usize) -> Option<usize> {
        self.lock().in_flight_if_available(id, max_streams)
    }

    /// Queues a request. Returns `None` if the connection is closed or the id is in flight.
    pub fn send(self: &Arc<Self>, id: &str, encode: RequestEncoder) -> Option<InFlightRequest> {
        let mut state = self.lock();
        let progress = state.enqueue(id, encode, Instant::now())?;
        self.write_pending.notify_one();
        tracing::debug!(connection = ?Arc::as_ptr(self), in_flight = state.in_flight.len(), "request queued");
        drop(state);
        Some(InFlightRequest::new(self.clone(), id.to_owned(), progress))
    }

    /// Cancels a request that has not ended.
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

    /// Closes the connection; requests in flight end with an error.
    pub fn close(&self) {
        self.close_requested.notify_one();
    }

    /// Closes the connection if no request is in flight, and returns whether it does. A closed connection accepts no
    /// request.
    pub fn close_if_idle(&self) -> bool {
        let mut state = self.lock();
        let is_idle = state.in_flight.is_empty();
        state.is_open &= !is_idle;
        if is_idle {
            self.close_requested.notify_one();
        }
        is_idle
    }

    /// Closes the connection if it has been receiving an orphaned response, or has been unable to send a cancellation or
    /// the rest of a cancelled request, for the respective time-out. Returns whether it does.
    pub fn close_if_unusable(&self, orphan_timeout: Duration, unsent_timeout: Duration) -> bool {
        let mut state = self.lock();
        let is_blocked = state
            .blocked_since()
            .is_some_and(|since| since.elapsed() >= orphan_timeout);
        let is_stalled = state
            .write_queue
            .cancelled_since()
            .or(state.write_queue.oldest_cancellation())
            .is_some_and(|since| since.elapsed() >= unsent_timeout);
        let is_unusable = is_blocked || is_stalled;
        state.is_open &= !is_unusable;
        if is_unusable {
            self.close_requested.notify_one();
        }
        is_unusable
    }

    /// Decides whether the connection is healthy, is to be sent a health check, or is to be closed.
    pub fn check_keep_alive(
        &self,
        rule: &KeepAliveRule,
        now: Micros,
        to_micros: impl FnOnce(Instant) -> Micros,
    ) -> KeepAliveAction {
        let mut state = self.lock();
        let last_received = to_micros(state.last_received);
        if state.is_paused {
            return KeepAliveAction::Healthy;
        }
        let is_awaited = !state.in_flight.is_empty();
        state.keep_alive.check(rule, now, last_received, is_awaited)
    }

    /// Returns the time since which no request has been in flight, or `None` if one is.
    pub fn idle_since(&self) -> Option<Instant> {
        let state = self.lock();
        state.in_flight.is_empty().then_some(state.last_used)
    }

    fn handle_response(&self, response: CacheResponse) {
        let mut state = self.lock();
        state.last_received = Instant::now();
        if response.status == ResponseStatus::HealthCheckReply {
            tracing::debug!(connection = ?std::ptr::from_ref(self), "health check reply received");
            return;
        }
        state.complete(response);
    }

    /// Records that bytes were received, the last of which belong to this incomplete response.
    fn bytes_received(&self, incomplete_response_id: Option<&str>) {
        self.lock()
            .bytes_received(incomplete_response_id, Instant::now());
    }

    /// Makes the next write current: the rest of the last one, or a new one that may begin. Returns whether there is
    /// one.
    fn prepare_write(&self) -> bool {
        loop {
            let next = self.lock().begin_next_write();
            let (id, mut encode) = match next {
                NextWrite::Current => return true,
                NextWrite::Empty => return false,
                NextWrite::Request { id, encode } => (id, encode),
            };
            // The encoder is called without holding the lock because it locks the core.
            let encoded = encode();
            if self.lock().begin_request(id, encode, encoded) {
                return true;
            }
        }
    }

    /// Writes the queue until the socket accepts no more bytes.
    fn write(&self, socket: &OwnedWriteHalf) -> io::Result<()> {
        while self.prepare_write() {
            let unsent = self.lock().write_queue.unsent();
            let slices: Vec<IoSlice<'_>> = unsent.iter().map(|p| IoSlice::new(p)).collect();
            match socket.try_write_vectored(&slices) {
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

    /// Reads and writes until the connection ends. Returns the reason, or `None` if the dispatcher closed the
    /// connection.
    ///
    /// While the limit of buffered bytes is reached, no further response is read, and no request begins. The endpoint is
    /// not silent meanwhile: `on_input_in_pause` is called when input has arrived.
    pub async fn run(
        self: Arc<Self>,
        socket: TcpStream,
        memory: Arc<MemoryMonitor>,
        on_input_in_pause: impl Fn(),
    ) -> Option<String> {
        let meter = memory.responses().clone();
        let (read, write) = socket.into_split();
        let codec = MeteredCodec::new(self.clone(), meter.clone());
        let read = RetryingReadHalf::new(read);
        let mut responses = FramedRead::with_capacity(read, codec, READ_BUFFER_BYTES);
        let mut has_yielded = false;
        let mut responses_in_turn = 0;
        let reason = loop {
            memory.check_growth();
            let is_paused = is_paused(&responses, &meter);
            let has_writes = self.lock().set_paused(is_paused, Instant::now());
            let awaits_input = !is_paused || !self.lock().has_input_in_pause;
            tokio::select! {
                biased;
                _ = self.close_requested.notified() => break None,
                event = next_event(&mut responses, &meter, is_paused), if awaits_input => match event {
                    ReadEvent::Paused => {}
                    ReadEvent::InputInPause { is_closed } => {
                        self.lock().has_input_in_pause = true;
                        if !is_closed {
                            on_input_in_pause();
                        }
                    }
                    ReadEvent::Response(response) => {
                        self.handle_response(response);
                        responses_in_turn += 1;
                        if responses_in_turn >= TURN_RESPONSES {
                            responses_in_turn = 0;
                            tokio::task::yield_now().await;
                        }
                    }
                    ReadEvent::Failed(error) => break Some(error.to_string()),
                    ReadEvent::Closed => break Some("closed by the endpoint".to_owned()),
                },
                writable = write.writable(), if has_writes => {
                    // The endpoint may have closed an idle connection: yields once before the first request, so that
                    // the runtime polls its sockets.
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
                () = meter.below_limit(), if is_paused => {}
            }
        };
        self.lock().end();
        reason
    }
}

type ResponseReader = FramedRead<RetryingReadHalf, MeteredCodec>;

/// An event on the reading half of a connection.
enum ReadEvent {
    Response(CacheResponse),
    Failed(LineError),
    Closed,
    /// The limit of buffered bytes is reached, and no further response is read.
    Paused,
    /// During a pause, input has arrived that is not read yet, or the endpoint has closed the connection.
    InputInPause {
        is_closed: bool,
    },
}

/// Whether no response may be read because the limit of buffered bytes is reached. A response whose body is counted
/// already is read to its end.
fn is_paused(responses: &ResponseReader, meter: &BufferMeter) -> bool {
    meter.is_limit_reached() && !responses.decoder().has_incomplete_response()
}

/// Waits for the next event. The limit is checked whenever input has arrived, since other connections may have reached
/// it during the wait. Cancel safe.
async fn next_event(
    responses: &mut ResponseReader,
    meter: &BufferMeter,
    is_paused_now: bool,
) -> ReadEvent {
    if is_paused_now {
        let is_closed = !responses.get_mut().input_arrived().await;
        return ReadEvent::InputInPause { is_closed };
    }
    std::future::poll_fn(|context| {
        if is_paused(responses, meter) {
            return Poll::Ready(ReadEvent::Paused);
        }
        responses.poll_next_unpin(context).map(|next| match next {
            Some(Ok(response)) => ReadEvent::Response(response),
            Some(Err(error)) => ReadEvent::Failed(error),
            None => ReadEvent::Closed,
        })
    })
    .await
}

/// Encodes the cancellation of a request.
fn encode_cancellation(id: &str) -> Bytes {
    let mut out = BytesMut::new();
    line_protocol::write_cancel(&mut out, id);
    out.freeze()
}

#[cfg(test)]
mod tests;
