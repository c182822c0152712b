//! Connections to cache hosts, parents and the origin: several for each endpoint, opened before they are needed, bounded
//! in total.
//!
//! A response that cannot be decoded ends its connection with all that is in flight there, so requests are spread: each
//! goes to the connection with the fewest in flight, and where none is idle another one is opened. Endpoints are known by
//! their discovery id; a connection belongs to an id, whatever its address.
//!
//! A request that waits for a connection is woken by each change of its endpoint, and by each connection made or lost;
//! the core decides whether it may still begin, then and again right before the first byte (`crate::connection`).
//!
//! State: an entry for each known endpoint, dropped once it is gone and its last connection has ended.
mod call;
mod connector;
mod endpoint;
mod maintenance;

pub use call::LineProtocolCall;
pub use connector::connect_requested;
pub use maintenance::run_maintenance;

use crate::connection::Connection;
use crate::pause_detector::PauseDetector;
use crate::settings::PlatformSettings;
use endpoint::Endpoint;
use pointspindle::Micros;
use pointspindle_config::{Role, UpstreamSettings};
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::net::core_handle::{AttemptId, CoreHandle};
use pointspindle_transport::BufferMeter;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;
use tokio::sync::futures::OwnedNotified;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Connections to an endpoint that are idle or being made: with fewer, another one is opened for the next request.
const MIN_SPARE_CONNECTIONS: usize = 2;

/// The dispatcher's core with the platform's endpoint connections.
pub type PlatformCore = CoreHandle<ConnectionPool>;

/// An endpoint as discovery describes it to the pool.
#[derive(Clone, Debug)]
pub struct EndpointAddress {
    /// Its id.
    pub id: String,
    /// Where to connect.
    pub address: SocketAddr,
    /// What it serves.
    pub role: Role,
    /// It takes no new connections.
    pub is_gone: bool,
}

/// Sizes of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCounts {
    /// Connections open or being made.
    pub connections: usize,
    /// Endpoints known.
    pub endpoints: usize,
}

#[derive(Debug)]
struct PoolState {
    endpoints: BTreeMap<String, Endpoint>,
    /// Connections open or being made.
    connections: usize,
    /// Those of them that are closed to free capacity, until they are. A connection that is made in such a place exceeds
    /// the limit for that moment: the process's own descriptors cover it.
    closing: Vec<Weak<Connection>>,
    rng: StdRng,
}

impl PoolState {
    /// Closes the connection that has been idle for the longest, unless one is closing already: a request without a
    /// connection to its endpoint takes precedence over idle connections.
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

/// See the module's documentation.
#[derive(Debug)]
pub struct ConnectionPool {
    state: Mutex<PoolState>,
    settings: UpstreamSettings,
    max_connections: usize,
    max_connections_per_endpoint: usize,
    meter: BufferMeter,
    /// Zero of the pool's times.
    started_at: Instant,
    pause_detector: Arc<PauseDetector>,
    /// Endpoints to connect to before a request goes there ([`connect_requested`]).
    connect_requests: mpsc::UnboundedSender<String>,
}

/// What a request finds that needs a connection.
enum Acquisition {
    Acquired(Arc<Connection>),
    /// A connection is being made: ask again once something has changed.
    Connecting(OwnedNotified),
}

impl ConnectionPool {
    /// An empty pool. `connect_requests`: endpoints to connect to ahead of requests ([`connect_requested`]).
    pub fn new(
        settings: &PlatformSettings,
        meter: &BufferMeter,
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
            meter: meter.clone(),
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

    /// How large the pool is.
    pub fn counts(&self) -> PoolCounts {
        let state = self.lock();
        PoolCounts {
            connections: state.connections,
            endpoints: state.endpoints.len(),
        }
    }

    /// A random number of this dispatcher, from 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        self.lock().rng.gen()
    }

    /// Adds or changes an endpoint. Called before the core learns of it, so that the core's commands can be carried out.
    pub fn update_endpoint(&self, update: EndpointAddress) {
        let mut state = self.lock();
        state
            .endpoints
            .entry(update.id.clone())
            .or_insert_with(|| Endpoint::new(update.address, update.is_gone))
            .update(update.address, update.is_gone);
        drop(state);
        // Caches are connected to on the core's request; the origin may be sent to without one.
        if update.role == Role::Origin && !update.is_gone {
            self.request_connection(update.id);
        }
    }

    /// Marks all endpoints that are absent from a full list as gone.
    pub fn retain_only(&self, ids: &[String]) {
        let listed: HashSet<&String> = ids.iter().collect();
        let mut state = self.lock();
        for (id, endpoint) in &mut state.endpoints {
            if !listed.contains(id) {
                endpoint.is_gone = true;
            }
        }
    }

    /// Wakes the requests that wait for these endpoints. Called once the core has learnt of changes, so that they find
    /// out whether they may still begin.
    pub fn notify_changed<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let state = self.lock();
        ids.filter_map(|id| state.endpoints.get(id))
            .for_each(|endpoint| endpoint.changed.notify_waiters());
    }

    /// Connects to an endpoint ahead of requests, unless it has a connection.
    fn request_connection(&self, id: String) {
        let _ = self.connect_requests.send(id);
    }

    /// Counts a new connection to an endpoint, if one may be made. Returns the delay before it.
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

    /// The best connection for a request, once there is one.
    async fn acquire(
        core: &Arc<PlatformCore>,
        attempt: AttemptId,
        endpoint_id: &str,
        request_id: &str,
    ) -> Result<Arc<Connection>, AttemptEnd> {
        loop {
            if !core.may_begin(attempt) {
                return Err(AttemptEnd::NotSent);
            }
            match Self::try_acquire(core, endpoint_id, request_id)? {
                Acquisition::Acquired(connection) => return Ok(connection),
                Acquisition::Connecting(changed) => changed.await,
            }
        }
    }

    /// The best connection for a request, if there is one; opens another one where spare connections are short.
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
        // Created under the lock, so that no change is missed.
        Ok(Acquisition::Connecting(
            endpoint.changed.clone().notified_owned(),
        ))
    }
}

#[cfg(test)]
mod tests;
