//! State of a connection, shared by its tasks and handles.
use crate::buffer_meter::BufferMeter;
use crate::call::{CallEnd, Responder, ResponsePart};
use crate::credit::Credit;
use crate::lock::lock;
use crate::socket::WriteHalf;
use crate::writer::{DeferredRequest, QueuedRequest, SendTime, Writer};
use crate::ConnectionError;
use pointspindle_protocol::streams::*;
use pointspindle_protocol::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The sender for the parts of a call's response. The parts are boxed because a channel allocates slots for dozens of parts
/// at once, and most calls receive three.
pub(super) type PartSender = mpsc::UnboundedSender<Box<ResponsePart>>;

/// The channel over which frames reach the handle of a stream.
#[derive(Debug)]
pub(super) enum StreamHandle {
    Call(PartSender),
    Responder {
        credit: Arc<Credit>,
        cancelled: watch::Sender<bool>,
    },
}

/// The open streams of a connection. An entry is removed when its stream ends or its handle is dropped.
#[derive(Debug)]
pub(super) struct StreamTable {
    pub(super) streams: Streams,
    pub(super) handles: HashMap<u32, StreamHandle>,
    /// Reason for which the connection closed; `None` while it is open.
    pub(super) close_reason: Option<String>,
    pub(super) peer_going_away: bool,
    /// Whether this side closed the connection.
    pub(super) closed_locally: bool,
}

/// State of a connection, shared by its tasks and handles.
#[derive(Debug)]
pub(crate) struct Shared {
    table: Mutex<StreamTable>,
    max_streams: usize,
    pub(super) writer: Writer,
    pub(crate) connection_credit: Credit,
    pub(super) closed: watch::Sender<bool>,
    /// Whether the writer task has ended, so that no more bytes will be written.
    pub(super) written: watch::Sender<bool>,
    pub(crate) meter: BufferMeter,
    started_at: Instant,
    /// Time at which the peer's last frame was received, in milliseconds since `started_at`.
    last_frame_ms: AtomicU64,
}

impl Shared {
    pub(super) fn new(
        side: Side,
        max_streams: usize,
        write: WriteHalf,
        meter: BufferMeter,
    ) -> Self {
        let table = StreamTable {
            streams: Streams::new(side, max_streams),
            handles: HashMap::new(),
            close_reason: None,
            peer_going_away: false,
            closed_locally: false,
        };
        Self {
            table: Mutex::new(table),
            max_streams,
            writer: Writer::new(write, meter.clone()),
            connection_credit: Credit::new(CONNECTION_WINDOW),
            closed: watch::channel(false).0,
            written: watch::channel(false).0,
            meter,
            started_at: Instant::now(),
            last_frame_ms: AtomicU64::new(0),
        }
    }

