//! The doors' connections: [`crate::admission`] behind a lock, and the way of its word to each connection's task.
use crate::admission::{Admission, AdmissionDecision, ConnectionId, Limits};
use pointspindle::Micros;
use pointspindle_protocol::http::HttpResponse;
use pointspindle_protocol::streams::Side;
use pointspindle_transport::{AcceptFailure, ConnectionOptions, FramedConnection, Socket};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

/// Newcomers that are being turned away at once; more are dropped without a word.
const TURNING: usize = 64;
/// Idle connections that make room when descriptors have run out.
const ROOM: usize = 16;
/// After a shortage a connection is accepted again so much later: what was told to close has closed, and nothing spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time and bytes for a turned-away client to take its answer.
const LAST_WORDS: Duration = Duration::from_secs(1);
const UNREAD: usize = 16 * 1024;

#[derive(Debug)]
struct Locked {
    admission: Admission,
    told: HashMap<ConnectionId, Arc<Notify>>,
}

#[derive(Debug)]
pub struct ConnectionRegistry {
    locked: Mutex<Locked>,
    born: Instant,
    turning: Semaphore,
}

/// A connection's place; given back when it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    keeper: Arc<ConnectionRegistry>,
    id: ConnectionId,
    told: Arc<Notify>,
}

/// How a door speaks to who is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Speaks {
    Http,
    Framed,
}

impl ConnectionRegistry {
    pub fn new(limits: Limits) -> Arc<Self> {
        let locked = Locked {
            admission: Admission::new(limits),
            told: HashMap::new(),
        };
        let turning = Semaphore::new(TURNING);
        Arc::new(Self {
            locked: Mutex::new(locked),
            born: Instant::now(),
            turning,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Locked> {
        self.locked
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }

    pub fn admit(self: &Arc<Self>, address: IpAddr) -> Result<ConnectionPermit, Micros> {
        let mut locked = self.lock();
        let arrival = locked.admission.arrive(self.now(), address);
        locked.tell(&arrival.close);
        match arrival.decision {
            AdmissionDecision::Admit(id) => {
                let told = Arc::new(Notify::new());
                locked.told.insert(id, told.clone());
                Ok(ConnectionPermit {
                    keeper: self.clone(),
                    id,
                    told,
                })
            }
            AdmissionDecision::Reject { retry_after } => Err(retry_after),
        }
    }

    /// A connection could not be accepted. Where this process has no descriptor left, idle connections make room; what the
    /// machine is short of, or one connection that died in the queue, says nothing of them. Returns when to accept again.
    pub async fn accept_failed(&self, error: std::io::Error) {
        let failure = AcceptFailure::of(&error);
        let closing = match failure {
            AcceptFailure::Connection | AcceptFailure::Shortage => 0,
            AcceptFailure::Descriptors => {
                let mut locked = self.lock();
                let close = locked.admission.make_room(ROOM);
                locked.tell(&close);
                close.len()
            }
        };
        if failure == AcceptFailure::Connection {
            tracing::debug!(%error, "a connection died before it was accepted");
            return tokio::task::yield_now().await;
        }
        tracing::warn!(%error, closing, "accept failed");
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }

    /// Says when to come back, and closes. In a crowd, only closes.
    pub(crate) async fn turn_away(&self, line: Socket, speaks: Speaks, come_back: Micros) {
        let Ok(_place) = self.turning.try_acquire() else {
            return;
        };
        let ms = come_back.div_ceil(1_000);
        let words = async {
            match speaks {
                Speaks::Http => {
                    let text = "refused: too many connections\n";
                    let mut out = bytes::BytesMut::new();
                    let fields = vec![
                        ("retry-after", ms.div_ceil(1_000).max(1).to_string()),
                        ("x-come-back-ms", ms.to_string()),
                        ("x-outcome", "refused".to_owned()),
                        ("content-type", "text/plain; charset=utf-8".to_owned()),
                    ];
                    let length = Some(text.len() as u64);
                    HttpResponse {
                        status: 503,
                        length,
                        close: true,
                        fields,
                    }
                    .write(&mut out);
                    out.extend_from_slice(text.as_bytes());
                    let (read, write) = line.split();
                    if write.write_all(&out).await.is_err() {
                        return;
                    }
                    write.shutdown();
                    // A close with bytes unread would take the answer back.
                    let (mut left, mut buffer) = (UNREAD, bytes::BytesMut::with_capacity(1024));
                    while let Ok(taken @ 1..) = read.read_buf(&mut buffer).await {
                        buffer.clear();
                        left = left.saturating_sub(taken);
                        if left == 0 {
                            return;
                        }
                    }
                }
                Speaks::Framed => {
                    let (link, _incoming) = FramedConnection::start(
                        line,
                        Side::Answerer,
                        ConnectionOptions { max_streams: 1 },
                    );
                    link.go_away(&format!("too many connections; come back after {ms} ms"));
                    link.close("turned away");
                    link.flushed().await;
                }
            }
        };
        let _ = tokio::time::timeout(LAST_WORDS, words).await;
    }
}

/// Idle connections told to close at once; requests that are under way have their turn before the next slice.
const SLICE: usize = 256;
/// Least time between two looks: time-outs are whole seconds, and a look costs a lock.
const LOOK: Duration = Duration::from_millis(50);

/// Closes connections that have been idle for too long.
pub async fn expire(keeper: Arc<ConnectionRegistry>, idle_us: Micros) {
    loop {
        let (now, next) = {
            let mut locked = keeper.lock();
            let now = keeper.now();
            let close = locked.admission.expire(now, idle_us, SLICE);
            locked.tell(&close);
            (now, locked.admission.next_expiry(idle_us))
        };
        match next {
            Some(at) if at <= now => tokio::task::yield_now().await,
            // One that arrives later expires later than that.
            at => {
                let wait = Duration::from_micros(at.unwrap_or(now + idle_us).saturating_sub(now));
                tokio::time::sleep(wait.max(LOOK)).await;
            }
        }
    }
}

impl Locked {
    fn tell(&self, close: &[ConnectionId]) {
        for told in close.iter().filter_map(|id| self.told.get(id)) {
            told.notify_one();
        }
    }
}

impl ConnectionPermit {
    pub fn busy(&self) {
        self.keeper.lock().admission.busy(self.id);
    }

    pub fn idle(&self) {
        let now = self.keeper.now();
        self.keeper.lock().admission.idle(now, self.id);
    }

    /// Returns when this connection, being idle, is to make room. Safe to drop while waiting.
    pub async fn close_requested(&self) {
        self.told.notified().await;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut locked = self.keeper.lock();
        locked.admission.closed(self.id);
        locked.told.remove(&self.id);
    }
}
