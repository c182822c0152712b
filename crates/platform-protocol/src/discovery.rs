//! Endpoint discovery: numbered events of endpoints and purges, as the start configuration holds them and as the
//! discovery stream sends them (server-sent events).
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use tokio_util::codec::Decoder;

/// One event with the full endpoint list of a large fleet.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event of the discovery stream.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DiscoveryEvent {
    /// Events are numbered without gaps.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// A change of the endpoint list.
    #[serde(default, rename = "pool")]
    pub endpoint_update: Option<EndpointUpdate>,
    /// A purge.
    #[serde(default, rename = "flush")]
    pub purge: Option<PurgeNotice>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointUpdate {
    /// The update is the full list: endpoints that it does not name are gone.
    #[serde(default, rename = "whole")]
    pub is_full: bool,
    /// The endpoints that have changed, or all of them.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// One endpoint as discovery describes it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Names the endpoint, whatever its address.
    #[serde(rename = "host")]
    pub id: String,
    /// Where to connect; an endpoint that is gone may have none.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// Name of its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Name of its kind, which decides its role.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Number of its cell.
    #[serde(default, rename = "block")]
    pub cell: u64,
    /// Whether it takes requests.
    #[serde(rename = "health")]
    pub state: DiscoveredState,
    /// Its relative capacity.
    #[serde(default, rename = "share")]
    pub weight: f64,
    /// Unix milliseconds of its start where that was late, or 0.
    #[serde(default, rename = "born_ms")]
    pub started_at_unix_ms: f64,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum DiscoveredState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Gone,
    /// A state that a later version of the platform has added.
    Unknown(String),
}

impl From<String> for DiscoveredState {
    fn from(state: String) -> Self {
        match state.as_str() {
            "Ready" => Self::Ready,
            "Terminating" => Self::Draining,
            "Gone" => Self::Gone,
            _ => Self::Unknown(state),
        }
    }
}

/// A purge of an object, or of a group.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct PurgeNotice {
    /// The purged object.
    #[serde(default, rename = "asset")]
    pub object: Option<String>,
    /// The purged group.
    #[serde(default, rename = "collection")]
    pub group: Option<u64>,
    /// Unix milliseconds of the purge.
    #[serde(rename = "ms")]
    pub purged_at_unix_ms: f64,
}

/// What the start configuration holds of the discovery stream.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct KnownState {
    /// The last revision that the events cover.
    #[serde(default, rename = "rev")]
    pub revision: u64,
    /// Events up to that revision.
    #[serde(default, rename = "notices")]
    pub events: Vec<DiscoveryEvent>,
}

/// One item of a stream of server-sent events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerSentEvent {
    /// A comment, sent as a keep-alive.
    Comment,
    /// An event.
    Event {
        /// Its id, where it is a number.
        id: Option<u64>,
        /// Its data lines, joined by line feeds.
        data: String,
    },
}

/// Why a stream of server-sent events cannot be decoded any further.
#[derive(Debug, thiserror::Error)]
pub enum ServerSentEventError {
    /// An event that exceeds the limit.
    #[error("an event of over {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line that is not UTF-8.
    #[error("an event that is not UTF-8")]
    NotUtf8,
    /// The stream could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Decodes server-sent events; an event counts once its blank line has come.
#[derive(Debug, Default)]
pub struct ServerSentEventCodec {
    id: Option<u64>,
    data: Option<String>,
    /// Bytes of the buffer that hold no line end.
    searched: usize,
}

impl ServerSentEventCodec {
    /// The next line without its end, or none before its end has come.
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

    /// Ends the event: what it was, unless it had no data.
    fn dispatch(&mut self) -> Option<ServerSentEvent> {
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
                if let Some(event) = self.dispatch() {
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
