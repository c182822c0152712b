//! Connections to members: one for each address, opened when first needed, closed when unused or when they carry nothing
//! any more ([`crate::keep_alive`]), opened again each in its own time ([`crate::reconnect_backoff`]).
use super::call_attempts::Tries;
use super::core_handle::{AttemptId, CoreHandle, EndpointTransport, UpstreamCall};
use crate::core::{AttemptEnd, Input};
use crate::keep_alive::{KeepAlive, KeepAliveRule, KeepAliveVerdict};
use crate::reconnect_backoff::{ConnectDecision, ReconnectBackoff};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_config::{DispatcherSettings, UpstreamSettings};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{Frame, HelloHead, ProbeHead, RequestHead, WorkRequestHead};
use pointspindle_transport::{
    BufferMeter, Call, ConnectFailure, ConnectionError, ConnectionOptions, FramedConnection,
    Inbound, Network, ResponsePart, Socket,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A dispatcher whose members speak the framed protocol.
pub(crate) type FramedCore = CoreHandle<FramedTransport>;

#[derive(Debug)]
pub(crate) struct FramedTransport {
    pub pool: Pool,
    /// What the core wishes of members beside requests ([`carry_out`]). Not done at once: it wishes under its lock, which a
    /// connection's writer takes for each request that begins.
    wishes: mpsc::UnboundedSender<EndpointIntent>,
    pub tries: Arc<Tries>,
}

/// Of a member, though no request goes there.
#[derive(Debug)]
pub(crate) enum EndpointIntent {
    /// A connection, so that it can say who it is.
    Meet(String),
    /// Work from one that gives it by asking.
    Want(String, u64),
}

impl FramedCore {
    /// ... and what is wished of members ([`carry_out`]).
    pub fn framed(
        settings: Arc<DispatcherSettings>,
        seed: u64,
        net: Network,
    ) -> (Self, mpsc::UnboundedReceiver<EndpointIntent>) {
        let (wishes, wished) = mpsc::unbounded_channel();
        // As many again as may run: those that are remembered.
        let tries = Tries::new(2 * settings.max_requests);
        let upstream = settings.upstream.clone();
        let side = |meter: &BufferMeter| FramedTransport {
            pool: Pool::new(upstream, seed, meter.clone(), net),
            wishes,
            tries,
        };
        (Self::new(settings, seed, side), wished)
    }
}

impl FramedCore {
    pub(crate) fn items(&self) -> super::StateCounts {
        let counts = self.state_counts();
        super::StateCounts {
            endpoints: counts.endpoints,
            purges: counts.purges,
            dispatchers: counts.dispatchers,
            connections: self.transport.pool.count(),
        }
    }
}

impl EndpointTransport for FramedTransport {
    type Call = Call;

    /// Requests of the framed protocol have no body.
    async fn call(
        hub: &Arc<FramedCore>,
        ticket: AttemptId,
        endpoint: &str,
        mut request: RequestHead,
        _body: &Bytes,
    ) -> Result<Call, AttemptEnd> {
        match hub.transport.pool.link(hub, endpoint).await {
            Err(NoLink::Failed(why)) => {
                tracing::debug!(endpoint, why, "no connection");
                Err(AttemptEnd::ConnectFailed)
            }
            // Decided for a process that is gone: decided anew, with what the new one has said.
            Err(NoLink::Replaced | NoLink::LocalShortage) => Err(AttemptEnd::NotSent),
            Ok(link) => {
                let desk = hub.clone();
                // Asked again wherever the socket takes its first byte: it may be full now.
                let word = move || {
                    desk.begin_attempt(ticket)?.word(&mut request);
                    Some(request.clone())
                };
                link.call_deferred(Box::new(word)).map_err(|e| match e {
                    ConnectionError::NoStream(_) => AttemptEnd::NotSent,
                    _ => AttemptEnd::ConnectFailed,
                })
            }
        }
    }

    fn connect(&self, endpoint: String) {
        let _ = self.wishes.send(EndpointIntent::Meet(endpoint));
    }

    fn request_work(&self, endpoint: &str, work_us: u64) {
        let _ = self
            .wishes
            .send(EndpointIntent::Want(endpoint.to_owned(), work_us));
    }
}

impl UpstreamCall for Call {
    async fn next(&mut self) -> Option<ResponsePart> {
        Call::next(self).await
    }

    fn try_next(&mut self) -> Option<ResponsePart> {
        Call::try_next(self)
    }
}

#[derive(Clone, Debug)]
enum Slot {
    Connecting,
    /// Open; `replaced`: another process than before answers, and what waited was meant for the old one.
    Ready {
        link: FramedConnection,
        replaced: bool,
    },
    Failed(String),
    /// This machine could make none: no word about the member.
    LocalShortage,
}

/// Why there is no connection for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoLink {
    Failed(String),
    /// There is one, to another process than the attempt was decided for.
    Replaced,
    /// This machine could make none.
    LocalShortage,
}

