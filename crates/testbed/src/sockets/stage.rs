//! The world behind a lock, its clock, and the way of what it wants to the sockets' tasks.
use super::wall::Walls;
use super::{fills, member};
use pointspindle::Micros;
use pointspindle_audit::trace::{Recorder, TraceEvent};
use pointspindle_cache_host::lease::{Grant, UserId, WorkLedger};
use pointspindle_cache_model::*;
use pointspindle_fleet_model::leases::lease_head;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{Frame, HelloHead, LeaseHead};
use pointspindle_scenario::derive_seed;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Network, Socket};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

/// The run's first moment on the model's clock: members may have started before it.
pub const EPOCH: Micros = 1_000_000_000_000;

/// How a stage differs from a plain one.
#[derive(Clone, Debug, Default)]
pub struct EmulatedHostsOptions {
    /// Local addresses of dispatchers: who sent an attempt is told by its connection's address.
    pub dispatchers: HashMap<IpAddr, usize>,
    /// Where members' fills come from.
    pub fills_from: Option<IpAddr>,
    /// Members that take no notice of ages and purges: a planted fault.
    pub deaf_to_age: HashSet<String>,
    /// Members say who they are on each connection, and lease out their warm-up.
    pub hello: Option<LedgerFactory>,
    pub net: Network,
    /// Cuts between sites, and each dispatcher's site; none: no day with cuts.
    pub walls: Option<(Walls, Vec<usize>)>,
}

type MakeLedger = dyn Fn(Role, f64, Micros) -> Option<WorkLedger> + Send + Sync;

/// Makes the ledger of a member that has just started, by role, weight and start; none: it leases nothing.
#[derive(Clone)]
pub struct LedgerFactory(pub Arc<MakeLedger>);

impl std::fmt::Debug for LedgerFactory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Ledgers")
    }
}

/// What a request's task at a member hears.
#[derive(Debug)]
pub(crate) enum Word {
    Start(ModelResponse),
    Finish,
    Reject {
        status: pointspindle_protocol::WireStatus,
        note: pointspindle_protocol::WireCacheStatus,
        ran: bool,
        load: pointspindle_protocol::LoadReport,
    },
    Cut,
    Down,
}

struct Locked {
    world: CacheModel,
    words: HashMap<JobId, (HostId, mpsc::UnboundedSender<Word>)>,
    fills: HashMap<FillId, AbortHandle>,
    listeners: HashMap<HostId, AbortHandle>,
    next: JobId,
    out: Vec<ModelOutput>,
    /// Of members that warm up, with the connections that keep to leases.
    ledgers: HashMap<HostId, (WorkLedger, HashMap<UserId, FramedConnection>)>,
    next_user: UserId,
}

/// Members on sockets. Clones share them.
#[derive(Clone)]
pub struct EmulatedHosts {
    inner: Arc<Inner>,
}

pub(crate) struct Inner {
    locked: Mutex<Locked>,
    timer: Notify,
    pub recorder: Recorder,
    pub classes: Vec<ClassModel>,
    pub options: EmulatedHostsOptions,
    links: tokio::sync::Mutex<HashMap<(HostId, String), FramedConnection>>,
}

impl std::fmt::Debug for EmulatedHosts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Stage")
    }
}

