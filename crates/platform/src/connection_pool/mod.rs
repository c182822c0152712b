//! Pool of connections to cache hosts, parents and the origin: several for each endpoint, opened before they are
//! needed, limited in total.
//!
//! A response that cannot be decoded ends its connection and all requests in flight on it. Requests are therefore
//! spread: each is sent over the connection with the fewest requests in flight, and another connection is opened while
//! spare ones are short. Endpoints are identified by their discovery id, and connections belong to an id, not to an
//! address.
//!
//! A request that waits for a connection is woken by each change of its endpoint and by each connection that is opened
//! or ends. The core then decides whether the request may still begin, and again right before its first byte is sent
//! (`crate::connection`).
//!
//! The state has an entry for each endpoint, which is dropped when the endpoint has been removed and its last
//! connection has ended.
mod call;
mod connector;
mod endpoint;
mod maintenance;

pub use call::LineProtocolCall;
pub use connector::connect_requested;
pub use maintenance::run_maintenance;

use crate::connection::{Connection, UnwrittenCancellations};
use crate::memory::MemoryMonitor;
use crate::pause_detector::PauseDetector;
use crate::settings::PlatformSettings;
use endpoint::Endpoint;
use pointspindle::Micros;
use pointspindle_config::{Role, UpstreamSettings};
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::net::core_handle::{AttemptId, CoreHandle};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;
use tokio::sync::futures::OwnedNotified;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Number of connections to an endpoint that are idle or being opened, below which a request opens another one.
const MIN_SPARE_CONNECTIONS: usize = 2;

/// The core of the dispatcher, with the connections of the platform.
pub type PlatformCore = CoreHandle<ConnectionPool>;

/// Description of an endpoint for the pool.
#[derive(Clone, Debug)]
pub struct EndpointAddress {
    /// Id of the endpoint.
    pub id: String,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Role of the endpoint.
    pub role: Role,
    /// Whether the endpoint has been removed, so that no new connections are opened.
    pub is_removed: bool,
}

/// Number of connections and endpoints in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCounts {
    /// Number of connections that are open or being opened.
    pub connections: usize,
    /// Number of endpoints.
    pub endpoints: usize,
}

#[derive(Debug)]
struct PoolState {
    endpoints: BTreeMap<String, Endpoint>,
    /// Number of connections that are open or being opened.
    connections: usize,
    /// Connections that are being closed to free capacity. A connection that is opened in place of one of them exceeds
    /// the limit until that one is closed; the descriptors reserved for the process cover it.
    closing: Vec<Weak<Connection>>,
    rng: StdRng,
}

impl PoolState {
    /// Closes the connection that has been idle for the longest time, unless one is already being closed to free
    /// capacity. A request without a connection to its endpoint takes precedence over idle connections.
    fn close_longest_idle(&mut self) {
        if !self.closing.is_empty() {
            return;
        }
        let connections = self.endpoints.values().flat_map(|e| &e.connections);
        let longest_idle = connections
            .filter_map(|connection| Some((connection.idle_since()?, connection)))
            .min_by_key(|(since, _)| *since);
        if let Some((_, connection)) = longest_idle {
            if connection.close_if_idle() {
                self.closing.push(Arc::downgrade(connection));
            }
        }
    }
}

/// The pool of connections; see the documentation of the module.
#[derive(Debug)]
pub struct ConnectionPool {
    state: Mutex<PoolState>,
    settings: UpstreamSettings,
    max_connections: usize,
    max_connections_per_endpoint: usize,
    /// Memory of the process, which limits the responses that are received.
    pub memory: Arc<MemoryMonitor>,
    /// Cancellations for which the next attempts of their requests wait.
    cancellations: Arc<UnwrittenCancellations>,
    /// Origin of the pool's time values.
    started_at: Instant,
    pause_detector: Arc<PauseDetector>,
    /// Ids of endpoints to connect to ahead of requests ([`connect_requested`]).
    connect_requests: mpsc::UnboundedSender<String>,
}

/// Result of acquiring a connection for a request.
enum Acquisition {
    Acquired(Arc<Connection>),
    /// A connection is being opened: the caller tries again when the endpoint has changed.
    Connecting(OwnedNotified),
}

impl ConnectionPool {
    /// Creates an empty pool. `connect_requests` receives the ids of endpoints to connect to ahead of requests
    /// ([`connect_requested`]).
    pub fn new(
        settings: &PlatformSettings,
        memory: Arc<MemoryMonitor>,
        pause_detector: Arc<PauseDetector>,
        connect_requests: mpsc::UnboundedSender<String>,
    ) -> Self {
        let state = PoolState {
            endpoints: BTreeMap::new(),
            connections: 0,
            closing: Vec::new(),
            rng: StdRng::seed_from_u64(settings.seed),
        };
        Self {
            state: Mutex::new(state),
            settings: settings.dispatcher.upstream.clone(),
            max_connections: settings.max_connections,
            max_connections_per_endpoint: settings.max_connections_per_endpoint,
            memory,
            cancellations: Arc::default(),
            started_at: Instant::now(),
            pause_detector,
            connect_requests,
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.started_at).as_micros() as Micros
    }

