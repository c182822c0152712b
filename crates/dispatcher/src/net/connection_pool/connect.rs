//! One connection's task: opens it, waits for the hello where one is expected, and reads what the endpoint sends.
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
pub(super) struct Connect<E> {
    pub pool: ConnectionPool,
    pub events: Arc<E>,
    pub address: String,
}

/// The connection ended before the hello of an endpoint that said one before. Whether the process is still the same is not
/// known, so the next connection waits for the hello too.
struct CutBeforeHello;

impl<E: ConnectionEvents> Connect<E> {
    /// Opens the connection after a delay and runs it to its end; `state` is shared with all who wait for it.
    pub async fn run(self, state: watch::Sender<ConnectionState>, delay: Duration) {
        tokio::time::sleep(delay).await;
        let socket = match open_socket(&self.pool, &self.address).await {
            Ok(socket) => socket,
            Err(e) if e.is_peer_failure() => return self.failed(&state, e.to_string()),
            Err(e) => {
                tracing::warn!(endpoint = self.address, error = %e, "no connection");
                state.send_replace(ConnectionState::LocalShortage);
                return;
            }
        };
        let options = ConnectionOptions {
            max_streams: self.pool.settings.max_streams,
        };
        let meter = self.pool.meter.clone();
        let (connection, mut incoming) =
            FramedConnection::start_metered(socket, Side::Caller, options, meter);
        let hello = own_hello(&self.pool);
        let _ = connection.control(Frame::Hello(hello)).await;
        let replaced = match self.await_hello(&mut incoming).await {
            Ok(replaced) => replaced,
            Err(CutBeforeHello) => return self.failed(&state, "cut before its hello".into()),
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

    fn failed(&self, state: &watch::Sender<ConnectionState>, why: String) {
        self.pool.connect_failed(&self.address);
        state.send_replace(ConnectionState::Failed(why));
    }

    /// Waits for the hello where one is expected: a request sent before it could reach a process that has just started, and
    /// was decided for the one before. An endpoint that says nothing in time counts as one that never does. Returns whether
    /// another process was there before.
    async fn await_hello(&self, incoming: &mut Incoming) -> Result<bool, CutBeforeHello> {
        if !self.pool.greeted().contains_key(&self.address) {
            return Ok(false);
        }
        let timeout = Duration::from_micros(self.pool.settings.hello_timeout_us);
        match tokio::time::timeout(timeout, incoming.next()).await {
            Ok(None) => Err(CutBeforeHello),
            Ok(Some(Inbound::Control(Frame::Hello(hello)))) => Ok(self.handle_hello(hello)),
            Ok(Some(first)) => {
                self.pool.greeted().remove(&self.address);
                self.handle_inbound(first);
                Ok(false)
            }
            Err(_) => {
                self.pool.greeted().remove(&self.address);
                Ok(false)
            }
        }
    }

    /// Endpoints send no requests to a dispatcher; a go-away is handled by the connection itself.
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

    /// True if another process was at the address before.
    fn handle_hello(&self, hello: HelloHead) -> bool {
        self.pool
            .greeted()
            .insert(self.address.clone(), Instant::now());
        let replaced = self.events.hello_received(&self.address, hello);
        if replaced {
            let ago_us = hello.started_ago_us;
            tracing::info!(
                endpoint = self.address,
                ago_us,
                "endpoint has restarted, by its hello"
            );
        }
        replaced
    }

    /// Sets the backoff of the address; an endpoint that says hello is connected to again without waiting for a request.
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
        if pool.greeted().contains_key(&address) {
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

/// Identifies this dispatcher, so that an endpoint that is warming up can lease its work to it.
fn own_hello(pool: &ConnectionPool) -> HelloHead {
    HelloHead {
        incarnation: pool.process,
        started_ago_us: None,
        dispatcher: true,
        requests_work: true,
        lease_us: None,
    }
}
