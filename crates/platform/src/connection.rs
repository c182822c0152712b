//! One connection to a cache host: requests out, answers in, each call told its own end.
//!
//! A request is worded right before its first byte, when the connection takes bytes: whoever placed it is asked then
//! whether it may still begin, and until then nothing of it is in any buffer. What has come is read before anything is
//! written, so that a connection which the member has closed takes no new request.
//!
//! What ends here, and what is owed then: a call given up before its first byte never goes out and owes nothing; one whose
//! bytes are all out owes a KILL; one in the middle of its bytes owes their rest, and where the member does not take
//! that, the connection ends ([`Connection::tidy`]), so that it is never whole there. The end of the connection tells
//! each call whether it may have run.
//!
//! Kept: an entry for each call under way, dropped with its end; what waits to be written; the ids that ended lately,
//! whose answers may still come.
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use pointspindle_dispatcher::keep_alive::KeepAlive;
use pointspindle_platform_protocol::line_protocol::{
    self, CacheResponse, CacheResponseCodec, LineError, ResponseStatus,
};
use pointspindle_transport::{BufferMeter, SteadyRead};
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use tokio_util::codec::{Decoder, FramedRead};

/// Ids that ended here; one among them is not asked for again on this connection, or an answer that crossed its KILL, or a
/// second copy of one that was taken, would be taken for the new one.
const ENDED_MOST: usize = 256;
/// Room for the lines of answers; a body makes its own.
const READ_BUFFER: usize = 2 * 1024;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// It was not written whole.
    NotSent,
    /// It may have been read: the connection broke, or cannot be read any more.
    Broken,
}

#[derive(Debug)]
struct Waiting {
    written: Option<oneshot::Sender<()>>,
    told: oneshot::Sender<Result<CacheResponse, Lost>>,
}

/// Words a request at the moment of its first byte; none: it is not to begin any more.
pub(crate) type Wording = Box<dyn FnMut() -> Option<Bytes> + Send>;

/// What waits to be written.
enum Out {
    /// A call's request.
    Call {
        id: String,
        word: Wording,
    },
    Control(Bytes),
}

/// What is being written.
struct Writing {
    call: Option<String>,
    /// None of it is out: it is asked anew before the next try.
    anew: Option<Wording>,
    left: Bytes,
    /// Its call was given up when so much of it was out.
    torn: Option<Instant>,
}

struct Locked {
    open: bool,
    calls: HashMap<String, Waiting>,
    queue: VecDeque<Out>,
    writing: Option<Writing>,
    /// By their hash: one that is like it by chance goes over another connection.
    ended: VecDeque<u64>,
    /// Whose answer has begun to come, and since when.
    coming: Option<(String, Instant)>,
    heard: Instant,
    used: Instant,
    health: KeepAlive,
}

pub(crate) struct Connection {
    locked: Mutex<Locked>,
    wake: Notify,
    close: Notify,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("calls", &self.lock().calls.len())
            .finish_non_exhaustive()
    }
}

/// A call whose request is queued. Dropped before its end, it is given up.
#[derive(Debug)]
pub(crate) struct Placed {
    connection: Arc<Connection>,
    id: String,
    written: Option<oneshot::Receiver<()>>,
    told: oneshot::Receiver<Result<CacheResponse, Lost>>,
    ended: bool,
}

fn number_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl Locked {
    /// An answer is coming that nobody here waits for: what comes behind it waits for its end.
    fn blocked(&self) -> Option<Instant> {
        self.coming
            .as_ref()
            .filter(|(id, _)| !self.calls.contains_key(id))
            .map(|(_, since)| *since)
    }

    /// A request whose first byte was not taken waits again.
    fn put_back(&mut self) {
        let Some(mut writing) = self.writing.take() else {
            return;
        };
        match (writing.call.take(), writing.anew.take()) {
            (Some(id), Some(word)) => self.queue.push_front(Out::Call { id, word }),
            (call, _) => self.writing = Some(Writing { call, ..writing }),
        }
    }

    fn end_of(&mut self, id: &str) {
        if self.ended.len() >= ENDED_MOST {
            self.ended.pop_front();
        }
        self.ended.push_back(number_of(id));
    }

    fn has_ended(&self, id: &str) -> bool {
        let number = number_of(id);
        self.ended.iter().any(|ended| *ended == number)
    }
}

