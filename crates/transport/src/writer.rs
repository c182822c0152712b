//! The sending half of a connection: who has a frame writes it, at once, on its own task. The writer's task only does what
//! the socket did not take, and the closing.
//!
//! Frames gather while the socket is full, and where their sender says that more follows (a head before its body): then one
//! write takes them together. Bodies of some size stay where they lie and go out by vectored writes. What waits is bounded
//! by [`MOST`] for whoever can wait; what cannot (requests, cancels, credit) is small and rare.
//!
//! A request is worded right before its first byte, when the socket takes bytes: whoever asked is asked then whether it may
//! still begin, and until then nothing of it is in any buffer. What is given up before that ([`Writer::withdraw`]), or waits
//! when the connection ends, never began, and its call is told so.
//!
//! An idle connection holds no buffer and no queue.
use crate::call::{CallEnd, ResponsePart};
use crate::line::{WriteHalf, PIECES};
use crate::meter::BufferMeter;
use bytes::{Buf, Bytes, BytesMut};
use pointspindle_protocol::{Frame, FrameCodec, FrameError, RequestHead};
use std::collections::VecDeque;
use std::io::IoSlice;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio_util::codec::Encoder;

/// Bytes that may wait for the socket before senders wait.
const MOST: usize = 256 * 1024;
/// With so much gathered it is written though more is to follow.
const WRITE_FROM: usize = 64 * 1024;
/// Bodies of at least this size are not copied on their way to the socket.
const IN_PLACE: usize = 8 * 1024;
/// A larger buffer is given back once it is empty.
const KEPT_BUFFER: usize = 1024;
/// Longest time for what still waits when a connection is closed here.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// Words a request at the moment of its first byte; none: it is not to begin any more. Asked again where the socket took
/// nothing after all.
pub type DeferredRequest = Box<dyn FnMut() -> Option<RequestHead> + Send>;

/// A request none of whose bytes has gone out. Who ends it like this tells its call ([`Unsent::never_began`]), unless that is what gave
/// it up.
pub(crate) struct Unsent {
    pub id: u32,
    pub word: DeferredRequest,
    pub parts: mpsc::UnboundedSender<Box<ResponsePart>>,
}

impl std::fmt::Debug for Unsent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Unsent")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Unsent {
    fn never_began(self) {
        let _ = self
            .parts
            .send(Box::new(ResponsePart::End(CallEnd::NotSent)));
    }
}

#[derive(Debug)]
enum Piece {
    Bytes(Bytes),
    Request(Unsent),
}

#[derive(Debug, Default)]
struct State {
    codec: FrameCodec,
    /// In order: pieces that stay as they are and requests that are not worded yet, then what is being gathered.
    pieces: VecDeque<Piece>,
    /// How many of the pieces are requests.
    unsent: usize,
    tail: BytesMut,
    /// Bytes of both, and how many of them the meter knows of.
    waiting: usize,
    counted: usize,
    /// The socket is full: the task writes on when it takes more.
    full: bool,
    closing: bool,
    /// Nothing more goes out, and why.
    dead: Option<String>,
}

impl State {
    fn put(&mut self, frame: Frame) -> Result<(), FrameError> {
        let before = self.tail.len();
        match frame {
            Frame::Data(stream, body) if body.len() >= IN_PLACE => {
                self.codec
                    .encode_data_head(stream, body.len(), &mut self.tail)?;
                self.waiting += self.tail.len() - before + body.len();
                let head = self.tail.split().freeze();
                self.pieces.extend([Piece::Bytes(head), Piece::Bytes(body)]);
            }
            frame => {
                self.codec.encode(frame, &mut self.tail)?;
                self.waiting += self.tail.len() - before;
            }
        }
        Ok(())
    }

    /// Behind all that waits.
    fn put_request(&mut self, request: Unsent) {
        if !self.tail.is_empty() {
            self.pieces
                .push_back(Piece::Bytes(self.tail.split().freeze()));
        }
        self.pieces.push_back(Piece::Request(request));
        self.unsent += 1;
    }

    fn is_empty(&self) -> bool {
        self.waiting == 0 && self.unsent == 0
    }

