//! Where fills come from: other hosts by the framed protocol, an origin by HTTP/1.1.
use crate::freshness;
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_config::{CacheHostSettings, OriginSettings};
use pointspindle_protocol::http::{HttpEvent, ResponseCodec};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{
    Call, CallEnd, ConnectionOptions, FrameReader, FramedConnection, IdleState, Network,
    ResponsePart, WriteHalf,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Links to sources that are kept; one that ended is replaced.
const MAX_SOURCE_CONNECTIONS: usize = 1_024;

/// An answer under way.
pub enum SourceBody {
    Framed(Call),
    Http(Box<HttpBody>),
}

pub struct HttpBody {
    connection: Option<Connection>,
    keep: bool,
    home: Arc<HttpOrigin>,
    /// The place among the origin's connections.
    _place: tokio::sync::OwnedSemaphorePermit,
}

struct Connection {
    read: FrameReader<ResponseCodec>,
    write: WriteHalf,
}

/// The origin's pool.
pub struct HttpOrigin {
    place: OriginSettings,
    idle: Mutex<Vec<Connection>>,
    places: Arc<Semaphore>,
    clock: WallClock,
}

/// What a source's head says.
pub struct SourceResponse {
    pub head: ResponseHead,
    /// Not to be kept.
    pub no_store: bool,
    pub answer: SourceBody,
}

/// Why nothing came.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceFailure {
    /// Nothing was sent.
    Unreachable(String),
    /// It said so.
    Told(Box<ErrorHead>),
    /// It broke off, or did not answer in time: it may have run.
    Broke(String),
}

pub struct Sources {
    net: Network,
    connect: Duration,
    links: tokio::sync::Mutex<HashMap<String, FramedConnection>>,
    origin: Option<Arc<HttpOrigin>>,
}

/// The name by which a host's own HTTP origin is asked for.
pub const HOST_ORIGIN: &str = "origin";

impl Sources {
    pub fn new(settings: &CacheHostSettings, net: Network, clock: WallClock) -> Self {
        let origin = settings.origin.clone().map(|place| {
            let places = Arc::new(Semaphore::new(place.connections));
            Arc::new(HttpOrigin {
                place,
                idle: Mutex::new(Vec::new()),
                places,
                clock,
            })
        });
        let connect = Duration::from_micros(settings.connect_timeout_us);
        Self {
            net,
            connect,
            links: Default::default(),
            origin,
        }
    }

    /// Asks a source and waits for its head. `request` as it goes out; `uncacheable`: it runs there.
    pub async fn ask(
        &self,
        source: &str,
        request: RequestHead,
        uncacheable: bool,
    ) -> Result<SourceResponse, SourceFailure> {
        match &self.origin {
            Some(origin) if source == HOST_ORIGIN || source == origin.place.address.to_string() => {
                self.http(origin.clone(), request, uncacheable).await
            }
            _ => self.framed(source, request).await,
        }
    }

    async fn link(&self, address: &str) -> Result<FramedConnection, SourceFailure> {
        let mut links = self.links.lock().await;
        if let Some(link) = links.get(address).filter(|link| link.accepts_calls()) {
            return Ok(link.clone());
        }
        let unreachable = |why: String| SourceFailure::Unreachable(format!("{address}: {why}"));
        let at: SocketAddr = address
            .parse()
            .map_err(|_| unreachable("not an address and port".into()))?;
        let line = tokio::time::timeout(self.connect, self.net.connect(None, at)).await;
        let line = line.map_err(|_| unreachable("no connection in time".into()))?;
        let line = line.map_err(|e| unreachable(e.to_string()))?;
        let (link, mut incoming) =
            FramedConnection::start(line, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        links.retain(|_, link| !link.is_closed());
        if links.len() < MAX_SOURCE_CONNECTIONS {
            links.insert(address.to_owned(), link.clone());
        }
        Ok(link)
    }

    async fn framed(
        &self,
        source: &str,
        request: RequestHead,
    ) -> Result<SourceResponse, SourceFailure> {
        let link = self.link(source).await?;
        let mut call = link
            .call(request)
            .map_err(|e| SourceFailure::Unreachable(e.to_string()))?;
        match call.next().await {
            Some(ResponsePart::Head(head)) => Ok(SourceResponse {
                head,
                no_store: false,
                answer: SourceBody::Framed(call),
            }),
            Some(ResponsePart::End(CallEnd::Error(e))) => Err(SourceFailure::Told(Box::new(e))),
            Some(ResponsePart::End(CallEnd::Broken(why))) => Err(SourceFailure::Broke(why)),
            Some(ResponsePart::End(CallEnd::NotSent)) => {
                Err(SourceFailure::Unreachable("nothing of it was sent".into()))
            }
            _ => Err(SourceFailure::Broke("no head".into())),
        }
    }

    async fn http(
        &self,
        origin: Arc<HttpOrigin>,
        request: RequestHead,
        runs: bool,
    ) -> Result<SourceResponse, SourceFailure> {
        // Waits for a place; the fill's own time-out ends that.
        let place = origin.places.clone().acquire_owned().await;
        let place = place.map_err(|_| SourceFailure::Unreachable("the host stops".into()))?;
        let asked = Instant::now();
        let text = text(&origin.place, &request, runs);
        // A connection that was kept may have been closed at the other end meanwhile: what only reads is asked once more.
        for attempt in 0..2 {
            let kept = origin.idle.lock().unwrap_or_else(|p| p.into_inner()).pop();
            let kept = kept.filter(|c| attempt == 0 && !runs && c.read.idle() == IdleState::Quiet);
            let reused = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => self.connect_http(&origin).await?,
            };
            connection.read.codec().head_only = request.head_only;
            if connection.write.write_all(text.as_bytes()).await.is_err() && reused {
                continue;
            }
            return match connection.read.next().await {
                Some(Ok(HttpEvent::Head {
                    status,
                    fields,
                    keep_alive,
                })) => {
                    let took = asked.elapsed().as_micros() as Micros;
                    let now_s = origin.clock.steady().as_secs();
                    let (head, no_store) = head(status, &fields, took, now_s);
                    let home = origin.clone();
                    let connection = Some(connection);
                    let answer = HttpBody {
                        connection,
                        keep: keep_alive,
                        home,
                        _place: place,
                    };
                    Ok(SourceResponse {
                        head,
                        no_store,
                        answer: SourceBody::Http(Box::new(answer)),
                    })
                }
                None if reused => continue,
                Some(Err(e)) if !(reused && e.status() == 0) => {
                    Err(SourceFailure::Broke(e.to_string()))
                }
                Some(Err(_)) => continue,
                _ => Err(SourceFailure::Broke(
                    "the origin closed the connection".into(),
                )),
            };
        }
        Err(SourceFailure::Broke(
            "the origin closed the connection".into(),
        ))
    }

