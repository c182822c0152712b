//! The line protocol to cache hosts, parents and the origin: encodes requests, cancellations and health checks, and
//! decodes responses.
use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;
use tokio_util::codec::Decoder;

/// Largest size of an object, as the platform defines it.
pub const MAX_OBJECT_BYTES: usize = 240_000;
/// Largest length of a response line: an id, a status, a handful of short fields and a body length.
const MAX_LINE_BYTES: usize = 512;
const MAX_ID_BYTES: usize = 64;
/// End of a line, and of a body.
pub const LINE_END: &[u8] = b"\r\n";

/// A request to an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheRequest<'a> {
    /// Id of the request, unique on the connection.
    pub id: &'a str,
    /// Name of the request class.
    pub class: &'a str,
    /// Id of the object.
    pub object: &'a str,
    /// Number of the part within the object.
    pub part: u64,
    /// Time within which the response must arrive, in milliseconds.
    pub timeout_ms: u64,
    /// Idempotency key; empty for none.
    pub idempotency_key: &'a str,
    /// Id of the endpoint to fill from; empty for no fill.
    pub fill_source: &'a str,
    /// Rank of the copy when the cache evicts; 0 for the endpoint's default.
    pub retention_rank: u32,
    /// Largest age of the copy in milliseconds; 0 for the freshness lifetime of the class.
    pub max_age_ms: u64,
    /// Whether the request may be coalesced with a fill in flight.
    pub coalesce: bool,
    /// Whether the endpoint must respond from its cache, without a fill.
    pub only_if_cached: bool,
    /// Whether the endpoint revalidates its copy with the fill source.
    pub revalidate: bool,
    /// Validator of the client's copy; empty for none.
    pub if_none_match: &'a str,
    /// Length of the body of a write.
    pub body_bytes: usize,
}

impl CacheRequest<'_> {
    /// Appends the line of the request. The body and [`LINE_END`] follow it.
    pub fn write_line(&self, out: &mut BytesMut) {
        // Writing to a buffer cannot fail.
        let _ = write!(
            out,
            "PULL {} kind={},obj={},seg={},ms={}",
            self.id, self.class, self.object, self.part, self.timeout_ms
        );
        let text_fields = [
            ("token", self.idempotency_key),
            ("up", self.fill_source),
            ("inm", self.if_none_match),
        ];
        for (name, value) in text_fields.iter().filter(|(_, value)| !value.is_empty()) {
            let _ = write!(out, ",{name}={value}");
        }
        let number_fields = [
            ("store", u64::from(self.retention_rank)),
            ("cap", self.max_age_ms),
        ];
        for (name, value) in number_fields.iter().filter(|(_, value)| *value > 0) {
            let _ = write!(out, ",{name}={value}");
        }
        let flags = [
            ("merge", self.coalesce),
            ("local", self.only_if_cached),
            ("revalidate", self.revalidate),
        ];
        let mut separator = ",do=";
        for (name, _) in flags.iter().filter(|(_, is_set)| *is_set) {
            let _ = write!(out, "{separator}{name}");
            separator = "+";
        }
        let _ = write!(out, " {}\r\n", self.body_bytes);
    }
}

/// Appends the cancellation of a request.
pub fn write_cancel(out: &mut BytesMut, id: &str) {
    let _ = write!(out, "KILL {id}\r\n");
}

/// Appends a health check. Its reply carries the same id.
pub fn write_health_check(out: &mut BytesMut, id: &str) {
    let _ = write!(out, "ECHO {id}\r\n");
}

/// Status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The response contains the object.
    Served,
    /// The client's copy is current.
    NotModified,
    /// The endpoint has no copy and did not fill.
    NotCached,
    /// The endpoint rejected the request because it is overloaded.
    Overloaded,
    /// The request failed and may have been executed.
    Failed,
    /// The request was cancelled.
    Cancelled,
    /// The reply to a health check.
    HealthCheckReply,
}

impl ResponseStatus {
    fn parse(status: &str) -> Option<Self> {
        Some(match status {
            "served" => Self::Served,
            "still_good" => Self::NotModified,
            "not_here" => Self::NotCached,
            "overload" => Self::Overloaded,
            "crashed" => Self::Failed,
            "nobody" => Self::Cancelled,
            "green" => Self::HealthCheckReply,
            _ => return None,
        })
    }
}

/// Cache statuses in the order of their codes, which begin at 1.
const CACHE_STATUSES: [&str; 10] = [
    "mem",
    "parent",
    "origin",
    "shared",
    "old",
    "denied",
    "unreached",
    "absent",
    "crowded",
    "behind",
];

/// A response from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheResponse {
    /// Id of the request.
    pub id: String,
    /// Status of the response.
    pub status: ResponseStatus,
    /// Code of the cache status, as the router numbers them; 0 if it is not reported.
    pub cache_status_code: u8,
    /// Validator of the copy; empty for none.
    pub validator: String,
    /// Unix time in milliseconds at which the origin produced the copy; 0 if it is not reported.
    pub produced_at_unix_ms: u64,
    /// Time that the endpoint waited for the fill source, in milliseconds.
    pub fill_wait_ms: u64,
    /// Content of the object.
    pub body: Bytes,
}