impl EmulatedHosts {
    pub fn new(
        world: CacheModel,
        classes: Vec<ClassModel>,
        recorder: Recorder,
        options: EmulatedHostsOptions,
    ) -> Self {
        let locked = Locked {
            world,
            words: HashMap::new(),
            fills: HashMap::new(),
            listeners: HashMap::new(),
            next: 0,
            out: Vec::new(),
            ledgers: HashMap::new(),
            next_user: 0,
        };
        let inner = Inner {
            locked: Mutex::new(locked),
            timer: Notify::new(),
            recorder,
            classes,
            options,
            links: Default::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Listens for all members that are up and begins to turn the world's clock.
    pub async fn start(&self) -> std::io::Result<()> {
        let up: Vec<HostId> = {
            let locked = self.lock();
            let all = locked.world.hosts().map(|(id, _)| id);
            all.filter(|id| locked.world.is_up(*id)).collect()
        };
        for host in up {
            self.listen(host).await?;
        }
        let stage = self.clone();
        tokio::spawn(async move { stage.turn().await });
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Locked> {
        self.inner
            .locked
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn now(&self) -> Micros {
        EPOCH + self.inner.recorder.now()
    }

    pub(crate) fn inner(&self) -> &Inner {
        &self.inner
    }

    /// A look at the world.
    pub fn with_model<T>(&self, look: impl FnOnce(&mut CacheModel) -> T) -> T {
        look(&mut self.lock().world)
    }

    pub fn apply(&self, input: ModelInput) {
        self.handle(self.lock(), input);
    }

    /// Opens a request at a member.
    pub(crate) fn arrive(
        &self,
        host: HostId,
        user: Option<UserId>,
        wanted: ModelRequest,
    ) -> (JobId, mpsc::UnboundedReceiver<Word>) {
        let (sender, words) = mpsc::unbounded_channel();
        let mut locked = self.lock();
        locked.next += 1;
        let job = locked.next;
        locked.words.insert(job, (host, sender));
        if let Some((ledger, _)) = locked.ledgers.get_mut(&host) {
            let class = self.inner.classes.get(wanted.class);
            ledger.record_arrival(
                user,
                class.map_or(0.0, |c| c.mean_transfer_time as f64 / 1e6),
            );
        }
        self.handle(
            locked,
            ModelInput::Arrive {
                host,
                job,
                request: wanted,
            },
        );
        (job, words)
    }

    pub(crate) fn forget(&self, job: JobId) {
        self.lock().words.remove(&job);
    }

    fn handle(&self, mut locked: MutexGuard<'_, Locked>, input: ModelInput) {
        let now = self.now();
        let mut out = std::mem::take(&mut locked.out);
        locked.world.handle(now, input, &mut out);
        for wish in out.drain(..) {
            let (job, word) = match wish {
                ModelOutput::ResponseStart {
                    job,
                    response: answer,
                    ..
                } => (job, Word::Start(answer)),
                ModelOutput::ResponseEnd { job, .. } => (job, Word::Finish),
                ModelOutput::Reject {
                    job,
                    status,
                    cache_status: note,
                    may_have_run: ran,
                    load,
                    ..
                } => (
                    job,
                    Word::Reject {
                        status,
                        note,
                        ran,
                        load,
                    },
                ),
                ModelOutput::Disconnect { job, .. } => (job, Word::Cut),
                ModelOutput::StartFill {
                    host,
                    fill,
                    source,
                    request: wanted,
                } => {
                    let task = tokio::spawn(fills::run(self.clone(), host, fill, source, wanted));
                    locked.fills.retain(|_, task| !task.is_finished());
                    locked.fills.insert(fill, task.abort_handle());
                    continue;
                }
                ModelOutput::CancelFill { fill, .. } => {
                    if let Some(task) = locked.fills.remove(&fill) {
                        task.abort();
                    }
                    continue;
                }
                ModelOutput::HostDown { host, reason: why } => {
                    let address = self.address(&locked.world, host);
                    self.inner.recorder.record(TraceEvent::HostCrashed {
                        host: address,
                        reason: why.into(),
                    });
                    if let Some(listener) = locked.listeners.remove(&host) {
                        listener.abort();
                    }
                    locked.ledgers.remove(&host);
                    locked.words.retain(|_, (at, words)| {
                        if *at == host {
                            let _ = words.send(Word::Down);
                        }
                        *at != host
                    });
                    continue;
                }
                ModelOutput::HostUp { host } => {
                    let address = self.address(&locked.world, host);
                    let start = locked.world.incarnation(host).0;
                    self.inner.recorder.record(TraceEvent::HostStarted {
                        host: address,
                        cold: true,
                        incarnation: start,
                    });
                    let (role, weight) = (
                        locked.world.host_spec(host).role,
                        locked.world.host_spec(host).weight,
                    );
                    let make = self.inner.options.hello.as_ref();
                    let ledger = make.and_then(|make| (make.0)(role, weight, now));
                    if let Some(ledger) = ledger {
                        locked.ledgers.insert(host, (ledger, HashMap::new()));
                        tokio::spawn(lease_out(
                            self.clone(),
                            host,
                            locked.world.incarnation(host).0,
                        ));
                    }
                    let stage = self.clone();
                    tokio::spawn(async move {
                        if let Err(e) = stage.listen(host).await {
                            tracing::error!(host, error = %e, "a member cannot listen again");
                        }
                    });
                    continue;
                }
            };
            if let Some((_, words)) = locked.words.get(&job) {
                let _ = words.send(word);
            }
        }
        locked.out = out;
        self.inner.timer.notify_one();
    }

    /// What a member says of its process; none where members say nothing.
    pub(crate) fn hello(&self, host: HostId) -> Option<HelloHead> {
        let (start, started) = self.lock().world.incarnation(host);
        let started_ago_us = started.map(|at| self.now().saturating_sub(at));
        // Numbers of starts are small and alike at all members: an identity is not.
        let process = derive_seed(start, &self.address_of(host)).max(1);
        self.inner.options.hello.is_some().then_some(HelloHead {
            incarnation: process,
            started_ago_us,
            ..Default::default()
        })
    }

    /// A dispatcher that keeps to leases has connected; its number, where the member leases at all.
    pub(crate) fn join(
        &self,
        host: HostId,
        link: &FramedConnection,
        asks: bool,
    ) -> Option<(UserId, LeaseHead)> {
        let mut locked = self.lock();
        locked.next_user += 1;
        let user = locked.next_user;
        let (ledger, links) = locked.ledgers.get_mut(&host)?;
        links.insert(user, link.clone());
        Some((user, lease_head(&ledger.join(user, asks))))
    }

    /// A dispatcher asks for work. A member that leases nothing any more takes it all.
    pub(crate) fn ask(&self, host: HostId, user: UserId, work_us: u64) -> LeaseHead {
        let mut locked = self.lock();
        let now = self.now();
        let given = match locked.ledgers.get_mut(&host) {
            Some((ledger, _)) => lease_head(&ledger.request_work(now, user, work_us as f64 / 1e6)),
            None => LeaseHead {
                work_us,
                duration_us: 1_000_000,
                ..Default::default()
            },
        };
        LeaseHead {
            in_reply: true,
            ..given
        }
    }

    pub(crate) fn leave(&self, host: HostId, user: UserId) {
        if let Some((ledger, links)) = self.lock().ledgers.get_mut(&host) {
            ledger.leave(user);
            links.remove(&user);
        }
    }

    /// Connections of a member break and no new ones are taken, though its process lives on.
    pub fn cut_way(&self, host: HostId) {
        if let Some(listener) = self.lock().listeners.remove(&host) {
            listener.abort();
        }
    }

    pub async fn open_way(&self, host: HostId) -> std::io::Result<()> {
        let wanted = {
            let locked = self.lock();
            locked.world.is_up(host) && !locked.listeners.contains_key(&host)
        };
        if wanted {
            self.listen(host).await?;
        }
        Ok(())
    }

    fn address(&self, world: &CacheModel, host: HostId) -> String {
        world.host_spec(host).address.clone()
    }

    pub fn address_of(&self, host: HostId) -> String {
        self.address(&self.lock().world, host)
    }

    /// Waits for the world's next moment, again and again.
    async fn turn(&self) {
        loop {
            let next = self.lock().world.next_timer();
            match next {
                None => self.inner.timer.notified().await,
                Some(at) => {
                    let wait = Duration::from_micros(at.saturating_sub(self.now()));
                    tokio::select! {
                        _ = tokio::time::sleep(wait) => self.apply(ModelInput::Tick),
                        _ = self.inner.timer.notified() => {}
                    }
                }
            }
        }
    }

    /// Listens at a member's address. Its last process may have left the port a moment ago.
    async fn listen(&self, host: HostId) -> std::io::Result<()> {
        let address: SocketAddr = self
            .address_of(host)
            .parse()
            .map_err(std::io::Error::other)?;
        let mut tries = 0;
        let listener = loop {
            match self.inner.options.net.listen_reusing_address(address).await {
                Ok(listener) => break listener,
                Err(e) if tries >= 50 => return Err(e),
                Err(_) => {
                    tries += 1;
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        };
        let task = tokio::spawn(member::serve(self.clone(), host, listener));
        self.lock().listeners.insert(host, task.abort_handle());
        Ok(())
    }

    /// A dispatcher's connection at a member, behind the cuts between their sites.
    pub(crate) async fn behind_walls(
        &self,
        host: HostId,
        by: Option<usize>,
        socket: Socket,
    ) -> std::io::Result<Socket> {
        let Some((walls, sites)) = &self.inner.options.walls else {
            return Ok(socket);
        };
        let Some(there) = by.and_then(|by| sites.get(by).copied()) else {
            return Ok(socket);
        };
        let here = self.with_model(|w| w.host_spec(host).zone);
        walls.between(socket, there, here).await
    }

    /// A member's connection to a source; opened when needed.
    pub(crate) async fn link(
        &self,
        host: HostId,
        source: &str,
    ) -> std::io::Result<FramedConnection> {
        let key = (host, source.to_owned());
        let mut links = self.inner.links.lock().await;
        if let Some(link) = links.get(&key).filter(|link| link.accepts_calls()) {
            return Ok(link.clone());
        }
        let target: SocketAddr = source.parse().map_err(std::io::Error::other)?;
        let options = &self.inner.options;
        let connect = options.net.connect(options.fills_from, target);
        let connect = tokio::time::timeout(Duration::from_millis(250), connect);
        let mut socket = connect.await.map_err(std::io::Error::other)??;
        if let Some((walls, _)) = &options.walls {
            let zones = self.with_model(|w| {
                let there = w.host_by_address(source).map(|id| w.host_spec(id).zone);
                there.map(|there| (there, w.host_spec(host).zone))
            });
            if let Some((there, here)) = zones {
                socket = walls.between(socket, there, here).await?;
            }
        }
        let (link, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        links.retain(|_, link| !link.is_closed());
        links.insert(key, link.clone());
        Ok(link)
    }
}

/// Tells leases slot by slot while a start of a member warms up.
async fn lease_out(stage: EmulatedHosts, host: HostId, start: u64) {
    loop {
        let next = match stage.lock().ledgers.get(&host) {
            Some((ledger, _)) => ledger.next_slot(),
            None => return,
        };
        tokio::time::sleep(Duration::from_micros(next.saturating_sub(stage.now()))).await;
        let (grants, length) = {
            let mut locked = stage.lock();
            if locked.world.incarnation(host).0 != start {
                return;
            }
            let now = stage.now();
            let Some((ledger, links)) = locked.ledgers.get_mut(&host) else {
                return;
            };
            if ledger.is_over(now) {
                locked.ledgers.remove(&host);
                return;
            }
            let told = |g: Grant| Some((links.get(&g.user)?.clone(), lease_head(&g)));
            let grants: Vec<(FramedConnection, LeaseHead)> = ledger
                .start_slot(now)
                .into_iter()
                .filter_map(told)
                .collect();
            (grants, ledger.slot_length())
        };
        for (link, lease) in grants {
            // A dispatcher that does not read must not hold the others' leases up.
            let told = link.control(Frame::Lease(lease));
            let _ = tokio::time::timeout(Duration::from_micros(length / 4), told).await;
        }
    }
}
