//! The client's side of an HTTP/1.1 connection: reads requests and writes responses.
use super::super::exchange::{ClientDisconnected, ClientStream};
use crate::client_pace::{ClientPace, PaceRule};
use bytes::{Buf, Bytes, BytesMut};
use pointspindle::Micros;
use pointspindle_config::ListenSettings;
use pointspindle_protocol::http::{
    write_chunk, HttpError, HttpRequest, HttpResponse, Method, RequestCodec,
};
use pointspindle_protocol::{ResponseHead, WireCacheStatus};
use pointspindle_transport::{FrameReader, Socket, WriteHalf};
use prometheus_client::metrics::counter::Counter;
use std::time::Duration;
use tokio::time::Instant;

/// Small parts of a body are gathered up to this size before they are written.
const GATHER_BYTES: usize = 16 * 1024;
/// A write buffer with a larger capacity is freed once it is empty.
const MAX_IDLE_BUFFER_BYTES: usize = 1024;
/// Maximum time to write an error response, since the client may not be reading.
const ERROR_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Header fields of a response.
type Fields = Vec<(&'static str, String)>;

/// A client's connection. Between requests it holds no response state except an empty buffer.
pub(super) struct HttpClient {
    requests: FrameReader<RequestCodec>,
    /// Request that arrived while another was being answered. At most one is buffered; further ones wait in the socket.
    pipelined_request: Option<Box<Result<HttpRequest, HttpError>>>,
    disconnected: bool,
    write: WriteHalf,
    out: BytesMut,
    method: Method,
    close: bool,
    chunked: bool,
    body_allowed: bool,
    /// Whether any bytes of the current response have been passed to the connection.
    response_started: bool,
    pace_rule: PaceRule,
    /// Pace of the client for the response that is being written.
    pace: Option<Box<ClientPace>>,
    slow_clients: Counter,
}

impl HttpClient {
    /// Creates the client's side of a new connection.
    pub fn new(socket: Socket, settings: &ListenSettings, slow_clients: Counter) -> Self {
        let (read, write) = socket.split();
        Self {
            requests: FrameReader::new(read, RequestCodec),
            pipelined_request: None,
            disconnected: false,
            write,
            out: BytesMut::new(),
            method: Method::Get,
            close: false,
            chunked: false,
            body_allowed: true,
            response_started: false,
            pace_rule: PaceRule {
                min_bytes_per_s: settings.min_client_bytes_per_s,
                window: settings.pace_window_us,
            },
            pace: None,
            slow_clients,
        }
    }

    /// Whether a request or a part of one has been read already.
    pub fn has_request(&self) -> bool {
        self.pipelined_request.is_some() || self.has_partial_request()
    }

    /// Whether a request has been read in part.
    pub fn has_partial_request(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Waits until there are bytes to read.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.requests.readable().await
    }

    /// Takes the request that arrived while another was being answered.
    pub fn take_pipelined_request(&mut self) -> Option<Box<Result<HttpRequest, HttpError>>> {
        self.pipelined_request.take()
    }

    /// Reads the next request; returns `None` at the end of the connection.
    pub async fn next_request(&mut self) -> Option<Result<HttpRequest, HttpError>> {
        self.requests.next().await
    }

    /// Prepares for the response to a request.
    pub fn begin_request(&mut self, request: &HttpRequest, stopping: bool) {
        self.method = request.method;
        self.close = !request.keep_alive || stopping;
    }

    /// Drops the state of a response. Returns whether the connection is to be closed after it.
    pub fn end_request(&mut self) -> bool {
        self.pace = None;
        self.close
    }

    /// Closes the connection for writing.
    pub fn shutdown(&self) {
        self.write.shutdown();
    }

    /// Sends a complete response that the dispatcher generates itself.
    pub async fn send_response(&mut self, status: u16, text: &str, mut fields: Fields) {
        fields.push(("content-type", "text/plain; charset=utf-8".into()));
        let response = HttpResponse {
            status,
            length: Some(text.len() as u64),
            close: self.close,
            fields,
        };
        response.write(&mut self.out);
        if self.method == Method::Get {
            self.out.extend_from_slice(text.as_bytes());
        }
        let written = tokio::time::timeout(ERROR_RESPONSE_TIMEOUT, self.write_buffered()).await;
        if written.is_err() {
            self.close = true;
        }
    }

    /// Sends the last response on a connection on which no further request can be read.
    pub async fn reject_request(&mut self, status: u16, reason: &str) {
        self.close = true;
        self.method = Method::Get;
        self.send_response(status, &format!("{reason}\n"), vec![])
            .await;
        self.shutdown();
    }

    /// Writes the buffered bytes. If the future is dropped, the bytes that are not written stay in the buffer.
    async fn write_buffered(&mut self) -> Result<(), ClientDisconnected> {
        while !self.out.is_empty() {
            self.response_started = true;
            let mut paced = PacedWriter {
                write: &self.write,
                pace: &mut self.pace,
                rule: self.pace_rule,
                slow_clients: &self.slow_clients,
            };
            paced.write_some(&mut self.out).await?;
        }
        if self.out.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.out = BytesMut::new();
        }
        Ok(())
    }

    /// Writes the buffered bytes and then a large part of a body, without copying it into the buffer.
    async fn write_behind_buffered(&mut self, data: Bytes) -> Result<(), ClientDisconnected> {
        let mut both = std::mem::take(&mut self.out).chain(data);
        self.response_started = true;
        let mut paced = PacedWriter {
            write: &self.write,
            pace: &mut self.pace,
            rule: self.pace_rule,
            slow_clients: &self.slow_clients,
        };
        let written = paced.write_all(&mut both).await;
        self.out = both.into_inner().0;
        self.out.clear();
        written
    }
}

