//! The tasks of a connection and what they share with its handles.
use crate::call::{Call, CallEnd, Responder, ResponsePart};
use crate::credit::Credit;
use crate::line::Socket;
use crate::meter::BufferMeter;
use crate::reader::FrameReader;
use crate::writer::{DeferredRequest, Unsent, When, Writer};
use crate::ConnectionError;
use pointspindle_protocol::streams::*;
use pointspindle_protocol::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Requests and control frames of the peer that may wait to be taken; the reader waits beyond that.
const INCOMING_QUEUE: usize = 64;

#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    pub max_streams: usize,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            max_streams: MAX_STREAMS,
        }
    }
}

/// A stream as its handle left it in the table.
#[derive(Debug)]
enum Entry {
    /// Boxed: a channel allocates room for dozens at once, and most streams see three.
    Call(mpsc::UnboundedSender<Box<ResponsePart>>),
    Answer {
        credit: Arc<Credit>,
        gone: watch::Sender<bool>,
    },
}

#[derive(Debug)]
struct Table {
    streams: Streams,
    entries: HashMap<u32, Entry>,
    closed: Option<String>,
    going_away: bool,
    /// It was this side that closed it.
    ours: bool,
}

#[derive(Debug)]
pub(crate) struct Shared {
    table: Mutex<Table>,
    most: usize,
    writer: Writer,
    pub(crate) connection_credit: Credit,
    closed: watch::Sender<bool>,
    /// Nothing more is written, nor waits for it.
    written: watch::Sender<bool>,
    pub(crate) meter: BufferMeter,
    born: Instant,
    /// When the peer's last frame came, in milliseconds since the start.
    heard_ms: AtomicU64,
}

impl Shared {
    fn table(&self) -> std::sync::MutexGuard<'_, Table> {
        self.table
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sends a frame that must not wait: small, and rare.
    pub(crate) fn push(&self, frame: Frame) {
        self.writer.put(frame);
        self.writer.flush();
    }

    pub(crate) async fn send(&self, frame: Frame, when: When) -> Result<(), ConnectionError> {
        let sent = self.writer.send(frame, when).await;
        sent.then_some(())
            .ok_or_else(|| ConnectionError::Closed(self.why_closed()))
    }

    /// Takes a request back of which nothing has gone out; false: its first byte has.
    pub(crate) fn withdraw(&self, id: u32) -> bool {
        self.writer.withdraw(id)
    }

    pub(crate) fn forget(&self, id: u32) {
        let mut table = self.table();
        table.streams.close(id);
        table.entries.remove(&id);
    }

    fn heard(&self) {
        self.heard_ms
            .store(self.born.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    pub(crate) fn give_back(&self, id: u32, taken: u32) {
        if self.table().streams.return_credit(id, taken) {
            self.push(Frame::Credit(id, taken));
        }
    }

    pub(crate) fn why_closed(&self) -> String {
        self.table()
            .closed
            .clone()
            .unwrap_or_else(|| "cancelled".into())
    }

    /// Ends every stream, once.
    fn close(&self, why: &str) {
        let entries = {
            let mut table = self.table();
            if table.closed.is_some() {
                return;
            }
            table.closed = Some(why.to_owned());
            std::mem::take(&mut table.entries)
        };
        self.connection_credit.close();
        // First: what never began is not told as broken.
        self.writer.drop_unsent();
        for entry in entries.into_values() {
            match entry {
                Entry::Call(parts) => {
                    let _ =
                        parts.send(Box::new(ResponsePart::End(CallEnd::Broken(why.to_owned()))));
                }
                Entry::Answer { credit, gone } => {
                    credit.close();
                    gone.send_replace(true);
                }
            }
        }
        self.writer.close();
        self.closed.send_replace(true);
    }
}

/// What the peer wants of us.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)] // Moved once, from a queue.
pub enum Inbound {
    Request(RequestHead, Responder),
    /// Lists, purges, acknowledgements, probes, go-away.
    Control(Frame),
}

/// Requests and control frames of the peer, in the order of their arrival; ends with the connection.
#[derive(Debug)]
pub struct Incoming {
    queue: mpsc::Receiver<Box<Inbound>>,
}

impl Incoming {
    /// Nothing waits to be taken.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub async fn next(&mut self) -> Option<Inbound> {
        self.queue.recv().await.map(|inbound| *inbound)
    }
}

/// A handle of a connection; it closes when [`Link::close`] is called or the peer leaves.
#[derive(Clone, Debug)]
pub struct FramedConnection {
    shared: Arc<Shared>,
}

impl FramedConnection {
    /// Takes a connection over.
    pub fn start(
        socket: impl Into<Socket>,
        side: Side,
        options: ConnectionOptions,
    ) -> (Self, Incoming) {
        Self::start_metered(socket, side, options, BufferMeter::default())
    }

