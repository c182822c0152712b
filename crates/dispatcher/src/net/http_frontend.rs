//! Clients on HTTP/1.1: GET and HEAD, answered in order, with `Age`, `Cache-Status` (RFC 9211), `Proxy-Status`
//! (RFC 9209) and `Retry-After`.
use super::connection_registry::ConnectionPermit;
use super::exchange::{self, ClientDisconnected, ClientStream, IncomingRequest, RequestOutcome};
use super::frontend_context::FrontendContext;
use crate::client_pace::{Pace, PaceRule};
use crate::core::ClientRequest;
use bytes::{Buf, Bytes, BytesMut};
use pointspindle::{Micros, ObjectId};
use pointspindle_config::DispatcherSettings;
use pointspindle_protocol::http::*;
use pointspindle_protocol::{RequestHead, ResponseHead, WireCacheStatus};
use pointspindle_transport::{FrameReader, Socket, WriteHalf};
use prometheus_client::metrics::counter::Counter;
use std::time::Duration;
use tokio::time::Instant;
use tracing::Instrument;

/// Small pieces are gathered up to this before they are written.
const GATHER: usize = 16 * 1024;
/// A larger buffer is given back once it is empty.
const KEPT_BUFFER: usize = 1024;
/// Time to write an error answer to a client that may not read.
const LAST_WORDS: Duration = Duration::from_secs(1);

pub(crate) async fn serve(context: FrontendContext, socket: Socket, permit: ConnectionPermit) {
    let (read, write) = socket.split();
    let requests = FrameReader::new(read, RequestCodec);
    let mut client = HttpClient {
        requests,
        next: None,
        gone: false,
        write,
        out: BytesMut::new(),
        method: Method::Get,
        close: false,
        chunked: false,
        body_allowed: true,
        begun: false,
        rule: PaceRule {
            least: context.core.settings.listen.min_client_bytes_per_s,
            window: context.core.settings.listen.pace_window_us,
        },
        pace: None,
        slow: context.core.metrics.slow_clients.clone(),
    };
    loop {
        if client.next.is_none() && client.requests.is_empty() {
            let came = tokio::select! {
                // First: a request that has come is answered, though its connection is to make room.
                biased;
                came = client.requests.readable() => came,
                _ = permit.close_requested() => return,
                _ = context.stopped() => return,
            };
            if came.is_err() {
                return;
            }
        }
        // Boxed, as all that only an active connection needs: an idle one is its socket, its permit and little more.
        if !Box::pin(turn(&context, &permit, &mut client)).await {
            return;
        }
    }
}

/// One request and its answer; false: the connection is of no more use.
async fn turn(
    context: &FrontendContext,
    permit: &ConnectionPermit,
    client: &mut HttpClient,
) -> bool {
    let head = Duration::from_micros(context.core.settings.listen.head_timeout_us);
    let request = match client.next.take() {
        Some(request) => *request,
        // From its first byte on a head has so long to be complete.
        None => match tokio::time::timeout(head, client.requests.next()).await {
            Ok(Some(request)) => request,
            Ok(None) => return false,
            Err(_) if client.requests.is_empty() => return true,
            Err(_) => return client.complain(408, "the head did not come in time").await,
        },
    };
    let request = match request {
        Ok(request) => request,
        Err(e) if e.status() == 0 => return false,
        Err(e) => return client.complain(e.status(), &e.to_string()).await,
    };
    permit.busy();
    client.method = request.method;
    client.close = !request.keep_alive || context.is_stopping();
    let span = tracing::info_span!(
        "request",
        path = %request.path,
        trace = request.trace.as_deref().unwrap_or_default()
    );
    let fate = answer(context, request, client).instrument(span).await;
    client.pace = None;
    if client.close
        || matches!(
            fate,
            Some(RequestOutcome::Broken | RequestOutcome::ClientDisconnected)
        )
    {
        client.write.shutdown();
        return false;
    }
    permit.idle();
    true
}

async fn answer(
    context: &FrontendContext,
    request: HttpRequest,
    client: &mut HttpClient,
) -> Option<RequestOutcome> {
    let settings = &context.core.settings;
    let Some(asked) = asked(settings, &request) else {
        client
            .short(404, &format!("no class serves {}\n", request.path), vec![])
            .await;
        return None;
    };
    Some(exchange::run(&context.core, asked, client).await)
}