    /// Returns the number of connections and endpoints.
    pub fn counts(&self) -> PoolCounts {
        let state = self.lock();
        PoolCounts {
            connections: state.connections,
            endpoints: state.endpoints.len(),
        }
    }

    /// Returns a random number from 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        self.lock().rng.gen()
    }

    /// Adds or changes an endpoint. Must be called before the core is notified of the change, so that the pool can
    /// execute the core's commands for the endpoint.
    pub fn update_endpoint(&self, update: EndpointAddress) {
        let mut state = self.lock();
        state
            .endpoints
            .entry(update.id.clone())
            .or_insert_with(|| Endpoint::new(update.address, update.is_removed))
            .update(update.address, update.is_removed);
        drop(state);
        // The core requests connections to caches. It may send requests to the origin without requesting one.
        if update.role == Role::Origin && !update.is_removed {
            self.request_connection(update.id);
        }
    }

    /// Marks all endpoints that are absent from a full list as removed.
    pub fn retain_only(&self, ids: &[String]) {
        let listed: HashSet<&String> = ids.iter().collect();
        let mut state = self.lock();
        for (id, endpoint) in &mut state.endpoints {
            if !listed.contains(id) {
                endpoint.is_removed = true;
            }
        }
    }

    /// Wakes the requests that wait for these endpoints. Must be called after the core has applied the changes, so that
    /// each request is checked for whether it may still begin.
    pub fn notify_changed<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let state = self.lock();
        ids.filter_map(|id| state.endpoints.get(id))
            .for_each(|endpoint| endpoint.changed.notify_waiters());
    }

    /// Requests a connection to an endpoint ahead of requests; no effect if it has one.
    fn request_connection(&self, id: String) {
        let _ = self.connect_requests.send(id);
    }

    /// Reserves a new connection to an endpoint and returns the delay before it is opened, or `None` if none may be
    /// opened.
    fn reserve_connection(&self, state: &mut PoolState, id: &str) -> Option<Duration> {
        let now = self.micros(Instant::now());
        let is_full = state.connections - state.closing.len() >= self.max_connections;
        let endpoint = state.endpoints.get_mut(id)?;
        if is_full || endpoint.total_connections() >= self.max_connections_per_endpoint {
            return None;
        }
        let delay = endpoint.reserve_connection(now)?;
        state.connections += 1;
        Some(delay)
    }

    /// Waits for a connection and returns the least loaded one for a request.
    async fn acquire(
        core: &Arc<PlatformCore>,
        attempt: AttemptId,
        endpoint_id: &str,
        request_id: &str,
    ) -> Result<Arc<Connection>, AttemptEnd> {
        loop {
            if !core.may_start_attempt(attempt) {
                return Err(AttemptEnd::NotSent);
            }
            match Self::try_acquire(core, endpoint_id, request_id)? {
                Acquisition::Acquired(connection) => return Ok(connection),
                Acquisition::Connecting(changed) => changed.await,
            }
        }
    }

    /// Returns the least loaded connection for a request, if there is one. Opens another connection if there are fewer
    /// than [`MIN_SPARE_CONNECTIONS`] spare ones.
    fn try_acquire(
        core: &Arc<PlatformCore>,
        endpoint_id: &str,
        request_id: &str,
    ) -> Result<Acquisition, AttemptEnd> {
        let pool = &core.transport;
        let mut state = pool.lock();
        let endpoint = state
            .endpoints
            .get(endpoint_id)
            .ok_or(AttemptEnd::NotSent)?;
        let available = endpoint.available_connections(request_id, pool.settings.max_streams);
        let is_full = state.connections >= pool.max_connections;
        let spare = available.idle + endpoint.connecting;
        if is_full && available.least_loaded.is_none() && endpoint.connecting == 0 {
            state.close_longest_idle();
        }
        if spare < MIN_SPARE_CONNECTIONS {
            if let Some(delay) = pool.reserve_connection(&mut state, endpoint_id) {
                connector::spawn_connect(core, endpoint_id, delay);
            }
        }
        if let Some(connection) = available.least_loaded {
            return Ok(Acquisition::Acquired(connection));
        }
        let endpoint = state
            .endpoints
            .get(endpoint_id)
            .ok_or(AttemptEnd::NotSent)?;
        if endpoint.connecting == 0 {
            return Err(endpoint.end_without_connection(is_full));
        }
        // The future is created while the lock is held, so that no change is missed.
        Ok(Acquisition::Connecting(
            endpoint.changed.clone().notified_owned(),
        ))
    }
}

#[cfg(test)]
mod tests;
