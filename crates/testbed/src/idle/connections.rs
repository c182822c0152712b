//! Connections that carry one request and then stay idle.
use super::plan::IdlePlan;
use crate::http_client::HttpConnection;
use pointspindle_protocol::http::HttpEvent;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::RequestHead;
use pointspindle_transport::{Call, CallEnd, ConnectionOptions, FramedConnection, ResponsePart};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// The highest number of connections opened concurrently: more would reach the limits of the hosts behind the server,
/// which are not what is measured.
pub(super) const MAX_CONCURRENT_OPENS: usize = 24;
/// Number of source addresses: one address alone would run out of ports.
const SOURCE_ADDRESSES: usize = 8;
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of attempts of the first request on a framed connection.
const FIRST_REQUEST_ATTEMPTS: u32 = 20;
const FIRST_REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const FRAMED_TIME_LEFT_US: u64 = 10_000_000;
const HTTP_TIME_LEFT_MS: u64 = 10_000;
const TRACE: &str = "idle";
const STATUS_OK: u16 = 200;

/// A connection that has carried one request.
pub(super) enum IdleConnection {
    Http(HttpConnection),
    Framed(FramedConnection),
}

impl IdleConnection {
    async fn open(number: usize, plan: &IdlePlan) -> std::io::Result<Self> {
        match &plan.framed {
            Some((address, class)) => {
                let socket = connect(number, *address).await?;
                open_framed(socket, &plan.path, class).await
            }
            None => open_http(connect(number, plan.http_address).await?, &plan.path).await,
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        match self {
            Self::Http(connection) => drop(connection),
            Self::Framed(connection) => connection.close("measured"),
        }
    }
}

/// Connects to the server from one of the source addresses.
pub(super) async fn connect(number: usize, server: SocketAddr) -> std::io::Result<TcpStream> {
    let source = Ipv4Addr::new(127, 60, (number % SOURCE_ADDRESSES) as u8, 1);
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(IpAddr::V4(source), 0))?;
    socket.connect(server).await
}

fn first_request_error() -> std::io::Error {
    std::io::Error::other("the first request on the connection was not served completely")
}

async fn open_http(socket: TcpStream, path: &str) -> std::io::Result<IdleConnection> {
    let mut connection = HttpConnection::new(socket);
    if !request_is_served(&mut connection, path).await {
        return Err(first_request_error());
    }
    Ok(IdleConnection::Http(connection))
}

async fn open_framed(
    socket: TcpStream,
    path: &str,
    class: &str,
) -> std::io::Result<IdleConnection> {
    let (connection, mut incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    tokio::spawn(async move { while incoming.next().await.is_some() {} });
    let request = RequestHead {
        object: path.to_owned(),
        class: class.to_owned(),
        time_left_us: FRAMED_TIME_LEFT_US,
        ..Default::default()
    };
    for _ in 0..FIRST_REQUEST_ATTEMPTS {
        let call = connection
            .call(request.clone())
            .map_err(std::io::Error::other)?;
        if call_is_complete(call).await {
            return Ok(IdleConnection::Framed(connection));
        }
        tokio::time::sleep(FIRST_REQUEST_RETRY_INTERVAL).await;
    }
    Err(first_request_error())
}

async fn call_is_complete(mut call: Call) -> bool {
    while let Some(part) = call.next().await {
        if let ResponsePart::End(end) = part {
            return matches!(end, CallEnd::Complete(_));
        }
    }
    false
}

/// Sends a request; returns whether it was served completely.
pub(super) async fn request_is_served(connection: &mut HttpConnection, path: &str) -> bool {
    let sent = connection
        .send_request(path, TRACE, HTTP_TIME_LEFT_MS)
        .await;
    if sent.is_err() {
        return false;
    }
    let mut served = false;
    loop {
        match connection.next_event().await {
            Some(Ok(HttpEvent::Head { status, .. })) => served = status == STATUS_OK,
            Some(Ok(HttpEvent::Data(_))) => {}
            Some(Ok(HttpEvent::End)) => return served,
            _ => return false,
        }
    }
}

/// Opens connections until `target_count` are open.
pub(super) async fn open_up_to(
    connections: &mut Vec<IdleConnection>,
    target_count: usize,
    plan: &Arc<IdlePlan>,
) -> Result<(), String> {
    let mut opening = JoinSet::new();
    let mut next = connections.len();
    loop {
        while opening.len() < MAX_CONCURRENT_OPENS && next < target_count {
            opening.spawn(open_within_timeout(next, plan.clone()));
            next += 1;
        }
        match opening.join_next().await {
            None => return Ok(()),
            Some(Ok(Ok(connection))) => connections.push(connection),
            Some(Ok(Err(e))) => {
                return Err(format!(
                    "opening a connection failed with {} open: {e}",
                    connections.len()
                ))
            }
            Some(Err(e)) => return Err(e.to_string()),
        }
    }
}

async fn open_within_timeout(
    number: usize,
    plan: Arc<IdlePlan>,
) -> std::io::Result<IdleConnection> {
    tokio::time::timeout(OPEN_TIMEOUT, IdleConnection::open(number, &plan))
        .await
        .unwrap_or_else(|_| {
            Err(std::io::Error::other(
                "the connection was not open and served within 10 s",
            ))
        })
}