/// An HTTP request in the dispatcher's terms: class by the longest prefix, group by the path's first segments.
fn asked(settings: &DispatcherSettings, request: &HttpRequest) -> Option<IncomingRequest> {
    let prefix = |c: &pointspindle_config::ClassSettings| {
        c.path_prefix
            .clone()
            .filter(|p| request.path.starts_with(p))
    };
    let fitting = settings
        .classes
        .iter()
        .enumerate()
        .filter_map(|(n, c)| Some((prefix(c)?.len(), n)));
    let (_, class) = fitting.max_by_key(|(len, n)| (*len, std::cmp::Reverse(*n)))?;
    let part = request
        .query
        .strip_prefix("part=")
        .and_then(|n| n.parse().ok());
    let object = match (part, request.query.is_empty()) {
        (Some(_), _) | (_, true) => request.path.clone(),
        _ => format!("{}?{}", request.path, request.query),
    };
    let part = part.unwrap_or(0);
    let group = group_of(&request.path, settings.group_segments);
    let most = settings.classes[class].deadline_us;
    let left = request
        .deadline_ms
        .map_or(most, |ms| ms.saturating_mul(1000).min(most));
    let ask = ClientRequest {
        class,
        object: object.clone(),
        part,
        group,
        time_left: left,
        size: None,
    };
    let template = RequestHead {
        object,
        part,
        group,
        class: settings.classes[class].name.clone(),
        trace: request.trace.clone().unwrap_or_default(),
        head_only: request.method == Method::Head,
        if_none_match: request.if_none_match.clone().unwrap_or_default(),
        range: request.range.clone().unwrap_or_default(),
        if_range: request.if_range.clone().unwrap_or_default(),
        ..Default::default()
    };
    Some(IncomingRequest {
        request: ask,
        head_template: template,
        body: Bytes::new(),
    })
}

/// The purge group of an HTTP path: the number of its first segments, as `purge --group-of` tells it too.
pub fn group_of(path: &str, segments: usize) -> u64 {
    let mut ends = path.match_indices('/').map(|(at, _)| at).skip(1);
    let end = ends.nth(segments - 1).unwrap_or(path.len());
    ObjectId::named(&path[..end]).0
}

struct HttpClient {
    requests: FrameReader<RequestCodec>,
    /// A request that came while another was being answered: one at most, the rest waits in the socket.
    next: Option<Box<Result<HttpRequest, HttpError>>>,
    gone: bool,
    write: WriteHalf,
    out: BytesMut,
    method: Method,
    close: bool,
    chunked: bool,
    body_allowed: bool,
    /// Something of this answer was handed to the connection.
    begun: bool,
    rule: PaceRule,
    /// Of the answer that is being written.
    pace: Option<Box<Pace>>,
    slow: Counter,
}

impl HttpClient {
    /// Writes what was gathered. Dropped while waiting, what is left of it is still there.
    async fn write_out(&mut self) -> Result<(), ClientDisconnected> {
        while !self.out.is_empty() {
            self.begun = true;
            let Self {
                write,
                out,
                pace,
                rule,
                slow,
                ..
            } = self;
            write_some(write, out, pace, *rule, slow).await?;
        }
        if self.out.capacity() > KEPT_BUFFER {
            self.out = BytesMut::new();
        }
        Ok(())
    }

    /// Writes it all, while the client takes it fast enough.
    async fn write_paced(
        &mut self,
        bytes: &mut (impl Buf + Send),
    ) -> Result<(), ClientDisconnected> {
        self.begun = true;
        while bytes.has_remaining() {
            let Self {
                write,
                pace,
                rule,
                slow,
                ..
            } = self;
            write_some(write, bytes, pace, *rule, slow).await?;
        }
        Ok(())
    }

    /// A whole answer of our own.
    async fn short(&mut self, status: u16, text: &str, mut fields: Vec<(&'static str, String)>) {
        fields.push(("content-type", "text/plain; charset=utf-8".into()));
        let length = Some(text.len() as u64);
        HttpResponse {
            status,
            length,
            close: self.close,
            fields,
        }
        .write(&mut self.out);
        if self.method == Method::Get {
            self.out.extend_from_slice(text.as_bytes());
        }
        if tokio::time::timeout(LAST_WORDS, self.write_out())
            .await
            .is_err()
        {
            self.close = true;
        }
    }

    /// The last word on a connection that cannot be read any further; always false.
    async fn complain(&mut self, status: u16, why: &str) -> bool {
        self.close = true;
        self.method = Method::Get;
        self.short(status, &format!("{why}\n"), vec![]).await;
        self.write.shutdown();
        false
    }
}

/// Writes what the client takes next, while it takes enough. Safe to drop while waiting.
async fn write_some(
    write: &WriteHalf,
    bytes: &mut (impl Buf + Send),
    pace: &mut Option<Box<Pace>>,
    rule: PaceRule,
    slow: &Counter,
) -> Result<(), ClientDisconnected> {
    let pace = pace.get_or_insert_with(|| Box::new(Pace::new(rule)));
    let patience = pace.patience().map_or(Duration::MAX, Duration::from_micros);
    let began = Instant::now();
    let taken = match tokio::time::timeout(patience, write.write_buf(bytes)).await {
        Ok(Ok(0) | Err(_)) => return Err(ClientDisconnected),
        Ok(Ok(taken)) => taken as u64,
        Err(_) => 0,
    };
    if !pace.took(taken, began.elapsed().as_micros() as u64) {
        slow.inc();
        tracing::info!("the client takes too little of its answer");
        return Err(ClientDisconnected);
    }
    Ok(())
}

impl ClientStream for HttpClient {
    async fn disconnected(&mut self) {
        if self.next.is_some() {
            // Reading further would have to buffer without bound: its end is looked for behind what is not read.
            return self.requests.peer_closed().await;
        }
        if !self.gone {
            match self.requests.next().await {
                Some(Err(e)) if e.status() == 0 => self.gone = true,
                Some(request) => {
                    self.next = Some(Box::new(request));
                    self.requests.peer_closed().await
                }
                None => self.gone = true,
            }
        }
    }

