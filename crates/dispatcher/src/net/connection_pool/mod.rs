//! Connections to endpoints: one for each address, opened when first needed, closed when unused or dead
//! ([`crate::keep_alive`]), opened again with a backoff for each address ([`crate::reconnect_backoff`]).
mod connect;

use crate::keep_alive::{KeepAlive, KeepAliveRule, KeepAliveVerdict};
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

/// An address without a connection for so long is no longer expected to say hello.
const GREETING_RETENTION: Duration = Duration::from_secs(600);

/// What the pool's connections report to its owner, and need of it.
pub(super) trait ConnectionEvents: Send + Sync + 'static {
    /// An endpoint said hello. True if another process was at its address before.
    fn hello_received(&self, endpoint: &str, hello: HelloHead) -> bool;
    /// An endpoint leased capacity to this dispatcher.
    fn lease_received(&self, endpoint: &str, lease: LeaseHead);
    /// The connection to an endpoint that says hello was lost: it is to be connected to again.
    fn connection_lost(&self, endpoint: String);
}

#[derive(Clone, Debug)]
enum ConnectionState {
    Connecting,
    Ready {
        connection: FramedConnection,
        /// Another process than before answers; what waited was meant for the old one.
        replaced: bool,
    },
    Failed(String),
    /// This machine could open no connection, which is no sign of the endpoint's health.
    LocalShortage,
}

impl ConnectionState {
    fn accepts_calls(&self) -> bool {
        match self {
            Self::Connecting => true,
            Self::Ready { connection, .. } => connection.accepts_calls(),
            Self::Failed(_) | Self::LocalShortage => false,
        }
    }
}

/// Why there is no connection for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// Connecting failed, or is in backoff.
    Failed(String),
    /// There is one, to another process than the attempt was decided for.
    Replaced,
    /// This machine could open none.
    LocalShortage,
}

#[derive(Debug)]
struct PoolEntry {
    state: watch::Receiver<ConnectionState>,
    last_used: Instant,
    health: KeepAlive,
}

