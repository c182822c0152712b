//! The cache host on tokio: one listener for requests, one for operators, one store, one fill_table.
mod fill_sources;
mod fill_stream;
mod request;

use crate::fill_table::{
    CacheRequest, CachedCopy, FillId, FillLimits, FillTable, QueuedFill, RequestDecision, WaiterId,
};
use crate::lease::{Grant, UserId, WorkLedger};
use fill_sources::Sources;
use fill_stream::FillStream;
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_config::{CacheHostSettings, Role, StoreSettings};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_store::{Folder, Key, Meta, Options, Stats, Store, StoreError, What};
use pointspindle_transport::{
    AcceptFailure, ConnectionOptions, FramedConnection, Inbound, Listener, Network, Socket,
    MAX_ACCEPT_QUEUE_FAILURES,
};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The host's clock starts here, so that its process may have started before.
const CLOCK_ORIGIN_US: Micros = 1_000_000_000_000;
/// After a shortage a connection is accepted again so much later.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Share by which one answer moves the share of hits that is told.
const HIT_RATIO_SMOOTHING: f64 = 0.02;

#[derive(Debug, thiserror::Error)]
pub enum HostError {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("store {0}: {1}")]
    Store(std::path::PathBuf, StoreError),
}

/// Where it listens, with the ports that were given.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct BoundAddresses {
    pub framed: SocketAddr,
    pub control: Option<SocketAddr>,
}

/// What the host has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCounters {
    pub hits: u64,
    pub old: u64,
    pub fills: u64,
    pub joined: u64,
    pub misses: u64,
    pub turned_away: u64,
    pub failed: u64,
    pub renewed: u64,
    /// From sources, and to askers.
    pub bytes_in: u64,
    pub bytes_out: u64,
}

struct HostState {
    fill_table: FillTable<Key>,
    fill_streams: HashMap<FillId, (Key, u64, Arc<FillStream>)>,
    /// Who waits, with what the fill will be of.
    turns: HashMap<WaiterId, (Key, u64, oneshot::Sender<FillId>)>,
    ledger: Option<(WorkLedger, HashMap<UserId, FramedConnection>)>,
    next_user: UserId,
    counts: HostCounters,
    hits: f64,
    open: usize,
}

pub(crate) struct Shared {
    locked: Mutex<HostState>,
    pub settings: CacheHostSettings,
    pub store: Option<Store>,
    pub sources: Sources,
    born: Instant,
    /// Ages of copies are spans of real time, whatever steps the wall clock makes while the process runs.
    pub clock: WallClock,
    /// Of this process, and since when it counts as cold; none: it came back warm.
    hello: HelloHead,
}

/// A running cache host.
pub struct Host {
    shared: Arc<Shared>,
    bound: BoundAddresses,
    stop: watch::Sender<bool>,
    doors: JoinSet<()>,
    helpers: JoinSet<()>,
}

impl std::fmt::Debug for Host {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Host at {}", self.bound.framed)
    }
}

fn open_store(place: &StoreSettings, clock: &WallClock) -> Result<Store, StoreError> {
    let options = Options {
        capacity: place.capacity,
        segment: place.segment,
        block: place.block,
        memory: place.memory,
    };
    Store::open(
        Arc::new(Folder::lock(&place.path)?),
        options,
        clock.steady_ms(),
    )
}

