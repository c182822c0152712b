//! Start and graceful shutdown of a cache host.
use super::background::{grant_leases, maintain_store};
use super::connection::{accept_connections, ListenerRole};
use super::fill_sources::FillSources;
use super::host_state::{HostCounters, HostState, Shared, WarmUp, CLOCK_ORIGIN_US};
use crate::fill_table::{FillLimits, FillTable};
use crate::lease::WorkLedger;
use pointspindle_clock::WallClock;
use pointspindle_config::{CacheHostSettings, Role, StoreSettings};
use pointspindle_protocol::HelloHead;
use pointspindle_store::{Folder, Options, Stats, Store, StoreError};
use pointspindle_transport::{Listener, Network};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Error that prevents the start of a host.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A listener could not be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The store could not be opened.
    #[error("cannot open store {0}: {1}")]
    Store(PathBuf, StoreError),
}

/// Addresses that a host listens on, with the ports that the system assigned.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct BoundAddresses {
    /// Address for requests.
    pub framed: SocketAddr,
    /// Address for purges by operators.
    pub control: Option<SocketAddr>,
}

/// A running cache host.
pub struct Host {
    shared: Arc<Shared>,
    bound: BoundAddresses,
    stop: watch::Sender<bool>,
    listeners: JoinSet<()>,
    background: JoinSet<()>,
}

impl std::fmt::Debug for Host {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Host at {}", self.bound.framed)
    }
}

impl Host {
    /// Opens the store and the listeners, and starts to serve.
    pub async fn start(settings: CacheHostSettings, net: Network) -> Result<Self, HostError> {
        let clock = WallClock::start();
        let store = match &settings.store {
            Some(store) => Some(open_store(store.clone(), clock).await?),
            None => None,
        };
        let (framed, framed_address) = listen(&net, settings.framed).await?;
        let control = match settings.control {
            Some(address) => Some(open_listener(&net, address).await?),
            None => None,
        };
        let bound = BoundAddresses {
            framed: framed_address,
            control: control.as_ref().and_then(|c| c.local_addr().ok()),
        };
        let is_warm = is_warm(store.as_ref(), settings.store.as_ref());
        let shared = Arc::new(new_shared(settings, store, net, clock, is_warm));
        let (stop, stopping) = watch::channel(false);
        let mut listeners = JoinSet::new();
        let requests = ListenerRole::Requests;
        listeners.spawn(accept_connections(
            shared.clone(),
            framed,
            stopping.clone(),
            requests,
        ));
        if let Some(control) = control {
            let operators = ListenerRole::Operators;
            listeners.spawn(accept_connections(
                shared.clone(),
                control,
                stopping,
                operators,
            ));
        }
        let mut background = JoinSet::new();
        background.spawn(maintain_store(shared.clone()));
        background.spawn(grant_leases(shared.clone()));
        tracing::info!(name = %shared.settings.name, ?bound, warm = is_warm, "cache host listens");
        Ok(Self {
            shared,
            bound,
            stop,
            listeners,
            background,
        })
    }

    /// Returns the addresses that the host listens on.
    pub fn bound(&self) -> BoundAddresses {
        self.bound
    }

    /// Returns the counters since the start of the host.
    pub fn counters(&self) -> HostCounters {
        self.shared.counters()
    }

    /// Returns the statistics of the store, if there is one.
    pub fn store(&self) -> Option<Stats> {
        self.shared.store.as_ref().map(Store::stats)
    }

    /// Whether the host reports to dispatchers that it started cold, with less than the warm share in its store.
    pub fn is_cold(&self) -> bool {
        self.shared.hello.started_ago_us.is_some()
    }

    /// Shuts down gracefully: accepts no new requests, answers the accepted ones and closes the store, so that the next
    /// start is fast. Returns whether every request was answered within the drain timeout.
    pub async fn stop(mut self) -> bool {
        let _ = self.stop.send(true);
        let drain_timeout = Duration::from_micros(self.shared.settings.drain_timeout_us);
        let listeners_ended = async { while self.listeners.join_next().await.is_some() {} };
        let drained = tokio::time::timeout(drain_timeout, listeners_ended)
            .await
            .is_ok();
        self.listeners.shutdown().await;
        self.background.shutdown().await;
        if let Some(store) = self.shared.store.clone() {
            let closed = tokio::task::spawn_blocking(move || store.close()).await;
            if let Ok(Err(e)) = closed {
                tracing::error!(error = %e, "store close failed");
            }
        }
        drained
    }
}

async fn open_store(settings: StoreSettings, clock: WallClock) -> Result<Store, HostError> {
    let path = settings.path.clone();
    let opening = move || {
        let options = Options {
            capacity: settings.capacity_bytes,
            segment: settings.segment_bytes,
            block: settings.block_bytes,
            memory: settings.memory_bytes,
        };
        let folder = Arc::new(Folder::open_locked(&settings.path)?);
        Store::open(folder, options, clock.steady_ms())
    };
    tokio::task::spawn_blocking(opening)
        .await
        .unwrap_or_else(|e| Err(StoreError::Disk(std::io::Error::other(e))))
        .map_err(|e| HostError::Store(path, e))
}

async fn open_listener(net: &Network, address: SocketAddr) -> Result<Listener, HostError> {
    net.listen_reusing_address(address)
        .await
        .map_err(|e| HostError::Listen(address, e))
}

async fn listen(net: &Network, address: SocketAddr) -> Result<(Listener, SocketAddr), HostError> {
    let listener = open_listener(net, address).await?;
    let bound = listener
        .local_addr()
        .map_err(|e| HostError::Listen(address, e))?;
    Ok((listener, bound))
}

/// Whether the store already holds at least its warm share. This is evaluated before the first request, so that a warm
/// host does not report a cold start.
fn is_warm(store: Option<&Store>, settings: Option<&StoreSettings>) -> bool {
    let (Some(store), Some(settings)) = (store, settings) else {
        return true;
    };
    let stats = store.stats();
    let stored = stats.live_bytes.max(stats.disk_bytes + stats.pending_bytes);
    stored as f64 >= settings.warm_share * settings.capacity_bytes as f64
}

/// Creates the work ledger of a host that starts cold.
fn new_warm_up(settings: &CacheHostSettings) -> WarmUp {
    let largest_request_s = settings
        .classes
        .iter()
        .map(|class| class.mean_send_time_us as f64 / 1e6)
        .fold(0.0, f64::max);
    let slow_start = settings.slow_start;
    WarmUp {
        ledger: WorkLedger::new(
            slow_start,
            settings.weight,
            CLOCK_ORIGIN_US,
            largest_request_s,
        ),
        connections: HashMap::new(),
    }
}

fn new_shared(
    settings: CacheHostSettings,
    store: Option<Store>,
    net: Network,
    clock: WallClock,
    is_warm: bool,
) -> Shared {
    let incarnation = std::hash::RandomState::new().build_hasher().finish();
    let hello = HelloHead {
        incarnation: incarnation.max(1),
        started_ago_us: (!is_warm).then_some(0),
        ..HelloHead::default()
    };
    let leases_work = !is_warm && settings.role == Role::Cache && settings.slow_start.ramp > 0;
    let fill_table = FillTable::new(FillLimits {
        max_fills: settings.max_fills,
        max_waiting: settings.fill_queue,
    });
    let state = HostState::new(fill_table, leases_work.then(|| new_warm_up(&settings)));
    Shared {
        state: Mutex::new(state),
        sources: FillSources::new(&settings, net, clock),
        settings,
        store,
        started_at: Instant::now(),
        clock,
        hello,
    }
}