/// Error that ends the decoding of a connection.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A response line exceeds the size limit.
    #[error("response line exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A line is not a valid response line.
    #[error("malformed response line")]
    MalformedResponse,
    /// The length of a response body exceeds [`MAX_OBJECT_BYTES`].
    #[error("response body of {0} bytes exceeds the limit of {MAX_OBJECT_BYTES} bytes")]
    BodyTooLong(u64),
    /// A response body is not followed by a line end.
    #[error("response body is not followed by a line end at its declared length")]
    MissingBodyEnd,
    /// Reading from the connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A response whose line has been decoded and whose body is incomplete.
#[derive(Debug)]
struct PartialResponse {
    response: CacheResponse,
    body_bytes: usize,
}

/// Decodes responses.
#[derive(Debug, Default)]
pub struct CacheResponseCodec {
    partial: Option<PartialResponse>,
    /// Number of bytes at the start of the buffer that have been searched and contain no line end.
    searched: usize,
}

impl CacheResponseCodec {
    /// Returns the full length of the response body that is being received, or 0.
    pub fn incomplete_body_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |p| p.body_bytes)
    }

    /// Returns the request id of the response whose body is being received.
    pub fn incomplete_response_id(&self) -> Option<&str> {
        self.partial.as_ref().map(|p| p.response.id.as_str())
    }

    fn decode_line(&mut self, from: &mut BytesMut) -> Result<Option<PartialResponse>, LineError> {
        let limit = from.len().min(MAX_LINE_BYTES);
        let Some(end) = from[self.searched..limit]
            .windows(LINE_END.len())
            .position(|w| w == LINE_END)
        else {
            self.searched = limit.saturating_sub(1);
            return if from.len() >= MAX_LINE_BYTES {
                Err(LineError::LineTooLong)
            } else {
                Ok(None)
            };
        };
        let line = from.split_to(self.searched + end);
        from.advance(LINE_END.len());
        self.searched = 0;
        parse_line(&line).map(Some)
    }
}

impl Decoder for CacheResponseCodec {
    type Item = CacheResponse;
    type Error = LineError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<CacheResponse>, LineError> {
        if self.partial.is_none() {
            self.partial = self.decode_line(from)?;
        }
        let Some(partial) = &self.partial else {
            return Ok(None);
        };
        let body_bytes = partial.body_bytes;
        let total_bytes = body_bytes + LINE_END.len();
        if from.len() < total_bytes {
            reserve_exact(from, total_bytes);
            return Ok(None);
        }
        if &from[body_bytes..total_bytes] != LINE_END {
            return Err(LineError::MissingBodyEnd);
        }
        let Some(PartialResponse { mut response, .. }) = self.partial.take() else {
            return Ok(None);
        };
        response.body = from.split_to(body_bytes).freeze();
        from.advance(LINE_END.len());
        Ok(Some(response))
    }
}

/// Makes the buffer large enough for `total_bytes`, and no larger. Its own growth would double the allocation of an
/// earlier body, which the next body would then occupy.
fn reserve_exact(buffer: &mut BytesMut, total_bytes: usize) {
    if buffer.capacity() >= total_bytes {
        return;
    }
    let mut exact = BytesMut::with_capacity(total_bytes);
    exact.extend_from_slice(buffer);
    *buffer = exact;
}

fn parse_line(line: &[u8]) -> Result<PartialResponse, LineError> {
    let line = std::str::from_utf8(line).map_err(|_| LineError::MalformedResponse)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, status, fields, length] = words[..] else {
        return Err(LineError::MalformedResponse);
    };
    let status = ResponseStatus::parse(status).ok_or(LineError::MalformedResponse)?;
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return Err(LineError::MalformedResponse);
    }
    let body_bytes = parse_body_length(length)?;
    let mut response = CacheResponse {
        id: id.to_owned(),
        status,
        cache_status_code: 0,
        validator: String::new(),
        produced_at_unix_ms: 0,
        fill_wait_ms: 0,
        body: Bytes::new(),
    };
    for field in fields.split(',').filter(|f| *f != "-") {
        let (name, value) = field.split_once('=').ok_or(LineError::MalformedResponse)?;
        set_field(&mut response, name, value)?;
    }
    Ok(PartialResponse {
        response,
        body_bytes,
    })
}

fn parse_body_length(length: &str) -> Result<usize, LineError> {
    let is_plain = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
    let length: u64 = length
        .parse()
        .ok()
        .filter(|_| is_plain)
        .ok_or(LineError::MalformedResponse)?;
    if length > MAX_OBJECT_BYTES as u64 {
        return Err(LineError::BodyTooLong(length));
    }
    Ok(length as usize)
}

/// Sets the response's field from a field of its line. Unknown fields are skipped: later versions may add some.
fn set_field(response: &mut CacheResponse, name: &str, value: &str) -> Result<(), LineError> {
    match name {
        "res" => response.cache_status_code = parse_cache_status(value)?,
        "rev" => response.validator = value.to_owned(),
        "since" => response.produced_at_unix_ms = parse_millis(value)?,
        "fill" => response.fill_wait_ms = parse_millis(value)?,
        _ => {}
    }
    Ok(())
}

fn parse_cache_status(value: &str) -> Result<u8, LineError> {
    CACHE_STATUSES
        .iter()
        .position(|status| *status == value)
        .map(|position| position as u8 + 1)
        .ok_or(LineError::MalformedResponse)
}

fn parse_millis(value: &str) -> Result<u64, LineError> {
    value
        .parse::<f64>()
        .ok()
        .filter(|millis| *millis >= 0.0)
        .map(|millis| millis as u64)
        .ok_or(LineError::MalformedResponse)
}
