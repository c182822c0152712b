//! HTTP/1.1 (RFC 9110, 9112) as codecs over `httparse`: requests at the door, answers at a client.
//!
//! Only GET and HEAD without a body are taken, so that no request's end is a matter of opinion: a message with a
//! transfer coding, two lengths, or a length above 0 is refused and its connection closed.
use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// Most bytes of a request's or answer's head.
pub const MAX_HTTP_HEAD: usize = 16 * 1024;
/// Most fields of a head.
pub const MAX_FIELDS: usize = 64;
/// Most bytes of a request target.
pub const MAX_TARGET: usize = 4 * 1024;
/// Most bytes of one chunk's line; extensions are not wanted.
const MAX_CHUNK_LINE: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Get,
    Head,
}

/// A request as the door needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub keep_alive: bool,
    pub range: Option<String>,
    pub if_range: Option<String>,
    pub if_none_match: Option<String>,
    /// `X-Request-Id`: the caller's name for the request.
    pub trace: Option<String>,
    /// `X-Deadline-Ms`: time that the caller waits.
    pub deadline_ms: Option<u64>,
}

/// Why a request is refused, and with which status. The connection ends after it.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("400 the request cannot be read: {0}")]
    Malformed(String),
    #[error("400 {0}")]
    Ambiguous(&'static str),
    #[error("413 a body of {0} bytes is not taken here")]
    Body(u64),
    #[error("414 the target has over {MAX_TARGET} bytes")]
    Target,
    #[error("431 the head has over {MAX_HTTP_HEAD} bytes or {MAX_FIELDS} fields")]
    Head,
    #[error("501 method {0} is not served here (GET and HEAD are)")]
    Method(String),
    #[error("505 HTTP version is not 1.0 or 1.1")]
    Version,
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl HttpError {
    /// The status code; 0 where no answer can be sent.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) | Self::Ambiguous(_) => 400,
            Self::Body(_) => 413,
            Self::Target => 414,
            Self::Head => 431,
            Self::Method(_) => 501,
            Self::Version => 505,
            Self::Io(_) => 0,
        }
    }
}

/// Reads requests.
#[derive(Debug, Default)]
pub struct RequestCodec;

impl crate::ReadSizeHint for RequestCodec {}

