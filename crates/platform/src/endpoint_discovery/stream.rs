//! Reads the discovery stream and requests it again whenever it ends.
//!
//! A stream that ends, breaks or falls silent is requested again at once: purges that it would have sent count as known
//! soon, whether they were received or not.
use super::{lock, DiscoveryState, RevisionGap};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use pointspindle_platform_protocol::discovery::{
    DiscoveryEvent, ServerSentEvent, ServerSentEventCodec, ServerSentEventError,
};
use pointspindle_transport::{RetryingReadHalf, RetryingWriteHalf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Path of the discovery stream.
const STREAM_PATH: &str = "/board/poll";

/// The stream sends a comment each second: one that is silent for longer is dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// A request without a response by then is hedged: from the last sign of a stream that falls silent, two requests without
/// a response are given up within four seconds.
const HEDGE_DELAY: Duration = Duration::from_millis(700);
/// Requests that await a response at once, and for how long.
const MAX_HEDGED_REQUESTS: usize = 4;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Backoff between streams, doubled each time, with jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Why a stream has ended.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("HTTP failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("request cannot be built: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("status {0}")]
    Status(hyper::StatusCode),
    #[error("no response within {RESPONSE_TIMEOUT:?}")]
    ResponseTimeout,
    #[error("no data within {SILENCE_TIMEOUT:?}")]
    Silence,
    #[error("cannot be decoded: {0}")]
    Decode(#[from] ServerSentEventError),
    #[error("event is malformed: {0}")]
    MalformedEvent(#[from] serde_json::Error),
    #[error(transparent)]
    Gap(#[from] RevisionGap),
    #[error("request task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// Follows the stream at the latest address. The stream at the address before it is read until the new one has sent
/// something.
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

/// Requests the stream at one address again and again, from the last revision that was applied.
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
        // A stream that lasted is requested again at once.
        if started.elapsed() > MAX_BACKOFF {
            backoff = MIN_BACKOFF;
        }
        let jitter = lock(&state).core.transport.random_fraction();
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

/// The first stream that begins. A request without a response is hedged: the peer may be gone, or only slow.
async fn open_hedged(
    state: &Arc<Mutex<DiscoveryState>>,
    address: &str,
) -> Result<Stream, StreamError> {
    let mut requests = JoinSet::new();
    let started = Instant::now();
    let mut next_request_at = started;
    loop {
        if Instant::now() >= next_request_at && requests.len() < MAX_HEDGED_REQUESTS {
            let last_revision = lock(state).last_revision();
            requests.spawn(open(address.to_owned(), last_revision));
            next_request_at = Instant::now() + HEDGE_DELAY;
        }
        let opened = tokio::select! {
            Some(opened) = requests.join_next() => opened,
            () = tokio::time::sleep_until(next_request_at),
                if requests.len() < MAX_HEDGED_REQUESTS => continue,
            () = tokio::time::sleep_until(started + RESPONSE_TIMEOUT) => {
                return Err(StreamError::ResponseTimeout);
            }
        };
        match opened.unwrap_or_else(|error| Err(error.into())) {
            Ok(stream) => return Ok(stream),
            // The last request's error is the result; others are still awaited.
            Err(reason) if requests.is_empty() => return Err(reason),
            Err(reason) => tracing::debug!(address, %reason, "hedged discovery request failed"),
        }
    }
}

/// A stream of events that has begun.
struct Stream {
    body: hyper::body::Incoming,
    /// Serves it.
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

/// Applies the events of a stream until it ends, breaks or falls silent.
async fn read_stream(
    state: &Arc<Mutex<DiscoveryState>>,
    mut stream: Stream,
    received: &watch::Sender<bool>,
) -> Result<(), StreamError> {
    let mut codec = ServerSentEventCodec::default();
    let mut buffer = BytesMut::new();
    loop {
        let waiting_since = Instant::now();
        let frame = tokio::time::timeout(SILENCE_TIMEOUT, stream.body.frame())
            .await
            .map_err(|_| StreamError::Silence)?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(item) = codec.decode(&mut buffer)? {
            received.send_replace(true);
            if let ServerSentEvent::Event { id, data } = item {
                let mut event: DiscoveryEvent = serde_json::from_str(&data)?;
                event.revision = id.unwrap_or(event.revision);
                lock(state).apply_next(event)?;
            }
        }
        // Whatever arrives next was sent after this wait had begun.
        lock(state).mark_up_to_date(waiting_since);
    }
}

/// A task that ends with its owner.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
