//! Reads the discovery stream and requests it again when it ends.
//!
//! A stream that ends, fails or sends no data for too long is requested again at once: the platform soon assumes that
//! the dispatcher has received the purges of the meantime, whether it has or not.
use super::{lock_state, DiscoveryState, RevisionGap};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use pointspindle_platform_protocol::discovery::{
    DiscoveryEvent, ServerSentEvent, ServerSentEventCodec, ServerSentEventError,
};
use pointspindle_transport::{RetryingReadHalf, RetryingWriteHalf};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Path of the discovery stream.
const STREAM_PATH: &str = "/board/poll";

/// Time without data after which a stream is considered dead; the server sends a comment each second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time without a response after which another request is sent, for as long as there is none: a server that was silent
/// answers only the requests that it receives afterwards, and a drain takes effect a second after it is told.
const HEDGE_DELAY: Duration = Duration::from_millis(500);
/// Largest number of concurrent requests that await a response.
const MAX_HEDGED_REQUESTS: usize = 6;
/// Time for which the oldest request awaits a response from a slow server.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// First backoff between streams, which is doubled each time and has jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Number of items of a stream that are handled before other tasks run.
const TURN_ITEMS: usize = 32;

/// Error that ends a stream.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("HTTP request failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("request cannot be built: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("unexpected HTTP status {0}")]
    Status(hyper::StatusCode),
    #[error("no data within {IDLE_TIMEOUT:?}")]
    IdleTimeout,
    #[error("stream cannot be decoded: {0}")]
    Decode(#[from] ServerSentEventError),
    #[error("malformed discovery event: {0}")]
    MalformedEvent(#[from] serde_json::Error),
    #[error(transparent)]
    Gap(#[from] RevisionGap),
    #[error("request task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// Reads the stream at the latest address. The stream at the previous address is read until the new one has sent an
/// item.
pub async fn follow(state: Arc<Mutex<DiscoveryState>>, mut address: watch::Receiver<String>) {
    let mut previous: Option<AbortOnDrop> = None;
    loop {
        let current_address = address.borrow_and_update().clone();
        let (received, mut has_received) = watch::channel(false);
        let reader = read_repeatedly(state.clone(), current_address, received);
        let current = AbortOnDrop(tokio::spawn(reader));
        let first_item = async { has_received.wait_for(|received| *received).await.is_ok() };
        let changed = tokio::select! {
            true = first_item => {
                drop(previous.take());
                address.changed().await
            }
            changed = address.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        previous = previous.or(Some(current));
    }
}

/// Requests the stream at one address repeatedly, each time from the last applied revision; never returns.
async fn read_repeatedly(
    state: Arc<Mutex<DiscoveryState>>,
    address: String,
    received: watch::Sender<bool>,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let started = Instant::now();
        if let Err(reason) = read_once(&state, &address, &received).await {
            tracing::info!(address, %reason, "discovery stream ended");
        }
        // The backoff restarts after a stream that lasted longer than the longest backoff.
        if started.elapsed() > MAX_BACKOFF {
            backoff = MIN_BACKOFF;
        }
        let jitter = lock_state(&state).core.transport.random_fraction();
        tokio::time::sleep(backoff.mul_f64(0.5 + jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn read_once(
    state: &Arc<Mutex<DiscoveryState>>,
    address: &str,
    received: &watch::Sender<bool>,
) -> Result<(), StreamError> {
    let stream = open_hedged(state, address).await?;
    read_stream(state, stream, received).await
}

/// Requests that await a response, oldest first.
#[derive(Default)]
struct HedgedRequests {
    tasks: JoinSet<Result<Stream, StreamError>>,
    waiting: VecDeque<WaitingRequest>,
}

struct WaitingRequest {
    sent_at: Instant,
    task: AbortHandle,
}

impl HedgedRequests {
    /// Sends another request. If too many await a response, the oldest gives way; the very first one, which a slow server
    /// may be answering, only after [`RESPONSE_TIMEOUT`].
    fn send(&mut self, address: &str, last_revision: u64) {
        let sent_at = Instant::now();
        self.waiting.retain(|request| !request.task.is_finished());
        let is_full = self.waiting.len() >= MAX_HEDGED_REQUESTS;
        let is_first_timed_out = self
            .waiting
            .front()
            .is_some_and(|first| sent_at.duration_since(first.sent_at) >= RESPONSE_TIMEOUT);
        let replaced = match is_first_timed_out {
            true => self.waiting.pop_front(),
            false if is_full => self.waiting.remove(1),
            false => None,
        };
        if let Some(request) = replaced {
            request.task.abort();
        }
        let task = self.tasks.spawn(open(address.to_owned(), last_revision));
        self.waiting.push_back(WaitingRequest { sent_at, task });
    }

    /// Waits for the next request that ends; pending if there is none. Cancel safe.
    async fn next_ended(&mut self) -> Result<Stream, StreamError> {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(opened)) => return opened,
                Some(Err(error)) if error.is_cancelled() => {}
                Some(Err(error)) => return Err(error.into()),
                None => return std::future::pending().await,
            }
        }
    }
}

/// Returns the first stream that begins. A request without a response is hedged, since the peer may be down or only
/// slow.
async fn open_hedged(
    state: &Arc<Mutex<DiscoveryState>>,
    address: &str,
) -> Result<Stream, StreamError> {
    let mut requests = HedgedRequests::default();
    loop {
        requests.send(address, lock_state(state).last_revision());
        let next_request_at = Instant::now() + HEDGE_DELAY;
        loop {
            let opened = tokio::select! {
                opened = requests.next_ended() => opened,
                () = tokio::time::sleep_until(next_request_at) => break,
            };
            match opened {
                Ok(stream) => return Ok(stream),
                // An error is returned only if no other request is awaited.
                Err(reason) if requests.tasks.is_empty() => return Err(reason),
                Err(reason) => tracing::debug!(address, %reason, "hedged discovery request failed"),
            }
        }
    }
}

/// An open stream of events.
struct Stream {
    body: hyper::body::Incoming,
    /// Task of the HTTP connection.
    _connection: AbortOnDrop,
}

async fn open(address: String, last_revision: u64) -> Result<Stream, StreamError> {
    let socket = TcpStream::connect(&address)
        .await
        .map_err(StreamError::Connect)?;
    let (read, write) = socket.into_split();
    let io = tokio::io::join(RetryingReadHalf::new(read), RetryingWriteHalf::new(write));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(io)).await?;
    let connection = AbortOnDrop(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = hyper::Request::get(STREAM_PATH)
        .header("host", address)
        .header("accept", "text/event-stream")
        .header("last-event-id", last_revision.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(StreamError::Status(response.status()));
    }
    Ok(Stream {
        body: response.into_body(),
        _connection: connection,
    })
}

/// Applies the events of a stream until it ends, fails or sends no data for [`IDLE_TIMEOUT`].
async fn read_stream(
    state: &Arc<Mutex<DiscoveryState>>,
    mut stream: Stream,
    received: &watch::Sender<bool>,
) -> Result<(), StreamError> {
    let mut codec = ServerSentEventCodec::default();
    let mut buffer = BytesMut::new();
    loop {
        let waiting_since = Instant::now();
        let frame = tokio::time::timeout(IDLE_TIMEOUT, stream.body.frame())
            .await
            .map_err(|_| StreamError::IdleTimeout)?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        let mut items_in_turn = 0;
        while let Some(item) = codec.decode(&mut buffer)? {
            received.send_replace(true);
            items_in_turn += 1;
            if items_in_turn % TURN_ITEMS == 0 {
                tokio::task::yield_now().await;
            }
            if let ServerSentEvent::Event { id, data } = item {
                let mut event: DiscoveryEvent = serde_json::from_str(&data)?;
                event.revision = id.unwrap_or(event.revision);
                lock_state(state).apply_next(event)?;
            }
        }
        // All events that were sent before this wait began are applied.
        lock_state(state).mark_up_to_date(waiting_since);
    }
}

/// A task that is aborted when its owner is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