    /// Words the request that is next and writes its first bytes; false: the socket took none, it waits unworded.
    fn begin(&mut self, mut request: Unsent, socket: &WriteHalf) -> bool {
        self.unsent -= 1;
        let Some(head) = (request.word)() else {
            request.never_began();
            return true;
        };
        let mut bytes = BytesMut::new();
        // If none of it goes out, nothing is encoded: the preface, too, is still to be sent.
        let before = self.codec.clone();
        if let Err(e) = self
            .codec
            .encode(Frame::Request(request.id, head), &mut bytes)
        {
            self.die(&e.to_string());
            return true;
        }
        match socket.try_write_vectored(&[IoSlice::new(&bytes)]) {
            Ok(0) => self.die("the socket takes nothing more"),
            Ok(written) => {
                bytes.advance(written);
                self.waiting += bytes.len();
                if !bytes.is_empty() {
                    self.pieces.push_front(Piece::Bytes(bytes.freeze()));
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                self.codec = before;
                self.pieces.push_front(Piece::Request(request));
                self.unsent += 1;
                return false;
            }
            Err(e) => self.die(&e.to_string()),
        }
        true
    }

    /// Takes a request back of which nothing has gone out; false: its first byte has.
    fn withdraw(&mut self, id: u32) -> bool {
        let found = self
            .pieces
            .iter()
            .position(|p| matches!(p, Piece::Request(r) if r.id == id));
        self.unsent -= found.is_some() as usize;
        found.and_then(|at| self.pieces.remove(at)).is_some()
    }

    /// What never began is told so.
    fn drop_unsent(&mut self) {
        self.unsent = 0;
        for piece in std::mem::take(&mut self.pieces) {
            match piece {
                Piece::Request(request) => request.never_began(),
                bytes => self.pieces.push_back(bytes),
            }
        }
    }

    /// Writes what the socket takes.
    fn flush(&mut self, socket: &WriteHalf) {
        while !self.is_empty() && self.dead.is_none() {
            if let Some(Piece::Request(_)) = self.pieces.front() {
                let Some(Piece::Request(request)) = self.pieces.pop_front() else {
                    continue;
                };
                if !self.begin(request, socket) {
                    self.full = true;
                    return;
                }
                continue;
            }
            let mut slices = [IoSlice::new(&[]); PIECES];
            // As far as the next request, which is worded when it is first.
            let bytes = |p: &Piece| matches!(p, Piece::Bytes(_));
            let whole = self.unsent == 0;
            let ready = self.pieces.iter().take_while(|p| bytes(p));
            let ready = ready.filter_map(|p| {
                if let Piece::Bytes(b) = p {
                    Some(&b[..])
                } else {
                    None
                }
            });
            let all = ready.chain(whole.then_some(&self.tail[..]));
            let mut count = 0;
            for (slice, piece) in slices.iter_mut().zip(all.filter(|p| !p.is_empty())) {
                *slice = IoSlice::new(piece);
                count += 1;
            }
            match socket.try_write_vectored(&slices[..count]) {
                Ok(0) => self.die("the socket takes nothing more"),
                Ok(written) => self.took(written),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    self.full = true;
                    return;
                }
                Err(e) => self.die(&e.to_string()),
            }
        }
        self.full = false;
        if self.tail.capacity() > KEPT_BUFFER {
            // A burst must not stay with a connection that may idle for long.
            self.tail = BytesMut::new();
        }
    }

    fn took(&mut self, mut written: usize) {
        self.waiting -= written;
        while let Some(Piece::Bytes(piece)) = self.pieces.front_mut() {
            let some = written.min(piece.len());
            piece.advance(some);
            written -= some;
            if !piece.is_empty() {
                return;
            }
            self.pieces.pop_front();
        }
        self.tail.advance(written);
        if self.pieces.is_empty() {
            self.pieces = VecDeque::new();
        }
    }

    /// Tells the meter what waits.
    fn settle(&mut self, meter: &BufferMeter) {
        match self.waiting.checked_sub(self.counted) {
            Some(more) => meter.add(more),
            None => meter.sub(self.counted - self.waiting),
        }
        self.counted = self.waiting;
    }

    fn die(&mut self, why: &str) {
        self.dead = Some(why.to_owned());
        self.drop_unsent();
        (self.pieces, self.tail, self.waiting) = (VecDeque::new(), BytesMut::new(), 0);
    }
}

