//! The handle of a framed connection, for either end of the connection.
mod receive;
mod shared;

pub(crate) use shared::Shared;

use crate::buffer_meter::BufferMeter;
use crate::call::{Call, Responder};
use crate::frame_reader::FrameReader;
use crate::socket::Socket;
use crate::writer::{DeferredRequest, SendTime};
use crate::ConnectionError;
use pointspindle_protocol::streams::{Side, MAX_STREAMS};
use pointspindle_protocol::{Frame, FrameCodec, GoawayHead, RequestHead};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of the queue of requests and control frames from the peer; the reader task waits while the queue is full.
const INCOMING_QUEUE_CAPACITY: usize = 64;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// Maximum number of streams that are open at once.
    pub max_streams: usize,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            max_streams: MAX_STREAMS,
        }
    }
}

/// A request or control frame from the peer.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)] // Moved once, from a queue.
pub enum Inbound {
    /// A request, and the handle for its response.
    Request(RequestHead, Responder),
    /// A control frame: an endpoint list, a purge, an acknowledgement, a ping or a go-away.
    Control(Frame),
}

/// The queue of requests and control frames from the peer, in the order of their arrival. It ends with the connection.
#[derive(Debug)]
pub struct Incoming {
    queue: mpsc::Receiver<Box<Inbound>>,
}

impl Incoming {
    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the next request or control frame, or `None` once the connection has closed. Cancel-safe.
    pub async fn next(&mut self) -> Option<Inbound> {
        self.queue.recv().await.map(|inbound| *inbound)
    }
}

/// A handle of a connection. The connection closes when [`FramedConnection::close`] is called or the peer closes it;
/// dropping all handles does not close it.
#[derive(Clone, Debug)]
pub struct FramedConnection {
    shared: Arc<Shared>,
}

impl FramedConnection {
    /// Starts the reader and writer tasks of a connection over a socket.
    pub fn start(
        socket: impl Into<Socket>,
        side: Side,
        options: ConnectionOptions,
    ) -> (Self, Incoming) {
        Self::start_metered(socket, side, options, BufferMeter::default())
    }

    /// Like [`FramedConnection::start`], and counts buffered body bytes on a meter that may be shared with other
    /// connections.
    pub fn start_metered(
        socket: impl Into<Socket>,
        side: Side,
        options: ConnectionOptions,
        meter: BufferMeter,
    ) -> (Self, Incoming) {
        let (read, write) = socket.into().split();
        let (incoming, queue) = mpsc::channel(INCOMING_QUEUE_CAPACITY);
        let shared = Arc::new(Shared::new(side, options.max_streams, write, meter));
        tokio::spawn(run_writer(shared.clone()));
        let frames = FrameReader::new(read, FrameCodec::default());
        tokio::spawn(receive::run(frames, incoming, shared.clone()));
        (Self { shared }, Incoming { queue })
    }

    /// Sends a request. If this fails, or the call ends with [`CallEnd::NotSent`](crate::CallEnd::NotSent), no byte of the
    /// request was sent.
    pub fn call(&self, request: RequestHead) -> Result<Call, ConnectionError> {
        self.call_deferred(Box::new(move || Some(request.clone())))
    }

    /// Sends a request that is composed when the socket can accept its first byte. If the call is dropped before that, or
    /// `compose` returns `None`, no byte of the request is sent. `compose` runs under the connection's lock and must not
    /// use this connection.
    pub fn call_deferred(&self, compose: DeferredRequest) -> Result<Call, ConnectionError> {
        let (sender, parts) = mpsc::unbounded_channel();
        let id = self.shared.open_stream(compose, sender)?;
        self.shared.writer.flush();
        Ok(Call {
            id,
            shared: self.shared.clone(),
            parts,
            ended: false,
            unreturned_credit: 0,
        })
    }

    /// Sends a control frame, after waiting for space in the writer's queue.
    pub async fn control(&self, frame: Frame) -> Result<(), ConnectionError> {
        self.shared.send(frame, SendTime::Now).await
    }

    /// Sends a control frame without waiting for space in the writer's queue; meant for small and rare frames only.
    pub fn push_control(&self, frame: Frame) {
        self.shared.push(frame);
    }

    /// Notifies the peer that new streams are no longer served; open streams are completed.
    pub fn goaway(&self, reason: &str) {
        self.shared.push(Frame::Goaway(GoawayHead {
            last: u32::MAX,
            reason: reason.into(),
        }));
    }

    /// Closes the connection; queued frames are still written, for up to one second.
    pub fn close(&self, reason: &str) {
        self.shared.table().closed_locally = true;
        self.shared.close(reason);
    }

    /// Closes a connection whose peer does not respond, and discards bytes that the peer has not received yet. A peer that
    /// was only unreachable must not, once it is reachable again, start requests that have been abandoned and may run
    /// elsewhere.
    pub fn abort(&self, reason: &str) {
        self.shared.table().closed_locally = true;
        self.shared.writer.abort();
        self.shared.close(reason);
    }

    /// Whether the connection has closed although neither side announced it: this side did not close it, and the peer sent
    /// no go-away.
    pub fn ended_unexpectedly(&self) -> bool {
        let table = self.shared.table();
        table.close_reason.is_some() && !table.closed_locally && !table.peer_going_away
    }

    /// Returns the time since the peer's last frame, or since the connection was started if there was none.
    pub fn time_since_last_frame(&self) -> Duration {
        self.shared.time_since_last_frame()
    }

    /// Whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        *self.shared.closed.borrow()
    }

    /// Whether new calls can be made: the connection is open, and the peer has sent no go-away.
    pub fn accepts_calls(&self) -> bool {
        let table = self.shared.table();
        table.close_reason.is_none() && !table.peer_going_away
    }

    /// Returns the reason for which the connection closed, or "cancelled" while it is open.
    pub fn close_reason(&self) -> String {
        self.shared.close_reason()
    }

    /// Returns the number of streams that have a handle and that the peer has not ended.
    pub fn open_streams(&self) -> usize {
        self.shared.table().handles.len()
    }

    /// Returns when all queued frames are written, or can no longer be written. Call it after [`FramedConnection::close`].
    pub async fn flushed(&self) {
        let mut written = self.shared.written.subscribe();
        let _ = written.wait_for(|written| *written).await;
    }

    /// Returns when the connection has closed.
    pub async fn closed(&self) {
        let mut closed = self.shared.closed.subscribe();
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

async fn run_writer(shared: Arc<Shared>) {
    let reason = match shared.writer.run().await {
        Some(failure) => format!("writing failed: {failure}"),
        None => "closed here".to_owned(),
    };
    shared.close(&reason);
    shared.written.send_replace(true);
}
