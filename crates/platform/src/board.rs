//! The notice board: what the configuration holds first, then its stream of events, for as long as the dispatcher runs.
//!
//! Events are taken in the order of their numbers and once; one after a gap is not taken, the board is asked again from
//! the last number. A stream that ends, breaks or is silent is asked for again at once: what it would have told counts as
//! told soon, whether it was heard or not.
use crate::connection_pool::{Listed, PlatformDesk};
use crate::settings::Shape;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_dispatcher::core::Input;
use pointspindle_platform_protocol::discovery::{
    DiscoveredEndpoint, DiscoveredState, DiscoveryEvent, KnownState, ServerSentEvent,
    ServerSentEventCodec,
};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, PurgeHead, WireEndpointState,
};
use pointspindle_transport::{SteadyRead, SteadyWrite};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// A comment comes each second: silent for longer, a stream is of no more use.
const SILENT: Duration = Duration::from_millis(1_600);
/// A board that has not begun its answer by then is asked once more beside: from the last sign of a stream that falls silent, two
/// questions that are never answered are left behind before four seconds are over.
const PATIENCE: Duration = Duration::from_millis(700);
/// Questions that wait for an answer at once, and for how long: a slow or crowded board is heard within that.
const QUESTIONS_MOST: usize = 4;
const QUESTION_LONGEST: Duration = Duration::from_secs(8);
/// Asked again after this at first, then twice as long each time, and up to twice as long by the dice.
const AGAIN: Duration = Duration::from_millis(10);
const AGAIN_MOST: Duration = Duration::from_millis(400);
/// A gap that the board itself tells again, asked from the same number: there is nothing to be had in between.
const GAPS_MOST: u32 = 2;

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// What has been taken of the board, by whoever reads it.
pub struct Taken {
    desk: Arc<PlatformDesk>,
    shape: Arc<Shape>,
    clock: WallClock,
    last: u64,
    lists: u64,
    gaps: u32,
    /// When all that the board had told by then was read: what is told later is not older. None: nothing was.
    up_to_date: Option<Instant>,
}

/// For whoever reads a board; never held over a wait.
pub fn lock(taken: &Mutex<Taken>) -> MutexGuard<'_, Taken> {
    taken
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// An event was missed: ask again.
#[derive(Debug, PartialEq, Eq)]
pub struct Gap;

