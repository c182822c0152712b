//! One client's FastCGI connection: a reader, a writer, and a task for each request.
//!
//! A request is open on its connection until the last word on it is written, so what a client that does not read may
//! have us hold is bounded by the requests that it may have open. Who says nothing whole in time loses its place; who
//! sends what cannot be used is told so, a few times.
//!
//! What ends a connection, and what is owed then. The client's leaving: nothing, all on it is given up. Bytes that are no
//! record, records that make no sense, too much that cannot be used, a request without KEEP_CONN, a request that is not whole
//! in time beside others, the dispatcher's stop: the answers to all that was taken whole before; nothing that follows is
//! taken, the client's leaving is still seen, and the connection closes after the last answer. Made room for, idle, stop: what
//! has come in the same moment is read first, and answered.
use super::reply::{bare_end, last_word, write_out, FrontClient, Outgoing, ReplySender, REFUSED};
use super::{Front, CROSSING};
use crate::shutdown::Phase;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use pointspindle_dispatcher::core::ClientRequest;
use pointspindle_dispatcher::net::connection_registry::ConnectionPermit;
use pointspindle_dispatcher::net::exchange::{self, IncomingRequest, RequestOutcome};
use pointspindle_platform_protocol::client_request::{
    self, ClientMessage, ClientRequest as ParsedRequest,
};
use pointspindle_platform_protocol::fastcgi::{ProtocolStatus, Record, RecordCodec, RecordError};
use pointspindle_platform_protocol::request_assembly::{RecordOutcome, RequestAssembler};
use pointspindle_protocol::RequestHead;
use pointspindle_transport::{SteadyRead, SteadyWrite};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, FramedRead};
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

/// Requests that could not be used, of one connection: then it is closed.
const UNUSABLE_MOST: usize = 8;
/// Answers that wait for a client which does not read; more and it is given up.
const UNWRITTEN_MOST: usize = 256;
/// The last answers are taken by the client in this time once its connection is over, and what it still sends is read.
const LAST_ANSWERS: Duration = Duration::from_secs(1);
/// Shortly before the process ends, what comes on a connection with nothing open is looked for only so long: also on a new one,
/// on which a request is sent again that crossed a close.
const LAST_LOOK: Duration = Duration::from_millis(20);
/// Records that are still taken when a connection was to be closed already: whoever goes on sending does not keep it open.
const LATE_MOST: usize = 256;
const READ_BUFFER: usize = 1024;
/// Bytes read at once of what is not looked at.
const SKIP_BUFFER: usize = 16 * 1024;

type Records = FramedRead<SteadyRead, RecordCodec>;

/// One connection's requests, for its reader, its writer and the requests' own tasks.
#[derive(Default)]
pub(super) struct Shared {
    requests: Mutex<RequestAssembler>,
    /// Something was answered.
    answered: Notify,
}

impl Shared {
    fn requests(&self) -> MutexGuard<'_, RequestAssembler> {
        self.requests
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The last word on a request is written.
    pub fn over(&self, id: u16) {
        self.requests().finish(id);
        self.answered.notify_one();
    }
}

/// Serves a connection to its end.
pub(super) async fn run(front: Front, socket: TcpStream, seat: &ConnectionPermit) {
    let (read, write) = socket.into_split();
    let (read, write) = (SteadyRead::new(read), SteadyWrite::new(write));
    let shared = Arc::new(Shared::default());
    let (replies, outgoing) = ReplySender::new();
    let mut writer = tokio::spawn(write_out(
        write,
        outgoing,
        shared.clone(),
        replies.counter(),
    ));
    let mut session = Session {
        front,
        shared,
        replies,
        connection: CancellationToken::new(),
        running: HashMap::new(),
        unusable: 0,
        whole: 0,
        input: Input::Taken,
        finishing: false,
        leave_by: None,
        late: 0,
    };
    let mut records = FramedRead::with_capacity(read, RecordCodec, READ_BUFFER);
    let end = session.read(&mut records, seat).await;
    session.connection.cancel();
    // The writer ends when the last request's task has dropped its way to it.
    drop(session);
    if tokio::time::timeout(LAST_ANSWERS, &mut writer)
        .await
        .is_err()
    {
        writer.abort();
    }
    if end == End::Closed {
        // The writer has said the end. A close with bytes unread would take the last answers back.
        let _ = tokio::time::timeout(LAST_ANSWERS, skip_until_quiet(&mut records)).await;
    }
}