#[derive(Debug)]
pub(crate) struct Writer {
    state: Mutex<State>,
    socket: WriteHalf,
    meter: BufferMeter,
    /// For the task: something waits, or the connection closes.
    work: Notify,
    /// For senders: there is room again, or will never be.
    room: Notify,
}

/// When a frame goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum When {
    Now,
    /// With what follows at once; else as soon as the writer's task has its turn.
    WithNext,
}

impl Writer {
    pub fn new(socket: WriteHalf, meter: BufferMeter) -> Self {
        Self {
            state: Mutex::default(),
            socket,
            meter,
            work: Notify::new(),
            room: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Gathers a frame that cannot wait; [`Writer::flush`] sends it. False if the connection closes.
    pub fn put(&self, frame: Frame) -> bool {
        let mut state = self.state();
        if state.dead.is_some() || state.closing {
            return false;
        }
        if let Err(e) = state.put(frame) {
            state.die(&e.to_string());
        }
        state.dead.is_none()
    }

    /// Queues a request; [`Writer::flush`] words and sends it. False if the connection closes.
    pub fn put_request(&self, request: Unsent) -> bool {
        let mut state = self.state();
        let open = state.dead.is_none() && !state.closing;
        if open {
            state.put_request(request);
        }
        open
    }

    /// Takes a request back of which nothing has gone out; false: its first byte has.
    pub fn withdraw(&self, id: u32) -> bool {
        self.state().withdraw(id)
    }

    /// The connection ends: what never began is told so, and does not.
    pub fn drop_unsent(&self) {
        self.state().drop_unsent();
    }

    pub fn flush(&self) {
        let mut state = self.state();
        if !state.full {
            state.flush(&self.socket);
        }
        state.settle(&self.meter);
        // Left over, or broken: the task goes on with it.
        if state.full || state.dead.is_some() {
            self.work.notify_one();
        }
    }

    /// Gathers a frame, waiting for room, and writes. False if the connection closes.
    pub async fn send(&self, frame: Frame, when: When) -> bool {
        loop {
            // Before the look, so that room made in between is not missed.
            let room = self.room.notified();
            {
                let mut state = self.state();
                if state.dead.is_some() || state.closing {
                    return false;
                }
                if state.waiting < MOST {
                    if let Err(e) = state.put(frame) {
                        state.die(&e.to_string());
                    }
                    if !state.full && (when == When::Now || state.waiting >= WRITE_FROM) {
                        state.flush(&self.socket);
                    }
                    state.settle(&self.meter);
                    if state.waiting > 0 || state.dead.is_some() {
                        self.work.notify_one();
                    }
                    return state.dead.is_none();
                }
            }
            room.await;
        }
    }

    /// Takes nothing more; what waits still goes out, for a while.
    pub fn close(&self) {
        self.state().closing = true;
        self.work.notify_one();
        self.room.notify_waiters();
    }

    /// Nothing that the peer does not have by now reaches it any more.
    pub fn abort(&self) {
        self.state().die("given up");
        self.socket.abort();
        self.close();
    }

    /// The writer's task; ends with the connection and tells why it broke, if it did.
    pub async fn run(&self) -> Option<String> {
        let open = async {
            while !self.state().closing {
                self.work.notified().await;
                if let Some(why) = self.write_out().await {
                    return Some(why);
                }
            }
            None
        };
        let mut why = open.await;
        if why.is_none() {
            // A peer that reads nothing gets no more time than this.
            why = tokio::time::timeout(LAST_WORDS, self.write_out())
                .await
                .unwrap_or(None);
        }
        {
            let mut state = self.state();
            state.closing = true;
            state.die("closed");
            state.settle(&self.meter);
        }
        self.room.notify_waiters();
        self.socket.shutdown();
        why
    }

    /// Until nothing waits; why it broke, if it did.
    async fn write_out(&self) -> Option<String> {
        loop {
            {
                let mut state = self.state();
                state.flush(&self.socket);
                state.settle(&self.meter);
                if state.waiting < MOST {
                    self.room.notify_waiters();
                }
                if state.dead.is_some() || state.is_empty() {
                    return state.dead.clone();
                }
            }
            if let Err(e) = self.socket.writable().await {
                return Some(e.to_string());
            }
        }
    }
}