impl Host {
    pub async fn start(settings: CacheHostSettings, net: Network) -> Result<Self, HostError> {
        let clock = WallClock::start();
        let mut store = None;
        if let Some(place) = settings.store.clone() {
            let path = place.path.clone();
            let opened = tokio::task::spawn_blocking(move || open_store(&place, &clock)).await;
            let opened = opened.unwrap_or_else(|e| Err(StoreError::Disk(std::io::Error::other(e))));
            store = Some(opened.map_err(|e| HostError::Store(path, e))?);
        }
        let failed = |at: SocketAddr| move |e| HostError::Listen(at, e);
        let framed = net
            .listen_reusing_address(settings.framed)
            .await
            .map_err(failed(settings.framed))?;
        let control = match settings.control {
            Some(at) => Some(net.listen_reusing_address(at).await.map_err(failed(at))?),
            None => None,
        };
        let at = framed.local_addr().map_err(failed(settings.framed))?;
        let control_at = control.as_ref().and_then(|c| c.local_addr().ok());
        // What was left on disk is counted before the first request: a warm host must not pass for a cold one.
        let warm = match (&store, &settings.store) {
            (Some(store), Some(place)) => {
                let stats = store.stats();
                let left = stats.live_bytes.max(stats.disk_bytes + stats.pending_bytes);
                left as f64 >= place.warm_share * place.capacity as f64
            }
            _ => true,
        };
        let process = std::hash::RandomState::new().build_hasher().finish().max(1);
        let hello = HelloHead {
            incarnation: process,
            started_ago_us: (!warm).then_some(0),
            ..HelloHead::default()
        };
        let dearest = settings
            .classes
            .iter()
            .map(|c| c.mean_send_time_us as f64 / 1e6)
            .fold(0.0, f64::max);
        let cold =
            (!warm && settings.role == Role::Cache && settings.slow_start.ramp > 0).then(|| {
                (
                    WorkLedger::new(
                        settings.slow_start,
                        settings.weight,
                        CLOCK_ORIGIN_US,
                        dearest,
                    ),
                    HashMap::new(),
                )
            });
        let locked = HostState {
            fill_table: FillTable::new(FillLimits {
                max_fills: settings.max_fills,
                max_waiting: settings.fill_queue,
            }),
            fill_streams: HashMap::new(),
            turns: HashMap::new(),
            ledger: cold,
            next_user: 0,
            counts: HostCounters::default(),
            hits: 0.0,
            open: 0,
        };
        let sources = Sources::new(&settings, net, clock);
        let shared = Arc::new(Shared {
            locked: Mutex::new(locked),
            settings,
            store,
            sources,
            born: Instant::now(),
            clock,
            hello,
        });
        let (stop, stopping) = watch::channel(false);
        let (mut doors, mut helpers) = (JoinSet::new(), JoinSet::new());
        doors.spawn(accept(shared.clone(), framed, stopping.clone(), false));
        if let Some(control) = control {
            doors.spawn(accept(shared.clone(), control, stopping, true));
        }
        helpers.spawn(maintain_store(shared.clone()));
        helpers.spawn(grant_leases(shared.clone()));
        let bound = BoundAddresses {
            framed: at,
            control: control_at,
        };
        tracing::info!(name = %shared.settings.name, ?bound, warm, "cache host listens");
        Ok(Self {
            shared,
            bound,
            stop,
            doors,
            helpers,
        })
    }

    pub fn bound(&self) -> BoundAddresses {
        self.bound
    }

    pub fn counts(&self) -> HostCounters {
        self.shared.lock().counts
    }

    pub fn store(&self) -> Option<Stats> {
        self.shared.store.as_ref().map(Store::stats)
    }

    /// Whether it tells dispatchers that it has just started.
    pub fn is_cold(&self) -> bool {
        self.shared.hello.started_ago_us.is_some()
    }

