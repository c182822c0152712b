//! One framed connection, at either end of it.
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

/// Requests and control frames of the peer that may wait to be taken; the reader waits beyond that.
const INCOMING_QUEUE: usize = 64;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// Streams that may be open at once.
    pub max_streams: usize,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            max_streams: MAX_STREAMS,
        }
    }
}

/// A request or control frame of the peer.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)] // Moved once, from a queue.
pub enum Inbound {
    /// A request and the handle that answers it.
    Request(RequestHead, Responder),
    /// Endpoint lists, purges, acknowledgements, pings, go-away.
    Control(Frame),
}

/// Requests and control frames of the peer, in the order of their arrival; ends with the connection.
#[derive(Debug)]
pub struct Incoming {
    queue: mpsc::Receiver<Box<Inbound>>,
}

impl Incoming {
    /// Whether nothing waits to be taken.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The next request or control frame; `None` once the connection has closed. Cancel-safe.
    pub async fn next(&mut self) -> Option<Inbound> {
        self.queue.recv().await.map(|inbound| *inbound)
    }
}

/// A handle of a connection, which closes when [`FramedConnection::close`] is called or the peer closes it. Dropping every
/// handle does not close it.
#[derive(Clone, Debug)]
pub struct FramedConnection {
    shared: Arc<Shared>,
}

impl FramedConnection {
    /// Starts the tasks of a connection over a socket.
    pub fn start(
        socket: impl Into<Socket>,
        side: Side,
        options: ConnectionOptions,
    ) -> (Self, Incoming) {
        Self::start_metered(socket, side, options, BufferMeter::default())
    }

    /// As [`FramedConnection::start`], counting buffered bytes of bodies on a meter that other connections share.
    pub fn start_metered(
        socket: impl Into<Socket>,
        side: Side,
        options: ConnectionOptions,
        meter: BufferMeter,
    ) -> (Self, Incoming) {
        let (read, write) = socket.into().split();
        let (incoming, queue) = mpsc::channel(INCOMING_QUEUE);
        let shared = Arc::new(Shared::new(side, options.max_streams, write, meter));
        tokio::spawn(run_writer(shared.clone()));
        let frames = FrameReader::new(read, FrameCodec::default());
        tokio::spawn(receive::run(frames, incoming, shared.clone()));
        (Self { shared }, Incoming { queue })
    }

    /// Sends a request. After an error, or [`CallEnd::NotSent`](crate::CallEnd::NotSent), nothing was sent.
    pub fn call(&self, request: RequestHead) -> Result<Call, ConnectionError> {
        self.call_deferred(Box::new(move || Some(request.clone())))
    }

    /// Sends a request that is composed when the socket accepts its first byte. If the call is dropped before that, or
    /// `compose` returns `None`, nothing of it is sent. `compose` runs under the connection's lock and must not use this
    /// connection.
    pub fn call_deferred(&self, compose: DeferredRequest) -> Result<Call, ConnectionError> {
        let (sender, parts) = mpsc::unbounded_channel();
        let id = self.shared.open_call(compose, sender)?;
        self.shared.writer.flush();
        Ok(Call {
            id,
            shared: self.shared.clone(),
            parts,
            ended: false,
            taken: 0,
        })
    }

    /// Sends a control frame, waiting for space.
    pub async fn control(&self, frame: Frame) -> Result<(), ConnectionError> {
        self.shared.send(frame, SendTime::Now).await
    }

    /// Sends a control frame without waiting: only for small and rare ones.
    pub fn push_control(&self, frame: Frame) {
        self.shared.push(frame);
    }

    /// Notifies the peer that no new stream is served; open ones are completed.
    pub fn goaway(&self, reason: &str) {
        self.shared.push(Frame::Goaway(GoawayHead {
            last: u32::MAX,
            reason: reason.into(),
        }));
    }

    /// Closes the connection; frames that are queued are still written, for a second at most.
    pub fn close(&self, reason: &str) {
        self.shared.table().closed_locally = true;
        self.shared.close(reason);
    }

    /// Closes a connection whose peer does not respond, and withdraws what was not received yet: a peer that was only
    /// unreachable must not begin, once it is reachable again, what was given up and may run elsewhere.
    pub fn abort(&self, reason: &str) {
        self.shared.table().closed_locally = true;
        self.shared.writer.abort();
        self.shared.close(reason);
    }

    /// Whether it has closed without an announcement by either side.
    pub fn ended_unexpectedly(&self) -> bool {
        let table = self.shared.table();
        table.close_reason.is_some() && !table.closed_locally && !table.peer_going_away
    }

    /// Time since the peer's last frame, or since the connection was started.
    pub fn time_since_last_frame(&self) -> Duration {
        self.shared.time_since_last_frame()
    }

    /// Whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        *self.shared.closed.borrow()
    }

    /// Whether calls may be made: it is neither closed nor going away.
    pub fn accepts_calls(&self) -> bool {
        let table = self.shared.table();
        table.close_reason.is_none() && !table.peer_going_away
    }

    /// Why it closed, once it has.
    pub fn close_reason(&self) -> String {
        self.shared.close_reason()
    }

    /// Streams whose handles exist and that the peer has not ended.
    pub fn open_streams(&self) -> usize {
        self.shared.table().handles.len()
    }

    /// Returns when everything queued was written, or can no longer be. Call it after [`FramedConnection::close`].
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
