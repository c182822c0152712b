//! The notice board: numbered events, as they stand in the start configuration and as server-sent events.
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use tokio_util::codec::Decoder;

/// One event with the whole list of a large fleet.
const EVENT_MOST: usize = 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Notice {
    pub rev: u64,
    #[serde(default)]
    pub pool: Option<Pool>,
    #[serde(default)]
    pub flush: Option<Flush>,
}

/// News of the list of cache hosts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Pool {
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Host {
    pub host: String,
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub block: u64,
    pub health: String,
    #[serde(default)]
    pub share: f64,
    /// Unix milliseconds of a late start, or 0.
    #[serde(default)]
    pub born_ms: f64,
}

/// A purge of an object, or of a group.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Flush {
    #[serde(default)]
    pub asset: Option<String>,
    #[serde(default)]
    pub collection: Option<u64>,
    pub ms: f64,
}

/// What the configuration holds of the board.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Known {
    #[serde(default)]
    pub rev: u64,
    #[serde(default)]
    pub notices: Vec<Notice>,
}

/// A piece of a stream of server-sent events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sse {
    /// A sign of life.
    Comment,
    Event {
        id: Option<u64>,
        data: String,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum SseError {
    #[error("an event of over {EVENT_MOST} bytes")]
    Long,
    #[error("text that is no UTF-8")]
    NoText,
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads server-sent events. One that its blank line has not ended yet is not told.
#[derive(Debug, Default)]
pub struct SseCodec {
    id: Option<u64>,
    data: Option<String>,
    looked: usize,
}

impl Decoder for SseCodec {
    type Item = Sse;
    type Error = SseError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Sse>, SseError> {
        loop {
            let Some(end) = from[self.looked..].iter().position(|b| *b == b'\n') else {
                self.looked = from.len();
                let held = from.len() + self.data.as_ref().map_or(0, String::len);
                return if held > EVENT_MOST {
                    Err(SseError::Long)
                } else {
                    Ok(None)
                };
            };
            let line = from.split_to(self.looked + end);
            from.advance(1);
            self.looked = 0;
            let line = std::str::from_utf8(&line).map_err(|_| SseError::NoText)?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            if line.is_empty() {
                let id = self.id.take();
                if let Some(data) = self.data.take() {
                    return Ok(Some(Sse::Event { id, data }));
                }
                continue;
            }
            if line.starts_with(':') {
                return Ok(Some(Sse::Comment));
            }
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
            if self.data.as_ref().is_some_and(|d| d.len() > EVENT_MOST) {
                return Err(SseError::Long);
            }
        }
    }
}