impl Connection {
    pub fn new() -> Arc<Self> {
        let now = Instant::now();
        let (calls, queue, ended) = Default::default();
        let (writing, coming, health) = Default::default();
        let locked = Locked {
            open: true,
            calls,
            queue,
            writing,
            ended,
            coming,
            heard: now,
            used: now,
            health,
        };
        Arc::new(Self {
            locked: Mutex::new(locked),
            wake: Notify::new(),
            close: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Locked> {
        self.locked
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Calls under way, where this one could be among them.
    pub fn room(&self, id: &str, most: usize) -> Option<usize> {
        let locked = self.lock();
        let fit = locked.open && locked.calls.len() < most && !locked.calls.contains_key(id);
        let free =
            locked.blocked().is_none() && locked.writing.as_ref().is_none_or(|w| w.torn.is_none());
        (fit && free && !locked.has_ended(id)).then_some(locked.calls.len())
    }

    /// Queues a request.
    pub fn place(self: &Arc<Self>, id: &str, word: Wording) -> Option<Placed> {
        let mut locked = self.lock();
        if !locked.open || locked.calls.contains_key(id) {
            return None;
        }
        let (written, was_written) = oneshot::channel();
        let (told, is_told) = oneshot::channel();
        locked.calls.insert(
            id.to_owned(),
            Waiting {
                written: Some(written),
                told,
            },
        );
        locked.queue.push_back(Out::Call {
            id: id.to_owned(),
            word,
        });
        if locked.calls.len() == 1 {
            // Nothing was awaited before: silence begins now.
            locked.heard = Instant::now();
        }
        locked.used = Instant::now();
        self.wake.notify_one();
        tracing::debug!(connection = ?Arc::as_ptr(self), calls = locked.calls.len(), "placed");
        let (connection, id) = (self.clone(), id.to_owned());
        Some(Placed {
            connection,
            id,
            written: Some(was_written),
            told: is_told,
            ended: false,
        })
    }

    /// Asks for a sign of life.
    pub fn echo(&self) {
        tracing::debug!(connection = ?std::ptr::from_ref(self), "echo");
        let mut out = BytesMut::new();
        line_protocol::write_health_check(&mut out, "sign");
        self.lock().queue.push_back(Out::Control(out.freeze()));
        self.wake.notify_one();
    }

    pub fn close(&self) {
        self.close.notify_one();
    }

    /// Closes it if nothing is under way on it, and from this moment on nothing is placed there.
    pub fn retire(&self) -> bool {
        let mut locked = self.lock();
        let unused = locked.calls.is_empty();
        locked.open &= !unused;
        if unused {
            self.close.notify_one();
        }
        unused
    }

    /// Ends it where it is of no more use: an answer that nobody waits for has kept coming for so long, or the rest of a
    /// request that was given up is not taken.
    pub fn tidy(&self, patience: Duration, torn: Duration) -> bool {
        let mut locked = self.lock();
        let blocked = locked
            .blocked()
            .is_some_and(|since| since.elapsed() >= patience);
        let gave_up = locked.writing.as_ref().and_then(|w| w.torn);
        let spent = blocked || gave_up.is_some_and(|since| since.elapsed() >= torn);
        locked.open &= !spent;
        if spent {
            self.close.notify_one();
        }
        spent
    }

    /// How long it has been silent, and whether anything is awaited; with its health, to be judged.
    pub fn look<T>(&self, judge: impl FnOnce(&mut KeepAlive, Instant, bool) -> T) -> T {
        let mut locked = self.lock();
        let (heard, awaited) = (locked.heard, !locked.calls.is_empty());
        judge(&mut locked.health, heard, awaited)
    }

    /// Since when nothing is under way; none: something is.
    pub fn idle_since(&self) -> Option<Instant> {
        let locked = self.lock();
        locked.calls.is_empty().then_some(locked.used)
    }

    fn answered(&self, answer: CacheResponse) {
        let mut locked = self.lock();
        locked.heard = Instant::now();
        if answer.status == ResponseStatus::HealthCheckReply {
            tracing::debug!(connection = ?std::ptr::from_ref(self), "green");
            return;
        }
        // An id that nobody waits for: a second copy, one given up, or not ours. The next answer is good all the same.
        // One that was not asked for yet cannot be answered: the same.
        let asked = locked
            .calls
            .get(&answer.id)
            .is_some_and(|w| w.written.is_none());
        if let Some(waiting) = asked.then(|| locked.calls.remove(&answer.id)).flatten() {
            locked.end_of(&answer.id);
            locked.used = locked.heard;
            let _ = waiting.told.send(Ok(answer));
        }
    }

    /// Bytes have come; `coming`: of whose answer the last ones are.
    fn heard(&self, coming: Option<&str>) {
        let mut locked = self.lock();
        let now = Instant::now();
        locked.heard = now;
        if locked.coming.as_ref().map(|(id, _)| id.as_str()) != coming {
            locked.coming = coming.map(|id| (id.to_owned(), now));
        }
    }

    /// The next thing to write: what is left of the last one, or a new one that may begin. True: there is something.
    fn next(&self) -> bool {
        loop {
            let mut locked = self.lock();
            if locked.writing.is_some() {
                return true;
            }
            let (call, mut word) = match locked.queue.pop_front() {
                None => return false,
                Some(Out::Control(left)) => {
                    locked.writing = Some(Writing {
                        call: None,
                        anew: None,
                        left,
                        torn: None,
                    });
                    return true;
                }
                Some(Out::Call { id, word }) => (id, word),
            };
            // Asked without the lock: the answer is the core's.
            drop(locked);
            let bytes = word();
            let mut locked = self.lock();
            match bytes {
                // Given up in this very moment: nothing of it is out.
                Some(_) if !locked.calls.contains_key(&call) => {}
                Some(left) => {
                    tracing::debug!(txn = call, "begins");
                    locked.writing = Some(Writing {
                        call: Some(call),
                        anew: Some(word),
                        left,
                        torn: None,
                    });
                    return true;
                }
                None => {
                    if let Some(waiting) = locked.calls.remove(&call) {
                        let _ = waiting.told.send(Err(Lost::NotSent));
                    }
                }
            }
        }
    }

    /// Writes what is to be written, as far as the socket takes it.
    fn write(&self, socket: &OwnedWriteHalf) -> io::Result<()> {
        while self.next() {
            let left = self
                .lock()
                .writing
                .as_ref()
                .map(|w| w.left.clone())
                .unwrap_or_default();
            let sent = match socket.try_write(&left) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.lock().put_back();
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(sent) => sent,
            };
            let mut locked = self.lock();
            let Some(writing) = &mut locked.writing else {
                continue;
            };
            writing.left.advance(sent);
            writing.anew = None;
            if writing.left.is_empty() {
                let call = locked.writing.take().and_then(|w| w.call);
                let told = call
                    .and_then(|id| locked.calls.get_mut(&id))
                    .and_then(|w| w.written.take());
                told.map(|told| told.send(()));
            }
        }
        Ok(())
    }

    /// Whether a request is next and nothing is awaited: the member may have closed meanwhile.
    fn begins_idle(&self) -> bool {
        let locked = self.lock();
        let request = matches!(locked.queue.front(), Some(Out::Call { .. }));
        request && locked.writing.is_none() && locked.calls.values().all(|w| w.written.is_some())
    }

    fn is_busy(&self) -> bool {
        let locked = self.lock();
        locked.writing.is_some() || !locked.queue.is_empty()
    }

    /// The connection is over: all that is under way on it ends.
    fn end(&self) -> usize {
        let mut locked = self.lock();
        locked.open = false;
        locked.queue.clear();
        locked.writing = None;
        let calls = std::mem::take(&mut locked.calls);
        let lost = calls.len();
        for (_, waiting) in calls {
            let lost = if waiting.written.is_some() {
                Lost::NotSent
            } else {
                Lost::Broken
            };
            let _ = waiting.told.send(Err(lost));
        }
        lost
    }

    /// Moves bytes until the connection ends. Why it did; none: it was closed from here.
    pub async fn run(self: Arc<Self>, socket: TcpStream, meter: BufferMeter) -> Option<String> {
        let (read, write) = socket.into_split();
        let codec = Watched {
            codec: CacheResponseCodec::default(),
            of: self.clone(),
            held: Held { meter, bytes: 0 },
        };
        let read = SteadyRead::new(read);
        let mut answers = FramedRead::with_capacity(read, codec, READ_BUFFER);
        let mut looked = false;
        let why = loop {
            let busy = self.is_busy();
            tokio::select! {
                biased;
                _ = self.close.notified() => break None,
                answer = answers.next() => match answer {
                    Some(Ok(answer)) => self.answered(answer),
                    Some(Err(e)) => break Some(e.to_string()),
                    None => break Some("closed by the member".to_owned()),
                },
                ready = write.writable(), if busy => {
                    // One more look at what has come, before the first request after a while without any.
                    if self.begins_idle() && !std::mem::replace(&mut looked, true) {
                        tokio::task::yield_now().await;
                        continue;
                    }
                    looked = false;
                    if let Err(e) = ready.and_then(|()| self.write(&write)) {
                        break Some(e.to_string());
                    }
                }
                _ = self.wake.notified() => {}
            }
        };
        self.end();
        why
    }
}

/// Reads answers and tells the connection of all that comes, also of what is not whole.
struct Watched {
    codec: CacheResponseCodec,
    of: Arc<Connection>,
    held: Held,
}

impl Decoder for Watched {
    type Item = CacheResponse;
    type Error = LineError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<CacheResponse>, LineError> {
        let some = !from.is_empty();
        let mut answer = self.codec.decode(from)?;
        if some {
            self.of.heard(self.codec.incomplete_response_id());
        }
        self.held.set(self.codec.incomplete_body_bytes());
        if let Some(answer) = &mut answer {
            answer.body = self.held.keep(std::mem::take(&mut answer.body));
        }
        Ok(answer)
    }
}

/// What one connection holds of an answer that is not whole, on the meter of all.
struct Held {
    meter: BufferMeter,
    bytes: usize,
}

impl Held {
    fn set(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.meter.sub(self.bytes);
            self.meter.add(bytes);
            self.bytes = bytes;
        }
    }

    /// A whole body is on the meter until its last reference is dropped.
    fn keep(&self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        self.meter.add(body.len());
        Bytes::from_owner(Kept {
            body,
            meter: self.meter.clone(),
        })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.meter.sub(self.bytes);
    }
}

struct Kept {
    body: Bytes,
    meter: BufferMeter,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        self.body.chunk()
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.meter.sub(self.body.len());
    }
}

impl Placed {
    /// Returns when the request is written whole; an error: it never was.
    pub async fn written(&mut self) -> Result<(), Lost> {
        let Some(written) = self.written.as_mut() else {
            return Ok(());
        };
        let done = written.await;
        self.written = None;
        done.map_err(|_| {
            self.ended = true;
            Lost::NotSent
        })
    }