#[derive(Debug)]
struct Entry {
    slot: watch::Receiver<Slot>,
    used: Instant,
    health: KeepAlive,
}

/// Forgets an address when its connection has ended or failed.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    settings: UpstreamSettings,
    entries: Arc<Mutex<HashMap<String, Entry>>>,
    /// Addresses that said hello on their last connection, and when: a new one is used after its hello. Forgotten with
    /// [`GREETED_KEPT`], or when the connection brings none.
    greeted: Arc<Mutex<HashMap<String, Instant>>>,
    /// Addresses that broke or could not be reached; forgotten a minute after the last word.
    redials: Arc<Mutex<HashMap<String, ReconnectBackoff>>>,
    dice: Arc<Mutex<StdRng>>,
    meter: BufferMeter,
    net: Network,
    born: Instant,
    /// This process, to members.
    pub process: u64,
}

/// Time between two looks at all connections; no connection has a timer of its own.
const LOOK: Duration = Duration::from_millis(100);
/// An address that was not connected for so long is met as a stranger.
const GREETED_KEPT: Duration = Duration::from_secs(600);

impl Pool {
    pub fn new(settings: UpstreamSettings, seed: u64, meter: BufferMeter, net: Network) -> Self {
        let process = std::hash::RandomState::new().build_hasher().finish().max(1);
        // Its own: dispatchers that are given the same seed must not come back together.
        let dice = Arc::new(Mutex::new(StdRng::seed_from_u64(seed ^ process)));
        let (entries, greeted, redials) = Default::default();
        Self {
            settings,
            entries,
            greeted,
            redials,
            dice,
            meter,
            net,
            born: Instant::now(),
            process,
        }
    }

    fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }

    fn redials(&self) -> MutexGuard<'_, HashMap<String, ReconnectBackoff>> {
        self.redials
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn roll(&self) -> f64 {
        self.dice
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .gen()
    }

    fn failed(&self, address: &str) {
        let (now, dice) = (self.now(), self.roll());
        self.redials()
            .entry(address.to_owned())
            .or_default()
            .connect_failed(now, dice);
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<String, Entry>> {
        self.entries
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The connection to an address, shared with whoever else waits for it. Safe to drop while waiting: the
    /// connecting goes on for the others.
    pub async fn link(
        &self,
        hub: &Arc<FramedCore>,
        address: &str,
    ) -> Result<FramedConnection, NoLink> {
        let (mut slot, waited) = {
            let mut entries = self.entries();
            match entries.get_mut(address) {
                Some(entry) if !self.is_spent(&entry.slot.borrow()) => {
                    entry.used = Instant::now();
                    let waited = matches!(*entry.slot.borrow(), Slot::Connecting);
                    (entry.slot.clone(), waited)
                }
                _ => {
                    let now = self.now();
                    let wait = match self
                        .redials()
                        .get(address)
                        .map_or(ConnectDecision::Now, |r| r.decide(now))
                    {
                        ConnectDecision::Now => 0,
                        ConnectDecision::After(wait) => wait,
                        ConnectDecision::RejectFor(wait) => {
                            let ms = wait.div_ceil(1_000);
                            return Err(NoLink::Failed(format!(
                                "it failed lately; next try in {ms} ms"
                            )));
                        }
                    };
                    let (sender, slot) = watch::channel(Slot::Connecting);
                    let entry = Entry {
                        slot: slot.clone(),
                        used: Instant::now(),
                        health: KeepAlive::default(),
                    };
                    entries.insert(address.to_owned(), entry);
                    tokio::spawn(connect(hub.clone(), address.to_owned(), sender, wait));
                    (slot, true)
                }
            }
        };
        let slot = slot
            .wait_for(|slot| !matches!(slot, Slot::Connecting))
            .await;
        match slot.as_deref() {
            Ok(Slot::Ready { replaced: true, .. }) if waited => Err(NoLink::Replaced),
            Ok(Slot::Ready { link, .. }) => Ok(link.clone()),
            Ok(Slot::Failed(why)) => Err(NoLink::Failed(why.clone())),
            Ok(Slot::LocalShortage) => Err(NoLink::LocalShortage),
            _ => Err(NoLink::Failed("connecting was given up".into())),
        }
    }

    fn is_spent(&self, slot: &Slot) -> bool {
        match slot {
            Slot::Connecting => false,
            Slot::Ready { link, .. } => !link.accepts_calls(),
            Slot::Failed(_) | Slot::LocalShortage => true,
        }
    }

    /// Asks a member for work; without a connection nobody hears it.
    pub fn want(&self, address: &str, work_us: u64) {
        let entries = self.entries();
        let slot = entries.get(address).map(|entry| entry.slot.borrow());
        if let Some(Slot::Ready { link, .. }) = slot.as_deref() {
            link.push_control(Frame::WorkRequest(WorkRequestHead { work_us }));
        }
    }

    pub fn count(&self) -> usize {
        self.entries().len()
    }

    /// Closes connections that nobody has used for long or that carry nothing any more, and forgets those that are spent.
    /// How many gave no sign of life.
    fn sweep(&self) -> u64 {
        let idle = Duration::from_micros(self.settings.idle_timeout_us);
        let s = &self.settings;
        let rule = KeepAliveRule {
            quiet: s.ping_when_awaiting_us,
            idle: s.ping_when_idle_us,
            answer: s.ping_timeout_us,
        };
        let now = self.now();
        let mut dead = 0;
        let mut greeted = self.greeted();
        self.entries().retain(|address, entry| {
            let slot = entry.slot.borrow();
            if self.is_spent(&slot) {
                return false;
            }
            let Slot::Ready { link, .. } = &*slot else { return true };
            let unused = link.open_streams() == 0 && entry.used.elapsed() > idle;
            if unused {
                link.close("unused");
                return false;
            }
            // Who says hello answers probes; of others silence tells nothing.
            if !greeted.contains_key(address) {
                return true;
            }
            let heard = now.saturating_sub(link.time_since_last_frame().as_micros() as Micros);
            match entry.health.check(&rule, now, heard, link.open_streams() > 0) {
                KeepAliveVerdict::Healthy => true,
                KeepAliveVerdict::SendPing => {
                    link.push_control(Frame::Probe(ProbeHead { token: now, ..Default::default() }));
                    true
                }
                KeepAliveVerdict::Close => {
                    tracing::warn!(endpoint = %address, "no sign of life on the connection; closing it");
                    link.abort("no sign of life");
                    dead += 1;
                    false
                }
            }
        });
        greeted.retain(|_, at| at.elapsed() < GREETED_KEPT);
        self.redials().retain(|_, r| !r.is_old(now));
        dead
    }

    fn greeted(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.greeted
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn socket(&self, address: &str) -> Result<Socket, ConnectFailure> {
        let invalid =
            |e| ConnectFailure::Peer(std::io::Error::new(std::io::ErrorKind::InvalidInput, e));
        let target: SocketAddr = address.parse().map_err(invalid)?;
        let longest = Duration::from_micros(self.settings.connect_timeout_us);
        self.net
            .connect_within(self.settings.bind, target, longest)
            .await
    }
}

async fn connect(hub: Arc<FramedCore>, address: String, sender: watch::Sender<Slot>, wait: Micros) {
    let pool = &hub.transport.pool;
    tokio::time::sleep(Duration::from_micros(wait)).await;
    let failed = |why: String| {
        pool.failed(&address);
        sender.send_replace(Slot::Failed(why));
    };
    let socket = match pool.socket(&address).await {
        Ok(socket) => socket,
        Err(e) if e.is_of_peer() => return failed(e.to_string()),
        Err(e) => {
            tracing::warn!(endpoint = address, error = %e, "no connection");
            sender.send_replace(Slot::LocalShortage);
            return;
        }
    };
    let options = ConnectionOptions {
        max_streams: pool.settings.max_streams,
    };
    let meter = pool.meter.clone();
    let (link, mut incoming) =
        FramedConnection::start_metered(socket, Side::Caller, options, meter);
    // So that a member which warms up knows whom to lease its work to.
    let own = HelloHead {
        incarnation: pool.process,
        started_ago_us: None,
        dispatcher: true,
        requests_work: true,
        lease_us: None,
    };
    let _ = link.control(Frame::Hello(own)).await;
    let mut replaced = false;
    if pool.greeted().contains_key(&address) {
        // It will say who it is: nothing goes out before that, or a process that has just started would get what was
        // decided for the one before. One that says nothing in time is as one that never did.
        let wait = Duration::from_micros(pool.settings.hello_timeout_us);
        match tokio::time::timeout(wait, incoming.next()).await {
            // Cut before its hello: that is no word of not saying any. The next connection waits for it too.
            Ok(None) => return failed("cut before its hello".into()),
            Ok(Some(first @ Inbound::Control(Frame::Hello(_)))) => {
                replaced = heard(&hub, &address, first)
            }
            Ok(Some(first)) => {
                pool.greeted().remove(&address);
                heard(&hub, &address, first);
            }
            Err(_) => {
                pool.greeted().remove(&address);
            }
        }
    }
    sender.send_replace(Slot::Ready {
        link: link.clone(),
        replaced,
    });
    while let Some(inbound) = incoming.next().await {
        heard(&hub, &address, inbound);
    }
    if link.ended_unexpectedly() {
        let (now, dice) = (pool.now(), pool.roll());
        pool.redials()
            .entry(address.clone())
            .or_default()
            .connection_lost(now, dice);
        if pool.greeted().contains_key(&address) {
            hub.transport.connect(address);
        }
    } else {
        pool.redials().remove(&address);
    }
}

/// Members ask nothing of a dispatcher; a go-away is noted by the link itself. True for the hello of another process
/// than was there before.
fn heard(hub: &Arc<FramedCore>, address: &str, inbound: Inbound) -> bool {
    match inbound {
        Inbound::Control(Frame::Hello(hello)) => greet(hub, address, hello),
        Inbound::Control(Frame::Lease(lease)) => {
            hub.apply(Input::Lease {
                endpoint: address.to_owned(),
                lease,
            });
            false
        }
        _ => false,
    }
}

/// True if another process was there before.
fn greet(hub: &Arc<FramedCore>, address: &str, hello: HelloHead) -> bool {
    hub.transport
        .pool
        .greeted()
        .insert(address.to_owned(), Instant::now());
    let replaced = hub.apply_hello(address, hello);
    if replaced {
        tracing::info!(
            endpoint = address,
            ago_us = hello.started_ago_us,
            "member has restarted, by its own word"
        );
    }
    replaced
}

/// How long a connection is tried for though no request wants it.
const MEETING: Duration = Duration::from_secs(20);

/// Carries out what the core wishes beside requests. It connects to members whose word is wanted: one that said hello and whose connection broke
/// may be another process now, and only it can say what it takes; and one that is told to have started.
pub(crate) async fn carry_out(
    hub: Arc<FramedCore>,
    mut wished: mpsc::UnboundedReceiver<EndpointIntent>,
) {
    let mut meetings = JoinSet::new();
    while let Some(wish) = wished.recv().await {
        while meetings.try_join_next().is_some() {}
        let address = match wish {
            EndpointIntent::Meet(address) => address,
            EndpointIntent::Want(address, work_us) => {
                hub.transport.pool.want(&address, work_us);
                continue;
            }
        };
        let hub = hub.clone();
        meetings.spawn(async move {
            let met = async {
                while let Err(NoLink::Failed(_)) = hub.transport.pool.link(&hub, &address).await {
                    let pause = 25.0 * (0.5 + hub.transport.pool.roll());
                    tokio::time::sleep(Duration::from_secs_f64(pause / 1e3)).await;
                }
            };
            let _ = tokio::time::timeout(MEETING, met).await;
        });
    }
}

pub(crate) async fn sweep(hub: Arc<FramedCore>) {
    loop {
        tokio::time::sleep(LOOK).await;
        hub.metrics
            .dead_connections
            .inc_by(hub.transport.pool.sweep());
        hub.metrics
            .purges_proven
            .set(hub.purges_confirmed().map_or(-1, i64::from));
        hub.metrics.buffered.set(hub.meter.buffered_bytes() as i64);
        hub.metrics
            .known_calls
            .set(hub.transport.tries.known() as i64);
        hub.metrics
            .members_connected
            .set(hub.transport.pool.count() as i64);
    }
}