    pub(super) fn table(&self) -> MutexGuard<'_, StreamTable> {
        lock(&self.table)
    }

    /// Sends a frame without waiting for space in the writer's queue; meant for small and rare frames only.
    pub(crate) fn push(&self, frame: Frame) {
        self.writer.put(frame);
        self.writer.flush();
    }

    /// Sends a frame, after waiting for space in the writer's queue.
    pub(crate) async fn send(&self, frame: Frame, time: SendTime) -> Result<(), ConnectionError> {
        if self.writer.send(frame, time).await {
            return Ok(());
        }
        Err(ConnectionError::Closed(self.close_reason()))
    }

    /// Removes an unsent request from the writer's queue; returns false if the request is not queued, for example because
    /// its first byte was sent.
    pub(crate) fn withdraw(&self, id: u32) -> bool {
        self.writer.withdraw(id)
    }

    /// Closes a stream whose handle has been dropped, and removes its entry.
    pub(crate) fn release_stream(&self, id: u32) {
        let mut table = self.table();
        table.streams.close(id);
        table.handles.remove(&id);
    }

    /// Returns credit of a stream to the peer, for bytes that the stream's handle has consumed.
    pub(crate) fn return_credit(&self, id: u32, taken: u32) {
        if self.table().streams.return_credit(id, taken) {
            self.push(Frame::Credit(id, taken));
        }
    }

    /// Returns credit of the connection to the peer, for bytes that were delivered to their streams.
    pub(super) fn return_connection_credit(&self, delivered: u32) {
        self.table().streams.return_connection_credit(delivered);
        self.push(Frame::Credit(0, delivered));
    }

    pub(crate) fn close_reason(&self) -> String {
        let reason = self.table().close_reason.clone();
        reason.unwrap_or_else(|| "cancelled".into())
    }

    pub(super) fn record_frame_arrival(&self) {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        self.last_frame_ms.store(now_ms, Ordering::Relaxed);
    }

    pub(super) fn time_since_last_frame(&self) -> Duration {
        let last_frame = Duration::from_millis(self.last_frame_ms.load(Ordering::Relaxed));
        self.started_at.elapsed().saturating_sub(last_frame)
    }

    /// Opens a stream for a request of this side and queues the request.
    pub(super) fn open_stream(
        &self,
        compose: DeferredRequest,
        parts: PartSender,
    ) -> Result<u32, ConnectionError> {
        let mut table = self.table();
        if let Some(reason) = &table.close_reason {
            return Err(ConnectionError::Closed(reason.clone()));
        }
        if table.peer_going_away {
            return Err(ConnectionError::Closed(
                "the peer is closing the connection".into(),
            ));
        }
        let id = table
            .streams
            .open_stream()
            .ok_or(ConnectionError::StreamLimitReached(self.max_streams))?;
        let handle = StreamHandle::Call(parts.clone());
        table.handles.insert(id, handle);
        // Done under the lock, so that requests reach the writer in the order of their stream numbers.
        let request = QueuedRequest { id, compose, parts };
        if !self.writer.put_request(request) {
            table.streams.close(id);
            table.handles.remove(&id);
            return Err(ConnectionError::Closed("it closes".into()));
        }
        Ok(id)
    }

    /// Registers a request from the peer and returns its handle.
    pub(super) fn open_responder(self: &Arc<Self>, id: u32) -> Responder {
        let credit = Arc::new(Credit::new(STREAM_WINDOW));
        let (sender, cancelled) = watch::channel(false);
        let handle = StreamHandle::Responder {
            credit: credit.clone(),
            cancelled: sender,
        };
        self.table().handles.insert(id, handle);
        Responder {
            id,
            shared: self.clone(),
            credit,
            cancelled,
            sent_bytes: 0,
            ended: false,
        }
    }

    /// Passes a frame to the handle of its stream. `closed` tells whether it is the peer's last frame on the stream.
    pub(super) fn deliver(&self, id: u32, frame: Frame, closed: bool) {
        let mut table = self.table();
        let part = match frame {
            Frame::Head(_, head) => ResponsePart::Head(head),
            Frame::Data(_, data) => ResponsePart::Data(data),
            Frame::End(_, end) => ResponsePart::End(CallEnd::Complete(end)),
            Frame::Error(_, error) => ResponsePart::End(CallEnd::Error(error)),
            Frame::Cancel(..) => {
                if let Some(handle) = table.handles.remove(&id) {
                    handle.cancel();
                }
                return;
            }
            _ => return,
        };
        if let Some(StreamHandle::Call(parts)) = table.handles.get(&id) {
            // Done under the lock, so that no part is added after the handle has called [`Shared::release_stream`] and
            // emptied its channel.
            self.send_part(parts, part);
        }
        if closed {
            table.handles.remove(&id);
        }
    }

    fn send_part(&self, parts: &PartSender, part: ResponsePart) {
        let bytes = match &part {
            ResponsePart::Data(data) => data.len(),
            _ => 0,
        };
        // Counted before sending: the receiver may take the part and subtract its bytes before this task continues.
        self.meter.add(bytes);
        if parts.send(Box::new(part)).is_err() {
            self.meter.sub(bytes);
        }
    }

    /// Adds credit that the peer has granted for sending, on a stream or, with `id` 0, on the connection. Returns false if
    /// the total would exceed the largest window that the protocol allows.
    pub(super) fn grant_credit(&self, id: u32, more: u32) -> bool {
        if id == 0 {
            return self.connection_credit.grant(more);
        }
        match self.table().handles.get(&id) {
            Some(StreamHandle::Responder { credit, .. }) => credit.grant(more),
            _ => true,
        }
    }

    /// Ends every stream and closes the writer. Calls after the first one have no effect.
    pub(super) fn close(&self, reason: &str) {
        let handles = {
            let mut table = self.table();
            if table.close_reason.is_some() {
                return;
            }
            table.close_reason = Some(reason.to_owned());
            std::mem::take(&mut table.handles)
        };
        self.connection_credit.close();
        // Done before the handles end: a call whose request was not sent ends as not sent rather than as broken.
        self.writer.drop_unsent();
        for handle in handles.into_values() {
            handle.end(reason);
        }
        self.writer.close();
        self.closed.send_replace(true);
    }
}

impl StreamHandle {
    /// Notifies a responder that the peer has cancelled or the connection has closed; has no effect on a call.
    fn cancel(self) {
        if let Self::Responder { credit, cancelled } = self {
            credit.close();
            cancelled.send_replace(true);
        }
    }

    /// Ends the stream after the connection has closed.
    fn end(self, reason: &str) {
        match self {
            Self::Call(parts) => {
                let end = CallEnd::Broken(reason.to_owned());
                let _ = parts.send(Box::new(ResponsePart::End(end)));
            }
            responder => responder.cancel(),
        }
    }
}