    pub async fn answer(&mut self) -> Result<CacheResponse, Lost> {
        let answer = (&mut self.told).await.unwrap_or(Err(Lost::Broken));
        self.ended = true;
        answer
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut locked = self.connection.lock();
        if locked.calls.remove(&self.id).is_none() {
            return;
        }
        // Not begun: it never goes out.
        let before = locked.queue.len();
        locked
            .queue
            .retain(|out| !matches!(out, Out::Call { id, .. } if *id == self.id));
        if locked.queue.len() < before {
            return;
        }
        // In the middle of its bytes: their rest is owed, or what follows could not be read.
        let id = std::mem::take(&mut self.id);
        if let Some(writing) = locked
            .writing
            .as_mut()
            .filter(|w| w.call.as_ref() == Some(&id))
        {
            writing.torn = Some(Instant::now());
        }
        let mut out = BytesMut::new();
        line_protocol::write_cancel(&mut out, &id);
        locked.queue.push_back(Out::Control(out.freeze()));
        locked.end_of(&id);
        drop(locked);
        self.connection.wake.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn queued(connection: &Connection) -> Vec<String> {
        let locked = connection.lock();
        let text = |out: &Out| match out {
            Out::Call { id, .. } => format!("PULL {id}"),
            Out::Control(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        };
        locked.queue.iter().map(text).collect()
    }

    fn place(connection: &Arc<Connection>, id: &str) -> Placed {
        let line = Bytes::from(format!("PULL {id}"));
        connection
            .place(id, Box::new(move || Some(line.clone())))
            .expect("it is open")
    }

    /// Takes what waits as written.
    fn write_all(connection: &Connection) {
        while connection.next() {
            let mut locked = connection.lock();
            let call = locked.writing.take().and_then(|w| w.call);
            let told = call
                .and_then(|id| locked.calls.get_mut(&id))
                .and_then(|w| w.written.take());
            told.map(|told| told.send(()));
        }
    }

    fn answer(id: &str) -> CacheResponse {
        let (tag, body) = (String::new(), Bytes::new());
        CacheResponse {
            id: id.into(),
            status: ResponseStatus::Served,
            cache_status_code: 1,
            validator: tag,
            produced_at_unix_ms: 0,
            fill_wait_ms: 0,
            body,
        }
    }

    #[tokio::test]
    async fn the_end_of_a_connection_tells_each_call_whether_it_may_have_run() {
        let connection = Connection::new();
        let (mut written, mut answered) = (place(&connection, "a"), place(&connection, "b"));
        write_all(&connection);
        let mut waiting = place(&connection, "c");
        connection.answered(answer("b"));
        connection.end();
        assert_eq!(written.written().await, Ok(()));
        assert_eq!(written.answer().await, Err(Lost::Broken));
        assert_eq!(
            answered.answer().await.map(|a| a.id),
            Ok("b".to_owned()),
            "told before the end"
        );
        assert_eq!(waiting.written().await, Err(Lost::NotSent));
        assert!(connection.place("d", Box::new(|| None)).is_none());
    }

    #[tokio::test]
    async fn what_is_given_up_before_it_went_out_never_does_and_after_that_is_killed() {
        let connection = Connection::new();
        drop(place(&connection, "a"));
        assert!(queued(&connection).is_empty() && connection.room("a", 1) == Some(0));
        let call = place(&connection, "b");
        write_all(&connection);
        drop(call);
        assert_eq!(queued(&connection), ["KILL b\r\n"]);
        assert_eq!(
            connection.room("b", 9),
            None,
            "an answer that crossed the KILL would be taken for the new one"
        );
        // ... and now comes, with a copy: nobody's.
        connection.answered(answer("b"));
        connection.answered(answer("b"));
        assert_eq!(connection.room("c", 9), Some(0));
    }

    /// A connection that goes on for long holds what is under way, and the last ids given up.
    #[tokio::test]
    async fn nothing_stays_of_calls_that_are_over() {
        let connection = Connection::new();
        for n in 0..100_000 {
            let id = format!("{n:016x}");
            let mut call = place(&connection, &id);
            write_all(&connection);
            if n % 2 == 0 {
                connection.answered(answer(&id));
                assert!(call.answer().await.is_ok());
            }
        }
        connection.lock().queue.clear();
        let locked = connection.lock();
        assert!(locked.calls.is_empty() && locked.ended.len() <= ENDED_MOST);
    }

    /// A connection that runs, and its other end, which reads nothing yet.
    async fn running() -> (
        Arc<Connection>,
        TcpStream,
        tokio::task::JoinHandle<Option<String>>,
    ) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        socket2::SockRef::from(&socket)
            .set_send_buffer_size(4_096)
            .unwrap();
        let (peer, _) = listener.accept().await.unwrap();
        let connection = Connection::new();
        let task = tokio::spawn(connection.clone().run(socket, BufferMeter::default()));
        (connection, peer, task)
    }

    /// A member that takes no bytes: what waits behind a line is not worded before the line is out, and when its caller has
    /// left it is not worded at all. The line in the middle of which its caller leaves is never whole.
    #[tokio::test]
    async fn nothing_is_worded_before_its_first_byte_can_go_out() {
        let (connection, mut peer, task) = running().await;
        let worded = Arc::new(Mutex::new(Vec::new()));
        let place = |id: &str, bytes: usize| {
            let (line, worded, name) = (
                Bytes::from(vec![b'x'; bytes]),
                worded.clone(),
                id.to_owned(),
            );
            let word = move || {
                worded.lock().unwrap().push(name.clone());
                Some(line.clone())
            };
            connection.place(id, Box::new(word)).expect("it is open")
        };
        let whole = 8 << 20;
        let large = place("large", whole);
        // In the middle of it: it has begun, and the socket takes no more.
        while connection
            .lock()
            .writing
            .as_ref()
            .is_none_or(|w| w.left.len() >= whole)
        {
            tokio::task::yield_now().await;
        }
        let (left, stays) = (place("left", 1), place("stays", 1));
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(*worded.lock().unwrap(), ["large"]);
        drop(left);
        assert!(connection.room("new", 9).is_some());
        drop(large);
        assert_eq!(
            connection.room("new", 9),
            None,
            "nothing new behind a line that nobody wants"
        );
        assert!(
            !connection.tidy(Duration::from_secs(60), Duration::from_secs(60)),
            "its rest may still go out"
        );
        assert!(connection.tidy(Duration::from_secs(60), Duration::ZERO));
        assert_eq!(task.await.unwrap(), None);
        let mut stays = stays;
        assert_eq!(stays.written().await, Err(Lost::NotSent));
        let mut heard = Vec::new();
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut heard).await;
        assert!(heard.len() < whole, "never whole there");
        assert_eq!(*worded.lock().unwrap(), ["large"]);
    }

