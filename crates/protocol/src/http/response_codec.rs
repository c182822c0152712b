//! Decoding of responses at a client.
use super::{HttpError, MAX_FIELDS, MAX_HTTP_HEAD};
use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// Number of bytes after which an incomplete chunk size line is rejected; only lines with chunk extensions are longer.
const MAX_CHUNK_SIZE_LINE: usize = 64;

/// A decoded part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpEvent {
    /// The head of a response.
    Head {
        /// Status code.
        status: u16,
        /// Header fields, with names in lower case.
        fields: Vec<(String, String)>,
        /// Whether the connection may be used for further requests.
        keep_alive: bool,
    },
    /// A piece of the body.
    Data(Bytes),
    /// The end of the response; the next event is the head of another response.
    End,
}

/// Decodes responses. `head_only` must be set before each response.
#[derive(Debug, Default)]
pub struct ResponseCodec {
    /// Whether the next response answers a HEAD request and therefore has no body.
    pub head_only: bool,
    state: DecodeState,
}

impl crate::ReadSizeHint for ResponseCodec {}

/// The element of a response that is decoded next.
#[derive(Debug, Default, PartialEq)]
enum DecodeState {
    #[default]
    Head,
    /// A body of known length, of which this many bytes remain.
    Body { remaining: u64 },
    /// The size line of a chunk.
    ChunkSize,
    /// The data of a chunk, of which this many bytes remain.
    ChunkData { remaining: u64 },
    /// The line break after the data of a chunk.
    ChunkEnd,
    /// The empty line after the last chunk.
    Trailer,
    /// A body that ends when the connection is closed.
    BodyUntilClose,
}

/// The result of one decoding step.
enum Step {
    Event(HttpEvent),
    /// The state has changed, and decoding continues in the new state.
    Continue,
    NeedMoreBytes,
}

impl Decoder for ResponseCodec {
    type Item = HttpEvent;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<HttpEvent>, HttpError> {
        loop {
            match self.step(src)? {
                Step::Event(event) => return Ok(Some(event)),
                Step::Continue => {}
                Step::NeedMoreBytes => return Ok(None),
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<HttpEvent>, HttpError> {
        if let Some(event) = self.decode(src)? {
            return Ok(Some(event));
        }
        match self.state {
            DecodeState::BodyUntilClose => {
                self.state = DecodeState::Head;
                Ok(Some(HttpEvent::End))
            }
            DecodeState::Head if src.is_empty() => Ok(None),
            _ => Err(HttpError::Malformed(
                "connection closed within a response".into(),
            )),
        }
    }
}

impl ResponseCodec {
    /// Returns a decoder; `head_only` tells whether the first response answers a HEAD request.
    pub fn new(head_only: bool) -> Self {
        Self {
            head_only,
            state: DecodeState::Head,
        }
    }

    fn step(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        match self.state {
            DecodeState::Head => self.read_head(src),
            DecodeState::Body { remaining: 0 } => {
                self.state = DecodeState::Head;
                Ok(Step::Event(HttpEvent::End))
            }
            DecodeState::Body { remaining } => Ok(match take_body(src, remaining) {
                None => Step::NeedMoreBytes,
                Some(data) => {
                    let remaining = remaining - data.len() as u64;
                    self.state = DecodeState::Body { remaining };
                    Step::Event(HttpEvent::Data(data))
                }
            }),
            DecodeState::ChunkSize => self.read_chunk_size(src),
            DecodeState::ChunkData { remaining: 0 } => {
                self.state = DecodeState::ChunkEnd;
                Ok(Step::Continue)
            }
            DecodeState::ChunkData { remaining } => Ok(match take_body(src, remaining) {
                None => Step::NeedMoreBytes,
                Some(data) => {
                    let remaining = remaining - data.len() as u64;
                    self.state = DecodeState::ChunkData { remaining };
                    Step::Event(HttpEvent::Data(data))
                }
            }),
            DecodeState::ChunkEnd => {
                if !take_line_break(src, "chunk longer than its stated size")? {
                    return Ok(Step::NeedMoreBytes);
                }
                self.state = DecodeState::ChunkSize;
                Ok(Step::Continue)
            }
            DecodeState::Trailer => {
                if !take_line_break(src, "trailers are not supported")? {
                    return Ok(Step::NeedMoreBytes);
                }
                self.state = DecodeState::Head;
                Ok(Step::Event(HttpEvent::End))
            }
            DecodeState::BodyUntilClose => Ok(match take_body(src, u64::MAX) {
                None => Step::NeedMoreBytes,
                Some(data) => Step::Event(HttpEvent::Data(data)),
            }),
        }
    }

    fn read_chunk_size(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        let (line_len, size) = match httparse::parse_chunk_size(src) {
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) if src.len() <= MAX_CHUNK_SIZE_LINE => {
                return Ok(Step::NeedMoreBytes)
            }
            _ => return Err(HttpError::Malformed("invalid chunk size".into())),
        };
        src.advance(line_len);
        self.state = match size {
            0 => DecodeState::Trailer,
            remaining => DecodeState::ChunkData { remaining },
        };
        Ok(Step::Continue)
    }

    fn read_head(&mut self, src: &mut BytesMut) -> Result<Step, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let head_len = match parsed.parse(src) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if src.len() >= MAX_HTTP_HEAD => {
                return Err(HttpError::HeadTooLarge)
            }
            Ok(httparse::Status::Partial) => return Ok(Step::NeedMoreBytes),
            Err(error) => return Err(HttpError::Malformed(error.to_string())),
        };
        let is_http_1_1 = parsed.version == Some(1);
        let status = parsed.code.unwrap_or_default();
        let fields: Vec<(String, String)> = parsed.headers.iter().map(owned_field).collect();
        self.state = self.body_state(status, &fields)?;
        src.advance(head_len);
        let closes =
            field_value(&fields, "connection").is_some_and(|value| value.contains("close"));
        Ok(Step::Event(HttpEvent::Head {
            status,
            fields,
            keep_alive: is_http_1_1 && !closes,
        }))
    }

