//! A FastCGI client's side of a request: its answer is put together whole and handed to the connection's writer.
use super::session::Shared;
use bytes::{Bytes, BytesMut};
use pointspindle::Micros;
use pointspindle_dispatcher::net::exchange::{ClientDisconnected, ClientStream};
use pointspindle_platform_protocol::fastcgi;
use pointspindle_protocol::ResponseHead;
use pointspindle_transport::SteadyWrite;
use std::fmt::Write;
use std::io::{ErrorKind, IoSlice};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Status of a refusal: trying again is harmless.
pub(crate) const REFUSED: &str = "503 Service Unavailable";

/// A client that takes nothing of its answers for so long is given up.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);

/// What a connection's writer is given.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub pieces: Vec<Bytes>,
    /// The request whose last word this is.
    pub over: Option<u16>,
}

/// The way to a connection's writer.
#[derive(Clone, Debug)]
pub(crate) struct ReplySender {
    queue: mpsc::UnboundedSender<Outgoing>,
    /// Those that are not written yet.
    unwritten: Arc<AtomicUsize>,
}

impl ReplySender {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Outgoing>) {
        let (queue, outgoing) = mpsc::unbounded_channel();
        (
            Self {
                queue,
                unwritten: Arc::default(),
            },
            outgoing,
        )
    }

    /// False: the connection is over.
    pub fn send(&self, outgoing: Outgoing) -> bool {
        self.unwritten.fetch_add(1, Ordering::Relaxed);
        self.queue.send(outgoing).is_ok()
    }

    pub fn unwritten(&self) -> usize {
        self.unwritten.load(Ordering::Relaxed)
    }

    /// What the writer counts down.
    pub fn counter(&self) -> Arc<AtomicUsize> {
        self.unwritten.clone()
    }
}

/// The last word on a request. `fields`: header lines, each with its end.
pub(crate) fn last_word(id: u16, status: &str, fields: &str, body: Bytes) -> Outgoing {
    let head = format!(
        "Status: {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{fields}\r\n",
        body.len()
    );
    Outgoing {
        pieces: fastcgi::response(id, head.as_bytes(), body, 0),
        over: Some(id),
    }
}

/// The end of a request without an answer.
pub(crate) fn bare_end(id: u16, status: fastcgi::ProtocolStatus) -> Outgoing {
    let mut out = BytesMut::new();
    fastcgi::end_request(&mut out, id, 1, status);
    Outgoing {
        pieces: vec![out.freeze()],
        over: Some(id),
    }
}

pub(crate) struct FrontClient {
    pub id: u16,
    pub out: ReplySender,
    /// Cancelled by an abort, or with the connection.
    pub gone: CancellationToken,
    pub head: Option<ResponseHead>,
    pub body: Vec<Bytes>,
}

impl FrontClient {
    fn say(&mut self, outgoing: Outgoing) -> Result<(), ClientDisconnected> {
        self.out
            .send(outgoing)
            .then_some(())
            .ok_or(ClientDisconnected)
    }
}

impl ClientStream for FrontClient {
    async fn disconnected(&mut self) {
        self.gone.cancelled().await;
    }

    async fn head(&mut self, head: &ResponseHead) -> Result<(), ClientDisconnected> {
        self.head = Some(head.clone());
        Ok(())
    }

    async fn data(&mut self, data: Bytes) -> Result<(), ClientDisconnected> {
        self.body.push(data);
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        Ok(())
    }

    async fn end(&mut self) -> Result<(), ClientDisconnected> {
        let same = self.head.take().is_some_and(|h| h.not_modified);
        // Nearly always one piece: an answer is told whole.
        let body = match self.body.len() {
            0 | 1 => self.body.pop().unwrap_or_default(),
            _ => Bytes::from(self.body.concat()),
        };
        let fields = if same { "X-Ok304: 1\r\n" } else { "" };
        self.say(last_word(self.id, "200 OK", fields, body))
    }

    async fn reject(&mut self, after: Option<Micros>) {
        let mut fields = String::new();
        if let Some(after) = after {
            let _ = write!(fields, "X-Throttle-Ms: {}\r\n", after.div_ceil(1_000));
        }
        let _ = self.say(last_word(self.id, REFUSED, &fields, Bytes::new()));
    }

    async fn fail(&mut self) {
        let _ = self.say(last_word(self.id, "502 Bad Gateway", "", Bytes::new()));
    }

    /// Nothing of the answer has gone out: it is told as failed.
    async fn abort(&mut self) {
        self.fail().await;
    }
}

/// Writes answers in the order in which they are ready.
pub(super) async fn write_out(
    mut write: SteadyWrite,
    mut outgoing: mpsc::UnboundedReceiver<Outgoing>,
    shared: Arc<Shared>,
    unwritten: Arc<AtomicUsize>,
) {
    while let Some(next) = outgoing.recv().await {
        let written =
            tokio::time::timeout(WRITE_PATIENCE, write_all(&mut write, next.pieces)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        unwritten.fetch_sub(1, Ordering::Relaxed);
        // No wait in between: a client that has the end may use the number again.
        if let Some(id) = next.over {
            shared.over(id);
        }
    }
}

async fn write_all(write: &mut SteadyWrite, pieces: Vec<Bytes>) -> std::io::Result<()> {
    let mut slices: Vec<IoSlice<'_>> = pieces.iter().map(|p| IoSlice::new(p)).collect();
    let mut left = &mut slices[..];
    while !left.is_empty() {
        let written = write.write_vectored(left).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        IoSlice::advance_slices(&mut left, written);
    }
    Ok(())
}
