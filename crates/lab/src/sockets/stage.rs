//! The world behind a lock, its clock, and the way of what it wants to the sockets' tasks.
use super::{fills, member};
use crate::model::*;
use crate::record::{Recorder, Saw};
use pointspindle::Micros;
use pointspindle_link::{Link, LinkOptions};
use pointspindle_wire::streams::Side;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

/// The run's first moment on the model's clock: members may have started before it.
pub const EPOCH: Micros = 1_000_000_000_000;

/// How a stage differs from a plain one.
#[derive(Clone, Debug, Default)]
pub struct StageOptions {
    /// Local addresses of dispatchers: who sent an attempt is told by its connection's address.
    pub dispatchers: HashMap<IpAddr, usize>,
    /// Where members' fills come from.
    pub fills_from: Option<IpAddr>,
    /// Members that take no notice of ages and purges: a planted fault.
    pub deaf_to_age: HashSet<String>,
}

/// What a request's task at a member hears.
#[derive(Debug)]
pub(crate) enum Word {
    Start(Answer),
    Finish,
    Reject {
        status: pointspindle_wire::WireStatus,
        note: pointspindle_wire::WireNote,
        ran: bool,
        load: pointspindle_wire::LoadReport,
    },
    Cut,
    Down,
}

struct Locked {
    world: World,
    words: HashMap<JobId, (HostId, mpsc::UnboundedSender<Word>)>,
    fills: HashMap<FillId, AbortHandle>,
    listeners: HashMap<HostId, AbortHandle>,
    next: JobId,
    out: Vec<Out>,
}

/// Members on sockets. Clones share them.
#[derive(Clone)]
pub struct Stage {
    inner: Arc<Inner>,
}

pub(crate) struct Inner {
    locked: Mutex<Locked>,
    timer: Notify,
    pub recorder: Recorder,
    pub classes: Vec<ClassModel>,
    pub options: StageOptions,
    links: tokio::sync::Mutex<HashMap<(HostId, String), Link>>,
}

impl std::fmt::Debug for Stage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Stage")
    }
}

impl Stage {
    pub fn new(world: World, classes: Vec<ClassModel>, recorder: Recorder, options: StageOptions) -> Self {
        let locked = Locked {
            world,
            words: HashMap::new(),
            fills: HashMap::new(),
            listeners: HashMap::new(),
            next: 0,
            out: Vec::new(),
        };
        let inner = Inner {
            locked: Mutex::new(locked),
            timer: Notify::new(),
            recorder,
            classes,
            options,
            links: Default::default(),
        };
        Self { inner: Arc::new(inner) }
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
        self.inner.locked.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn now(&self) -> Micros {
        EPOCH + self.inner.recorder.now()
    }

    pub(crate) fn inner(&self) -> &Inner {
        &self.inner
    }

    /// A look at the world.
    pub fn with<T>(&self, look: impl FnOnce(&mut World) -> T) -> T {
        look(&mut self.lock().world)
    }

    pub fn tell(&self, input: In) {
        self.handle(self.lock(), input);
    }

    /// Opens a request at a member.
    pub(crate) fn arrive(&self, host: HostId, wanted: Wanted) -> (JobId, mpsc::UnboundedReceiver<Word>) {
        let (sender, words) = mpsc::unbounded_channel();
        let mut locked = self.lock();
        locked.next += 1;
        let job = locked.next;
        locked.words.insert(job, (host, sender));
        self.handle(locked, In::Arrive { host, job, wanted });
        (job, words)
    }

    pub(crate) fn forget(&self, job: JobId) {
        self.lock().words.remove(&job);
    }

    fn handle(&self, mut locked: MutexGuard<'_, Locked>, input: In) {
        let now = self.now();
        let mut out = std::mem::take(&mut locked.out);
        locked.world.handle(now, input, &mut out);
        for wish in out.drain(..) {
            let (job, word) = match wish {
                Out::Start { job, answer, .. } => (job, Word::Start(answer)),
                Out::Finish { job, .. } => (job, Word::Finish),
                Out::Reject { job, status, note, may_have_run: ran, load, .. } => {
                    (job, Word::Reject { status, note, ran, load })
                }
                Out::Cut { job, .. } => (job, Word::Cut),
                Out::Fill { host, fill, source, wanted } => {
                    let task = tokio::spawn(fills::run(self.clone(), host, fill, source, wanted));
                    locked.fills.retain(|_, task| !task.is_finished());
                    locked.fills.insert(fill, task.abort_handle());
                    continue;
                }
                Out::DropFill { fill, .. } => {
                    if let Some(task) = locked.fills.remove(&fill) {
                        task.abort();
                    }
                    continue;
                }
                Out::Down { host, why } => {
                    let address = self.address(&locked.world, host);
                    self.inner.recorder.saw(Saw::Fell { host: address, why: why.into() });
                    if let Some(listener) = locked.listeners.remove(&host) {
                        listener.abort();
                    }
                    locked.words.retain(|_, (at, words)| {
                        if *at == host {
                            let _ = words.send(Word::Down);
                        }
                        *at != host
                    });
                    continue;
                }
                Out::Up { host } => {
                    let address = self.address(&locked.world, host);
                    self.inner.recorder.saw(Saw::Started { host: address, cold: true });
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

    fn address(&self, world: &World, host: HostId) -> String {
        world.hosts().find(|(id, _)| *id == host).map(|(_, spec)| spec.address.clone()).unwrap_or_default()
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
                        _ = tokio::time::sleep(wait) => self.tell(In::Tick),
                        _ = self.inner.timer.notified() => {}
                    }
                }
            }
        }
    }

    /// Listens at a member's address. Its last process may have left the port a moment ago.
    async fn listen(&self, host: HostId) -> std::io::Result<()> {
        let address: SocketAddr = self.address_of(host).parse().map_err(std::io::Error::other)?;
        let mut tries = 0;
        let listener = loop {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            match socket.bind(address).and_then(|()| socket.listen(1024)) {
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

    /// A member's connection to a source; opened when needed.
    pub(crate) async fn link(&self, host: HostId, source: &str) -> std::io::Result<Link> {
        let key = (host, source.to_owned());
        let mut links = self.inner.links.lock().await;
        if let Some(link) = links.get(&key).filter(|link| link.takes_calls()) {
            return Ok(link.clone());
        }
        let target: SocketAddr = source.parse().map_err(std::io::Error::other)?;
        let socket = TcpSocket::new_v4()?;
        if let Some(ip) = self.inner.options.fills_from {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let connect = tokio::time::timeout(Duration::from_millis(250), socket.connect(target));
        let socket = connect.await.map_err(std::io::Error::other)??;
        let (link, mut incoming) = Link::start(socket, Side::Caller, LinkOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        links.retain(|_, link| !link.is_closed());
        links.insert(key, link.clone());
        Ok(link)
    }
}