    /// Returns the state that decodes the body after a head (RFC 9112, section 6.3).
    fn body_state(
        &self,
        status: u16,
        fields: &[(String, String)],
    ) -> Result<DecodeState, HttpError> {
        let chunked = field_value(fields, "transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = field_value(fields, "content-length");
        if chunked && length.is_some() {
            return Err(HttpError::Ambiguous(
                "response with both Content-Length and Transfer-Encoding",
            ));
        }
        let length: Option<u64> = length
            .map(str::parse)
            .transpose()
            .map_err(|_| HttpError::Malformed("invalid content length".into()))?;
        if self.head_only || status == 304 || status == 204 {
            return Ok(DecodeState::Body { remaining: 0 });
        }
        Ok(match length {
            _ if chunked => DecodeState::ChunkSize,
            Some(remaining) => DecodeState::Body { remaining },
            None => DecodeState::BodyUntilClose,
        })
    }
}

fn owned_field(field: &httparse::Header<'_>) -> (String, String) {
    let value = String::from_utf8_lossy(field.value);
    (field.name.to_ascii_lowercase(), value.trim().to_owned())
}

fn field_value<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let (_, value) = fields.iter().find(|(known, _)| known == name)?;
    Some(value)
}

/// Removes up to `remaining` bytes of a body from `src`; returns `None` if `src` is empty.
fn take_body(src: &mut BytesMut, remaining: u64) -> Option<Bytes> {
    if src.is_empty() {
        return None;
    }
    let available = src
        .len()
        .min(usize::try_from(remaining).unwrap_or(usize::MAX));
    Some(src.split_to(available).freeze())
}

/// Removes a line break from `src`; returns false if it is not complete yet. Other bytes are reported as malformed,
/// with the given reason.
fn take_line_break(src: &mut BytesMut, reason: &str) -> Result<bool, HttpError> {
    if src.len() < 2 {
        return Ok(false);
    }
    if !src.starts_with(b"\r\n") {
        return Err(HttpError::Malformed(reason.into()));
    }
    src.advance(2);
    Ok(true)
}
