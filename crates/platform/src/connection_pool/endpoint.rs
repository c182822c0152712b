//! An endpoint of the pool and its connections.
use crate::connection::Connection;
use pointspindle::Micros;
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::reconnect_backoff::{ConnectDecision, ReconnectBackoff};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// An endpoint and its connections.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub address: SocketAddr,
    /// Whether the endpoint has been removed, so that no new connections are opened.
    pub is_removed: bool,
    pub connections: Vec<Arc<Connection>>,
    /// Number of connections that are being opened.
    pub connecting: usize,
    pub backoff: ReconnectBackoff,
    /// Whether the last connection attempt failed for lack of a local resource, which does not indicate a fault of the
    /// endpoint.
    pub had_local_connect_failure: bool,
    /// Signals that a connection was opened or has ended, or that the endpoint has changed.
    pub changed: Arc<Notify>,
}

/// Connections of an endpoint that can carry a request.
pub(super) struct AvailableConnections {
    /// Connection with the fewest requests in flight.
    pub least_loaded: Option<Arc<Connection>>,
    /// Number of connections without a request in flight.
    pub idle: usize,
}

impl Endpoint {
    /// Creates an endpoint without connections.
    pub fn new(address: SocketAddr, is_removed: bool) -> Self {
        Self {
            address,
            is_removed,
            connections: Vec::new(),
            connecting: 0,
            backoff: ReconnectBackoff::default(),
            had_local_connect_failure: false,
            changed: Arc::new(Notify::new()),
        }
    }

    /// Updates the description of the endpoint. If the address has changed, connections to the previous one are closed.
    pub fn update(&mut self, address: SocketAddr, is_removed: bool) {
        if self.address != address {
            self.connections.iter().for_each(|c| c.close());
            self.backoff = ReconnectBackoff::default();
        }
        self.address = address;
        self.is_removed = is_removed;
    }

    /// Returns the number of connections that are open or being opened.
    pub fn total_connections(&self) -> usize {
        self.connections.len() + self.connecting
    }

    /// Reserves a new connection and returns the delay before it is opened, or `None` if none may be opened.
    pub fn reserve_connection(&mut self, now: Micros) -> Option<Duration> {
        if self.is_removed {
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

    /// Returns the connections that can carry a request with this id.
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

    /// Returns how an attempt ends for which there is no connection.
    pub fn end_without_connection(&self, is_pool_full: bool) -> AttemptEnd {
        if is_pool_full || self.had_local_connect_failure {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::ConnectFailed
        }
    }
}
