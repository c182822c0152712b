//! Clients: FastCGI connections, each with a reader and a writer, and a task for each request.
//!
//! A request is open on its connection until the last word on it is written, so what a client that does not read may
//! have us hold is bounded by the requests that it may have open. Who says nothing whole in time loses its place; who
//! sends what cannot be used is told so, a few times.
//!
//! What ends a connection, and what is owed then. The client's end, or records that make no sense: nothing, all on it is
//! given up. Too much that cannot be used, a request without KEEP_CONN, a request that is not whole in time beside others,
//! the dispatcher's stop: the answers to all that is open; it closes after the last. Made room for, idle, stop: what has
//! come in the same moment is read first, and answered.
use crate::client::{bare_end, last_word, FrontClient, Outgoing, Words, REFUSED};
use crate::settings::Shape;
use crate::upstream::PlatformDesk;
use bytes::Bytes;
use futures_util::StreamExt;
use pointspindle_edge::core::Ask;
use pointspindle_edge::net::exchange::{self, Asked, Fate};
use pointspindle_edge::net::keeper::{Keeper, Seat};
use pointspindle_platform_wire::asked::{self, Question};
use pointspindle_platform_wire::fastcgi::{ProtocolStatus, RecordCodec};
use pointspindle_platform_wire::requests::{Requests, Told};
use pointspindle_wire::RequestHead;
use std::collections::{HashMap, HashSet};
use std::io::IoSlice;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

/// Requests that could not be used, of one connection: then it is closed.
const UNUSABLE_MOST: usize = 8;
/// Words that wait for a client which does not read; more and it is given up.
const UNREAD_MOST: usize = 256;
/// What was on its way when a connection was to be closed has come by then: the platform's own figure.
const LAST_LOOK: Duration = Duration::from_millis(50);
/// A client that takes nothing of its answers for so long is given up.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// ... and for so long once its connection is over.
const LAST_WORDS: Duration = Duration::from_secs(1);
const READ_BUFFER: usize = 1024;

/// What the front's connections share.
#[derive(Clone)]
pub struct Front {
    pub desk: Arc<PlatformDesk>,
    pub shape: Arc<Shape>,
    pub keeper: Arc<Keeper>,
    /// True: connections with nothing open are closed.
    pub stopping: watch::Receiver<bool>,
    /// Ids of requests under way, from all connections.
    ids: Arc<Mutex<HashSet<String>>>,
}