    /// ... and counts what it holds of bodies on a meter that other connections share.
    pub fn start_metered(
        socket: impl Into<Socket>,
        side: Side,
        options: ConnectionOptions,
        meter: BufferMeter,
    ) -> (Self, Incoming) {
        let (read, write) = socket.into().split();
        let (incoming, taken) = mpsc::channel(INCOMING_QUEUE);
        let table = Table {
            streams: Streams::new(side, options.max_streams),
            entries: HashMap::new(),
            closed: None,
            going_away: false,
            ours: false,
        };
        let shared = Arc::new(Shared {
            table: Mutex::new(table),
            most: options.max_streams,
            writer: Writer::new(write, meter.clone()),
            connection_credit: Credit::new(CONNECTION_WINDOW),
            closed: watch::channel(false).0,
            written: watch::channel(false).0,
            meter,
            born: Instant::now(),
            heard_ms: AtomicU64::new(0),
        });
        tokio::spawn(write_all(shared.clone()));
        let frames = FrameReader::new(read, FrameCodec::default());
        tokio::spawn(read_all(frames, incoming, shared.clone()));
        (Self { shared }, Incoming { queue: taken })
    }

    /// Sends a request. An error, and [`CallEnd::NotSent`], mean that nothing was sent.
    pub fn call(&self, request: RequestHead) -> Result<Call, ConnectionError> {
        self.call_deferred(Box::new(move || Some(request.clone())))
    }

    /// Sends a request that is worded when the socket takes its first byte, under the connection's lock: the wording must not
    /// come back to this connection. Given up before that, or where it says that it may not begin, nothing of it goes out.
    pub fn call_deferred(&self, word: DeferredRequest) -> Result<Call, ConnectionError> {
        let (sender, parts) = mpsc::unbounded_channel();
        let id = {
            let mut table = self.shared.table();
            if let Some(why) = &table.closed {
                return Err(ConnectionError::Closed(why.clone()));
            }
            if table.going_away {
                return Err(ConnectionError::Closed("the peer goes away".into()));
            }
            let id = table
                .streams
                .open_call()
                .ok_or(ConnectionError::NoStream(self.shared.most))?;
            table.entries.insert(id, Entry::Call(sender.clone()));
            // Under the lock: requests reach the writer in the order of their numbers.
            if !self.shared.writer.put_request(Unsent {
                id,
                word,
                parts: sender,
            }) {
                table.streams.close(id);
                table.entries.remove(&id);
                return Err(ConnectionError::Closed("it closes".into()));
            }
            id
        };
        self.shared.writer.flush();
        Ok(Call {
            id,
            shared: self.shared.clone(),
            parts,
            ended: false,
            taken: 0,
        })
    }

    /// Sends a control frame.
    pub async fn control(&self, frame: Frame) -> Result<(), ConnectionError> {
        self.shared.send(frame, When::Now).await
    }

    /// Tells the peer that no new stream is served, serves those that are open.
    pub fn go_away(&self, reason: &str) {
        let last = u32::MAX;
        self.shared.push(Frame::GoAway(GoAwayHead {
            last,
            reason: reason.into(),
        }));
    }

    pub fn close(&self, why: &str) {
        self.shared.table().ours = true;
        self.shared.close(why);
    }

    /// Closes a connection whose peer gives no sign of life. What is still on its way there is taken back: a peer that was only cut
    /// off must not begin, when it is reached again, what was given up long ago and may run elsewhere by now.
    pub fn abort(&self, why: &str) {
        self.shared.table().ours = true;
        self.shared.writer.abort();
        self.shared.close(why);
    }

    /// It ended, and neither side had said so before.
    pub fn ended_unexpectedly(&self) -> bool {
        let table = self.shared.table();
        table.closed.is_some() && !table.ours && !table.going_away
    }

    /// How long ago the peer's last frame came, or the connection was made.
    pub fn time_since_last_frame(&self) -> Duration {
        let heard = Duration::from_millis(self.shared.heard_ms.load(Ordering::Relaxed));
        self.shared.born.elapsed().saturating_sub(heard)
    }

    /// Sends a control frame that is small and rare, without waiting for room.
    pub fn push_control(&self, frame: Frame) {
        self.shared.push(frame);
    }

    pub fn is_closed(&self) -> bool {
        *self.shared.closed.borrow()
    }

    /// Neither closed nor about to be: calls may go out on it.
    pub fn accepts_calls(&self) -> bool {
        let table = self.shared.table();
        table.closed.is_none() && !table.going_away
    }

    /// Why it closed, once it has.
    pub fn close_reason(&self) -> String {
        self.shared.why_closed()
    }

    pub fn open_streams(&self) -> usize {
        self.shared.table().entries.len()
    }

    /// Returns when all that was queued has been written, or cannot be any more. Call after [`Link::close`].
    pub async fn flushed(&self) {
        let mut written = self.shared.written.subscribe();
        let _ = written.wait_for(|written| *written).await;
    }

