//! Endpoint discovery: numbered events for endpoint changes and purges, as the start configuration contains them and as
//! the discovery stream sends them (server-sent events).
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use tokio_util::codec::Decoder;

/// Largest size of an event; it fits the full endpoint list of a large fleet.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event of the discovery stream.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DiscoveryEvent {
    /// Revision of the event; revisions are numbered without gaps.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Change of the endpoint list, if the event carries one.
    #[serde(default, rename = "pool")]
    pub endpoint_update: Option<EndpointUpdate>,
    /// Purge, if the event carries one.
    #[serde(default, rename = "flush")]
    pub purge: Option<PurgeNotice>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointUpdate {
    /// Whether the update is the full list, so that endpoints absent from it have been removed.
    #[serde(default, rename = "whole")]
    pub is_full: bool,
    /// Endpoints that have changed, or all endpoints in a full list.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// Description of one endpoint.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Id of the endpoint, which does not depend on its address.
    #[serde(rename = "host")]
    pub id: String,
    /// Address to connect to; it may be empty for an endpoint that has been removed.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// Name of the endpoint's zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Name of the endpoint's kind, which determines its role.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Number of the endpoint's cell.
    #[serde(default, rename = "block")]
    pub cell: u64,
    /// State of the endpoint.
    #[serde(rename = "health")]
    pub state: DiscoveredState,
    /// Relative capacity of the endpoint.
    #[serde(default, rename = "share")]
    pub weight: f64,
    /// Unix time in milliseconds at which the endpoint started, reported for late starts; otherwise 0.
    #[serde(default, rename = "born_ms")]
    pub started_at_unix_ms: f64,
}

/// State of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum DiscoveredState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its open requests and accepts no new ones.
    Draining,
    /// The endpoint has been removed.
    Removed,
    /// A state that this version does not know, as sent.
    Unknown(String),
}

impl From<String> for DiscoveredState {
    fn from(state: String) -> Self {
        match state.as_str() {
            "Ready" => Self::Ready,
            "Terminating" => Self::Draining,
            "Gone" => Self::Removed,
            _ => Self::Unknown(state),
        }
    }
}

/// A purge of an object or of a purge group.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct PurgeNotice {
    /// Id of the purged object.
    #[serde(default, rename = "asset")]
    pub object: Option<String>,
    /// Number of the purged group.
    #[serde(default, rename = "collection")]
    pub group: Option<u64>,
    /// Unix time of the purge, in milliseconds.
    #[serde(rename = "ms")]
    pub purged_at_unix_ms: f64,
}

/// State of discovery as of the start configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct DiscoverySnapshot {
    /// Last revision that the events cover.
    #[serde(default, rename = "rev")]
    pub revision: u64,
    /// Events up to and including that revision.
    #[serde(default, rename = "notices")]
    pub events: Vec<DiscoveryEvent>,
}

/// One item of a stream of server-sent events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerSentEvent {
    /// A comment, sent as a keep-alive.
    Comment,
    /// An event with data.
    Event {
        /// Id of the event, if it has one that is a number.
        id: Option<u64>,
        /// Data lines of the event, joined by line feeds.
        data: String,
    },
}

/// Error that ends the decoding of a stream of server-sent events.
#[derive(Debug, thiserror::Error)]
pub enum ServerSentEventError {
    /// An event exceeds the size limit.
    #[error("server-sent event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line is not valid UTF-8.
    #[error("server-sent event is not valid UTF-8")]
    NotUtf8,
    /// Reading from the stream failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Decodes server-sent events. An event is returned once the blank line that ends it has been received.
#[derive(Debug, Default)]
pub struct ServerSentEventCodec {
    id: Option<u64>,
    data: Option<String>,
    /// Number of bytes at the start of the buffer that have been searched and contain no line end.
    searched: usize,
}

impl ServerSentEventCodec {
    /// Returns the next line without its line feed, or `None` if the line is incomplete.
    fn next_line(&mut self, from: &mut BytesMut) -> Result<Option<BytesMut>, ServerSentEventError> {
        let Some(end) = from[self.searched..].iter().position(|b| *b == b'\n') else {
            self.searched = from.len();
            let buffered = from.len() + self.data.as_ref().map_or(0, String::len);
            return if buffered > MAX_EVENT_BYTES {
                Err(ServerSentEventError::TooLong)
            } else {
                Ok(None)
            };
        };
        let line = from.split_to(self.searched + end);
        from.advance(1);
        self.searched = 0;
        Ok(Some(line))
    }

    /// Ends the current event and returns it, or `None` if it has no data.
    fn finish_event(&mut self) -> Option<ServerSentEvent> {
        let id = self.id.take();
        let data = self.data.take()?;
        Some(ServerSentEvent::Event { id, data })
    }

    fn add_field(&mut self, line: &str) -> Result<(), ServerSentEventError> {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match (name, &mut self.data) {
            ("id", _) => self.id = value.parse().ok(),
            ("data", Some(data)) => {
                data.push('\n');
                data.push_str(value);
            }
            ("data", none) => *none = Some(value.to_owned()),
            _ => {}
        }
        if self
            .data
            .as_ref()
            .is_some_and(|d| d.len() > MAX_EVENT_BYTES)
        {
            return Err(ServerSentEventError::TooLong);
        }
        Ok(())
    }
}

impl Decoder for ServerSentEventCodec {
    type Item = ServerSentEvent;
    type Error = ServerSentEventError;

    fn decode(
        &mut self,
        from: &mut BytesMut,
    ) -> Result<Option<ServerSentEvent>, ServerSentEventError> {
        while let Some(line) = self.next_line(from)? {
            let line = std::str::from_utf8(&line).map_err(|_| ServerSentEventError::NotUtf8)?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            if line.is_empty() {
                if let Some(event) = self.finish_event() {
                    return Ok(Some(event));
                }
            } else if line.starts_with(':') {
                return Ok(Some(ServerSentEvent::Comment));
            } else {
                self.add_field(line)?;
            }
        }
        Ok(None)
    }
}
