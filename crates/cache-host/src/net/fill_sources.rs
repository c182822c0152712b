//! Sources of fills: other hosts by the framed protocol, the host's own origin by HTTP/1.1.
use super::http_origin::{HttpBody, HttpOrigin};
use bytes::Bytes;
use pointspindle_clock::WallClock;
use pointspindle_config::CacheHostSettings;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{ErrorHead, RequestHead, ResponseHead};
use pointspindle_transport::{
    Call, CallEnd, ConnectionOptions, FramedConnection, Network, ResponsePart, Socket,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Connections to sources that are kept open; beyond it, a connection serves one fill.
const MAX_SOURCE_CONNECTIONS: usize = 1_024;

/// The source name that stands for the host's own HTTP origin.
pub const HOST_ORIGIN: &str = "origin";

/// The body of a response that is being received.
pub enum SourceBody {
    /// From a host, by the framed protocol.
    Framed(Call),
    /// From the host's own origin.
    Http(Box<HttpBody>),
}

/// A response whose head has arrived.
pub struct SourceResponse {
    /// Its head.
    pub head: ResponseHead,
    /// The response must not be stored.
    pub no_store: bool,
    /// Its body, not yet read.
    pub body: SourceBody,
}

/// Why a source gave no complete response.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SourceFailure {
    /// Nothing was sent.
    #[error("source unreachable: {0}")]
    Unreachable(String),
    /// The source answered with an error.
    #[error("source reported an error: {}", .0.detail)]
    Reported(Box<ErrorHead>),
    /// The response broke off or did not arrive in time: the request may have been executed.
    #[error("response interrupted: {0}")]
    Interrupted(String),
}

/// Connections to all sources.
pub struct FillSources {
    connector: Connector,
    connections: tokio::sync::Mutex<HashMap<String, FramedConnection>>,
    origin: Option<Arc<HttpOrigin>>,
}

/// Opens connections with a timeout.
pub struct Connector {
    net: Network,
    timeout: Duration,
}

impl Connector {
    /// Opens a connection.
    pub async fn connect(&self, address: SocketAddr) -> Result<Socket, SourceFailure> {
        tokio::time::timeout(self.timeout, self.net.connect(None, address))
            .await
            .map_err(|_| unreachable_source(address, "no connection in time"))?
            .map_err(|e| unreachable_source(address, e))
    }
}

fn unreachable_source(
    address: impl std::fmt::Display,
    reason: impl std::fmt::Display,
) -> SourceFailure {
    SourceFailure::Unreachable(format!("{address}: {reason}"))
}

impl FillSources {
    /// Sources as configured; connects when a fill needs it.
    pub fn new(settings: &CacheHostSettings, net: Network, clock: WallClock) -> Self {
        let origin = settings.origin.clone();
        Self {
            connector: Connector {
                net,
                timeout: Duration::from_micros(settings.connect_timeout_us),
            },
            connections: Default::default(),
            origin: origin.map(|origin| Arc::new(HttpOrigin::new(origin, clock))),
        }
    }

    /// Sends a request to a source and waits for the head of its response. An uncacheable request is executed there.
    pub async fn fetch(
        &self,
        source: &str,
        request: RequestHead,
        uncacheable: bool,
    ) -> Result<SourceResponse, SourceFailure> {
        match &self.origin {
            Some(origin) if source == HOST_ORIGIN || source == origin.address().to_string() => {
                origin
                    .clone()
                    .fetch(&self.connector, &request, uncacheable)
                    .await
            }
            _ => self.fetch_framed(source, request).await,
        }
    }

    /// An open connection to a host. The lock is held while connecting, so that concurrent fills share one connection.
    async fn connection(&self, source: &str) -> Result<FramedConnection, SourceFailure> {
        let mut connections = self.connections.lock().await;
        if let Some(open) = connections.get(source).filter(|c| c.accepts_calls()) {
            return Ok(open.clone());
        }
        let address: SocketAddr = source
            .parse()
            .map_err(|_| unreachable_source(source, "not an address and port"))?;
        let socket = self.connector.connect(address).await?;
        let options = ConnectionOptions::default();
        let (connection, mut incoming) = FramedConnection::start(socket, Side::Caller, options);
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        connections.retain(|_, connection| !connection.is_closed());
        if connections.len() < MAX_SOURCE_CONNECTIONS {
            connections.insert(source.to_owned(), connection.clone());
        }
        Ok(connection)
    }

    async fn fetch_framed(
        &self,
        source: &str,
        request: RequestHead,
    ) -> Result<SourceResponse, SourceFailure> {
        let connection = self.connection(source).await?;
        let mut call = connection
            .call(request)
            .map_err(|e| SourceFailure::Unreachable(e.to_string()))?;
        match call.next().await {
            Some(ResponsePart::Head(head)) => Ok(SourceResponse {
                head,
                no_store: false,
                body: SourceBody::Framed(call),
            }),
            Some(ResponsePart::End(CallEnd::Error(e))) => Err(SourceFailure::Reported(Box::new(e))),
            Some(ResponsePart::End(CallEnd::Broken(why))) => Err(SourceFailure::Interrupted(why)),
            Some(ResponsePart::End(CallEnd::NotSent)) => {
                Err(SourceFailure::Unreachable("nothing of it was sent".into()))
            }
            _ => Err(SourceFailure::Interrupted("no head".into())),
        }
    }
}

impl SourceBody {
    /// The next piece of the body; none at its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SourceFailure> {
        let call = match self {
            Self::Framed(call) => call,
            Self::Http(body) => return body.next().await,
        };
        match call.next().await {
            Some(ResponsePart::Data(data)) => Ok(Some(data)),
            Some(ResponsePart::End(CallEnd::Complete(_))) => Ok(None),
            Some(ResponsePart::End(CallEnd::Error(e))) => Err(SourceFailure::Reported(Box::new(e))),
            Some(ResponsePart::End(CallEnd::Broken(why))) => Err(SourceFailure::Interrupted(why)),
            _ => Err(SourceFailure::Interrupted("a second head".into())),
        }
    }
}
