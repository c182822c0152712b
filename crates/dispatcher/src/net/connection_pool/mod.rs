//! Connections to endpoints: one per address, opened when first needed, closed when unused or unresponsive
//! ([`crate::keep_alive`]), and reopened with a backoff per address ([`crate::reconnect_backoff`]).
mod connect;

use crate::keep_alive::{KeepAlive, KeepAliveAction, KeepAliveRule};
use crate::reconnect_backoff::{ConnectDecision, ReconnectBackoff};
use pointspindle::Micros;
use pointspindle_config::UpstreamSettings;
use pointspindle_protocol::{Frame, HelloHead, LeaseHead, ProbeHead, WorkRequestHead};
use pointspindle_transport::{BufferMeter, FramedConnection, Network};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// An address that has sent no hello for this long is no longer expected to send one.
const HELLO_SENDER_RETENTION: Duration = Duration::from_secs(600);

/// Events of the pool's connections, handled by the owner of the pool.
pub(super) trait ConnectionEvents: Send + Sync + 'static {
    /// An endpoint sent a hello. Returns whether another process was at its address before.
    fn hello_received(&self, endpoint: &str, hello: HelloHead) -> bool;
    /// An endpoint leased capacity to this dispatcher.
    fn lease_received(&self, endpoint: &str, lease: LeaseHead);
    /// The connection to an endpoint that sends a hello was lost, so a new one is to be opened.
    fn connection_lost(&self, endpoint: String);
}

#[derive(Clone, Debug)]
enum ConnectionState {
    Connecting,
    Ready {
        connection: FramedConnection,
        /// Whether another process than before answered: requests that waited were meant for the previous process.
        replaced: bool,
    },
    Failed(String),
    /// This machine lacks the resources to open a connection, which says nothing about the endpoint's health.
    LocalResourceShortage,
}

impl ConnectionState {
    fn accepts_calls(&self) -> bool {
        match self {
            Self::Connecting => true,
            Self::Ready { connection, .. } => connection.accepts_calls(),
            Self::Failed(_) | Self::LocalResourceShortage => false,
        }
    }
}

/// Reason reason there is no connection for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// Connecting failed or is in backoff.
    Failed(String),
    /// The connection leads to another process than the one for which the attempt was decided.
    Replaced,
    /// This machine lacks the resources to open a connection.
    LocalResourceShortage,
}

#[derive(Debug)]
struct PoolEntry {
    state: watch::Receiver<ConnectionState>,
    last_used: Instant,
    keep_alive: KeepAlive,
}

