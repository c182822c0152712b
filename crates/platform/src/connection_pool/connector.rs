//! Opens connections to endpoints and runs them until they end.
use super::{ConnectionPool, PlatformCore};
use crate::connection::Connection;
use pointspindle_dispatcher::core::Input;
use pointspindle_transport::{ConnectFailure, Network, Socket};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Result of a connection attempt; `None` if the endpoint was removed before it.
type ConnectResult = Option<Result<Socket, ConnectFailure>>;

/// Connects to the requested endpoints that have no connection, ahead of requests.
pub async fn connect_requested(
    core: Arc<PlatformCore>,
    mut requests: mpsc::UnboundedReceiver<String>,
) {
    while let Some(id) = requests.recv().await {
        let pool = &core.transport;
        let mut state = pool.lock();
        let is_unconnected = state
            .endpoints
            .get(&id)
            .is_some_and(|endpoint| endpoint.total_connections() == 0);
        if !is_unconnected {
            continue;
        }
        if let Some(delay) = pool.reserve_connection(&mut state, &id) {
            spawn_connect(&core, &id, delay);
        }
    }
}

/// Starts a task that opens and runs a reserved connection.
pub(super) fn spawn_connect(core: &Arc<PlatformCore>, id: &str, delay: Duration) {
    tokio::spawn(connect(core.clone(), id.to_owned(), delay));
}

/// Opens a reserved connection after a delay and runs it until it ends.
async fn connect(core: Arc<PlatformCore>, id: String, delay: Duration) {
    let pool = &core.transport;
    tokio::time::sleep(delay).await;
    let result = pool.open_socket(&id).await;
    let connection = Connection::new(pool.cancellations.clone());
    pool.connect_finished(&id, &connection, &result);
    let socket = match result {
        Some(Ok(Socket::Tcp(socket))) => socket,
        Some(Err(error)) => {
            return tracing::debug!(endpoint = id, %error, "cannot connect to endpoint")
        }
        _ => return,
    };
    let _ = socket.set_nodelay(true);
    let on_input_in_pause = || {
        core.apply(Input::EndpointActive {
            endpoint: id.clone(),
        })
    };
    let running = connection
        .clone()
        .run(socket, pool.memory.clone(), on_input_in_pause);
    let reason = running.await;
    pool.connection_ended(&id, &connection, reason.is_some());
    if let Some(reason) = reason {
        tracing::debug!(endpoint = id, reason, "endpoint connection ended");
    }
}

impl ConnectionPool {
    async fn open_socket(&self, id: &str) -> ConnectResult {
        let address = self
            .lock()
            .endpoints
            .get(id)
            .filter(|endpoint| !endpoint.is_removed)
            .map(|endpoint| endpoint.address)?;
        let timeout = Duration::from_micros(self.settings.connect_timeout_us);
        Some(Network::Tcp.connect_within(None, address, timeout).await)
    }

    fn connect_finished(&self, id: &str, connection: &Arc<Connection>, result: &ConnectResult) {
        let mut state = self.lock();
        let jitter = state.rng.gen();
        if !matches!(result, Some(Ok(_))) {
            state.connections -= 1;
        }
        let Some(endpoint) = state.endpoints.get_mut(id) else {
            return;
        };
        endpoint.connecting -= 1;
        endpoint.had_local_connect_failure = matches!(result, Some(Err(ConnectFailure::Local(_))));
        match result {
            Some(Ok(_)) => endpoint.connections.push(connection.clone()),
            Some(Err(error)) if error.is_peer_failure() => endpoint
                .backoff
                .connect_failed(self.micros(Instant::now()), jitter),
            Some(Err(_)) | None => {}
        }
        endpoint.changed.notify_waiters();
    }

    /// Removes a connection that has ended. `was_lost`: the dispatcher did not close it.
    fn connection_ended(&self, id: &str, connection: &Arc<Connection>, was_lost: bool) {
        let mut state = self.lock();
        state.connections -= 1;
        state
            .closing
            .retain(|closing| closing.as_ptr() != Arc::as_ptr(connection));
        let jitter = state.rng.gen();
        let Some(endpoint) = state.endpoints.get_mut(id) else {
            return;
        };
        endpoint
            .connections
            .retain(|other| !Arc::ptr_eq(other, connection));
        if was_lost && endpoint.connections.is_empty() {
            endpoint
                .backoff
                .connection_lost(self.micros(Instant::now()), jitter);
        }
        endpoint.changed.notify_waiters();
    }
}
