//! Cache hosts on the loopback interface and a client for them.
use crate::origin::{origin, OriginState};
use bytes::{Bytes, BytesMut};
use pointspindle_cache_host::Host;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{
    CallEnd, ConnectionOptions, FramedConnection, Inbound, Network, ResponsePart,
};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;

/// Starts a host; `extra_settings` is appended to its settings.
pub async fn host(
    role: &str,
    store: Option<&Path>,
    origin: Option<SocketAddr>,
    extra_settings: &str,
) -> Host {
    let store = store.map_or(String::new(), |path| {
        let path = path.display();
        format!("[store]\npath = {path}\ncapacity_mb = 24\nsegment_mb = 2\nmemory_mb = 1\nsync_ms = 20\nwarm_share = 0.001\n")
    });
    let origin = origin.map_or(String::new(), |address| {
        format!("[origin]\naddress = {address}\n")
    });
    let text = format!(
        "[cache]\nname = {role}\nrole = {role}\n[listen]\nframed = 127.0.0.1:0\ncontrol = 127.0.0.1:0\ndrain_ms = 2000\n\
         {store}{origin}{extra_settings}[class video]\n[class page]\nfresh_ms = 5000\n[class enrol]\nuncacheable = yes\n"
    );
    let settings =
        pointspindle_config::parse_cache_host("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Host::start(settings, Network::Tcp)
        .await
        .unwrap_or_else(|e| panic!("{e}"))
}

/// Opens a framed connection, as a dispatcher does.
pub async fn connect(address: SocketAddr) -> FramedConnection {
    connection_over(TcpStream::connect(address).await.unwrap())
}

/// Starts a framed connection over an open socket.
pub fn connection_over(socket: TcpStream) -> FramedConnection {
    let (connection, mut incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    tokio::spawn(async move { while incoming.next().await.is_some() {} });
    connection
}

/// Returns a request that may be coalesced; its class is the first segment of the path.
pub fn request(object: &str, source: &str) -> RequestHead {
    let class = object.split('/').nth(1).unwrap().to_owned();
    let fetch = FetchHead {
        source: source.into(),
        retention_rank: 2,
        coalesce: true,
        ..Default::default()
    };
    let time_left_us = 8_000_000;
    RequestHead {
        object: object.into(),
        class,
        time_left_us,
        fetch: Some(fetch),
        ..Default::default()
    }
}

/// Sends a request and reads the complete response.
pub async fn get(
    connection: &FramedConnection,
    request: RequestHead,
) -> Result<(ResponseHead, Bytes), ErrorHead> {
    let mut call = connection.call(request).unwrap();
    let (mut head, mut body) = (None, BytesMut::new());
    loop {
        match tokio::time::timeout(Duration::from_secs(10), call.next())
            .await
            .expect("the next part of the response arrives within 10 s")
            .unwrap()
        {
            ResponsePart::Head(h) => head = Some(h),
            ResponsePart::Data(data) => body.extend_from_slice(&data),
            ResponsePart::End(CallEnd::Complete(_)) => return Ok((head.unwrap(), body.freeze())),
            ResponsePart::End(CallEnd::Error(e)) => return Err(e),
            ResponsePart::End(CallEnd::Broken(reason)) => panic!("response interrupted: {reason}"),
            ResponsePart::End(CallEnd::NotSent) => panic!("the request was not sent"),
        }
    }
}

/// Sends a purge, as an operator does, and expects its confirmation.
pub async fn purge(address: SocketAddr, head: PurgeHead) {
    let socket = TcpStream::connect(address).await.unwrap();
    let (connection, mut incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    connection.control(Frame::Purge(head)).await.unwrap();
    match incoming.next().await.unwrap() {
        Inbound::Control(Frame::Ack(ack)) => assert_eq!(ack.rejection, ""),
        other => panic!("expected an acknowledgement, got {other:?}"),
    }
}

/// An edge cache that fills from a parent, which fills from an origin.
pub struct CacheTiers {
    pub origin_state: Arc<Mutex<OriginState>>,
    pub parent: Host,
    pub edge: Host,
    pub origin: SocketAddr,
    pub folder: tempfile::TempDir,
}

impl CacheTiers {
    /// Starts all tiers; `extra_settings` is appended to the settings of the edge.
    pub async fn start(extra_settings: &str) -> Self {
        let state = Arc::new(Mutex::new(OriginState {
            version: 1,
            ..OriginState::default()
        }));
        let origin = origin(state.clone()).await;
        let folder = tempfile::tempdir().unwrap();
        let parent = host(
            "parent",
            Some(&folder.path().join("parent")),
            Some(origin),
            "",
        )
        .await;
        let edge = host(
            "cache",
            Some(&folder.path().join("edge")),
            None,
            extra_settings,
        )
        .await;
        Self {
            origin_state: state,
            parent,
            edge,
            origin,
            folder,
        }
    }

    /// Returns the address of the parent, for use as a source of fills.
    pub fn source(&self) -> String {
        self.parent.bound().framed.to_string()
    }

    /// Returns the number of requests with this method and path that the origin has received.
    pub fn origin_requests(&self, method_and_path: &str) -> u64 {
        let line = format!("{method_and_path} HTTP/1.1");
        self.origin_state
            .lock()
            .unwrap()
            .requests
            .get(&line)
            .copied()
            .unwrap_or(0)
    }
}