    /// ... and where its rest is taken after all, a KILL follows and the connection goes on.
    #[tokio::test]
    async fn a_line_given_up_in_its_middle_is_followed_by_its_kill() {
        let (connection, peer, _task) = running().await;
        let line = Bytes::from([vec![b'x'; 8 << 20], b"\r\n".to_vec()].concat());
        let large = connection
            .place("large", Box::new(move || Some(line.clone())))
            .unwrap();
        while connection.lock().writing.is_none() {
            tokio::task::yield_now().await;
        }
        drop(large);
        let mut next = connection
            .place(
                "next",
                Box::new(|| Some(Bytes::from_static(b"PULL next\r\n"))),
            )
            .unwrap();
        let mut lines = FramedRead::new(peer, tokio_util::codec::LinesCodec::new());
        assert_eq!(lines.next().await.unwrap().unwrap().len(), 8 << 20);
        assert_eq!(lines.next().await.unwrap().unwrap(), "KILL large");
        assert_eq!(lines.next().await.unwrap().unwrap(), "PULL next");
        assert_eq!(next.written().await, Ok(()));
    }

    /// A connection that is closed for want of use takes nothing from that moment on.
    #[tokio::test]
    async fn a_retired_connection_takes_nothing_and_one_in_use_is_not_retired() {
        let connection = Connection::new();
        let call = place(&connection, "a");
        assert!(!connection.retire() && connection.room("b", 9) == Some(1));
        drop(call);
        assert!(connection.retire() && connection.room("b", 9).is_none());
        assert!(connection.place("b", Box::new(|| None)).is_none());
    }
}
