//! One connection's task: opens it, waits for the hello where one is expected, and reads what the endpoint sends.
use super::super::core_handle::EndpointTransport;
use super::super::framed_transport::FramedCore;
use super::{ConnectionPool, ConnectionState};
use crate::core::Input;
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

/// Runs the connection to an address, after a delay, to its end; `state` is shared with all who wait for it.
pub(super) async fn run(
    core: Arc<FramedCore>,
    address: String,
    state: watch::Sender<ConnectionState>,
    delay: Duration,
) {
    let pool = &core.transport.pool;
    tokio::time::sleep(delay).await;
    let socket = match open_socket(pool, &address).await {
        Ok(socket) => socket,
        Err(e) if e.is_of_peer() => {
            pool.connect_failed(&address);
            state.send_replace(ConnectionState::Failed(e.to_string()));
            return;
        }
        Err(e) => {
            tracing::warn!(endpoint = address, error = %e, "no connection");
            state.send_replace(ConnectionState::LocalShortage);
            return;
        }
    };
    let options = ConnectionOptions {
        max_streams: pool.settings.max_streams,
    };
    let (connection, mut incoming) =
        FramedConnection::start_metered(socket, Side::Caller, options, pool.meter.clone());
    let _ = connection.control(Frame::Hello(own_hello(pool))).await;
    let replaced = match await_hello(&core, &address, &mut incoming).await {
        Ok(replaced) => replaced,
        Err(CutBeforeHello) => {
            pool.connect_failed(&address);
            state.send_replace(ConnectionState::Failed("cut before its hello".into()));
            return;
        }
    };
    state.send_replace(ConnectionState::Ready {
        connection: connection.clone(),
        replaced,
    });
    while let Some(inbound) = incoming.next().await {
        handle_inbound(&core, &address, inbound);
    }
    ended(&core, address, connection.ended_unexpectedly());
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

/// The connection ended before the hello of an endpoint that said one before. Whether the process is still the same is not
/// known, so the next connection waits for the hello too.
struct CutBeforeHello;

/// Waits for the hello where one is expected: a request sent before it could reach a process that has just started, and was
/// decided for the one before. An endpoint that says nothing in time counts as one that never does. Returns whether
/// another process was there before.
async fn await_hello(
    core: &FramedCore,
    address: &str,
    incoming: &mut Incoming,
) -> Result<bool, CutBeforeHello> {
    let pool = &core.transport.pool;
    if !pool.greeted().contains_key(address) {
        return Ok(false);
    }
    let timeout = Duration::from_micros(pool.settings.hello_timeout_us);
    match tokio::time::timeout(timeout, incoming.next()).await {
        Ok(None) => Err(CutBeforeHello),
        Ok(Some(Inbound::Control(Frame::Hello(hello)))) => Ok(apply_hello(core, address, hello)),
        Ok(Some(first)) => {
            pool.greeted().remove(address);
            handle_inbound(core, address, first);
            Ok(false)
        }
        Err(_) => {
            pool.greeted().remove(address);
            Ok(false)
        }
    }
}

/// Endpoints send no requests to a dispatcher; a go-away is handled by the connection itself.
fn handle_inbound(core: &FramedCore, address: &str, inbound: Inbound) {
    match inbound {
        Inbound::Control(Frame::Hello(hello)) => {
            apply_hello(core, address, hello);
        }
        Inbound::Control(Frame::Lease(lease)) => core.apply(Input::Lease {
            endpoint: address.to_owned(),
            lease,
        }),
        _ => {}
    }
}

/// True if another process was at the address before.
fn apply_hello(core: &FramedCore, address: &str, hello: HelloHead) -> bool {
    let pool = &core.transport.pool;
    pool.greeted().insert(address.to_owned(), Instant::now());
    let replaced = core.apply_hello(address, hello);
    if replaced {
        let ago_us = hello.started_ago_us;
        tracing::info!(
            endpoint = address,
            ago_us,
            "endpoint has restarted, by its hello"
        );
    }
    replaced
}

/// Sets the backoff of the address; an endpoint that says hello is connected to again without waiting for a request.
fn ended(core: &FramedCore, address: String, unexpectedly: bool) {
    let pool = &core.transport.pool;
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
        core.transport.connect(address);
    }
}