    async fn head(&mut self, head: &ResponseHead) -> Result<(), ClientDisconnected> {
        let mut fields = vec![("cache-status", cache_status(head))];
        fields.push(("age", (head.age_us / 1_000_000).to_string()));
        if !head.validator.is_empty() {
            fields.push(("etag", head.validator.clone()));
        }
        if !head.content_type.is_empty() {
            fields.push(("content-type", head.content_type.clone()));
        }
        fields.push(("accept-ranges", "bytes".into()));
        let code = if head.origin_status == 0 {
            200
        } else {
            head.origin_status as u16
        };
        let (status, length) = match (head.not_modified, head.unsatisfiable, head.range_first) {
            (true, ..) => (304, Some(0)),
            (_, true, _) => (416, Some(0)),
            (_, _, Some(_)) => (206, head.size),
            _ => (code, head.size),
        };
        match (status, head.range_first, head.size, head.complete_size) {
            (416, _, _, Some(whole)) => fields.push(("content-range", format!("bytes */{whole}"))),
            (206, Some(first), Some(size), Some(whole)) if size > 0 => {
                fields.push((
                    "content-range",
                    format!("bytes {first}-{}/{whole}", first + size - 1),
                ));
            }
            _ => {}
        }
        self.begun = false;
        self.chunked = length.is_none();
        self.body_allowed = self.method == Method::Get && !matches!(status, 304 | 416);
        HttpResponse {
            status,
            length,
            close: self.close,
            fields,
        }
        .write(&mut self.out);
        Ok(())
    }

    async fn data(&mut self, data: Bytes) -> Result<(), ClientDisconnected> {
        if !self.body_allowed {
            return Ok(());
        }
        if self.chunked {
            write_chunk(&data, &mut self.out);
        } else if data.len() >= GATHER {
            // Large pieces are written from where they lie, behind what was gathered.
            let mut both = std::mem::take(&mut self.out).chain(data);
            let written = self.write_paced(&mut both).await;
            self.out = both.into_inner().0;
            self.out.clear();
            return written;
        } else {
            self.out.extend_from_slice(&data);
        }
        if self.out.len() >= GATHER {
            self.write_out().await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.write_out().await
    }

    async fn end(&mut self) -> Result<(), ClientDisconnected> {
        if self.chunked && self.body_allowed {
            write_chunk(&[], &mut self.out);
        }
        self.write_out().await
    }

    async fn reject(&mut self, after: Option<Micros>) {
        let ms = after.unwrap_or(0).div_ceil(1_000);
        let fields = vec![
            ("retry-after", ms.div_ceil(1_000).max(1).to_string()),
            ("x-come-back-ms", ms.to_string()),
            ("x-outcome", "refused".to_owned()),
            (
                "proxy-status",
                "pointspindle; error=destination_unavailable; details=\"refused\"".to_owned(),
            ),
        ];
        self.short(503, "refused: a retry is harmless\n", fields)
            .await;
    }

    async fn fail(&mut self) {
        let fields = vec![
            ("x-outcome", "failed".to_owned()),
            (
                "proxy-status",
                "pointspindle; error=connection_terminated; details=\"failed\"".to_owned(),
            ),
        ];
        self.short(502, "failed: it may have run\n", fields).await;
    }

    /// What has been written stays short of its length, or without its last chunk: the client sees a cut. Where the head still
    /// waits here it is not sent: a connection that ended without a word would be no answer.
    async fn abort(&mut self) {
        self.out.clear();
        self.close = true;
        if !self.begun {
            self.fail().await;
        }
    }
}

/// RFC 9211: how the answer came about at the cache.
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

#[cfg(test)]
mod tests;