impl Front {
    pub fn new(
        desk: Arc<PlatformDesk>,
        shape: Arc<Shape>,
        keeper: Arc<Keeper>,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        Self { desk, shape, keeper, stopping, ids: Arc::default() }
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<String>> {
        self.ids.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Accepts until told to stop, and returns when the last connection is over.
pub async fn accept(listener: TcpListener, front: Front, mut closing: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            // Without a place it is closed without a word: descriptors are what runs out.
            Ok((socket, peer)) => {
                if let Ok(seat) = front.keeper.arrive(peer.ip()) {
                    connections.spawn(serve(front.clone(), socket, seat));
                }
            }
            Err(e) => front.keeper.accept_failed(e).await,
        }
    }
    // Connections that were made before the door closed wait in its queue, with what was asked on them.
    loop {
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            accepted = listener.accept() => {
                let Ok((socket, peer)) = accepted else { break };
                if let Ok(seat) = front.keeper.arrive(peer.ip()) {
                    connections.spawn(serve(front.clone(), socket, seat));
                }
            }
            _ = std::future::ready(()) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// One connection's requests, for its reader, its writer and the requests' own tasks.
#[derive(Default)]
struct Shared {
    requests: Mutex<Requests>,
    /// Something was answered.
    over: Notify,
}

impl Shared {
    fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

async fn serve(front: Front, socket: TcpStream, seat: Seat) {
    let _ = socket.set_nodelay(true);
    let (read, write) = socket.into_split();
    let shared = Arc::new(Shared::default());
    let (out, outgoing) = mpsc::unbounded_channel();
    let out = Words { out, unread: Arc::default() };
    let writer = tokio::spawn(write_out(write, outgoing, shared.clone(), out.unread.clone()));
    let connection = CancellationToken::new();
    let mut line = Line {
        front,
        shared,
        out,
        connection,
        running: HashMap::new(),
        unusable: 0,
        whole: 0,
        finishing: false,
        deaf: false,
    };
    let mut records = FramedRead::with_capacity(read, RecordCodec, READ_BUFFER);
    let leaves = line.read(&mut records, &seat).await;
    line.connection.cancel();
    // The writer ends when the last request's task has dropped its way to it.
    drop(line);
    let abort = writer.abort_handle();
    if tokio::time::timeout(LAST_WORDS, writer).await.is_err() {
        abort.abort();
    }
    if leaves {
        // The writer has said the end. A close with bytes unread would take the last words back.
        let rest = async { while let Some(Ok(_)) = records.next().await {} };
        let _ = tokio::time::timeout(LAST_LOOK, rest).await;
    }
    drop(seat);
}

struct Line {
    front: Front,
    shared: Arc<Shared>,
    out: Words,
    /// Cancelled when the connection is over.
    connection: CancellationToken,
    running: HashMap<u16, CancellationToken>,
    unusable: usize,
    /// Requests that came whole.
    whole: usize,
    /// It is closed once nothing is open.
    finishing: bool,
    /// What still comes is not for us: too much of it could not be used.
    deaf: bool,
}

impl Line {
    /// Reads until the connection is over. True: we leave; false: the client has, or what it says makes no sense.
    async fn read(&mut self, records: &mut FramedRead<OwnedReadHalf, RecordCodec>, seat: &Seat) -> bool {
        let head = Duration::from_micros(self.front.shape.edge.listen.head_us);
        let mut stopping = self.front.stopping.clone();
        let waited = tokio::time::sleep(head);
        tokio::pin!(waited);
        // Whether something whole is waited for, with a limit.
        let mut limited = true;
        let last_look = tokio::time::sleep(LAST_LOOK);
        tokio::pin!(last_look);
        let mut leaving = false;
        loop {
            let (open, halves) = {
                let requests = self.shared.requests();
                (requests.open(), requests.halves())
            };
            let waits = halves > 0 || self.whole == 0;
            if waits && !limited {
                waited.as_mut().reset(Instant::now() + head);
            }
            limited = waits;
            if self.out.unread.load(Ordering::Relaxed) > UNREAD_MOST {
                tracing::debug!("a client that does not read its answers");
                return false;
            }
            let leaves = open == halves && (self.finishing || *stopping.borrow());
            if leaves && !leaving {
                last_look.as_mut().reset(Instant::now() + LAST_LOOK);
            }
            leaving = leaves;
            // Whoever goes on sending does not keep it open.
            let looked = leaving && Instant::now() >= last_look.deadline();
            if looked && (halves == 0 || self.deaf) {
                return true;
            }
            let record = tokio::select! {
                // First: a request that has come is answered, though its connection is to make room.
                biased;
                record = records.next() => match record {
                    Some(Ok(record)) => record,
                    Some(Err(e)) => {
                        tracing::debug!(error = %e, "a client's records");
                        return false;
                    }
                    None => return false,
                },
                _ = self.shared.over.notified() => {
                    let requests = self.shared.requests();
                    if requests.open() == 0 {
                        seat.idle();
                    }
                    continue;
                }
                _ = &mut last_look, if leaving && halves == 0 => return true,
                _ = seat.told_to_close(), if open == 0 && !leaving => {
                    // What came in this very moment is answered first.
                    (self.finishing, self.whole) = (true, self.whole.max(1));
                    continue;
                }
                _ = &mut waited, if limited => {
                    if open == halves {
                        return false;
                    }
                    // Others are open here.
                    let halves = self.shared.requests().cut_halves();
                    for id in halves {
                        self.unusable(id, "it is not whole in time");
                    }
                    continue;
                }
                _ = stopping.changed() => continue,
            };
            seat.busy();
            let told = self.shared.requests().take(record);
            match told.map(|told| self.take(told)) {
                Ok(()) => {}
                Err(broken) => {
                    tracing::debug!(%broken, "a client's connection");
                    return false;
                }
            }
            if self.shared.requests().open() == 0 {
                seat.idle();
            }
        }
    }

    fn say(&self, outgoing: Outgoing) {
        self.out.say(outgoing);
    }

    fn take(&mut self, told: Told) {
        match told {
            Told::Whole { id, .. } if self.deaf => self.shared.requests().over(id),
            Told::Unusable { .. } | Told::TooMany { .. } | Told::UnknownRole { .. } | Told::Reply(_)
                if self.deaf => {}
            Told::Nothing => {}
            Told::Reply(bytes) => self.say(Outgoing { pieces: vec![bytes], over: None }),
            Told::Unusable { id, why } => self.unusable(id, why),
            Told::TooMany { id } => {
                self.say(Outgoing { over: None, ..bare_end(id, ProtocolStatus::Overloaded) })
            }
            Told::UnknownRole { id } => {
                self.say(Outgoing { over: None, ..bare_end(id, ProtocolStatus::UnknownRole) });
                self.had_enough();
            }
            Told::Abort { id, whole: true } => {
                if let Some(running) = self.running.get(&id) {
                    running.cancel();
                }
            }
            Told::Abort { id, whole: false } => self.say(bare_end(id, ProtocolStatus::Complete)),
            Told::Whole { id, params, body, keep } => {
                self.whole += 1;
                self.finishing |= !keep;
                self.begin(id, &params, body);
            }
        }
    }

    fn unusable(&mut self, id: u16, why: &str) {
        tracing::debug!(why, "a request cannot be used");
        self.whole += 1;
        self.say(last_word(id, "400 Bad Request", "", Bytes::new()));
        self.had_enough();
    }

    /// One more that could not be used: after some of them it is closed, once the good ones are answered.
    fn had_enough(&mut self) {
        self.unusable += 1;
        if self.unusable >= UNUSABLE_MOST {
            (self.finishing, self.deaf) = (true, true);
        }
    }

    fn begin(&mut self, id: u16, params: &Bytes, body: Bytes) {
        let stopping = *self.front.stopping.borrow();
        let asked = match asked::read(params, &body, &self.front.shape.classes) {
            Ok(Question::Asked(asked)) => asked,
            Ok(Question::Alive) => {
                // Without a list nobody could be asked.
                let ready = self.front.desk.list_seq() > 0 && !stopping;
                let status = if ready { "200 OK" } else { "503 Service Unavailable" };
                return self.say(last_word(id, status, "", Bytes::new()));
            }
            Err(why) => return self.unusable(id, why),
        };
        if stopping {
            // It came after those that were said to come: another dispatcher has time for it.
            return self.say(last_word(id, REFUSED, "", Bytes::new()));
        }
        if !self.front.ids().insert(asked.txn.clone()) {
            return self.unusable(id, "the id of an open request");
        }
        let gone = self.connection.child_token();
        self.running.retain(|_, token| !token.is_cancelled());
        self.running.insert(id, gone.clone());
        let client = FrontClient { id, out: self.out.clone(), gone, head: None, body: Vec::new() };
        let span =
            tracing::debug_span!("request", txn = %asked.txn, class = asked.class, left = asked.ttl_ms);
        tokio::spawn(answer(self.front.clone(), asked, body, client).instrument(span));
    }
}

async fn answer(front: Front, asked: asked::Asked, body: Bytes, mut client: FrontClient) {
    let txn = asked.txn.clone();
    let _place = Place { front: &front, txn: &txn };
    let ask = Ask {
        class: asked.class,
        object: asked.row.clone(),
        part: asked.part,
        group: asked.group,
        left: asked.ttl_ms * 1_000,
        size: None,
    };
    let template = RequestHead {
        object: asked.row,
        part: asked.part,
        group: asked.group,
        class: front.shape.classes[asked.class].name.clone(),
        trace: asked.txn,
        key: asked.key,
        if_none_match: asked.got,
        ..Default::default()
    };
    let fate = exchange::run(&front.desk, Asked { ask, template, body }, &mut client).await;
    if fate == Fate::ClientGone {
        // Aborted: nothing is owed, but the number is free again only with its end.
        client.out.say(bare_end(client.id, ProtocolStatus::Complete));
    }
    // So that the connection's table forgets it.
    client.gone.cancel();
}

/// An id under way; given back with its request's end.
struct Place<'a> {
    front: &'a Front,
    txn: &'a str,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.front.ids().remove(self.txn);
    }
}

/// Writes answers in the order in which they are ready.
async fn write_out(
    mut write: OwnedWriteHalf,
    mut outgoing: mpsc::UnboundedReceiver<Outgoing>,
    shared: Arc<Shared>,
    unread: Arc<AtomicUsize>,
) {
    while let Some(next) = outgoing.recv().await {
        let written = tokio::time::timeout(WRITE_PATIENCE, write_all(&mut write, next.pieces)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        unread.fetch_sub(1, Ordering::Relaxed);
        // No wait in between: a client that has the end may use the number again.
        if let Some(id) = next.over {
            shared.requests().over(id);
            shared.over.notify_one();
        }
    }
}

async fn write_all(write: &mut OwnedWriteHalf, pieces: Vec<Bytes>) -> std::io::Result<()> {
    let mut slices: Vec<IoSlice<'_>> = pieces.iter().map(|p| IoSlice::new(p)).collect();
    let mut left = &mut slices[..];
    while !left.is_empty() {
        let written = write.write_vectored(left).await?;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        IoSlice::advance_slices(&mut left, written);
    }
    Ok(())
}
