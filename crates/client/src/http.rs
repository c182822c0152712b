//! One dispatcher by HTTP/1.1: a connection for each call under way, kept for the next.
use crate::call::End;
use crate::dial::Dial;
use crate::{Piece, Request};
use pointspindle_protocol::http::{HttpEvent, ResponseCodec};
use pointspindle_protocol::{ResponseHead, WireCacheStatus};
use pointspindle_transport::{FrameReader, IdleState as Found, WriteHalf};
use std::sync::{Arc, Mutex};

/// Idle connections kept for each dispatcher.
const KEPT: usize = 16;
/// Nothing is told by HTTP of when a dispatcher lets go. It cancels when it sees the connection closed, which is when this
/// side does; so long is left for that.
const LETS_GO: u64 = 250_000;

struct Connection {
    read: FrameReader<ResponseCodec>,
    write: WriteHalf,
}

type Idle = Arc<Mutex<Vec<Connection>>>;

pub(crate) struct Http {
    dial: Dial,
    idle: Idle,
}

/// A try under way.
pub(crate) struct HttpTry {
    connection: Option<Connection>,
    idle: Idle,
    status: u16,
    keep: bool,
    come_back: Option<u64>,
    ran: bool,
}

impl Http {
    pub fn new(dial: Dial) -> Self {
        Self {
            dial,
            idle: Idle::default(),
        }
    }

    async fn connection(&self) -> Option<Connection> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(|p| p.into_inner()).pop();
            let Some(connection) = idle else { break };
            // One that was closed meanwhile, or brings bytes that nobody asked for, is not used.
            if connection.read.idle() == Found::Quiet {
                return Some(connection);
            }
        }
        let (read, write) = self.dial.line().await?.split();
        Some(Connection {
            read: FrameReader::new(read, ResponseCodec::new(false)),
            write,
        })
    }

    pub async fn send(&self, request: &Request, left_us: u64) -> Result<HttpTry, End> {
        let mut connection = self.connection().await.ok_or(End::NotSent)?;
        connection.read.codec().head_only = request.head_only;
        let query = if request.part > 0 {
            format!("?part={}", request.part)
        } else {
            String::new()
        };
        let method = if request.head_only { "HEAD" } else { "GET" };
        let mut text = format!(
            "{method} {}{query} HTTP/1.1\r\nhost: {}\r\nx-deadline-ms: {}\r\n",
            request.object,
            self.dial.at,
            (left_us / 1_000).max(1)
        );
        let fields = [
            ("x-request-id", &request.trace),
            ("range", &request.range),
            ("if-range", &request.if_range),
            ("if-none-match", &request.if_none_match),
        ];
        for (name, value) in fields.into_iter().filter(|(_, value)| !value.is_empty()) {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        if connection.write.write_all(text.as_bytes()).await.is_err() {
            // Some of it may have gone out.
            return Err(End::Lost {
                lease: Some(LETS_GO),
            });
        }
        let idle = self.idle.clone();
        Ok(HttpTry {
            connection: Some(connection),
            idle,
            status: 0,
            keep: false,
            come_back: None,
            ran: false,
        })
    }

    pub fn close(&self) {
        self.idle.lock().unwrap_or_else(|p| p.into_inner()).clear();
    }
}

impl HttpTry {
    pub async fn next(&mut self) -> Result<Piece, End> {
        loop {
            let Some(connection) = &mut self.connection else {
                return Err(End::Lost {
                    lease: Some(LETS_GO),
                });
            };
            match connection.read.next().await {
                Some(Ok(HttpEvent::Head {
                    status,
                    fields,
                    keep_alive,
                })) => {
                    (self.status, self.keep) = (status, keep_alive);
                    let find = |name: &str| {
                        fields
                            .iter()
                            .find(|(n, _)| n == name)
                            .map(|(_, v)| v.as_str())
                    };
                    let refused = find("x-outcome") == Some("refused");
                    let ms = find("x-come-back-ms").and_then(|v| v.parse::<u64>().ok());
                    let s = find("retry-after").and_then(|v| v.parse::<u64>().ok());
                    self.come_back = ms.map(|ms| ms * 1_000).or(s.map(|s| s * 1_000_000));
                    self.ran = !refused && status != 404;
                    if is_answer(status) {
                        return Ok(Piece::Head(head(status, &fields)));
                    }
                }
                Some(Ok(HttpEvent::Data(data))) if is_answer(self.status) => {
                    return Ok(Piece::Data(data))
                }
                Some(Ok(HttpEvent::Data(_))) => {}
                Some(Ok(HttpEvent::End)) => {
                    let connection = self.connection.take().filter(|_| self.keep);
                    let mut idle = self.idle.lock().unwrap_or_else(|p| p.into_inner());
                    let room = idle.len() < KEPT;
                    idle.extend(connection.filter(|_| room));
                    return Err(match self.status {
                        status if is_answer(status) => End::Complete,
                        503 if !self.ran => End::Refused {
                            come_back: self.come_back,
                        },
                        _ => End::Failed {
                            may_have_run: self.ran,
                        },
                    });
                }
                Some(Err(_)) | None => {
                    self.connection = None;
                    return Err(End::Lost {
                        lease: Some(LETS_GO),
                    });
                }
            }
        }
    }
}

/// What the cache or the origin said, and not the dispatcher of itself.
fn is_answer(status: u16) -> bool {
    matches!(status, 200 | 206 | 304 | 416)
}

/// The head in the framed protocol's terms.
fn head(status: u16, fields: &[(String, String)]) -> ResponseHead {
    let find = |name: &str| {
        fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    };
    let range = find("content-range").and_then(|v| v.strip_prefix("bytes "));
    let (span, whole) = range.and_then(|r| r.split_once('/')).unwrap_or(("", ""));
    let cache = find("cache-status").unwrap_or_default();
    let note = match cache {
        c if c.contains("detail=old") => WireCacheStatus::Stale,
        c if c.contains("; hit") => WireCacheStatus::Hit,
        c if c.contains("collapsed") => WireCacheStatus::Coalesced,
        c if c.contains("detail=origin") => WireCacheStatus::FilledByOrigin,
        c if c.contains("fwd=miss") => WireCacheStatus::Filled,
        _ => WireCacheStatus::Unreported,
    };
    ResponseHead {
        cache_status: note as i32,
        size: find("content-length").and_then(|v| v.parse().ok()),
        age_us: find("age").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0) * 1_000_000,
        validator: find("etag").unwrap_or_default().to_owned(),
        content_type: find("content-type").unwrap_or_default().to_owned(),
        not_modified: status == 304,
        unsatisfiable: status == 416,
        range_first: span
            .split_once('-')
            .and_then(|(first, _)| first.parse().ok()),
        complete_size: whole.parse().ok(),
        ..Default::default()
    }
}
