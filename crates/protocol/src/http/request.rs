//! Requests as a listener reads them.
use super::{HttpError, MAX_FIELDS, MAX_HTTP_HEAD, MAX_TARGET};
use bytes::{Buf, BytesMut};
use tokio_util::codec::Decoder;

/// Most characters of an `X-Request-Id` that are used.
const MAX_TRACE_CHARS: usize = 128;
/// Most characters of an unsupported method that are shown in the error.
const MAX_SHOWN_METHOD_CHARS: usize = 32;

/// A method that is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
}

/// A request as a listener needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// Path of the target; begins with `/`.
    pub path: String,
    /// Query of the target, without the question mark.
    pub query: String,
    /// Whether the connection may serve further requests.
    pub keep_alive: bool,
    /// `Range`.
    pub range: Option<String>,
    /// `If-Range`.
    pub if_range: Option<String>,
    /// `If-None-Match`.
    pub if_none_match: Option<String>,
    /// `X-Request-Id`: the caller's identifier of the request.
    pub trace: Option<String>,
    /// `X-Deadline-Ms`: time that the caller waits.
    pub deadline_ms: Option<u64>,
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
        let head = &src[..src.len().min(MAX_HTTP_HEAD)];
        let head_len = match parsed.parse(head).map_err(parse_error)? {
            httparse::Status::Complete(len) => len,
            httparse::Status::Partial if src.len() >= MAX_HTTP_HEAD => {
                return Err(HttpError::HeadTooLarge)
            }
            httparse::Status::Partial => return Ok(None),
        };
        let request = request_of(&parsed)?;
        src.advance(head_len);
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

fn parse_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        httparse::Error::Version => HttpError::UnsupportedVersion,
        other => HttpError::Malformed(other.to_string()),
    }
}

fn request_of(parsed: &httparse::Request<'_, '_>) -> Result<HttpRequest, HttpError> {
    let is_http_1_1 = parsed.version == Some(1);
    let method = parse_method(parsed.method.unwrap_or_default())?;
    let target = origin_form(parsed.path.unwrap_or_default())?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = HttpRequest {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        keep_alive: is_http_1_1,
        range: None,
        if_range: None,
        if_none_match: None,
        trace: None,
        deadline_ms: None,
    };
    let mut framing = MessageFraming::default();
    for field in parsed.headers.iter() {
        read_field(field, &mut request, &mut framing)?;
    }
    framing.check(is_http_1_1)?;
    Ok(request)
}

fn parse_method(text: &str) -> Result<Method, HttpError> {
    match text {
        "GET" => Ok(Method::Get),
        "HEAD" => Ok(Method::Head),
        other => {
            let shown = other.chars().take(MAX_SHOWN_METHOD_CHARS).collect();
            Err(HttpError::UnsupportedMethod(shown))
        }
    }
}

/// Path and query of a target. The absolute form is what proxies receive; its authority is not checked.
fn origin_form(target: &str) -> Result<&str, HttpError> {
    if target.len() > MAX_TARGET {
        return Err(HttpError::TargetTooLong);
    }
    let target = match target.split_once("://") {
        Some(("http" | "https", rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        _ => target,
    };
    if !target.starts_with('/') {
        return Err(HttpError::Malformed(
            "the target does not begin with /".into(),
        ));
    }
    Ok(target)
}

/// The fields that decide where a message ends and to whom it goes.
#[derive(Default)]
struct MessageFraming {
    content_length: Option<u64>,
    hosts: usize,
}

impl MessageFraming {
    fn add_content_length(&mut self, text: &str) -> Result<(), HttpError> {
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let length = is_number.then(|| text.parse().ok()).flatten();
        let length = length.ok_or(HttpError::Ambiguous("the content length is not one number"))?;
        if self.content_length.replace(length).is_some() {
            return Err(HttpError::Ambiguous("two content lengths"));
        }
        Ok(())
    }

    fn check(&self, is_http_1_1: bool) -> Result<(), HttpError> {
        if self.hosts > 1 || (self.hosts == 0 && is_http_1_1) {
            return Err(HttpError::Ambiguous("HTTP/1.1 wants exactly one Host"));
        }
        match self.content_length {
            Some(length) if length > 0 => Err(HttpError::BodyNotAllowed(length)),
            _ => Ok(()),
        }
    }
}

fn read_field(
    field: &httparse::Header<'_>,
    request: &mut HttpRequest,
    framing: &mut MessageFraming,
) -> Result<(), HttpError> {
    let name = field.name.to_ascii_lowercase();
    let value = || match std::str::from_utf8(field.value) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(_) => Err(HttpError::Malformed(format!("field {name} is not text"))),
    };
    match name.as_str() {
        "transfer-encoding" => {
            return Err(HttpError::Ambiguous(
                "a request with a transfer coding is not taken",
            ))
        }
        "content-length" => framing.add_content_length(&value()?)?,
        "host" => framing.hosts += 1,
        "connection" => request.keep_alive = keep_alive(&value()?).unwrap_or(request.keep_alive),
        "range" => request.range = Some(value()?),
        "if-range" => request.if_range = Some(value()?),
        "if-none-match" => request.if_none_match = Some(value()?),
        "x-request-id" => request.trace = Some(value()?.chars().take(MAX_TRACE_CHARS).collect()),
        "x-deadline-ms" => request.deadline_ms = value()?.parse().ok(),
        _ => {}
    }
    Ok(())
}

/// Whether a `Connection` field keeps the connection open; its last such option counts, `None` if it has none.
fn keep_alive(options: &str) -> Option<bool> {
    let options = options.to_ascii_lowercase();
    let decision = |option: &str| match option.trim() {
        "close" => Some(false),
        "keep-alive" => Some(true),
        _ => None,
    };
    options.rsplit(',').find_map(decision)
}
