//! Decoding of requests at a listener.
use super::{HttpError, MAX_FIELDS, MAX_HTTP_HEAD, MAX_TARGET};
use bytes::{Buf, BytesMut};
use tokio_util::codec::Decoder;

/// Number of characters after which an `X-Request-Id` is truncated.
const MAX_TRACE_CHARS: usize = 128;
/// Number of characters after which an unsupported method is truncated in the error.
const MAX_SHOWN_METHOD_CHARS: usize = 32;

/// A supported request method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
}

/// The head of a decoded request, with the fields that a listener uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Request method.
    pub method: Method,
    /// Path of the request target; begins with `/`.
    pub path: String,
    /// Query of the request target, without the question mark.
    pub query: String,
    /// Whether the connection may be used for further requests.
    pub keep_alive: bool,
    /// Value of the `Range` field.
    pub range: Option<String>,
    /// Value of the `If-Range` field.
    pub if_range: Option<String>,
    /// Value of the `If-None-Match` field.
    pub if_none_match: Option<String>,
    /// Value of the `X-Request-Id` field: the client's identifier of the request.
    pub trace: Option<String>,
    /// Value of the `X-Deadline-Ms` field: time in milliseconds that the client waits for the response.
    pub deadline_ms: Option<u64>,
}

/// Decodes requests.
#[derive(Debug, Default)]
pub struct RequestCodec;

impl crate::ReadSizeHint for RequestCodec {}

impl Decoder for RequestCodec {
    type Item = HttpRequest;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<HttpRequest>, HttpError> {
        // Empty lines before a request are skipped (RFC 9112, section 2.2).
        while src.starts_with(b"\r\n") {
            src.advance(2);
        }
        if src.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let head = &src[..src.len().min(MAX_HTTP_HEAD)];
        let head_len = match parsed.parse(head).map_err(error_from_httparse)? {
            httparse::Status::Complete(len) => len,
            httparse::Status::Partial if src.len() >= MAX_HTTP_HEAD => {
                return Err(HttpError::HeadTooLarge)
            }
            httparse::Status::Partial => return Ok(None),
        };
        let request = build_request(&parsed)?;
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

fn error_from_httparse(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        httparse::Error::Version => HttpError::UnsupportedVersion,
        other => HttpError::Malformed(other.to_string()),
    }
}

fn build_request(parsed: &httparse::Request<'_, '_>) -> Result<HttpRequest, HttpError> {
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
        apply_field(field, &mut request, &mut framing)?;
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

/// Returns the path and query of a request target. The absolute form, which proxies receive, is accepted as well; its
/// authority is not checked.
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

/// The header fields that determine where a message ends and which host it addresses.
#[derive(Default)]
struct MessageFraming {
    content_length: Option<u64>,
    host_count: usize,
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
        if self.host_count > 1 || (self.host_count == 0 && is_http_1_1) {
            return Err(HttpError::Ambiguous("HTTP/1.1 wants exactly one Host"));
        }
        match self.content_length {
            Some(length) if length > 0 => Err(HttpError::BodyNotAllowed(length)),
            _ => Ok(()),
        }
    }
}

fn apply_field(
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
        "host" => framing.host_count += 1,
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

/// Whether a `Connection` field keeps the connection open, by its last `close` or `keep-alive` option; `None` if it has
/// neither.
fn keep_alive(options: &str) -> Option<bool> {
    let options = options.to_ascii_lowercase();
    let decision = |option: &str| match option.trim() {
        "close" => Some(false),
        "keep-alive" => Some(true),
        _ => None,
    };
    options.rsplit(',').find_map(decision)
}
