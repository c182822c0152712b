//! Writes the responses of a FastCGI session in the order in which they are completed.
use super::session_requests::SessionRequests;
use bytes::{Bytes, BytesMut};
use pointspindle::Micros;
use pointspindle_platform_protocol::fastcgi::{self, ProtocolStatus};
use pointspindle_transport::RetryingWriteHalf;
use std::io::{ErrorKind, IoSlice};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

/// Time within which a client must accept a message, or it is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const MICROS_PER_MILLI: Micros = 1_000;
/// Application status in the end record of a request without a response.
const NO_RESPONSE_STATUS: u32 = 1;

/// HTTP status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HttpStatus {
    Ok,
    BadRequest,
    BadGateway,
    /// The request was rejected without being executed, so that the client may retry it.
    ServiceUnavailable,
}

impl HttpStatus {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ok => "200 OK",
            Self::BadRequest => "400 Bad Request",
            Self::BadGateway => "502 Bad Gateway",
            Self::ServiceUnavailable => "503 Service Unavailable",
        }
    }
}

/// A message for the writer of a session.
#[derive(Debug)]
pub(super) struct Outgoing {
    pieces: Vec<Bytes>,
    /// Id of the request that is finished once this message is written.
    finished_request: Option<u16>,
}

impl Outgoing {
    /// Creates a message of bytes that finishes no request.
    pub fn bytes(bytes: Bytes) -> Self {
        Self {
            pieces: vec![bytes],
            finished_request: None,
        }
    }

    /// Creates a complete response. `fields` holds additional header lines, each with its line end.
    pub fn response(id: u16, status: HttpStatus, fields: &str, body: Bytes) -> Self {
        let head = format!(
            "Status: {}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{fields}\r\n",
            status.as_str(),
            body.len()
        );
        Self {
            pieces: fastcgi::encode_response(id, head.as_bytes(), body, 0),
            finished_request: Some(id),
        }
    }

    /// Creates a complete response without additional header lines and without a body.
    pub fn empty_response(id: u16, status: HttpStatus) -> Self {
        Self::response(id, status, "", Bytes::new())
    }

    /// Creates the response to a request that was not executed, with the time after which the client may retry.
    pub fn rejection(id: u16, retry_after: Option<Micros>) -> Self {
        let fields = match retry_after {
            Some(after) => format!("X-Throttle-Ms: {}\r\n", after.div_ceil(MICROS_PER_MILLI)),
            None => String::new(),
        };
        Self::response(id, HttpStatus::ServiceUnavailable, &fields, Bytes::new())
    }

    /// Creates the end of an open request without a response.
    pub fn end_request(id: u16, status: ProtocolStatus) -> Self {
        Self {
            finished_request: Some(id),
            ..Self::end_unopened(id, status)
        }
    }

    /// Creates the end of a request that was not opened.
    pub fn end_unopened(id: u16, status: ProtocolStatus) -> Self {
        let mut out = BytesMut::new();
        fastcgi::write_end_request(&mut out, id, NO_RESPONSE_STATUS, status);
        Self::bytes(out.freeze())
    }
}

/// Sender of messages to the writer of a session.
#[derive(Clone, Debug)]
pub(super) struct ResponseSender {
    queue: mpsc::UnboundedSender<Outgoing>,
    unwritten: Arc<AtomicUsize>,
}

impl ResponseSender {
    /// Queues a message. Returns false if the session has ended.
    pub fn send(&self, outgoing: Outgoing) -> bool {
        self.unwritten.fetch_add(1, Ordering::Relaxed);
        self.queue.send(outgoing).is_ok()
    }

    /// Returns the number of queued messages that are not written.
    pub fn unwritten_count(&self) -> usize {
        self.unwritten.load(Ordering::Relaxed)
    }
}

/// Writer of the messages from a [`ResponseSender`].
pub(super) struct ResponseWriter {
    queue: mpsc::UnboundedReceiver<Outgoing>,
    unwritten: Arc<AtomicUsize>,
}

/// Creates a sender and its writer.
pub(super) fn response_channel() -> (ResponseSender, ResponseWriter) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let unwritten = Arc::new(AtomicUsize::new(0));
    let sender = ResponseSender {
        queue: sender,
        unwritten: unwritten.clone(),
    };
    let writer = ResponseWriter {
        queue: receiver,
        unwritten,
    };
    (sender, writer)
}

impl ResponseWriter {
    /// Writes until all senders are dropped, or until the client is disconnected or does not accept a message in time.
    pub async fn run(mut self, mut socket: RetryingWriteHalf, requests: Arc<SessionRequests>) {
        while let Some(outgoing) = self.queue.recv().await {
            let write = write_all(&mut socket, outgoing.pieces);
            let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
            self.unwritten.fetch_sub(1, Ordering::Relaxed);
            // The request is finished without an await in between: a client that has received the end may reuse the id.
            if let Some(id) = outgoing.finished_request {
                requests.finish(id);
            }
        }
    }
}

async fn write_all(socket: &mut RetryingWriteHalf, pieces: Vec<Bytes>) -> std::io::Result<()> {
    let mut slices: Vec<IoSlice<'_>> = pieces.iter().map(|p| IoSlice::new(p)).collect();
    let mut unsent = &mut slices[..];
    while !unsent.is_empty() {
        let written = socket.write_vectored(unsent).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        IoSlice::advance_slices(&mut unsent, written);
    }
    Ok(())
}