/// At most one connection per endpoint address. An entry is removed once its connection has ended or failed.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionPool {
    settings: UpstreamSettings,
    entries: Arc<Mutex<HashMap<String, PoolEntry>>>,
    /// Addresses that sent a hello on their last connection, with its time: a new connection to them is used only after its
    /// hello. An entry is removed after [`HELLO_SENDER_RETENTION`], or when a connection yields no hello.
    hello_senders: Arc<Mutex<HashMap<String, Instant>>>,
    /// Backoffs of addresses whose connections broke or could not be opened; removed a minute after the last failure.
    backoffs: Arc<Mutex<HashMap<String, ReconnectBackoff>>>,
    rng: Arc<Mutex<StdRng>>,
    meter: BufferMeter,
    network: Network,
    started_at: Instant,
    /// Incarnation of this process, sent to endpoints in the hello.
    pub incarnation: u64,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(
        settings: UpstreamSettings,
        seed: u64,
        meter: BufferMeter,
        network: Network,
    ) -> Self {
        let incarnation = std::hash::RandomState::new().build_hasher().finish().max(1);
        // The seed must differ between processes: dispatchers with the same seed must not reconnect at the same time.
        let rng = StdRng::seed_from_u64(seed ^ incarnation);
        Self {
            settings,
            entries: Arc::default(),
            hello_senders: Arc::default(),
            backoffs: Arc::default(),
            rng: Arc::new(Mutex::new(rng)),
            meter,
            network,
            started_at: Instant::now(),
            incarnation,
        }
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns a random number, uniformly distributed from 0 to 1.
    pub fn random_unit(&self) -> f64 {
        lock(&self.rng).gen()
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<String, PoolEntry>> {
        lock(&self.entries)
    }

    fn hello_senders(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        lock(&self.hello_senders)
    }

    fn backoffs(&self) -> MutexGuard<'_, HashMap<String, ReconnectBackoff>> {
        lock(&self.backoffs)
    }

    /// Returns the connection to an address, shared with all tasks that wait for it. The future may be dropped at any time:
    /// connecting continues for the other tasks.
    pub(super) async fn connection<E: ConnectionEvents>(
        &self,
        events: &Arc<E>,
        address: &str,
    ) -> Result<FramedConnection, NoConnection> {
        let (mut state, was_connecting) = self.get_or_connect(events, address)?;
        let state = state
            .wait_for(|state| !matches!(state, ConnectionState::Connecting))
            .await;
        match state.as_deref() {
            Ok(ConnectionState::Ready { replaced: true, .. }) if was_connecting => {
                Err(NoConnection::Replaced)
            }
            Ok(ConnectionState::Ready { connection, .. }) => Ok(connection.clone()),
            Ok(ConnectionState::Failed(reason)) => Err(NoConnection::Failed(reason.clone())),
            Ok(ConnectionState::LocalResourceShortage) => Err(NoConnection::LocalResourceShortage),
            _ => Err(NoConnection::Failed("connecting was aborted".into())),
        }
    }

    /// Returns the state of the connection to an address, which is opened if there is none, and whether it is still being
    /// opened.
    fn get_or_connect<E: ConnectionEvents>(
        &self,
        events: &Arc<E>,
        address: &str,
    ) -> Result<(watch::Receiver<ConnectionState>, bool), NoConnection> {
        let mut entries = self.entries();
        if let Some(entry) = entries.get_mut(address) {
            if entry.state.borrow().accepts_calls() {
                entry.last_used = Instant::now();
                let still_connecting = matches!(*entry.state.borrow(), ConnectionState::Connecting);
                return Ok((entry.state.clone(), still_connecting));
            }
        }
        let delay = self.reconnect_delay(address)?;
        let (sender, state) = watch::channel(ConnectionState::Connecting);
        let entry = PoolEntry {
            state: state.clone(),
            last_used: Instant::now(),
            keep_alive: KeepAlive::default(),
        };
        entries.insert(address.to_owned(), entry);
        let task = connect::ConnectionTask {
            pool: self.clone(),
            events: events.clone(),
            address: address.to_owned(),
        };
        tokio::spawn(task.run(sender, delay));
        Ok((state, true))
    }

    fn reconnect_delay(&self, address: &str) -> Result<Duration, NoConnection> {
        let now = self.now();
        let decision = self
            .backoffs()
            .get(address)
            .map_or(ConnectDecision::Now, |backoff| backoff.decide(now));
        match decision {
            ConnectDecision::Now => Ok(Duration::ZERO),
            ConnectDecision::After(wait) => Ok(Duration::from_micros(wait)),
            ConnectDecision::RejectFor(wait) => {
                let ms = wait.div_ceil(1_000);
                let reason =
                    format!("endpoint failed recently; next connection attempt in {ms} ms");
                Err(NoConnection::Failed(reason))
            }
        }
    }

    fn connect_failed(&self, address: &str) {
        let now = self.now();
        let random_unit = self.random_unit();
        self.backoffs()
            .entry(address.to_owned())
            .or_default()
            .connect_failed(now, random_unit);
    }

    /// Sends a work request to an endpoint if there is a connection to it.
    pub fn request_work(&self, address: &str, work_us: u64) {
        let entries = self.entries();
        let state = entries.get(address).map(|entry| entry.state.borrow());
        if let Some(ConnectionState::Ready { connection, .. }) = state.as_deref() {
            connection.push_control(Frame::WorkRequest(WorkRequestHead { work_us }));
        }
    }

    /// Number of addresses with a connection, open or being opened.
    pub fn count(&self) -> usize {
        self.entries().len()
    }

    /// Closes connections that have been unused for too long or are unresponsive, and removes those that accept no more
    /// calls. Returns the number of unresponsive connections.
    pub fn sweep(&self) -> u64 {
        let now = self.now();
        let mut unresponsive = 0;
        let mut hello_senders = self.hello_senders();
        self.entries().retain(|address, entry| {
            let verdict = self.sweep_entry(entry, hello_senders.contains_key(address), now);
            if verdict == SweepVerdict::Unresponsive {
                tracing::warn!(endpoint = %address, "endpoint connection closed: no keep-alive reply");
                unresponsive += 1;
            }
            verdict == SweepVerdict::Keep
        });
        hello_senders.retain(|_, at| at.elapsed() < HELLO_SENDER_RETENTION);
        self.backoffs()
            .retain(|_, backoff| !backoff.is_expired(now));
        unresponsive
    }

    fn sweep_entry(&self, entry: &mut PoolEntry, sends_hello: bool, now: Micros) -> SweepVerdict {
        let state = entry.state.borrow();
        if !state.accepts_calls() {
            return SweepVerdict::Remove;
        }
        let ConnectionState::Ready { connection, .. } = &*state else {
            return SweepVerdict::Keep;
        };
        let idle_timeout = Duration::from_micros(self.settings.idle_timeout_us);
        let active = connection.open_streams() > 0;
        if !active && entry.last_used.elapsed() > idle_timeout {
            connection.close("idle timeout expired");
            return SweepVerdict::Remove;
        }
        // Only endpoints that send a hello answer probes; other endpoints may be silent for as long as they like.
        if !sends_hello {
            return SweepVerdict::Keep;
        }
        let since_last_frame = connection.time_since_last_frame().as_micros() as Micros;
        let last_frame_at = now.saturating_sub(since_last_frame);
        let rule = self.keep_alive_rule();
        match entry.keep_alive.check(&rule, now, last_frame_at, active) {
            KeepAliveAction::Healthy => SweepVerdict::Keep,
            KeepAliveAction::SendPing => {
                connection.push_control(Frame::Probe(ProbeHead {
                    token: now,
                    ..Default::default()
                }));
                SweepVerdict::Keep
            }
            KeepAliveAction::Close => {
                connection.abort("no keep-alive reply");
                SweepVerdict::Unresponsive
            }
        }
    }

    fn keep_alive_rule(&self) -> KeepAliveRule {
        KeepAliveRule {
            pending_ping_interval: self.settings.ping_when_awaiting_us,
            idle_ping_interval: self.settings.ping_when_idle_us,
            ping_timeout: self.settings.ping_timeout_us,
        }
    }
}

/// Action of a sweep on an entry.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SweepVerdict {
    Keep,
    Remove,
    /// The entry is removed because the endpoint sent no keep-alive reply.
    Unresponsive,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
