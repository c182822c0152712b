//! Cache hosts on loopback, and a client.
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

/// Starts a host; `more` is added to its settings.
pub async fn host(
    role: &str,
    store: Option<&Path>,
    origin: Option<SocketAddr>,
    more: &str,
) -> Host {
    let store = store.map_or(String::new(), |path| {
        let path = path.display();
        format!("[store]\npath = {path}\ncapacity_mb = 24\nsegment_mb = 2\nmemory_mb = 1\nsync_ms = 20\nwarm_share = 0.001\n")
    });
    let origin = origin.map_or(String::new(), |at| format!("[origin]\naddress = {at}\n"));
    let text = format!(
        "[cache]\nname = {role}\nrole = {role}\n[listen]\nframed = 127.0.0.1:0\ncontrol = 127.0.0.1:0\ndrain_ms = 2000\n\
         {store}{origin}{more}[class video]\n[class page]\nfresh_ms = 5000\n[class enrol]\nuncacheable = yes\n"
    );
    let settings =
        pointspindle_config::parse_cache_host("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Host::start(settings, Network::Tcp)
        .await
        .unwrap_or_else(|e| panic!("{e}"))
}

/// Connects as a dispatcher does.
pub async fn connect(to: SocketAddr) -> FramedConnection {
    connection_over(TcpStream::connect(to).await.unwrap())
}

/// A framed connection over an open socket.
pub fn connection_over(socket: TcpStream) -> FramedConnection {
    let (connection, mut incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    tokio::spawn(async move { while incoming.next().await.is_some() {} });
    connection
}

/// A coalescing request; its class is the first segment of the path.
pub fn request(object: &str, source: &str) -> RequestHead {
    let class = object.split('/').nth(1).unwrap().to_owned();
    let fetch = FetchHead {
        source: source.into(),
        retention_rank: 2,
        coalesce: true,
        ..Default::default()
    };
    let left_us = 8_000_000;
    RequestHead {
        object: object.into(),
        class,
        time_left_us: left_us,
        fetch: Some(fetch),
        ..Default::default()
    }
}

/// Sends a request and collects the response.
pub async fn get(
    connection: &FramedConnection,
    request: RequestHead,
) -> Result<(ResponseHead, Bytes), ErrorHead> {
    let mut call = connection.call(request).unwrap();
    let (mut head, mut got) = (None, BytesMut::new());
    loop {
        match tokio::time::timeout(Duration::from_secs(10), call.next())
            .await
            .expect("in time")
            .unwrap()
        {
            ResponsePart::Head(h) => head = Some(h),
            ResponsePart::Data(data) => got.extend_from_slice(&data),
            ResponsePart::End(CallEnd::Complete(_)) => return Ok((head.unwrap(), got.freeze())),
            ResponsePart::End(CallEnd::Error(e)) => return Err(e),
            ResponsePart::End(CallEnd::Broken(why)) => panic!("{why}"),
            ResponsePart::End(CallEnd::NotSent) => panic!("nothing of it was sent"),
        }
    }
}

/// Purges as an operator does.
pub async fn purge(at: SocketAddr, head: PurgeHead) {
    let socket = TcpStream::connect(at).await.unwrap();
    let (connection, mut incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    connection.control(Frame::Purge(head)).await.unwrap();
    match incoming.next().await.unwrap() {
        Inbound::Control(Frame::Ack(ack)) => assert_eq!(ack.rejection, ""),
        other => panic!("{other:?}"),
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
    /// `more` is added to the settings of the edge.
    pub async fn start(more: &str) -> Self {
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
        let edge = host("cache", Some(&folder.path().join("edge")), None, more).await;
        Self {
            origin_state: state,
            parent,
            edge,
            origin,
            folder,
        }
    }

    /// The parent, as a source of fills.
    pub fn source(&self) -> String {
        self.parent.bound().framed.to_string()
    }

    /// Requests with this method and path that the origin has received.
    pub fn origin_requests(&self, line: &str) -> u64 {
        let line = format!("{line} HTTP/1.1");
        self.origin_state
            .lock()
            .unwrap()
            .requests
            .get(&line)
            .copied()
            .unwrap_or(0)
    }
}