    async fn connect_http(&self, origin: &HttpOrigin) -> Result<Connection, SourceFailure> {
        let at = origin.place.address;
        let line = tokio::time::timeout(self.connect, self.net.connect(None, at)).await;
        let line =
            line.map_err(|_| SourceFailure::Unreachable(format!("{at}: no connection in time")))?;
        let (read, write) = line
            .map_err(|e| SourceFailure::Unreachable(format!("{at}: {e}")))?
            .split();
        Ok(Connection {
            read: FrameReader::new(read, ResponseCodec::new(false)),
            write,
        })
    }
}

/// GET or HEAD; what must run is a POST, under its key where it has one.
fn text(place: &OriginSettings, request: &RequestHead, runs: bool) -> String {
    let method = if runs {
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
    let mut out = format!(
        "{method} {}{query} HTTP/1.1\r\nhost: {}\r\n",
        request.object, place.host
    );
    let key = if runs {
        request.idempotency_key.as_str()
    } else {
        ""
    };
    let fields = [
        ("x-request-id", request.trace.as_str()),
        ("idempotency-key", key),
        ("if-none-match", request.if_none_match.as_str()),
        ("content-length", if runs { "0" } else { "" }),
    ];
    for (name, value) in fields
        .into_iter()
        .filter(|(_, v)| !v.is_empty() && !v.contains(char::is_control))
    {
        out += &format!("{name}: {value}\r\n");
    }
    out + "\r\n"
}

fn head(
    status: u16,
    fields: &[(String, String)],
    took: Micros,
    now_s: u64,
) -> (ResponseHead, bool) {
    let find = |name: &str| {
        fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.clone())
    };
    let fresh = freshness::freshness(fields, took, now_s);
    let kept = matches!(status, 200 | 304);
    let head = ResponseHead {
        cache_status: WireCacheStatus::FilledByOrigin as i32,
        size: find("content-length").and_then(|v| v.parse().ok()),
        age_us: fresh.age,
        validator: find("etag").unwrap_or_default(),
        content_type: find("content-type").unwrap_or_default(),
        not_modified: status == 304,
        fresh_left_us: fresh.lifetime.map(|l| l.saturating_sub(fresh.age)),
        origin_status: if kept { 0 } else { u32::from(status) },
        ..ResponseHead::default()
    };
    (head, fresh.no_store || !kept)
}

impl SourceBody {
    /// The next piece of the body; none: it is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SourceFailure> {
        match self {
            Self::Framed(call) => match call.next().await {
                Some(ResponsePart::Data(data)) => Ok(Some(data)),
                Some(ResponsePart::End(CallEnd::Complete(_))) => Ok(None),
                Some(ResponsePart::End(CallEnd::Error(e))) => Err(SourceFailure::Told(Box::new(e))),
                Some(ResponsePart::End(CallEnd::Broken(why))) => Err(SourceFailure::Broke(why)),
                _ => Err(SourceFailure::Broke("a second head".into())),
            },
            Self::Http(answering) => {
                let Some(connection) = &mut answering.connection else {
                    return Ok(None);
                };
                match connection.read.next().await {
                    Some(Ok(HttpEvent::Data(data))) => Ok(Some(data)),
                    Some(Ok(HttpEvent::End)) => {
                        let connection = answering.connection.take().filter(|_| answering.keep);
                        let mut idle = answering
                            .home
                            .idle
                            .lock()
                            .unwrap_or_else(|p| p.into_inner());
                        idle.extend(connection);
                        Ok(None)
                    }
                    Some(Err(e)) => Err(SourceFailure::Broke(e.to_string())),
                    _ => Err(SourceFailure::Broke(
                        "the origin closed the connection".into(),
                    )),
                }
            }
        }
    }
}
