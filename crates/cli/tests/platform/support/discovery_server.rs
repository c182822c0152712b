//! A discovery server that reports each poll to the test and sends the events that the test publishes.
use super::{discovery_event, TEST_TIMEOUT};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Interval of the comments that keep an open stream alive.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
const COMMENT: &str = ":\n\n";
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";

/// One poll of the dispatcher; its stream ends when this is dropped.
pub struct DiscoveryStream {
    /// Revision after which the dispatcher polls.
    pub last_event_id: u64,
    events: mpsc::UnboundedSender<String>,
}

impl DiscoveryStream {
    /// Sends text on the stream: an event or a part of one.
    pub fn send(&self, text: impl Into<String>) {
        self.events.send(text.into()).unwrap();
    }

    /// Sends text unless the dispatcher has closed the stream.
    pub fn send_if_open(&self, text: impl Into<String>) {
        let _ = self.events.send(text.into());
    }
}

/// A discovery server whose events the test determines.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    /// Whether the streams have stopped sending comments.
    silent: Arc<AtomicBool>,
    polls: mpsc::UnboundedReceiver<DiscoveryStream>,
}

impl DiscoveryServer {
    pub async fn start() -> Self {
        Self::start_with_delay(Duration::ZERO).await
    }

    /// Starts a server that begins each of its responses after a delay.
    pub async fn start_with_delay(delay: Duration) -> Self {
        Self::start_with(delay, 0).await
    }

    /// Starts a server that accepts its first polls and never responds to them.
    pub async fn start_silent_for(polls: usize) -> Self {
        Self::start_with(Duration::ZERO, polls).await
    }

    async fn start_with(delay: Duration, silent_polls: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (poll_sender, polls) = mpsc::unbounded_channel();
        let silent = Arc::new(AtomicBool::new(false));
        let streams_are_silent = silent.clone();
        tokio::spawn(async move {
            let mut never_answered = Vec::new();
            while let Ok((socket, _)) = listener.accept().await {
                if never_answered.len() < silent_polls {
                    never_answered.push(socket);
                    continue;
                }
                let silent = streams_are_silent.clone();
                tokio::spawn(serve_stream(socket, delay, poll_sender.clone(), silent));
            }
        });
        Self {
            address,
            silent,
            polls,
        }
    }

    /// Stops the comments on all streams and discards earlier polls.
    pub fn stop_comments(&mut self) {
        self.silent.store(true, Ordering::SeqCst);
        while self.polls.try_recv().is_ok() {}
    }

    /// Sends an event, ends the stream after it, and waits until the dispatcher has applied the event, which it
    /// shows by polling again from the event's revision.
    pub async fn publish(
        &mut self,
        stream: DiscoveryStream,
        revision: u64,
        content: &str,
    ) -> DiscoveryStream {
        stream.send(discovery_event(revision, content));
        drop(stream);
        let next = self.next_poll().await;
        assert_eq!(next.last_event_id, revision, "the event was not applied");
        next
    }

    /// Returns the stream of the next poll.
    pub async fn next_poll(&mut self) -> DiscoveryStream {
        timeout(TEST_TIMEOUT, self.polls.recv())
            .await
            .expect("no poll in time")
            .unwrap()
    }
}

/// Reads the head of a poll and returns its last event id.
async fn read_poll(socket: &mut TcpStream) -> u64 {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let last = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id: "))
        .unwrap();
    last.parse().unwrap()
}

async fn serve_stream(
    mut socket: TcpStream,
    delay: Duration,
    polls: mpsc::UnboundedSender<DiscoveryStream>,
    silent: Arc<AtomicBool>,
) {
    let last_event_id = read_poll(&mut socket).await;
    let (events, mut pending) = mpsc::unbounded_channel();
    tokio::time::sleep(delay).await;
    let _ = polls.send(DiscoveryStream {
        last_event_id,
        events,
    });
    let _ = socket.write_all(RESPONSE_HEAD.as_bytes()).await;
    let mut comments = tokio::time::interval(COMMENT_INTERVAL);
    loop {
        let text = tokio::select! {
            text = pending.recv() => match text {
                Some(text) => text,
                None => return,
            },
            _ = comments.tick() => match silent.load(Ordering::SeqCst) {
                true => continue,
                false => COMMENT.to_owned(),
            },
        };
        if socket.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