impl Taken {
    pub fn new(desk: Arc<PlatformDesk>, shape: Arc<Shape>, clock: WallClock) -> Self {
        Self {
            desk,
            shape,
            clock,
            last: 0,
            lists: 0,
            gaps: 0,
            up_to_date: None,
        }
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// What the configuration holds. At a start all of it; later what follows on what was heard: where something is missing
    /// in between the board is the one to ask.
    pub fn known(&mut self, known: KnownState) {
        let first = self.last == 0;
        for notice in known.events {
            if notice.revision == self.last + 1 || (first && notice.revision > self.last) {
                self.apply(notice);
            }
        }
        if first {
            self.last = self.last.max(known.revision);
            self.read_all(Instant::now());
        }
    }

    pub fn take(&mut self, notice: DiscoveryEvent) -> Result<(), Gap> {
        if notice.revision <= self.last {
            return Ok(());
        }
        if notice.revision > self.last + 1 {
            self.gaps += 1;
            if self.gaps <= GAPS_MOST {
                return Err(Gap);
            }
            // Purges may be among what cannot be had.
            tracing::warn!(
                last = self.last,
                next = notice.revision,
                "the notice board has a gap"
            );
            self.desk.apply(Input::UpdatesMissed);
        }
        self.gaps = 0;
        self.apply(notice);
        Ok(())
    }

    /// All that was told before `at` is taken.
    fn read_all(&mut self, at: Instant) {
        self.up_to_date = self.up_to_date.max(Some(at));
    }

    /// How long ago a purge was: by its stamp, and not longer than since it can have been told at the earliest. Shorter than it
    /// is, it only forbids copies that would do.
    fn purged_ago(&self, unix_ms: f64) -> Duration {
        // Purged within that millisecond: copies of all of it are too old.
        let stamped = self.clock.age_of_ms(unix_ms + 1.0);
        self.up_to_date
            .map_or(stamped, |at| stamped.min(at.elapsed()))
    }

    fn apply(&mut self, notice: DiscoveryEvent) {
        self.last = notice.revision;
        if let Some(pool) = notice.endpoint_update {
            self.pool(pool.is_full, pool.endpoints);
        }
        if let Some(flush) = notice.purge {
            let age_us = micros(self.purged_ago(flush.purged_at_unix_ms));
            let group = flush.group.unwrap_or_default();
            self.desk.apply_purge(PurgeHead {
                object: flush.object,
                group,
                age_us,
                seq: notice.revision,
            });
        }
    }

    fn pool(&mut self, whole: bool, hosts: Vec<DiscoveredEndpoint>) {
        if whole {
            let ids: Vec<String> = hosts.iter().map(|h| h.id.clone()).collect();
            self.desk.transport.only(&ids);
        }
        let mut endpoints = Vec::new();
        for host in hosts {
            let state = match &host.state {
                DiscoveredState::Ready => WireEndpointState::Ready,
                DiscoveredState::Draining => WireEndpointState::Draining,
                DiscoveredState::Gone => WireEndpointState::Gone,
                DiscoveredState::Unknown(state) => {
                    tracing::warn!(host = host.id, state, "a state that is not known");
                    continue;
                }
            };
            let role = self.shape.role(&host.kind);
            match host.address.parse::<SocketAddr>() {
                Ok(dial) => {
                    let gone = state == WireEndpointState::Gone;
                    self.desk.transport.listed(Listed {
                        id: host.id.clone(),
                        dial,
                        role,
                        gone,
                    });
                }
                // One that is gone may have none; any other cannot be sent to.
                Err(_) if state == WireEndpointState::Gone => {}
                Err(e) => {
                    tracing::warn!(host = host.id, error = %e, "a host without an address");
                    continue;
                }
            }
            endpoints.push(EndpointRecord {
                address: host.id,
                state: state as i32,
                weight: host.weight,
                zone: host.zone,
                kind: role.name().to_owned(),
                cell: host.cell,
                incarnation: host.started_at_unix_ms as u64,
                started_ago_us: (host.started_at_unix_ms > 0.0)
                    .then(|| micros(self.clock.age_of_ms(host.started_at_unix_ms))),
            });
        }
        // Numbered here: events come in order and once, so nothing is missing between two lists.
        self.lists += 1;
        let form = if whole {
            EndpointListForm::Full
        } else {
            EndpointListForm::Delta
        };
        let ids: Vec<String> = endpoints.iter().map(|m| m.address.clone()).collect();
        self.desk.apply_endpoint_list(EndpointListHead {
            form: form as i32,
            seq: self.lists,
            endpoints,
        });
        self.desk.transport.told(ids.iter().map(String::as_str));
    }
}

/// Follows whichever board is named last. The one before it is read on until the new one has spoken.
pub async fn follow(taken: Arc<Mutex<Taken>>, mut named: watch::Receiver<String>) {
    let mut before: Option<AbortOnDrop> = None;
    loop {
        let address = named.borrow_and_update().clone();
        let (spoken, mut speaks) = watch::channel(false);
        let current = AbortOnDrop(tokio::spawn(read_on(taken.clone(), address, spoken)));
        let speaks = async { speaks.wait_for(|spoken| *spoken).await.is_ok() };
        let changed = tokio::select! {
            true = speaks => {
                drop(before.take());
                named.changed().await
            }
            changed = named.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        before = before.or(Some(current));
    }
}

/// Asks one board again and again, from the last number that was taken.
async fn read_on(taken: Arc<Mutex<Taken>>, address: String, spoken: watch::Sender<bool>) {
    let mut pause = AGAIN;
    loop {
        let began = Instant::now();
        let read = match first_answer(&taken, &address).await {
            Ok(stream) => read_stream(&taken, stream, &spoken).await,
            Err(why) => Err(why),
        };
        if let Err(why) = read {
            tracing::info!(board = address, why, "the notice board's stream ended");
        }
        // One that went on for a while is asked again at once.
        if began.elapsed() > AGAIN_MOST {
            pause = AGAIN;
        }
        let dice = lock(&taken).desk.transport.roll();
        tokio::time::sleep(pause.mul_f64(0.5 + dice)).await;
        pause = (pause * 2).min(AGAIN_MOST);
    }
}

/// The first stream that begins. A board that has not begun its answer in time is asked once more beside the earlier question: it
/// may be gone, or only slow.
async fn first_answer(taken: &Arc<Mutex<Taken>>, address: &str) -> Result<Stream, String> {
    let mut asked = JoinSet::new();
    let begun = Instant::now();
    let mut ask_at = begun;
    loop {
        if Instant::now() >= ask_at && asked.len() < QUESTIONS_MOST {
            let last = lock(taken).last();
            asked.spawn(ask(address.to_owned(), last));
            ask_at = Instant::now() + PATIENCE;
        }
        let answered = tokio::select! {
            Some(answered) = asked.join_next() => answered,
            () = tokio::time::sleep_until(ask_at), if asked.len() < QUESTIONS_MOST => continue,
            () = tokio::time::sleep_until(begun + QUESTION_LONGEST) => {
                return Err("an answer: not in time".to_owned());
            }
        };
        match answered.unwrap_or_else(|e| Err(e.to_string())) {
            Ok(stream) => return Ok(stream),
            // With nothing else asked that is told, else the others are waited for.
            Err(why) if asked.is_empty() => return Err(why),
            Err(why) => tracing::debug!(board = address, why, "one question is lost"),
        }
    }
}

/// A stream of events that has begun.
struct Stream {
    body: hyper::body::Incoming,
    /// Serves it.
    _connection: AbortOnDrop,
}

async fn ask(address: String, last: u64) -> Result<Stream, String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let socket = TcpStream::connect(&address).await.map_err(|e| text(&e))?;
    let (read, write) = socket.into_split();
    let steady = tokio::io::join(SteadyRead::new(read), SteadyWrite::new(write));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(steady))
        .await
        .map_err(|e| text(&e))?;
    let connection = AbortOnDrop(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = hyper::Request::get("/board/poll")
        .header("host", address)
        .header("accept", "text/event-stream")
        .header("last-event-id", last.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| text(&e))?;
    let answer = sender.send_request(request).await.map_err(|e| text(&e))?;
    if !answer.status().is_success() {
        return Err(format!("status {}", answer.status()));
    }
    Ok(Stream {
        body: answer.into_body(),
        _connection: connection,
    })
}

/// Takes what a stream tells until it ends, breaks or falls silent.
async fn read_stream(
    taken: &Arc<Mutex<Taken>>,
    mut stream: Stream,
    spoken: &watch::Sender<bool>,
) -> Result<(), String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let (mut codec, mut buffer) = (ServerSentEventCodec::default(), BytesMut::new());
    loop {
        let waiting = Instant::now();
        let frame = tokio::time::timeout(SILENT, stream.body.frame()).await;
        let frame = frame.map_err(|_| "a sign of life: not in time".to_owned())?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(|e| text(&e))?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(piece) = codec.decode(&mut buffer).map_err(|e| text(&e))? {
            spoken.send_replace(true);
            let ServerSentEvent::Event { id, data } = piece else {
                continue;
            };
            let mut notice: DiscoveryEvent = serde_json::from_str(&data).map_err(|e| text(&e))?;
            notice.revision = id.unwrap_or(notice.revision);
            let took = lock(taken).take(notice);
            took.map_err(|Gap| "an event is missing".to_owned())?;
        }
        // What the next bytes tell came after these were waited for.
        lock(taken).read_all(waiting);
    }
}

/// A connection's task ends with whoever asked over it.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