/// Writes to the client as long as it reads its response fast enough.
struct PacedWriter<'a> {
    write: &'a WriteHalf,
    pace: &'a mut Option<Box<ClientPace>>,
    rule: PaceRule,
    slow_clients: &'a Counter,
}

impl PacedWriter<'_> {
    async fn write_all(&mut self, bytes: &mut (impl Buf + Send)) -> Result<(), ClientDisconnected> {
        while bytes.has_remaining() {
            self.write_some(bytes).await?;
        }
        Ok(())
    }

    /// Writes as many bytes as the socket accepts next. The future may be dropped at any time.
    async fn write_some(
        &mut self,
        bytes: &mut (impl Buf + Send),
    ) -> Result<(), ClientDisconnected> {
        let rule = self.rule;
        let pace = self
            .pace
            .get_or_insert_with(|| Box::new(ClientPace::new(rule)));
        let timeout = pace.max_wait().map_or(Duration::MAX, Duration::from_micros);
        let started_at = Instant::now();
        let taken = match tokio::time::timeout(timeout, self.write.write_buf(bytes)).await {
            Ok(Ok(0) | Err(_)) => return Err(ClientDisconnected),
            Ok(Ok(taken)) => taken as u64,
            Err(_) => 0,
        };
        if !pace.record_read(taken, started_at.elapsed().as_micros() as Micros) {
            self.slow_clients.inc();
            tracing::info!("client reads its response too slowly; connection closed");
            return Err(ClientDisconnected);
        }
        Ok(())
    }
}

impl ClientStream for HttpClient {
    async fn disconnected(&mut self) {
        if self.pipelined_request.is_some() {
            // Reading on would buffer without bound, so the end of the connection is detected behind the unread bytes.
            return self.requests.peer_closed().await;
        }
        if !self.disconnected {
            match self.requests.next().await {
                Some(Err(e)) if e.status() == 0 => self.disconnected = true,
                Some(request) => {
                    self.pipelined_request = Some(Box::new(request));
                    self.requests.peer_closed().await
                }
                None => self.disconnected = true,
            }
        }
    }

    async fn head(&mut self, head: &ResponseHead) -> Result<(), ClientDisconnected> {
        let (status, length) = status_and_length(head);
        self.response_started = false;
        self.chunked = length.is_none();
        self.body_allowed = self.method == Method::Get && !matches!(status, 304 | 416);
        let response = HttpResponse {
            status,
            length,
            close: self.close,
            fields: response_fields(status, head),
        };
        response.write(&mut self.out);
        Ok(())
    }

