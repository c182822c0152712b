//! One connection to a cache host: requests out, answers in, each call told its own end.
//!
//! Kept: an entry for each call under way, dropped with its end; what waits to be written; the ids given up lately, whose
//! answers may still come.
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use pointspindle_edge::health::Health;
use pointspindle_link::Meter;
use pointspindle_platform_wire::lines::{self, Answer, AnswerCodec, Word};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

/// Ids that were given up here; one among them is not asked for again on this connection, or an answer that crossed its
/// KILL would be taken for the new one.
const KILLED_MOST: usize = 64;
/// Room for the lines of answers; a body makes its own.
const READ_BUFFER: usize = 2 * 1024;
/// A larger write buffer is given back once it is empty.
const WRITE_BUFFER: usize = 8 * 1024;

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
    told: oneshot::Sender<Result<Answer, Lost>>,
}

#[derive(Debug)]
struct Out {
    bytes: Bytes,
    /// The call that this asks.
    call: Option<String>,
}

#[derive(Debug)]
struct Locked {
    open: bool,
    calls: HashMap<String, Waiting>,
    queue: VecDeque<Out>,
    killed: VecDeque<String>,
    heard: Instant,
    used: Instant,
    health: Health,
}

#[derive(Debug)]
pub(crate) struct Connection {
    locked: Mutex<Locked>,
    wake: Notify,
    close: Notify,
}

/// A call whose request is queued. Dropped before its end, it is given up.
#[derive(Debug)]
pub(crate) struct Placed {
    connection: Arc<Connection>,
    id: String,
    written: Option<oneshot::Receiver<()>>,
    told: oneshot::Receiver<Result<Answer, Lost>>,
    ended: bool,
}

