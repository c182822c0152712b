//! A discovery server at two addresses with one log of events; it can be down or silent.
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Number of addresses at which the log is served.
pub const REPLICAS: usize = 2;
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
const COMMENT: &str = ":\n\n";
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";

/// Availability of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Up,
    /// The server accepts no connection, and open ones are closed.
    Down,
    /// Connections stay open and carry no data.
    Silent,
}

/// A log of events, served at two addresses.
pub struct ReplicatedDiscovery {
    events: Mutex<Vec<String>>,
    revision: watch::Sender<usize>,
    availability: watch::Sender<Availability>,
    pub addresses: Vec<SocketAddr>,
}

impl ReplicatedDiscovery {
    pub async fn start() -> Arc<Self> {
        let mut listeners = Vec::new();
        for _ in 0..REPLICAS {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap())
            .collect();
        let discovery = Arc::new(Self {
            events: Mutex::default(),
            revision: watch::Sender::new(0),
            availability: watch::Sender::new(Availability::Up),
            addresses,
        });
        for listener in listeners {
            let discovery = discovery.clone();
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    tokio::spawn(discovery.clone().serve_stream(socket));
                }
            });
        }
        discovery
    }

    /// Appends an event with this content.
    pub fn publish(&self, content: &str) {
        let mut events = self.events.lock().unwrap();
        let revision = events.len() + 1;
        events.push(format!("{{\"rev\":{revision},{content}}}"));
        self.revision.send_replace(revision);
    }

    pub fn set_availability(&self, availability: Availability) {
        self.availability.send_replace(availability);
    }

    /// Returns all events in the form of a configuration's `known` section.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        let revision = events.len();
        let notices = events.join(",");
        format!("\"known\":{{\"rev\":{revision},\"notices\":[{notices}]}},")
    }

    async fn serve_stream(self: Arc<Self>, mut socket: TcpStream) {
        let Some(mut last_sent) = read_poll(&mut socket).await else {
            return;
        };
        let mut revision = self.revision.subscribe();
        let mut availability = self.availability.subscribe();
        let mut text = RESPONSE_HEAD.to_owned();
        let mut comments = tokio::time::interval(COMMENT_INTERVAL);
        loop {
            let now = *availability.borrow_and_update();
            if now == Availability::Down {
                return;
            }
            if now == Availability::Up {
                let events = self.events.lock().unwrap()[last_sent..].to_vec();
                for event in events {
                    last_sent += 1;
                    text += &format!("id: {last_sent}\ndata: {event}\n\n");
                }
                let pending = std::mem::take(&mut text);
                if socket.write_all(pending.as_bytes()).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                _ = revision.changed() => {}
                _ = availability.changed() => {}
                _ = comments.tick() => text = COMMENT.to_owned(),
            }
        }
    }
}

/// Reads the head of a poll; returns its last event id, or `None` if the connection ends first.
async fn read_poll(socket: &mut TcpStream) -> Option<usize> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let last_event_id = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id: "));
    Some(last_event_id.and_then(|id| id.parse().ok()).unwrap_or(0))
}