    async fn data(&mut self, data: Bytes) -> Result<(), ClientDisconnected> {
        if !self.body_allowed {
            return Ok(());
        }
        if self.chunked {
            write_chunk(&data, &mut self.out);
        } else if data.len() >= GATHER_BYTES {
            return self.write_behind_buffered(data).await;
        } else {
            self.out.extend_from_slice(&data);
        }
        if self.out.len() >= GATHER_BYTES {
            self.write_buffered().await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.write_buffered().await
    }

    async fn end(&mut self) -> Result<(), ClientDisconnected> {
        if self.chunked && self.body_allowed {
            write_chunk(&[], &mut self.out);
        }
        self.write_buffered().await
    }

    async fn reject(&mut self, after: Option<Micros>) {
        let retry_after_ms = after.unwrap_or(0).div_ceil(1_000);
        let retry_after_s = retry_after_ms.div_ceil(1_000).max(1);
        let proxy_status = "pointspindle; error=destination_unavailable; details=\"refused\"";
        let fields = vec![
            ("retry-after", retry_after_s.to_string()),
            ("x-come-back-ms", retry_after_ms.to_string()),
            ("x-outcome", "refused".to_owned()),
            ("proxy-status", proxy_status.to_owned()),
        ];
        self.send_response(503, "refused: a retry is harmless\n", fields)
            .await;
    }

    async fn fail(&mut self) {
        let proxy_status = "pointspindle; error=connection_terminated; details=\"failed\"";
        let fields = vec![
            ("x-outcome", "failed".to_owned()),
            ("proxy-status", proxy_status.to_owned()),
        ];
        self.send_response(502, "failed: it may have run\n", fields)
            .await;
    }

    /// Leaves the response shorter than its length or without its last chunk, so that the client detects the truncation. A
    /// head that is still buffered is replaced by an error response, since the client would receive no response at all from
    /// a connection that is closed without a byte.
    async fn abort(&mut self) {
        self.out.clear();
        self.close = true;
        if !self.response_started {
            self.fail().await;
        }
    }
}

/// Returns the status, and the length of the body if it is known.
fn status_and_length(head: &ResponseHead) -> (u16, Option<u64>) {
    if head.not_modified {
        (304, Some(0))
    } else if head.unsatisfiable {
        (416, Some(0))
    } else if head.range_first.is_some() {
        (206, head.size)
    } else if head.origin_status == 0 {
        (200, head.size)
    } else {
        (head.origin_status as u16, head.size)
    }
}

fn response_fields(status: u16, head: &ResponseHead) -> Fields {
    let mut fields = vec![
        ("cache-status", cache_status(head)),
        ("age", (head.age_us / 1_000_000).to_string()),
    ];
    if !head.validator.is_empty() {
        fields.push(("etag", head.validator.clone()));
    }
    if !head.content_type.is_empty() {
        fields.push(("content-type", head.content_type.clone()));
    }
    fields.push(("accept-ranges", "bytes".into()));
    if let Some(range) = content_range(status, head) {
        fields.push(("content-range", range));
    }
    fields
}

fn content_range(status: u16, head: &ResponseHead) -> Option<String> {
    let complete_size = head.complete_size?;
    match status {
        416 => Some(format!("bytes */{complete_size}")),
        206 => {
            let first = head.range_first?;
            let size = head.size.filter(|size| *size > 0)?;
            let last = first + size - 1;
            Some(format!("bytes {first}-{last}/{complete_size}"))
        }
        _ => None,
    }
}

/// Returns the `Cache-Status` field (RFC 9211): how the cache produced the response.
fn cache_status(head: &ResponseHead) -> String {
    let ttl = head
        .fresh_left_us
        .map(|left| format!("; ttl={}", left / 1_000_000))
        .unwrap_or_default();
    match head.cache_status() {
        WireCacheStatus::Hit => format!("pointspindle; hit{ttl}"),
        WireCacheStatus::Stale => "pointspindle; hit; detail=old".into(),
        WireCacheStatus::Coalesced => format!("pointspindle; fwd=miss; collapsed{ttl}"),
        WireCacheStatus::FilledByOrigin => format!("pointspindle; fwd=miss; detail=origin{ttl}"),
        WireCacheStatus::Filled => format!("pointspindle; fwd=miss{ttl}"),
        _ => "pointspindle".into(),
    }
}
