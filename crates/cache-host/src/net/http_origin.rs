//! The host's own origin, reached through a bounded pool of HTTP/1.1 connections.
use super::fill_sources::{Connector, SourceBody, SourceFailure, SourceResponse};
use crate::freshness::freshness;
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_config::OriginSettings;
use pointspindle_protocol::http::{HttpEvent, ResponseCodec};
use pointspindle_protocol::{RequestHead, ResponseHead, WireCacheStatus};
use pointspindle_transport::{FrameReader, IdleState, WriteHalf};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Maximum number of attempts. The first may fail on an idle connection that the origin has closed in the meantime; the
/// second uses a new connection.
const MAX_ATTEMPTS: usize = 2;

struct Connection {
    read: FrameReader<ResponseCodec>,
    write: WriteHalf,
}

/// Pool of connections to an HTTP origin.
pub struct HttpOrigin {
    settings: OriginSettings,
    idle: Mutex<Vec<Connection>>,
    /// Permits to use a connection, one for each concurrent exchange.
    permits: Arc<Semaphore>,
    clock: WallClock,
}

/// The body of an HTTP response. When the body is complete, its connection returns to the pool if it can be reused.
pub struct HttpBody {
    connection: Option<Connection>,
    keep_alive: bool,
    origin: Arc<HttpOrigin>,
    _permit: OwnedSemaphorePermit,
}

struct HttpHead {
    status: u16,
    fields: Vec<(String, String)>,
    keep_alive: bool,
}

fn closed_by_origin() -> SourceFailure {
    SourceFailure::Interrupted("the origin closed the connection".into())
}

impl HttpOrigin {
    /// Creates an empty pool.
    pub fn new(settings: OriginSettings, clock: WallClock) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(settings.connections)),
            settings,
            idle: Mutex::new(Vec::new()),
            clock,
        }
    }

    /// Returns the address of the origin.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Sends a request and waits for the head of the response. `executes` says whether the origin executes the request,
    /// which then must not be repeated. The wait for a permit has no timeout here; the fill's timeout covers it.
    pub async fn fetch(
        self: Arc<Self>,
        connector: &Connector,
        request: &RequestHead,
        executes: bool,
    ) -> Result<SourceResponse, SourceFailure> {
        let permit = self.permits.clone().acquire_owned().await;
        let permit =
            permit.map_err(|_| SourceFailure::Unreachable("the host is shutting down".into()))?;
        let sent_at = Instant::now();
        let text = request_text(&self.settings, request, executes);
        for attempt in 0..MAX_ATTEMPTS {
            // A request that executes must not be sent twice, so it does not use an idle connection, which may fail.
            let reused = self.take_idle(attempt == 0 && !executes);
            let is_reused = reused.is_some();
            let mut connection = match reused {
                Some(connection) => connection,
                None => self.connect(connector).await?,
            };
            connection.read.codec().head_only = request.head_only;
            let Some(received) = connection.exchange(&text, is_reused).await? else {
                continue;
            };
            let response_delay = sent_at.elapsed().as_micros() as Micros;
            let now_s = self.clock.steady().as_secs();
            let (head, no_store) = response_head(&received, response_delay, now_s);
            let body = HttpBody {
                connection: Some(connection),
                keep_alive: received.keep_alive,
                origin: self.clone(),
                _permit: permit,
            };
            return Ok(SourceResponse {
                head,
                no_store,
                body: SourceBody::Http(Box::new(body)),
            });
        }
        Err(closed_by_origin())
    }

    /// Takes an idle connection out of the pool and closes it if it cannot be used.
    fn take_idle(&self, may_reuse: bool) -> Option<Connection> {
        let idle = self.idle().pop();
        idle.filter(|connection| may_reuse && connection.read.idle() == IdleState::Idle)
    }

    async fn connect(&self, connector: &Connector) -> Result<Connection, SourceFailure> {
        let (read, write) = connector.connect(self.settings.address).await?.split();
        Ok(Connection {
            read: FrameReader::new(read, ResponseCodec::new(false)),
            write,
        })
    }
}

