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

/// The result of [`HttpPool::take`].
pub(crate) struct PooledConnection {
    /// An idle connection, or a new one.
    pub connection: std::io::Result<HttpConnection>,
    /// Number of idle connections that were closed because they had received bytes that belong to no request.
    pub unexpected_responses: usize,
}

impl HttpPool {
    /// Takes an idle connection that is still usable, or opens one.
    pub async fn take(&self, network: &Network, server: SocketAddr) -> PooledConnection {
        let mut unexpected_responses = 0;
        while let Some(connection) = self.pop_idle() {
            match connection.read.idle() {
                IdleState::Idle => {
                    return PooledConnection {
                        connection: Ok(connection),
                        unexpected_responses,
                    }
                }
                IdleState::Closed => {}
                IdleState::UnexpectedBytes => unexpected_responses += 1,
            }
        }
        let connected = network.connect(None, server).await;
        PooledConnection {
            connection: connected.map(HttpConnection::new),
            unexpected_responses,
        }
    }

    /// Puts a connection whose last response has ended back into the pool.
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
    /// Creates the client's side of a connection on an open socket.
    pub fn new(socket: impl Into<Socket>) -> Self {
        let (read, write) = socket.into().split();
        Self {
            read: FrameReader::new(read, ResponseCodec::new(false)),
            write,
        }
    }

    /// Sends a GET request with its trace id and its remaining time in milliseconds.
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

    /// Returns the next part of the response, or `None` if the connection ended between two responses.
    pub async fn next_event(&mut self) -> Option<Result<HttpEvent, String>> {
        let event = self.read.next().await?;
        Some(event.map_err(|e| e.to_string()))
    }
}