/// Returns when the client has closed, or has sent nothing for a while.
async fn skip_until_quiet(records: &mut Records) {
    while let Ok(Ok(1..)) = tokio::time::timeout(CROSSING, skip(records)).await {}
}

/// Reads some bytes and drops them; none: the client has left. Safe to drop while waiting.
async fn skip(records: &mut Records) -> std::io::Result<usize> {
    records.read_buffer_mut().clear();
    let mut skipped = BytesMut::with_capacity(SKIP_BUFFER);
    records.get_mut().read_buf(&mut skipped).await
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The client has left, or is given up.
    Gone,
    /// It is closed from here, and nothing is owed.
    Closed,
}

/// What becomes of the bytes that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// Requests are taken.
    Taken,
    /// Records are read and nothing of them is taken: too much could not be used.
    Ignored,
    /// They are not read as records any more.
    Skipped,
}

/// What a connection's reader saw.
enum Seen {
    Record(Record),
    /// Bytes that cannot be read.
    Unreadable(RecordError),
    Skipped,
    Gone,
}

struct Session {
    front: Front,
    shared: Arc<Shared>,
    replies: ReplySender,
    /// Cancelled when the connection is over.
    connection: CancellationToken,
    running: HashMap<u16, CancellationToken>,
    unusable: usize,
    /// Requests that came whole.
    whole: usize,
    input: Input,
    /// It is closed once nothing is open.
    finishing: bool,
    /// With nothing open it was to be closed for the first time: it is by then, whoever goes on sending.
    leave_by: Option<Instant>,
    /// Looks at what had come by then.
    late: usize,
}

impl Session {
    /// Reads until the connection is over.
    async fn read(&mut self, records: &mut Records, seat: &ConnectionPermit) -> End {
        let head = Duration::from_micros(self.front.shape.edge.listen.head_timeout_us);
        let mut phase = self.front.phase.clone();
        let unfinished = tokio::time::sleep(head);
        tokio::pin!(unfinished);
        // Whether something whole is waited for, with a limit.
        let mut limited = true;
        let leave = tokio::time::sleep(CROSSING);
        tokio::pin!(leave);
        loop {
            if self.front.phase() == Phase::Ending {
                self.refuse_unfinished();
            }
            let (open, halves) = {
                let requests = self.shared.requests();
                (requests.open(), requests.incomplete())
            };
            let waits = halves > 0 || self.whole == 0;
            if waits && !limited {
                unfinished.as_mut().reset(Instant::now() + head);
            }
            limited = waits;
            if self.replies.unwritten() > UNWRITTEN_MOST {
                tracing::debug!("a client that does not read its answers");
                return End::Gone;
            }
            let nothing_owed = open == halves;
            let leaving = nothing_owed && (self.finishing || self.front.phase() > Phase::Serving);
            // The rest of a request that has begun may still come.
            let closing = leaving && (halves == 0 || self.input != Input::Taken);
            let mut last_look = false;
            if leaving {
                let by = self.leave_by();
                last_look = closing && Instant::now() >= by;
                leave.as_mut().reset(by);
            }
            if last_look {
                self.late += 1;
                if self.late > LATE_MOST {
                    return End::Closed;
                }
                // The runtime looks at its sockets first: what had come by now, also while the process did not run, is seen.
                tokio::task::yield_now().await;
            }
            let seen = tokio::select! {
                // First: a request that has come is answered, though its connection is to make room.
                biased;
                seen = next(records, self.input) => seen,
                () = std::future::ready(()), if last_look => match self.close(records) {
                    Some(end) => return end,
                    None => continue,
                },
                _ = self.shared.answered.notified() => {
                    if self.shared.requests().open() == 0 {
                        seat.idle();
                    }
                    continue;
                }
                _ = &mut leave, if closing => continue,
                _ = seat.close_requested(), if open == 0 && !leaving => {
                    // What came in this very moment is answered first.
                    (self.finishing, self.whole) = (true, self.whole.max(1));
                    continue;
                }
                _ = &mut unfinished, if limited => {
                    if nothing_owed {
                        return End::Closed;
                    }
                    // Others are open here.
                    let halves = self.shared.requests().drop_incomplete();
                    for id in halves {
                        self.unusable(id, &"it is not whole in time");
                    }
                    continue;
                }
                _ = phase.changed() => continue,
            };
            match seen {
                Seen::Gone => return End::Gone,
                Seen::Skipped => continue,
                Seen::Unreadable(error) => self.skip_the_rest(&error),
                Seen::Record(record) => {
                    seat.busy();
                    let waited = self.front.stalls.waited(Instant::now());
                    let told = self.shared.requests().handle(record);
                    match told {
                        Ok(told) => self.take(told, waited),
                        Err(broken) => self.skip_the_rest(&broken),
                    }
                }
            }
            if self.shared.requests().open() == 0 {
                seat.idle();
            }
        }
    }