/// One connection for each endpoint address. An entry is removed when its connection has ended or failed.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionPool {
    settings: UpstreamSettings,
    entries: Arc<Mutex<HashMap<String, PoolEntry>>>,
    /// Addresses that said hello on their last connection, and when: a new connection is used after its hello. Removed after
    /// [`GREETING_RETENTION`], or when a connection brings no hello.
    greeted: Arc<Mutex<HashMap<String, Instant>>>,
    /// Addresses that broke or could not be reached; removed a minute after the last failure.
    backoffs: Arc<Mutex<HashMap<String, ReconnectBackoff>>>,
    rng: Arc<Mutex<StdRng>>,
    meter: BufferMeter,
    network: Network,
    started_at: Instant,
    /// Identifies this process to endpoints.
    pub process: u64,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(
        settings: UpstreamSettings,
        seed: u64,
        meter: BufferMeter,
        network: Network,
    ) -> Self {
        let process = std::hash::RandomState::new().build_hasher().finish().max(1);
        // Differs between processes: dispatchers with the same seed must not reconnect at the same time.
        let rng = StdRng::seed_from_u64(seed ^ process);
        Self {
            settings,
            entries: Arc::default(),
            greeted: Arc::default(),
            backoffs: Arc::default(),
            rng: Arc::new(Mutex::new(rng)),
            meter,
            network,
            started_at: Instant::now(),
            process,
        }
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Uniform from 0 to 1.
    pub fn random_unit(&self) -> f64 {
        lock(&self.rng).gen()
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<String, PoolEntry>> {
        lock(&self.entries)
    }

    fn greeted(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        lock(&self.greeted)
    }

    fn backoffs(&self) -> MutexGuard<'_, HashMap<String, ReconnectBackoff>> {
        lock(&self.backoffs)
    }

    /// The connection to an address, shared with all who wait for it. Safe to drop while waiting: connecting goes on for
    /// the others.
    pub(super) async fn connection<E: ConnectionEvents>(
        &self,
        events: &Arc<E>,
        address: &str,
    ) -> Result<FramedConnection, NoConnection> {
        let (mut state, waited) = self.current_or_new(events, address)?;
        let state = state
            .wait_for(|state| !matches!(state, ConnectionState::Connecting))
            .await;
        match state.as_deref() {
            Ok(ConnectionState::Ready { replaced: true, .. }) if waited => {
                Err(NoConnection::Replaced)
            }
            Ok(ConnectionState::Ready { connection, .. }) => Ok(connection.clone()),
            Ok(ConnectionState::Failed(why)) => Err(NoConnection::Failed(why.clone())),
            Ok(ConnectionState::LocalShortage) => Err(NoConnection::LocalShortage),
            _ => Err(NoConnection::Failed("connecting was given up".into())),
        }
    }

    /// The state of the address's connection, started where there is none; and whether it is still being opened.
    fn current_or_new<E: ConnectionEvents>(
        &self,
        events: &Arc<E>,
        address: &str,
    ) -> Result<(watch::Receiver<ConnectionState>, bool), NoConnection> {
        let mut entries = self.entries();
        if let Some(entry) = entries.get_mut(address) {
            if entry.state.borrow().accepts_calls() {
                entry.last_used = Instant::now();
                let waits = matches!(*entry.state.borrow(), ConnectionState::Connecting);
                return Ok((entry.state.clone(), waits));
            }
        }
        let delay = self.reconnect_delay(address)?;
        let (sender, state) = watch::channel(ConnectionState::Connecting);
        let entry = PoolEntry {
            state: state.clone(),
            last_used: Instant::now(),
            health: KeepAlive::default(),
        };
        entries.insert(address.to_owned(), entry);
        let connect = connect::Connect {
            pool: self.clone(),
            events: events.clone(),
            address: address.to_owned(),
        };
        tokio::spawn(connect.run(sender, delay));
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
                let why = format!("it failed lately; next try in {ms} ms");
                Err(NoConnection::Failed(why))
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

    /// Requests work from an endpoint, if there is a connection to it.
    pub fn request_work(&self, address: &str, work_us: u64) {
        let entries = self.entries();
        let state = entries.get(address).map(|entry| entry.state.borrow());
        if let Some(ConnectionState::Ready { connection, .. }) = state.as_deref() {
            connection.push_control(Frame::WorkRequest(WorkRequestHead { work_us }));
        }
    }

    /// Addresses with a connection or an attempt to open one.
    pub fn count(&self) -> usize {
        self.entries().len()
    }

    /// Closes connections that are unused for too long or dead, and removes those that take no calls any more. Returns how
    /// many were dead.
    pub fn sweep(&self) -> u64 {
        let now = self.now();
        let mut dead = 0;
        let mut greeted = self.greeted();
        self.entries().retain(|address, entry| {
            let verdict = self.sweep_entry(entry, greeted.contains_key(address), now);
            if verdict == SweepVerdict::Dead {
                tracing::warn!(endpoint = %address, "endpoint connection closed: no keep-alive reply");
                dead += 1;
            }
            verdict == SweepVerdict::Keep
        });
        greeted.retain(|_, at| at.elapsed() < GREETING_RETENTION);
        self.backoffs()
            .retain(|_, backoff| !backoff.is_expired(now));
        dead
    }

    fn sweep_entry(&self, entry: &mut PoolEntry, greeted: bool, now: Micros) -> SweepVerdict {
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
            connection.close("unused");
            return SweepVerdict::Remove;
        }
        // Only endpoints that say hello answer probes; the silence of others is no sign of death.
        if !greeted {
            return SweepVerdict::Keep;
        }
        let since_last_frame = connection.time_since_last_frame().as_micros() as Micros;
        let last_frame_at = now.saturating_sub(since_last_frame);
        let rule = self.keep_alive_rule();
        match entry.health.check(&rule, now, last_frame_at, active) {
            KeepAliveVerdict::Healthy => SweepVerdict::Keep,
            KeepAliveVerdict::SendPing => {
                connection.push_control(Frame::Probe(ProbeHead {
                    token: now,
                    ..Default::default()
                }));
                SweepVerdict::Keep
            }
            KeepAliveVerdict::Close => {
                connection.abort("no keep-alive reply");
                SweepVerdict::Dead
            }
        }
    }

    fn keep_alive_rule(&self) -> KeepAliveRule {
        KeepAliveRule {
            ping_when_awaiting: self.settings.ping_when_awaiting_us,
            ping_when_idle: self.settings.ping_when_idle_us,
            ping_timeout: self.settings.ping_timeout_us,
        }
    }
}

/// What a sweep does with an entry.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SweepVerdict {
    Keep,
    Remove,
    /// Removed because the endpoint sent no keep-alive reply.
    Dead,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