impl Connection {
    /// Sends a request and reads the head of the response. Returns `None` if a reused connection was closed before any
    /// part of the response arrived.
    async fn exchange(
        &mut self,
        text: &str,
        is_reused: bool,
    ) -> Result<Option<HttpHead>, SourceFailure> {
        let written = self.write.write_all(text.as_bytes()).await;
        if written.is_err() && is_reused {
            return Ok(None);
        }
        match self.read.next().await {
            Some(Ok(HttpEvent::Head {
                status,
                fields,
                keep_alive,
            })) => Ok(Some(HttpHead {
                status,
                fields,
                keep_alive,
            })),
            None if is_reused => Ok(None),
            Some(Err(e)) if is_reused && e.status() == 0 => Ok(None),
            Some(Err(e)) => Err(SourceFailure::Interrupted(e.to_string())),
            _ => Err(closed_by_origin()),
        }
    }
}

/// Returns the text of the request: a POST with the idempotency key for a request that executes, otherwise a GET or a
/// HEAD.
fn request_text(settings: &OriginSettings, request: &RequestHead, executes: bool) -> String {
    let method = if executes {
        "POST"
    } else if request.head_only {
        "HEAD"
    } else {
        "GET"
    };
    let query = match (request.part, request.object.contains('?')) {
        (0, _) => String::new(),
        (part, true) => format!("&part={part}"),
        (part, false) => format!("?part={part}"),
    };
    let target = format!("{}{query}", request.object);
    let mut text = format!("{method} {target} HTTP/1.1\r\nhost: {}\r\n", settings.host);
    let idempotency_key = if executes {
        request.idempotency_key.as_str()
    } else {
        ""
    };
    let fields = [
        ("x-request-id", request.trace.as_str()),
        ("idempotency-key", idempotency_key),
        ("if-none-match", request.if_none_match.as_str()),
        ("content-length", if executes { "0" } else { "" }),
    ];
    for (name, value) in fields {
        if !value.is_empty() && !value.contains(char::is_control) {
            text += &format!("{name}: {value}\r\n");
        }
    }
    text + "\r\n"
}

/// Returns the head for the readers of the fill and whether the response must not be stored.
fn response_head(received: &HttpHead, response_delay: Micros, now_s: u64) -> (ResponseHead, bool) {
    let field = |name: &str| {
        let found = received.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.clone())
    };
    let freshness = freshness(&received.fields, response_delay, now_s);
    let lifetime = freshness.lifetime;
    let is_storable = matches!(received.status, 200 | 304);
    let head = ResponseHead {
        cache_status: WireCacheStatus::FilledByOrigin as i32,
        size: field("content-length").and_then(|v| v.parse().ok()),
        age_us: freshness.age,
        validator: field("etag").unwrap_or_default(),
        content_type: field("content-type").unwrap_or_default(),
        not_modified: received.status == 304,
        fresh_left_us: lifetime.map(|lifetime| lifetime.saturating_sub(freshness.age)),
        origin_status: if is_storable {
            0
        } else {
            u32::from(received.status)
        },
        ..ResponseHead::default()
    };
    (head, freshness.no_store || !is_storable)
}

impl HttpBody {
    /// Returns the next piece of the body, or `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SourceFailure> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        match connection.read.next().await {
            Some(Ok(HttpEvent::Data(data))) => Ok(Some(data)),
            Some(Ok(HttpEvent::End)) => {
                let reusable = self.connection.take().filter(|_| self.keep_alive);
                self.origin.idle().extend(reusable);
                Ok(None)
            }
            Some(Err(e)) => Err(SourceFailure::Interrupted(e.to_string())),
            _ => Err(closed_by_origin()),
        }
    }
}
