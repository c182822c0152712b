//! One endpoint of the pool, with its connections.
use crate::connection::Connection;
use pointspindle::Micros;
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::reconnect_backoff::{ConnectDecision, ReconnectBackoff};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// See the module's documentation.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub address: SocketAddr,
    /// It takes no new connections.
    pub is_gone: bool,
    pub connections: Vec<Arc<Connection>>,
    /// Connections that are being made.
    pub connecting: usize,
    pub backoff: ReconnectBackoff,
    /// The last connection could not be made for a shortage of this machine, which says nothing of the endpoint.
    pub had_local_shortage: bool,
    /// A connection was made or lost, or the endpoint has changed.
    pub changed: Arc<Notify>,
}

/// Connections of an endpoint that can take a request.
pub(super) struct AvailableConnections {
    pub least_loaded: Option<Arc<Connection>>,
    /// How many have nothing in flight.
    pub idle: usize,
}

impl Endpoint {
    /// An endpoint without connections.
    pub fn new(address: SocketAddr, is_gone: bool) -> Self {
        Self {
            address,
            is_gone,
            connections: Vec::new(),
            connecting: 0,
            backoff: ReconnectBackoff::default(),
            had_local_shortage: false,
            changed: Arc::new(Notify::new()),
        }
    }

    /// Takes the endpoint's current description; connections to an earlier address are closed.
    pub fn update(&mut self, address: SocketAddr, is_gone: bool) {
        if self.address != address {
            self.connections.iter().for_each(|c| c.close());
            self.backoff = ReconnectBackoff::default();
        }
        self.address = address;
        self.is_gone = is_gone;
    }

    /// Connections open or being made.
    pub fn total_connections(&self) -> usize {
        self.connections.len() + self.connecting
    }

    /// Counts a new connection, if one may be made. Returns the delay before it.
    pub fn reserve_connection(&mut self, now: Micros) -> Option<Duration> {
        if self.is_gone {
            return None;
        }
        let delay = match self.backoff.decide(now) {
            ConnectDecision::Now => 0,
            ConnectDecision::After(delay) => delay,
            ConnectDecision::RejectFor(_) => return None,
        };
        self.connecting += 1;
        Some(Duration::from_micros(delay))
    }

    /// The connections that can take this request.
    pub fn available_connections(
        &self,
        request_id: &str,
        max_streams: usize,
    ) -> AvailableConnections {
        let mut least_loaded: Option<(usize, &Arc<Connection>)> = None;
        let mut idle = 0;
        for connection in &self.connections {
            let Some(load) = connection.in_flight_if_available(request_id, max_streams) else {
                continue;
            };
            if load == 0 {
                idle += 1;
            }
            if least_loaded.is_none_or(|(least, _)| load < least) {
                least_loaded = Some((load, connection));
            }
        }
        AvailableConnections {
            least_loaded: least_loaded.map(|(_, connection)| connection.clone()),
            idle,
        }
    }

    /// How an attempt ends that finds no connection.
    pub fn end_without_connection(&self, is_pool_full: bool) -> AttemptEnd {
        if is_pool_full || self.had_local_shortage {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::ConnectFailed
        }
    }
}
