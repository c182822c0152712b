//! The task of one connection: opens it, waits for the hello where one is expected, and reads the endpoint's frames.
use super::{ConnectionEvents, ConnectionPool, ConnectionState};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{Frame, HelloHead};
use pointspindle_transport::{
    ConnectFailure, ConnectionOptions, FramedConnection, Inbound, Incoming, Socket,
};
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The task of one connection.
pub(super) struct ConnectionTask<E> {
    pub pool: ConnectionPool,
    pub events: Arc<E>,
    pub address: String,
}

/// The connection closed before the hello of an endpoint that has sent one before. It is not known whether the endpoint's
/// process is still the same, so the next connection waits for the hello as well.
struct ClosedBeforeHello;

impl<E: ConnectionEvents> ConnectionTask<E> {
    /// Opens the connection after a delay and runs it to its end. `state` is shared with all tasks that wait for the
    /// connection.
    pub async fn run(self, state: watch::Sender<ConnectionState>, delay: Duration) {
        tokio::time::sleep(delay).await;
        let socket = match open_socket(&self.pool, &self.address).await {
            Ok(socket) => socket,
            Err(e) if e.is_peer_failure() => return self.failed(&state, e.to_string()),
            Err(e) => {
                tracing::warn!(endpoint = self.address, error = %e, "no connection: local resource shortage");
                state.send_replace(ConnectionState::LocalResourceShortage);
                return;
            }
        };
        let options = ConnectionOptions {
            max_streams: self.pool.settings.max_streams,
        };
        let meter = self.pool.meter.clone();
        let (connection, mut incoming) =
            FramedConnection::start_metered(socket, Side::Caller, options, meter);
        let hello = dispatcher_hello(&self.pool);
        let _ = connection.control(Frame::Hello(hello)).await;
        let replaced = match self.await_hello(&mut incoming).await {
            Ok(replaced) => replaced,
            Err(ClosedBeforeHello) => {
                return self.failed(&state, "connection closed before its hello".into())
            }
        };
        state.send_replace(ConnectionState::Ready {
            connection: connection.clone(),
            replaced,
        });
        while let Some(inbound) = incoming.next().await {
            self.handle_inbound(inbound);
        }
        self.ended(connection.ended_unexpectedly());
    }

    fn failed(&self, state: &watch::Sender<ConnectionState>, reason: String) {
        self.pool.connect_failed(&self.address);
        state.send_replace(ConnectionState::Failed(reason));
    }

    /// Waits for the hello where one is expected: a request sent earlier could reach a newly started process, although the
    /// core chose the endpoint by the state of the previous process. An endpoint that sends no hello before the timeout is
    /// treated as one that never sends it. Returns whether another process was at the address before.
    async fn await_hello(&self, incoming: &mut Incoming) -> Result<bool, ClosedBeforeHello> {
        if !self.pool.hello_senders().contains_key(&self.address) {
            return Ok(false);
        }
        let timeout = Duration::from_micros(self.pool.settings.hello_timeout_us);
        match tokio::time::timeout(timeout, incoming.next()).await {
            Ok(None) => Err(ClosedBeforeHello),
            Ok(Some(Inbound::Control(Frame::Hello(hello)))) => Ok(self.handle_hello(hello)),
            Ok(Some(first)) => {
                self.pool.hello_senders().remove(&self.address);
                self.handle_inbound(first);
                Ok(false)
            }
            Err(_) => {
                self.pool.hello_senders().remove(&self.address);
                Ok(false)
            }
        }
    }

    /// Handles a hello or lease frame. Endpoints send no requests to a dispatcher, and the connection handles a go-away
    /// itself.
    fn handle_inbound(&self, inbound: Inbound) {
        match inbound {
            Inbound::Control(Frame::Hello(hello)) => {
                self.handle_hello(hello);
            }
            Inbound::Control(Frame::Lease(lease)) => {
                self.events.lease_received(&self.address, lease);
            }
            _ => {}
        }
    }

    /// Returns whether another process was at the address before.
    fn handle_hello(&self, hello: HelloHead) -> bool {
        self.pool
            .hello_senders()
            .insert(self.address.clone(), Instant::now());
        let replaced = self.events.hello_received(&self.address, hello);
        if replaced {
            let started_ago_us = hello.started_ago_us;
            tracing::info!(
                endpoint = self.address,
                started_ago_us,
                "endpoint has restarted, by its hello"
            );
        }
        replaced
    }

    /// Updates the backoff of the address after the connection has ended. An endpoint that sends a hello is reconnected to
    /// without waiting for a request.
    fn ended(self, unexpectedly: bool) {
        let Self {
            pool,
            events,
            address,
        } = self;
        if !unexpectedly {
            pool.backoffs().remove(&address);
            return;
        }
        let now = pool.now();
        let random_unit = pool.random_unit();
        pool.backoffs()
            .entry(address.clone())
            .or_default()
            .connection_lost(now, random_unit);
        if pool.hello_senders().contains_key(&address) {
            events.connection_lost(address);
        }
    }
}

async fn open_socket(pool: &ConnectionPool, address: &str) -> Result<Socket, ConnectFailure> {
    let invalid = |e| ConnectFailure::Peer(Error::new(ErrorKind::InvalidInput, e));
    let target: SocketAddr = address.parse().map_err(invalid)?;
    let timeout = Duration::from_micros(pool.settings.connect_timeout_us);
    pool.network
        .connect_within(pool.settings.bind, target, timeout)
        .await
}

/// Returns the hello that identifies this dispatcher, so that an endpoint in warm-up can lease its capacity to it.
fn dispatcher_hello(pool: &ConnectionPool) -> HelloHead {
    HelloHead {
        incarnation: pool.incarnation,
        started_ago_us: None,
        dispatcher: true,
        requests_work: true,
        lease_us: None,
    }
}
