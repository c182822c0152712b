//! Sources of fills: other hosts over the framed protocol, and the host's own origin over HTTP/1.1.
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

/// Maximum number of source connections that are held open for reuse; any further connection serves a single fill.
const MAX_SOURCE_CONNECTIONS: usize = 1_024;

/// Source name of the host's own HTTP origin.
pub const HOST_ORIGIN: &str = "origin";

/// The body of a response that is being received.
pub enum SourceBody {
    /// Body from another host, over the framed protocol.
    Framed(Call),
    /// Body from the host's own origin, over HTTP/1.1.
    Http(Box<HttpBody>),
}

/// A response whose head has arrived.
pub struct SourceResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// Whether the response must not be stored.
    pub no_store: bool,
    /// Body of the response, not yet read.
    pub body: SourceBody,
}

/// Reason for which a source did not return a complete response.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SourceFailure {
    /// No part of the request was sent.
    #[error("source unreachable: {0}")]
    Unreachable(String),
    /// The source answered with an error.
    #[error("source reported an error: {}", .0.detail)]
    Reported(Box<ErrorHead>),
    /// The response was truncated or did not arrive in time. The request may have been executed.
    #[error("response interrupted: {0}")]
    Interrupted(String),
}

/// Sources of fills, with the connections to them.
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
    /// Opens a connection to `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<Socket, SourceFailure> {
        tokio::time::timeout(self.timeout, self.net.connect(None, address))
            .await
            .map_err(|_| unreachable_source(address, "connecting timed out"))?
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
    /// Creates the sources as configured. Connections are opened when a fill needs them.
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

    /// Sends a request to a source and waits for the head of the response. The source executes an uncacheable request.
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

    /// Returns an open connection to a host. The lock is held while connecting, so that concurrent fills share one
    /// connection.
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
            Some(ResponsePart::End(CallEnd::Broken(reason))) => {
                Err(SourceFailure::Interrupted(reason))
            }
            Some(ResponsePart::End(CallEnd::NotSent)) => {
                Err(SourceFailure::Unreachable("nothing of it was sent".into()))
            }
            _ => Err(SourceFailure::Interrupted(
                "response ended without a head".into(),
            )),
        }
    }
}

impl SourceBody {
    /// Returns the next piece of the body, or `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SourceFailure> {
        let call = match self {
            Self::Framed(call) => call,
            Self::Http(body) => return body.next().await,
        };
        match call.next().await {
            Some(ResponsePart::Data(data)) => Ok(Some(data)),
            Some(ResponsePart::End(CallEnd::Complete(_))) => Ok(None),
            Some(ResponsePart::End(CallEnd::Error(e))) => Err(SourceFailure::Reported(Box::new(e))),
            Some(ResponsePart::End(CallEnd::Broken(reason))) => {
                Err(SourceFailure::Interrupted(reason))
            }
            _ => Err(SourceFailure::Interrupted(
                "unexpected frame in the response body".into(),
            )),
        }
    }
}