    /// Takes nothing new, answers what was accepted, and leaves the store so that the next start is quick. True if all was
    /// answered in time.
    pub async fn stop(mut self) -> bool {
        let _ = self.stop.send(true);
        let longest = Duration::from_micros(self.shared.settings.drain_timeout_us);
        let ended = async { while self.doors.join_next().await.is_some() {} };
        let drained = tokio::time::timeout(longest, ended).await.is_ok();
        self.doors.shutdown().await;
        self.helpers.shutdown().await;
        if let Some(store) = self.shared.store.clone() {
            let closed = tokio::task::spawn_blocking(move || store.close()).await;
            if let Ok(Err(e)) = closed {
                tracing::error!(error = %e, "the store could not be closed well");
            }
        }
        drained
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HostState> {
        self.locked
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn now(&self) -> Micros {
        CLOCK_ORIGIN_US + self.born.elapsed().as_micros() as Micros
    }

    pub fn count(&self, what: impl FnOnce(&mut HostCounters)) {
        what(&mut self.lock().counts);
    }

    /// An answer was or was not what is held.
    pub fn hit(&self, hit: bool) {
        let mut locked = self.lock();
        let hits = locked.hits;
        locked.hits += HIT_RATIO_SMOOTHING * (f64::from(hit) - hits);
    }

    pub fn load(&self) -> LoadReport {
        let locked = self.lock();
        let util = locked.fill_table.active_fills() as f64 / self.settings.max_fills as f64;
        LoadReport {
            utilization: util,
            hit_ratio: locked.hits,
            link_utilization: 0.0,
        }
    }

    /// The fill_table's word. What it begins has its fill_stream, and who waits can be told, before anybody else asks.
    pub fn decide(
        &self,
        request: &CacheRequest<Key>,
        group: u64,
        cached: Option<CachedCopy>,
    ) -> (RequestDecision, Option<oneshot::Receiver<FillId>>) {
        let mut locked = self.lock();
        let verdict = locked.fill_table.decide(request.clone(), cached);
        let mut turn = None;
        match verdict {
            RequestDecision::Fill(fill)
            | RequestDecision::Serve {
                revalidate: Some(fill),
                ..
            } => {
                locked
                    .fill_streams
                    .insert(fill, (request.key, group, Arc::default()));
            }
            RequestDecision::Wait(waiter) => {
                let (sender, receiver) = oneshot::channel();
                locked.turns.insert(waiter, (request.key, group, sender));
                turn = Some(receiver);
            }
            _ => {}
        }
        (verdict, turn)
    }

    /// A fill has ended: the next one in the line has its turn.
    pub fn fill_over(&self, fill: FillId) {
        let mut locked = self.lock();
        locked.fill_streams.remove(&fill);
        let mut ended = fill;
        while let Some(QueuedFill { waiter, fill }) = locked.fill_table.fill_ended(ended) {
            if let Some((key, group, turn)) = locked.turns.remove(&waiter) {
                locked
                    .fill_streams
                    .insert(fill, (key, group, Arc::default()));
                if turn.send(fill).is_ok() {
                    return;
                }
                locked.fill_streams.remove(&fill);
            }
            // It has left meanwhile.
            ended = fill;
        }
    }

    /// Takes away what it strikes; durable when this returns well.
    async fn purge(&self, head: &PurgeHead) -> Result<usize, String> {
        let what = match &head.object {
            Some(object) => What::Object(object.clone()),
            None => What::Group(head.group),
        };
        let object = head
            .object
            .as_deref()
            .map(pointspindle_store::record::object_number);
        {
            let mut locked = self.lock();
            let struck =
                |key: &Key, group: u64| object.map_or(group == head.group, |o| key.object == o);
            let keys: Vec<Key> = locked
                .fill_streams
                .values()
                .filter(|(k, g, _)| struck(k, *g))
                .map(|(k, ..)| *k)
                .collect();
            for key in keys {
                locked.fill_table.stop_coalescing(&key);
            }
        }
        let Some(store) = self.store.clone() else {
            return Ok(0);
        };
        let done = tokio::task::spawn_blocking(move || store.purge(&what)).await;
        done.map_err(|e| e.to_string())?.map_err(|e| e.to_string())
    }

    pub fn held(&self, key: &Key) -> Option<pointspindle_store::Found> {
        self.store.as_ref()?.get(key)
    }

    /// How old a copy is.
    pub fn age(&self, meta: &Meta) -> Micros {
        let now = self
            .store
            .as_ref()
            .map_or(0, |s| s.now_ms(self.clock.steady_ms()));
        now.saturating_sub(meta.born_ms) * 1_000
    }
}

async fn accept(
    shared: Arc<Shared>,
    mut listener: Listener,
    mut stop: watch::Receiver<bool>,
    operators: bool,
) {
    let mut connections = JoinSet::new();
    let most = shared.settings.max_connections;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok(_) if connections.len() >= most => {}
            Ok((line, _)) => {
                connections.spawn(serve(shared.clone(), line, stop.clone(), operators));
            }
            Err(e) => wait_after_accept_failure(e).await,
        }
    }
    // What waits in the queue was accepted by the system, with the requests that are written on it.
    let serve_queued = |socket, _peer| {
        if connections.len() < most {
            connections.spawn(serve(shared.clone(), socket, stop.clone(), operators));
        }
    };
    listener
        .drain_accept_queue(
            MAX_ACCEPT_QUEUE_FAILURES,
            serve_queued,
            wait_after_accept_failure,
        )
        .await;
    while connections.join_next().await.is_some() {}
}