impl Connection {
    pub fn new() -> Arc<Self> {
        let now = Instant::now();
        let (calls, queue, killed) = Default::default();
        let health = Health::default();
        let locked = Locked { open: true, calls, queue, killed, heard: now, used: now, health };
        Arc::new(Self { locked: Mutex::new(locked), wake: Notify::new(), close: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Locked> {
        self.locked.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Calls under way, where this one could be among them.
    pub fn room(&self, id: &str, most: usize) -> Option<usize> {
        let locked = self.lock();
        let fit = locked.open && locked.calls.len() < most && !locked.calls.contains_key(id);
        (fit && !locked.killed.iter().any(|k| k == id)).then_some(locked.calls.len())
    }

    /// Queues a request.
    pub fn place(self: &Arc<Self>, id: &str, bytes: Bytes) -> Option<Placed> {
        let mut locked = self.lock();
        if !locked.open || locked.calls.contains_key(id) {
            return None;
        }
        let (written, was_written) = oneshot::channel();
        let (told, is_told) = oneshot::channel();
        locked.calls.insert(id.to_owned(), Waiting { written: Some(written), told });
        locked.queue.push_back(Out { bytes, call: Some(id.to_owned()) });
        if locked.calls.len() == 1 {
            // Nothing was awaited before: silence begins now.
            locked.heard = Instant::now();
        }
        locked.used = Instant::now();
        self.wake.notify_one();
        tracing::debug!(connection = ?Arc::as_ptr(self), calls = locked.calls.len(), "placed");
        let (connection, id) = (self.clone(), id.to_owned());
        Some(Placed { connection, id, written: Some(was_written), told: is_told, ended: false })
    }

    /// Asks for a sign of life.
    pub fn echo(&self) {
        tracing::debug!(connection = ?std::ptr::from_ref(self), "echo");
        let mut out = BytesMut::new();
        lines::echo(&mut out, "sign");
        self.lock().queue.push_back(Out { bytes: out.freeze(), call: None });
        self.wake.notify_one();
    }

    pub fn close(&self) {
        self.close.notify_one();
    }

    /// How long it has been silent, and whether anything is awaited; with its health, to be judged.
    pub fn look<T>(&self, judge: impl FnOnce(&mut Health, Instant, bool) -> T) -> T {
        let mut locked = self.lock();
        let (heard, awaited) = (locked.heard, !locked.calls.is_empty());
        judge(&mut locked.health, heard, awaited)
    }

    /// Since when nothing is under way; none: something is.
    pub fn idle_since(&self) -> Option<Instant> {
        let locked = self.lock();
        locked.calls.is_empty().then_some(locked.used)
    }

    fn answered(&self, answer: Answer) {
        let mut locked = self.lock();
        locked.heard = Instant::now();
        if answer.word == Word::Green {
            tracing::debug!(connection = ?std::ptr::from_ref(self), "green");
            return;
        }
        // An id that nobody waits for: a second copy, one given up, or not ours. The next answer is good all the same.
        if let Some(waiting) = locked.calls.remove(&answer.id) {
            locked.used = locked.heard;
            let _ = waiting.told.send(Ok(answer));
        }
    }

    fn wrote(&self, id: &str) {
        if let Some(written) = self.lock().calls.get_mut(id).and_then(|w| w.written.take()) {
            let _ = written.send(());
        }
    }

    /// The connection is over: all that is under way on it ends.
    fn end(&self) -> usize {
        let mut locked = self.lock();
        locked.open = false;
        locked.queue.clear();
        let calls = std::mem::take(&mut locked.calls);
        let lost = calls.len();
        for (_, waiting) in calls {
            let lost = if waiting.written.is_some() { Lost::NotSent } else { Lost::Broken };
            let _ = waiting.told.send(Err(lost));
        }
        lost
    }

    /// Moves bytes until the connection ends. Why it did; none: it was closed from here.
    pub async fn run(self: Arc<Self>, socket: TcpStream, meter: Meter) -> Option<String> {
        let (read, mut write) = socket.into_split();
        let mut answers = FramedRead::with_capacity(read, AnswerCodec::default(), READ_BUFFER);
        let mut out = BytesMut::new();
        // Where requests end in what is to be written, and how much has been.
        let mut marks: VecDeque<(u64, String)> = VecDeque::new();
        let (mut queued, mut gone) = (0_u64, 0_u64);
        let mut held = Held { meter, bytes: 0 };
        let why = loop {
            if out.is_empty() {
                if out.capacity() > WRITE_BUFFER {
                    out = BytesMut::new();
                }
                for next in self.lock().queue.drain(..) {
                    out.extend_from_slice(&next.bytes);
                    queued += next.bytes.len() as u64;
                    marks.extend(next.call.map(|id| (queued, id)));
                }
            }
            tokio::select! {
                biased;
                _ = self.close.notified() => break None,
                wrote = write.write_buf(&mut out), if !out.is_empty() => match wrote {
                    Ok(bytes) => {
                        gone += bytes as u64;
                        while marks.front().is_some_and(|(end, _)| *end <= gone) {
                            if let Some((_, id)) = marks.pop_front() {
                                self.wrote(&id);
                            }
                        }
                    }
                    Err(e) => break Some(e.to_string()),
                },
                answer = answers.next() => match answer {
                    Some(Ok(mut answer)) => {
                        answer.body = held.keep(answer.body);
                        self.answered(answer);
                    }
                    Some(Err(e)) => break Some(e.to_string()),
                    None => break Some("closed by the member".to_owned()),
                },
                _ = self.wake.notified() => {}
            }
            held.set(answers.decoder().under_way());
        };
        self.end();
        why
    }
}

/// What one connection holds of an answer that is not whole, on the meter of all.
struct Held {
    meter: Meter,
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
        Bytes::from_owner(Kept { body, meter: self.meter.clone() })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.meter.sub(self.bytes);
    }
}

struct Kept {
    body: Bytes,
    meter: Meter,
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
        let Some(written) = self.written.as_mut() else { return Ok(()) };
        let done = written.await;
        self.written = None;
        done.map_err(|_| {
            self.ended = true;
            Lost::NotSent
        })
    }

    pub async fn answer(&mut self) -> Result<Answer, Lost> {
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
        locked.queue.retain(|out| out.call.as_ref() != Some(&self.id));
        if locked.queue.len() < before {
            return;
        }
        let mut out = BytesMut::new();
        lines::kill(&mut out, &self.id);
        locked.queue.push_back(Out { bytes: out.freeze(), call: None });
        if locked.killed.len() >= KILLED_MOST {
            locked.killed.pop_front();
        }
        locked.killed.push_back(std::mem::take(&mut self.id));
        drop(locked);
        self.connection.wake.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn queued(connection: &Connection) -> Vec<String> {
        connection.lock().queue.iter().map(|o| String::from_utf8_lossy(&o.bytes).into_owned()).collect()
    }

    fn place(connection: &Arc<Connection>, id: &str) -> Placed {
        connection.place(id, Bytes::from(format!("PULL {id}"))).expect("it is open")
    }

    /// Takes what waits as written.
    fn write_all(connection: &Connection) {
        let ids: Vec<String> = connection.lock().queue.drain(..).filter_map(|o| o.call).collect();
        ids.iter().for_each(|id| connection.wrote(id));
    }

    fn answer(id: &str) -> Answer {
        let (tag, body) = (String::new(), Bytes::new());
        Answer { id: id.into(), word: Word::Served, note: 1, tag, since_ms: 0, fill_ms: 0, body }
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
        assert_eq!(answered.answer().await.map(|a| a.id), Ok("b".to_owned()), "told before the end");
        assert_eq!(waiting.written().await, Err(Lost::NotSent));
        assert!(connection.place("d", Bytes::new()).is_none());
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
        assert!(locked.calls.is_empty() && locked.killed.len() <= KILLED_MOST);
    }
}