    pub async fn closed(&self) {
        let mut closed = self.shared.closed.subscribe();
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

async fn write_all(shared: Arc<Shared>) {
    let why = shared.writer.run().await;
    shared.close(&why.map_or("closed here".to_owned(), |why| {
        format!("writing failed: {why}")
    }));
    shared.written.send_replace(true);
}

async fn read_all(
    mut frames: FrameReader<FrameCodec>,
    incoming: mpsc::Sender<Box<Inbound>>,
    shared: Arc<Shared>,
) {
    let mut closed = shared.closed.subscribe();
    let mut unsorted = 0;
    let why = loop {
        let frame = tokio::select! {
            frame = frames.next() => frame,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => break e.to_string(),
            None => break "the peer closed the connection".to_owned(),
        };
        shared.heard();
        let body = if let Frame::Data(_, data) = &frame {
            data.len() as u32
        } else {
            0
        };
        match take(frame, &incoming, &shared).await {
            Ok(()) => {}
            Err(why) => break why,
        }
        unsorted += body;
        if unsorted >= CONNECTION_WINDOW / 4 {
            shared.table().streams.return_connection_credit(unsorted);
            shared.push(Frame::Credit(0, unsorted));
            unsorted = 0;
        }
    };
    shared.close(&why);
}

async fn take(
    frame: Frame,
    incoming: &mpsc::Sender<Box<Inbound>>,
    shared: &Arc<Shared>,
) -> Result<(), String> {
    let asked = if let Frame::Request(id, _) = &frame {
        Some(*id)
    } else {
        None
    };
    let received = shared.table().streams.receive(frame);
    match received {
        Ok(Received::Stream {
            id,
            frame: Frame::Request(_, head),
            ..
        }) => {
            let responder = answer(id, shared);
            // Waits when the owner is behind: the peer then waits for its socket, and nobody's memory grows.
            let sent = incoming
                .send(Box::new(Inbound::Request(head, responder)))
                .await;
            sent.map_err(|_| "nobody takes requests here".to_owned())
        }
        Ok(Received::Stream { id, frame, closed }) => {
            let mut table = shared.table();
            let part = match frame {
                Frame::Head(_, head) => ResponsePart::Head(head),
                Frame::Data(_, data) => ResponsePart::Data(data),
                Frame::End(_, end) => ResponsePart::End(CallEnd::Complete(end)),
                Frame::Error(_, error) => ResponsePart::End(CallEnd::Error(error)),
                Frame::Cancel(..) => {
                    if let Some(Entry::Answer { credit, gone }) = table.entries.remove(&id) {
                        credit.close();
                        gone.send_replace(true);
                    }
                    return Ok(());
                }
                _ => return Ok(()),
            };
            if let Some(Entry::Call(parts)) = table.entries.get(&id) {
                let bytes = if let ResponsePart::Data(data) = &part {
                    data.len()
                } else {
                    0
                };
                // Counted first: whoever takes it may be quicker than this task. Under the lock, as the handle's last look
                // at its channel is behind [`Shared::forget`].
                shared.meter.add(bytes);
                if parts.send(Box::new(part)).is_err() {
                    shared.meter.sub(bytes);
                }
            }
            if closed {
                table.entries.remove(&id);
            }
            Ok(())
        }
        Ok(Received::Control(frame)) => {
            if matches!(frame, Frame::GoAway(_)) {
                shared.table().going_away = true;
            }
            let sent = incoming.send(Box::new(Inbound::Control(frame))).await;
            sent.map_err(|_| "nobody takes control frames here".to_owned())
        }
        Ok(Received::Credit { id, more }) => {
            let granted = if id == 0 {
                shared.connection_credit.grant(more)
            } else {
                match shared.table().entries.get(&id) {
                    Some(Entry::Answer { credit, .. }) => credit.grant(more),
                    _ => true,
                }
            };
            granted
                .then_some(())
                .ok_or_else(|| StreamError::CreditTooLarge(id).to_string())
        }
        Ok(Received::Ignored { .. }) => Ok(()),
        // Too many streams is the client's haste, not a broken peer: that one stream is turned away.
        Err(StreamError::TooManyStreams(most)) => {
            let error = ErrorHead {
                status: WireStatus::Rejected as i32,
                detail: format!("{most} streams are open on this connection"),
                ..Default::default()
            };
            if let Some(id) = asked {
                shared
                    .send(Frame::Error(id, error), When::Now)
                    .await
                    .map_err(|e| e.to_string())?;
            }
            Ok(())
        }
        Err(e) => Err(e.to_string()),
    }
}

fn answer(id: u32, shared: &Arc<Shared>) -> Responder {
    let credit = Arc::new(Credit::new(STREAM_WINDOW));
    let (sender, gone) = watch::channel(false);
    let entry = Entry::Answer {
        credit: credit.clone(),
        gone: sender,
    };
    shared.table().entries.insert(id, entry);
    Responder {
        id,
        shared: shared.clone(),
        credit,
        gone,
        sent: 0,
        ended: false,
    }
}