/// Returns when to accept again.
async fn wait_after_accept_failure(error: std::io::Error) {
    if AcceptFailure::of(&error) == AcceptFailure::Connection {
        tracing::debug!(%error, "a connection died before it was accepted");
        return tokio::task::yield_now().await;
    }
    tracing::warn!(%error, "accept failed");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Gives a lease up with its connection.
struct LeaseHolder {
    shared: Arc<Shared>,
    user: Option<UserId>,
}

impl Drop for LeaseHolder {
    fn drop(&mut self) {
        if let (Some(user), Some((ledger, links))) = (self.user, &mut self.shared.lock().ledger) {
            ledger.leave(user);
            links.remove(&user);
        }
    }
}

fn lease(grant: &Grant) -> LeaseHead {
    let (work_us, by_asking) = ((grant.work * 1e6).round() as u64, grant.by_asking);
    LeaseHead {
        work_us,
        duration_us: grant.lasts,
        on_request: by_asking,
        in_reply: false,
    }
}

async fn serve(
    shared: Arc<Shared>,
    line: Socket,
    mut stop: watch::Receiver<bool>,
    operators: bool,
) {
    let options = ConnectionOptions {
        max_streams: shared.settings.max_streams,
    };
    let (link, mut incoming) = FramedConnection::start(line, Side::Answerer, options);
    if !operators {
        let ago = shared
            .hello
            .started_ago_us
            .map(|_| shared.born.elapsed().as_micros() as u64);
        link.push_control(Frame::Hello(HelloHead {
            started_ago_us: ago,
            ..shared.hello
        }));
    }
    let mut using = LeaseHolder {
        shared: shared.clone(),
        user: None,
    };
    let mut requests = JoinSet::new();
    let mut stopping = false;
    loop {
        let inbound = tokio::select! {
            inbound = incoming.next() => inbound,
            _ = requests.join_next(), if !requests.is_empty() => {
                if stopping && requests.is_empty() {
                    break;
                }
                continue;
            }
            () = stopped(&mut stop), if !stopping => {
                link.go_away("the host stops");
                stopping = true;
                if requests.is_empty() {
                    // What crossed the word is still answered.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                if requests.is_empty() && incoming.is_empty() {
                    break;
                }
                continue;
            }
        };
        match inbound {
            None => break,
            Some(Inbound::Request(head, responder)) if !operators => {
                if let (Some(user), Some((ledger, _))) = (using.user, &mut shared.lock().ledger) {
                    let class = shared
                        .settings
                        .classes
                        .iter()
                        .find(|c| c.name == head.class);
                    ledger.took(
                        Some(user),
                        class.map_or(0.0, |c| c.mean_send_time_us as f64 / 1e6),
                    );
                }
                requests.spawn(request::run(shared.clone(), head, responder));
            }
            Some(Inbound::Request(_, responder)) => {
                let detail = "this door takes purges, not requests".to_owned();
                let status = WireStatus::Refused as i32;
                let _ = responder
                    .error(ErrorHead {
                        status,
                        detail,
                        ..Default::default()
                    })
                    .await;
            }
            Some(Inbound::Control(Frame::Probe(probe))) if !probe.echo => {
                link.push_control(Frame::Probe(ProbeHead {
                    echo: true,
                    load: Some(shared.load()),
                    ..probe
                }));
            }
            Some(Inbound::Control(Frame::Purge(head))) if operators => {
                tracing::info!(object = ?head.object, group = head.group, "purge");
                let done = shared.purge(&head).await;
                let trouble = done.err().unwrap_or_default();
                let _ = link
                    .control(Frame::Ack(AckHead {
                        seq: head.seq,
                        rejection: trouble,
                    }))
                    .await;
            }
            Some(Inbound::Control(Frame::Hello(hello)))
                if hello.dispatcher && using.user.is_none() =>
            {
                let granted = {
                    let mut locked = shared.lock();
                    locked.next_user += 1;
                    let user = locked.next_user;
                    locked.ledger.as_mut().map(|(ledger, links)| {
                        links.insert(user, link.clone());
                        using.user = Some(user);
                        lease(&ledger.join(user, hello.requests_work))
                    })
                };
                if let Some(granted) = granted {
                    link.push_control(Frame::Lease(granted));
                }
            }
            Some(Inbound::Control(Frame::WorkRequest(want))) => {
                let now = shared.now();
                let given = match (&mut shared.lock().ledger, using.user) {
                    (Some((ledger, _)), Some(user)) => {
                        lease(&ledger.ask(now, user, want.work_us as f64 / 1e6))
                    }
                    _ => LeaseHead {
                        work_us: want.work_us,
                        duration_us: 1_000_000,
                        ..Default::default()
                    },
                };
                link.push_control(Frame::Lease(LeaseHead {
                    in_reply: true,
                    ..given
                }));
            }
            Some(Inbound::Control(_)) => {}
        }
    }
    while requests.join_next().await.is_some() {}
    link.close("the connection is done with");
    link.flushed().await;
}

/// Reads what was left on disk, then syncs and cleans in small parts.
async fn maintain_store(shared: Arc<Shared>) {
    let (Some(store), Some(place)) = (shared.store.clone(), shared.settings.store.clone()) else {
        return;
    };
    loop {
        let (reading, clock) = (store.clone(), shared.clock);
        match tokio::task::spawn_blocking(move || reading.recover(clock.steady_ms())).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => break,
            Ok(Err(e)) => {
                tracing::error!(error = %e, "what was left on disk cannot be read on; it is not served");
                break;
            }
            Err(_) => return,
        }
    }
    for why in store.doubts() {
        tracing::warn!(why, "store");
    }
    loop {
        tokio::time::sleep(Duration::from_micros(place.sync_us)).await;
        let keeping = store.clone();
        let kept = tokio::task::spawn_blocking(move || keeping.sync()).await;
        if let Ok(Err(e)) = kept {
            tracing::error!(error = %e, "the store cannot sync");
        }
    }
}

/// Tells leases slot by slot while this start warms up.
async fn grant_leases(shared: Arc<Shared>) {
    loop {
        let next = match &shared.lock().ledger {
            Some((ledger, _)) => ledger.next_slot(),
            None => return,
        };
        tokio::time::sleep(Duration::from_micros(next.saturating_sub(shared.now()))).await;
        let grants: Vec<(FramedConnection, LeaseHead)> = {
            let mut locked = shared.lock();
            let now = shared.now();
            let Some((ledger, links)) = &mut locked.ledger else {
                return;
            };
            if ledger.is_over(now) {
                locked.ledger = None;
                return;
            }
            let told = |g: Grant| Some((links.get(&g.user)?.clone(), lease(&g)));
            ledger.turn(now).into_iter().filter_map(told).collect()
        };
        for (link, lease) in grants {
            link.push_control(Frame::Lease(lease));
        }
    }
}