impl Decoder for RequestCodec {
    type Item = HttpRequest;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<HttpRequest>, HttpError> {
        // Empty lines before a request are skipped (RFC 9112, 2.2).
        while src.starts_with(b"\r\n") {
            src.advance(2);
        }
        if src.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let window = &src[..src.len().min(MAX_HTTP_HEAD)];
        let len = match parsed.parse(window) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if src.len() >= MAX_HTTP_HEAD => {
                return Err(HttpError::Head)
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(HttpError::Head),
            Err(httparse::Error::Version) => return Err(HttpError::Version),
            Err(e) => return Err(HttpError::Malformed(e.to_string())),
        };
        let request = read_request(&parsed)?;
        src.advance(len);
        Ok(Some(request))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<HttpRequest>, HttpError> {
        match self.decode(src)? {
            Some(request) => Ok(Some(request)),
            None if src.is_empty() => Ok(None),
            None => Err(HttpError::Malformed(
                "the connection ended inside the head".into(),
            )),
        }
    }
}

fn read_request(parsed: &httparse::Request<'_, '_>) -> Result<HttpRequest, HttpError> {
    let method = match parsed.method.unwrap_or_default() {
        "GET" => Method::Get,
        "HEAD" => Method::Head,
        other => return Err(HttpError::Method(other.chars().take(32).collect())),
    };
    let target = parsed.path.unwrap_or_default();
    if target.len() > MAX_TARGET {
        return Err(HttpError::Target);
    }
    // Absolute form is what proxies get; the authority is not ours to judge.
    let target = match target.split_once("://") {
        Some(("http" | "https", rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        _ => target,
    };
    if !target.starts_with('/') {
        return Err(HttpError::Malformed(
            "the target does not begin with /".into(),
        ));
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = HttpRequest {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        keep_alive: parsed.version == Some(1),
        range: None,
        if_range: None,
        if_none_match: None,
        trace: None,
        deadline_ms: None,
    };
    let mut length: Option<u64> = None;
    let mut hosts = 0;
    for field in parsed.headers.iter() {
        let name = field.name.to_ascii_lowercase();
        let text = std::str::from_utf8(field.value);
        let value = || {
            text.map(|t| t.trim().to_owned())
                .map_err(|_| HttpError::Malformed(format!("field {name} is not text")))
        };
        match name.as_str() {
            "transfer-encoding" => {
                return Err(HttpError::Ambiguous(
                    "a request with a transfer coding is not taken",
                ));
            }
            "content-length" => {
                let told = value()?;
                let digits = !told.is_empty() && told.bytes().all(|b| b.is_ascii_digit());
                let told = digits.then(|| told.parse().ok()).flatten();
                let told =
                    told.ok_or(HttpError::Ambiguous("the content length is not one number"))?;
                if length.replace(told).is_some() {
                    return Err(HttpError::Ambiguous("two content lengths"));
                }
            }
            "host" => hosts += 1,
            "connection" => {
                for token in value()?.to_ascii_lowercase().split(',') {
                    match token.trim() {
                        "close" => request.keep_alive = false,
                        "keep-alive" => request.keep_alive = true,
                        _ => {}
                    }
                }
            }
            "range" => request.range = Some(value()?),
            "if-range" => request.if_range = Some(value()?),
            "if-none-match" => request.if_none_match = Some(value()?),
            "x-request-id" => request.trace = Some(value()?.chars().take(128).collect()),
            "x-deadline-ms" => request.deadline_ms = value()?.parse().ok(),
            _ => {}
        }
    }
    if hosts > 1 || (hosts == 0 && parsed.version == Some(1)) {
        return Err(HttpError::Ambiguous("HTTP/1.1 wants exactly one Host"));
    }
    match length {
        Some(n) if n > 0 => Err(HttpError::Body(n)),
        _ => Ok(request),
    }
}

/// Whether a list of validators (`If-None-Match`) names this one; compared weakly (RFC 9110, 13.1.2).
pub fn names_validator(list: &str, validator: &str) -> bool {
    let opaque = |v: &str| {
        v.trim()
            .trim_start_matches("W/")
            .trim_matches('"')
            .to_owned()
    };
    list.trim() == "*" || list.split(',').any(|v| opaque(v) == opaque(validator))
}

/// The head of an answer, to be written.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    /// None: the length is not known and chunks follow (or, to HTTP/1.0, the connection's end).
    pub length: Option<u64>,
    pub close: bool,
    pub fields: Vec<(&'static str, String)>,
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        414 => "URI Too Long",
        416 => "Range Not Satisfiable",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Answer",
    }
}

impl HttpResponse {
    /// Writes the head. Control characters in values would end a line early and are left out.
    pub fn write(&self, dst: &mut BytesMut) {
        use std::fmt::Write;
        let mut text = String::with_capacity(256);
        let _ = write!(text, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        let _ = write!(
            text,
            "date: {}\r\n",
            httpdate::fmt_http_date(std::time::SystemTime::now())
        );
        for (name, value) in &self.fields {
            let clean: String = value.chars().filter(|c| !c.is_control()).collect();
            let _ = write!(text, "{name}: {clean}\r\n");
        }
        match self.length {
            Some(_) if self.status == 304 => {}
            Some(n) => {
                let _ = write!(text, "content-length: {n}\r\n");
            }
            None => text.push_str("transfer-encoding: chunked\r\n"),
        }
        if self.close {
            text.push_str("connection: close\r\n");
        }
        text.push_str("\r\n");
        dst.extend_from_slice(text.as_bytes());
    }
}

/// Writes one chunk; an empty one ends the body.
pub fn write_chunk(data: &[u8], dst: &mut BytesMut) {
    dst.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    dst.extend_from_slice(data);
    dst.extend_from_slice(b"\r\n");
}

/// What a client reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpEvent {
    Head {
        status: u16,
        fields: Vec<(String, String)>,
        keep_alive: bool,
    },
    Data(Bytes),
    End,
}

/// Reads answers. Say before each whether it was asked for with HEAD.
#[derive(Debug, Default)]
pub struct ResponseCodec {
    pub head_only: bool,
    state: Reading,
}

impl crate::ReadSizeHint for ResponseCodec {}

#[derive(Debug, Default, PartialEq)]
enum Reading {
    #[default]
    Head,
    Length(u64),
    ChunkLine,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    ToClose,
}

impl Decoder for ResponseCodec {
    type Item = HttpEvent;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<HttpEvent>, HttpError> {
        loop {
            match self.state {
                Reading::Head => return self.head(src),
                Reading::Length(0) => {
                    self.state = Reading::Head;
                    return Ok(Some(HttpEvent::End));
                }
                Reading::Length(left) | Reading::Chunk(left) if src.is_empty() && left > 0 => {
                    return Ok(None);
                }
                Reading::Length(left) => {
                    let data = src.split_to(src.len().min(left as usize)).freeze();
                    self.state = Reading::Length(left - data.len() as u64);
                    return Ok(Some(HttpEvent::Data(data)));
                }
                Reading::Chunk(0) => self.state = Reading::ChunkEnd,
                Reading::Chunk(left) => {
                    let data = src.split_to(src.len().min(left as usize)).freeze();
                    self.state = Reading::Chunk(left - data.len() as u64);
                    return Ok(Some(HttpEvent::Data(data)));
                }
                Reading::ChunkEnd => {
                    if src.len() < 2 {
                        return Ok(None);
                    }
                    if &src[..2] != b"\r\n" {
                        return Err(HttpError::Malformed(
                            "a chunk is longer than it says".into(),
                        ));
                    }
                    src.advance(2);
                    self.state = Reading::ChunkLine;
                }
                Reading::ChunkLine => {
                    let line = match httparse::parse_chunk_size(src) {
                        Ok(httparse::Status::Complete((at, size))) => Some((at, size)),
                        Ok(httparse::Status::Partial) if src.len() <= MAX_CHUNK_LINE => None,
                        _ => return Err(HttpError::Malformed("chunk size".into())),
                    };
                    let Some((at, size)) = line else {
                        return Ok(None);
                    };
                    src.advance(at);
                    self.state = if size == 0 {
                        Reading::Trailer
                    } else {
                        Reading::Chunk(size)
                    };
                }
                Reading::Trailer => {
                    if src.len() < 2 {
                        return Ok(None);
                    }
                    if &src[..2] != b"\r\n" {
                        return Err(HttpError::Malformed("trailers are not taken".into()));
                    }
                    src.advance(2);
                    self.state = Reading::Head;
                    return Ok(Some(HttpEvent::End));
                }
                Reading::ToClose if src.is_empty() => return Ok(None),
                Reading::ToClose => return Ok(Some(HttpEvent::Data(src.split().freeze()))),
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<HttpEvent>, HttpError> {
        if let Some(piece) = self.decode(src)? {
            return Ok(Some(piece));
        }
        match self.state {
            Reading::ToClose => {
                self.state = Reading::Head;
                Ok(Some(HttpEvent::End))
            }
            Reading::Head if src.is_empty() => Ok(None),
            _ => Err(HttpError::Malformed(
                "the connection ended inside an answer".into(),
            )),
        }
    }
}

impl ResponseCodec {
    /// A reader whose next answers belong to HEAD requests, or not.
    pub fn new(head_only: bool) -> Self {
        Self {
            head_only,
            state: Reading::Head,
        }
    }

    fn head(&mut self, src: &mut BytesMut) -> Result<Option<HttpEvent>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let len = match parsed.parse(src) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if src.len() >= MAX_HTTP_HEAD => {
                return Err(HttpError::Head)
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(e) => return Err(HttpError::Malformed(e.to_string())),
        };
        let status = parsed.code.unwrap_or_default();
        let fields: Vec<(String, String)> = parsed
            .headers
            .iter()
            .map(|h| {
                (
                    h.name.to_ascii_lowercase(),
                    String::from_utf8_lossy(h.value).trim().to_owned(),
                )
            })
            .collect();
        let find = |name: &str| {
            fields
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v.as_str())
        };
        let keep_alive =
            parsed.version == Some(1) && !find("connection").is_some_and(|v| v.contains("close"));
        let chunked = find("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        let length = match find("content-length") {
            Some(_) if chunked => return Err(HttpError::Ambiguous("an answer with both lengths")),
            Some(v) => Some(
                v.parse()
                    .map_err(|_| HttpError::Malformed("content length".into()))?,
            ),
            None => None,
        };
        self.state = match (
            self.head_only || status == 304 || status == 204,
            chunked,
            length,
        ) {
            (true, ..) => Reading::Length(0),
            (_, true, _) => Reading::ChunkLine,
            (_, _, Some(n)) => Reading::Length(n),
            _ => Reading::ToClose,
        };
        src.advance(len);
        Ok(Some(HttpEvent::Head {
            status,
            fields,
            keep_alive,
        }))
    }
}