    /// Closes a connection on which nothing is owed, if nothing has come on it: looked for in the very moment before, since the
    /// process may not have run for a while. None: something has.
    fn close(&self, records: &mut Records) -> Option<End> {
        let mut bytes = [0; READ_BUFFER];
        match records.get_ref().read_now(&mut bytes) {
            Ok(None) => {}
            Ok(Some(0)) | Err(_) => return Some(End::Gone),
            Ok(Some(read)) if self.input == Input::Taken => {
                records.read_buffer_mut().extend_from_slice(&bytes[..read]);
                return None;
            }
            Ok(Some(_)) => {}
        }
        if self.replies.unwritten() == 0 {
            let _ = records.get_ref().shut_down_writing();
        }
        Some(End::Closed)
    }

    /// When a connection with nothing open is closed: what was on its way when that was decided is answered first.
    fn leave_by(&mut self) -> Instant {
        let look = match self.front.phase() {
            _ if self.input == Input::Skipped => Duration::ZERO,
            Phase::Ending => LAST_LOOK,
            Phase::Serving | Phase::Refusing => CROSSING,
        };
        let by = Instant::now() + look;
        *self
            .leave_by
            .insert(self.leave_by.map_or(by, |before| before.min(by)))
    }

    /// What comes from here on cannot be read: what was taken whole before is answered, and nothing else.
    fn skip_the_rest(&mut self, why: &dyn std::fmt::Display) {
        tracing::debug!(%why, "a client's connection cannot be read any more");
        let _ = self.shared.requests().drop_incomplete();
        (self.finishing, self.input, self.whole) = (true, Input::Skipped, self.whole.max(1));
    }

    fn refuse_unfinished(&mut self) {
        let halves = self.shared.requests().drop_incomplete();
        for id in halves {
            self.send(last_word(id, REFUSED, "", Bytes::new()));
        }
    }

    fn send(&self, outgoing: Outgoing) {
        self.replies.send(outgoing);
    }

    /// `waited`: the longest that it may have stood unread.
    fn take(&mut self, told: RecordOutcome, waited: Duration) {
        match told {
            RecordOutcome::Complete { id, .. } if self.input != Input::Taken => {
                self.shared.requests().finish(id)
            }
            RecordOutcome::Invalid { .. }
            | RecordOutcome::TooManyOpen { .. }
            | RecordOutcome::UnknownRole { .. }
            | RecordOutcome::Reply(_)
                if self.input != Input::Taken => {}
            RecordOutcome::Pending => {}
            RecordOutcome::Reply(bytes) => self.send(Outgoing {
                pieces: vec![bytes],
                over: None,
            }),
            RecordOutcome::Invalid { id, reason } => self.unusable(id, &reason),
            RecordOutcome::TooManyOpen { id } => self.send(Outgoing {
                over: None,
                ..bare_end(id, ProtocolStatus::Overloaded)
            }),
            RecordOutcome::UnknownRole { id } => {
                self.send(Outgoing {
                    over: None,
                    ..bare_end(id, ProtocolStatus::UnknownRole)
                });
                self.had_enough();
            }
            RecordOutcome::Aborted {
                id,
                was_complete: true,
            } => {
                if let Some(running) = self.running.get(&id) {
                    running.cancel();
                }
            }
            RecordOutcome::Aborted {
                id,
                was_complete: false,
            } => self.send(bare_end(id, ProtocolStatus::Complete)),
            RecordOutcome::Complete {
                id,
                params,
                body,
                keep_alive,
            } => {
                self.whole += 1;
                self.finishing |= !keep_alive;
                self.begin(id, &params, body, waited);
            }
        }
    }

