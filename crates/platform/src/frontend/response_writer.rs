//! Writes the responses of a FastCGI session, in the order in which they are complete.
use super::session::SessionRequests;
use bytes::{Bytes, BytesMut};
use pointspindle_platform_protocol::fastcgi::{self, ProtocolStatus};
use pointspindle_transport::RetryingWriteHalf;
use std::io::{ErrorKind, IoSlice};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

/// A client that takes no byte of a response for this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Application status of a request that ends without a response.
const NO_RESPONSE_STATUS: u32 = 1;

/// Status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HttpStatus {
    Ok,
    BadRequest,
    BadGateway,
    /// Rejected: a retry is harmless.
    ServiceUnavailable,
}

impl HttpStatus {
    fn line(self) -> &'static str {
        match self {
            Self::Ok => "200 OK",
            Self::BadRequest => "400 Bad Request",
            Self::BadGateway => "502 Bad Gateway",
            Self::ServiceUnavailable => "503 Service Unavailable",
        }
    }
}

/// What a session's writer is given.
#[derive(Debug)]
pub(super) struct Outgoing {
    pieces: Vec<Bytes>,
    /// The request that is finished once this is written.
    finishes: Option<u16>,
}

impl Outgoing {
    /// Bytes that belong to no request.
    pub fn bytes(bytes: Bytes) -> Self {
        Self {
            pieces: vec![bytes],
            finishes: None,
        }
    }

    /// A complete response. `fields`: header lines, each with its end.
    pub fn response(id: u16, status: HttpStatus, fields: &str, body: Bytes) -> Self {
        let head = format!(
            "Status: {}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{fields}\r\n",
            status.line(),
            body.len()
        );
        Self {
            pieces: fastcgi::encode_response(id, head.as_bytes(), body, 0),
            finishes: Some(id),
        }
    }

    /// A complete response without header lines and body.
    pub fn empty_response(id: u16, status: HttpStatus) -> Self {
        Self::response(id, status, "", Bytes::new())
    }

    /// The end of an open request without a response.
    pub fn end(id: u16, status: ProtocolStatus) -> Self {
        Self {
            finishes: Some(id),
            ..Self::end_unopened(id, status)
        }
    }

    /// The end of a request that was not opened.
    pub fn end_unopened(id: u16, status: ProtocolStatus) -> Self {
        let mut out = BytesMut::new();
        fastcgi::write_end_request(&mut out, id, NO_RESPONSE_STATUS, status);
        Self::bytes(out.freeze())
    }
}

/// The way to a session's writer.
#[derive(Clone, Debug)]
pub(super) struct ResponseSender {
    queue: mpsc::UnboundedSender<Outgoing>,
    unwritten: Arc<AtomicUsize>,
}

impl ResponseSender {
    /// False: the session is over.
    pub fn send(&self, outgoing: Outgoing) -> bool {
        self.unwritten.fetch_add(1, Ordering::Relaxed);
        self.queue.send(outgoing).is_ok()
    }

    /// How many were sent here and are not written.
    pub fn unwritten(&self) -> usize {
        self.unwritten.load(Ordering::Relaxed)
    }
}

/// Writes what a [`ResponseSender`] is given.
pub(super) struct ResponseWriter {
    queue: mpsc::UnboundedReceiver<Outgoing>,
    unwritten: Arc<AtomicUsize>,
}

/// A sender and its writer.
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
    /// Writes until all senders are dropped, or the client takes nothing.
    pub async fn run(mut self, mut socket: RetryingWriteHalf, requests: Arc<SessionRequests>) {
        while let Some(outgoing) = self.queue.recv().await {
            let write = write_all(&mut socket, outgoing.pieces);
            let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
            self.unwritten.fetch_sub(1, Ordering::Relaxed);
            // No wait in between: a client that has the end may use the number again.
            if let Some(id) = outgoing.finishes {
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
