//! HTTP/1.1 connections to one dispatcher: one for each call in progress, and a pool of idle ones for later calls.
mod response;

use crate::call_state::AttemptEnd;
use crate::connector::Connector;
use crate::{CallEvent, Request};
use pointspindle_protocol::http::{HttpEvent, ResponseCodec};
use pointspindle_transport::{FrameReader, IdleState, WriteHalf};
use response::ResponseStatus;
use std::sync::{Arc, Mutex};

/// Largest number of idle connections in the pool of one dispatcher.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time within which the dispatcher cancels an attempt whose connection was closed. HTTP has no client lease: the
/// dispatcher cancels when it sees the connection close, which happens when the client closes its end.
const MAX_CANCELLATION_DELAY_US: u64 = 250_000;

const CONNECTION_LOST: AttemptEnd = AttemptEnd::Lost {
    lease: Some(MAX_CANCELLATION_DELAY_US),
};

struct Connection {
    read: FrameReader<ResponseCodec>,
    write: WriteHalf,
}

/// The idle connections to one dispatcher.
#[derive(Clone, Default)]
struct IdlePool(Arc<Mutex<Vec<Connection>>>);

impl IdlePool {
    fn take(&self) -> Option<Connection> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .pop()
    }

    fn put(&self, connection: Connection) {
        let mut idle = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn clear(&self) {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clear();
    }
}

/// The connections to one dispatcher.
pub(crate) struct HttpChannel {
    connector: Connector,
    idle: IdlePool,
}

/// An attempt in progress.
pub(crate) struct HttpAttempt {
    connection: Option<Connection>,
    idle: IdlePool,
    /// Status of the response; the default value until its head is received.
    response: ResponseStatus,
}

impl HttpChannel {
    pub(crate) fn new(connector: Connector) -> Self {
        Self {
            connector,
            idle: IdlePool::default(),
        }
    }

    async fn open_connection(&self) -> Option<Connection> {
        while let Some(connection) = self.idle.take() {
            // A connection that was closed while idle, or received unexpected bytes, is dropped.
            if connection.read.idle() == IdleState::Idle {
                return Some(connection);
            }
        }
        let (read, write) = self.connector.connect().await?.split();
        Some(Connection {
            read: FrameReader::new(read, ResponseCodec::new(false)),
            write,
        })
    }

    /// Sends an attempt. `AttemptEnd::Lost` means that part of the request may have been sent.
    pub(crate) async fn send(
        &self,
        request: &Request,
        time_left_us: u64,
    ) -> Result<HttpAttempt, AttemptEnd> {
        let mut connection = self.open_connection().await.ok_or(AttemptEnd::NotSent)?;
        connection.read.codec().head_only = request.head_only;
        let text = self.request_text(request, time_left_us);
        if connection.write.write_all(text.as_bytes()).await.is_err() {
            // Part of the request may have been sent.
            return Err(CONNECTION_LOST);
        }
        Ok(HttpAttempt {
            connection: Some(connection),
            idle: self.idle.clone(),
            response: ResponseStatus::default(),
        })
    }

    fn request_text(&self, request: &Request, time_left_us: u64) -> String {
        let method = if request.head_only { "HEAD" } else { "GET" };
        let query = match request.part {
            0 => String::new(),
            part => format!("?part={part}"),
        };
        let mut text = format!(
            "{method} {}{query} HTTP/1.1\r\nhost: {}\r\nx-deadline-ms: {}\r\n",
            request.object,
            self.connector.address,
            (time_left_us / 1_000).max(1)
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
        text
    }

    pub(crate) fn close(&self) {
        self.idle.clear();
    }
}

impl HttpAttempt {
    /// Returns the next event of the response, or the attempt's end.
    pub(crate) async fn next(&mut self) -> Result<CallEvent, AttemptEnd> {
        loop {
            let connection = self.connection.as_mut().ok_or(CONNECTION_LOST)?;
            match connection.read.next().await {
                Some(Ok(HttpEvent::Head {
                    status,
                    fields,
                    keep_alive,
                })) => {
                    self.response = ResponseStatus::new(status, &fields, keep_alive);
                    if self.response.is_content_response() {
                        return Ok(CallEvent::Head(response::head(status, &fields)));
                    }
                }
                Some(Ok(HttpEvent::Data(data))) if self.response.is_content_response() => {
                    return Ok(CallEvent::Data(data));
                }
                Some(Ok(HttpEvent::Data(_))) => {}
                Some(Ok(HttpEvent::End)) => {
                    self.release_connection();
                    return Err(self.response.attempt_end());
                }
                Some(Err(_)) | None => {
                    self.connection = None;
                    return Err(CONNECTION_LOST);
                }
            }
        }
    }

    /// Returns the connection of a complete response to the pool if it can be reused.
    fn release_connection(&mut self) {
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|_| self.response.keep_alive()) {
            self.idle.put(connection);
        }
    }
}