    fn unusable(&mut self, id: u16, why: &dyn std::fmt::Display) {
        tracing::debug!(%why, "a request cannot be used");
        self.whole += 1;
        self.send(last_word(id, "400 Bad Request", "", Bytes::new()));
        self.had_enough();
    }

    /// One more that could not be used: after some of them it is closed, once the good ones are answered.
    fn had_enough(&mut self) {
        self.unusable += 1;
        if self.unusable >= UNUSABLE_MOST {
            (self.finishing, self.input) = (true, Input::Ignored);
        }
    }

    fn begin(&mut self, id: u16, params: &Bytes, body: Bytes, waited: Duration) {
        let stopping = self.front.phase() > Phase::Serving;
        let asked = match client_request::parse(params, &body, &self.front.shape.classes) {
            Ok(ClientMessage::Request(asked)) => {
                let left = Duration::from_millis(asked.timeout_ms).saturating_sub(waited);
                ParsedRequest {
                    timeout_ms: left.as_millis() as u64,
                    ..asked
                }
            }
            Ok(ClientMessage::HealthCheck) => {
                // Without a list nobody could be asked.
                let ready = self.front.desk.endpoint_list_seq() > 0 && !stopping;
                let status = if ready {
                    "200 OK"
                } else {
                    "503 Service Unavailable"
                };
                return self.send(last_word(id, status, "", Bytes::new()));
            }
            Err(why) => return self.unusable(id, &why),
        };
        if stopping {
            // It came after those that were said to come: another dispatcher has time for it.
            return self.send(last_word(id, REFUSED, "", Bytes::new()));
        }
        if !self.front.ids().insert(asked.transaction_id.clone()) {
            return self.unusable(id, &"the id of an open request");
        }
        let gone = self.connection.child_token();
        self.running.retain(|_, token| !token.is_cancelled());
        self.running.insert(id, gone.clone());
        let client = FrontClient {
            id,
            out: self.replies.clone(),
            gone,
            head: None,
            body: Vec::new(),
        };
        let span = tracing::debug_span!("request", txn = %asked.transaction_id, class = asked.class, left = asked.timeout_ms);
        tokio::spawn(answer(self.front.clone(), asked, body, client).instrument(span));
    }
}

/// The next thing that a client's connection shows. Safe to drop while waiting.
async fn next(records: &mut Records, input: Input) -> Seen {
    if input == Input::Skipped {
        return match skip(records).await {
            Ok(1..) => Seen::Skipped,
            Ok(0) | Err(_) => Seen::Gone,
        };
    }
    // What stands in the buffer already: [`Session::close`] may have put it there.
    match RecordCodec.decode(records.read_buffer_mut()) {
        Ok(None) => {}
        Ok(Some(record)) => return Seen::Record(record),
        Err(error) => return Seen::Unreadable(error),
    }
    match records.next().await {
        Some(Ok(record)) => Seen::Record(record),
        Some(Err(RecordError::Io(error))) => {
            tracing::debug!(%error, "a client's connection");
            Seen::Gone
        }
        Some(Err(error)) => Seen::Unreadable(error),
        None => Seen::Gone,
    }
}

async fn answer(front: Front, asked: ParsedRequest, body: Bytes, mut client: FrontClient) {
    let txn = asked.transaction_id.clone();
    let _place = Place {
        front: &front,
        txn: &txn,
    };
    let ask = ClientRequest {
        class: asked.class,
        object: asked.object.clone(),
        part: asked.part,
        group: asked.group,
        time_left: asked.timeout_ms * 1_000,
        size: None,
    };
    let template = RequestHead {
        object: asked.object,
        part: asked.part,
        group: asked.group,
        class: front.shape.classes[asked.class].name.clone(),
        trace: asked.transaction_id,
        idempotency_key: asked.idempotency_key,
        if_none_match: asked.client_validator,
        ..Default::default()
    };
    let fate = exchange::run(
        &front.desk,
        IncomingRequest {
            request: ask,
            head_template: template,
            body,
        },
        &mut client,
    )
    .await;
    if fate == RequestOutcome::ClientDisconnected {
        // Aborted: nothing is owed, but the number is free again only with its end.
        client
            .out
            .send(bare_end(client.id, ProtocolStatus::Complete));
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
