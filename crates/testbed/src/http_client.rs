//! A client's HTTP connections to one server, with a pool of idle ones.
use pointspindle_protocol::http::{HttpEvent, ResponseCodec};
use pointspindle_transport::{FrameReader, IdleState, Network, Socket, WriteHalf};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

const MAX_IDLE_CONNECTIONS: usize = 64;

/// An HTTP/1.1 connection that carries one request at a time.
pub(crate) struct HttpConnection {
    read: FrameReader<ResponseCodec>,
    write: WriteHalf,
}

/// The idle connections to one server.
#[derive(Default)]
pub(crate) struct HttpPool {
    idle: Mutex<Vec<HttpConnection>>,
}

/// What [`HttpPool::take`] found.
pub(crate) struct PooledConnection {
    /// An idle connection, or a new one.
    pub connection: std::io::Result<HttpConnection>,
    /// Idle connections on which bytes were waiting that no request had asked for; they are closed.
    pub unexpected_responses: usize,
}

impl HttpPool {
    /// Takes an idle connection that is still usable, or opens one.
    pub async fn take(&self, network: &Network, server: SocketAddr) -> PooledConnection {
        let mut unexpected_responses = 0;
        while let Some(connection) = self.pop_idle() {
            match connection.read.idle() {
                IdleState::Quiet => {
                    return PooledConnection {
                        connection: Ok(connection),
                        unexpected_responses,
                    }
                }
                IdleState::Closed => {}
                IdleState::Stray => unexpected_responses += 1,
            }
        }
        let connected = network.connect(None, server).await;
        PooledConnection {
            connection: connected.map(HttpConnection::new),
            unexpected_responses,
        }
    }

    /// Returns a connection whose last response has ended.
    pub fn put_back(&self, connection: HttpConnection) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn pop_idle(&self) -> Option<HttpConnection> {
        self.lock().pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<HttpConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HttpConnection {
    /// A client's side of an open socket.
    pub fn new(socket: impl Into<Socket>) -> Self {
        let (read, write) = socket.into().split();
        Self {
            read: FrameReader::new(read, ResponseCodec::new(false)),
            write,
        }
    }

    /// Sends a GET request with its trace id and the time that is left for it, in milliseconds.
    pub async fn send_request(
        &mut self,
        target: &str,
        trace: &str,
        time_left_ms: u64,
    ) -> std::io::Result<()> {
        let text = format!(
            "GET {target} HTTP/1.1\r\nHost: edge\r\nX-Request-Id: {trace}\r\nX-Deadline-Ms: {time_left_ms}\r\n\r\n"
        );
        self.write.write_all(text.as_bytes()).await
    }

    /// The next part of the response; none if the connection ended between two responses.
    pub async fn next_event(&mut self) -> Option<Result<HttpEvent, String>> {
        let event = self.read.next().await?;
        Some(event.map_err(|e| e.to_string()))
    }
}
