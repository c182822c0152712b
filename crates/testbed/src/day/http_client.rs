//! A client's HTTP connections to one dispatcher.
use pointspindle_protocol::http::{HttpEvent, ResponseCodec};
use pointspindle_transport::{FrameReader, IdleState, Network, Socket, WriteHalf};
use std::net::SocketAddr;
use std::sync::Mutex;

/// Idle connections kept.
const KEPT: usize = 64;

pub struct Connection {
    read: FrameReader<ResponseCodec>,
    write: WriteHalf,
}

#[derive(Default)]
pub struct HttpPool {
    idle: Mutex<Vec<Connection>>,
}

impl HttpPool {
    /// A connection, and how many were found with bytes on them that nobody had asked for.
    pub async fn take(
        &self,
        net: &Network,
        to: SocketAddr,
    ) -> (std::io::Result<Connection>, usize) {
        let mut strays = 0;
        loop {
            let idle = self.idle.lock().unwrap_or_else(|p| p.into_inner()).pop();
            let Some(connection) = idle else { break };
            match connection.read.idle() {
                IdleState::Quiet => return (Ok(connection), strays),
                IdleState::Closed => {}
                IdleState::Stray => strays += 1,
            }
        }
        (net.connect(None, to).await.map(Connection::over), strays)
    }

    pub fn give_back(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(|p| p.into_inner());
        if idle.len() < KEPT {
            idle.push(connection);
        }
    }
}

impl Connection {
    pub fn over(line: impl Into<Socket>) -> Self {
        let (read, write) = line.into().split();
        Self {
            read: FrameReader::new(read, ResponseCodec::new(false)),
            write,
        }
    }

    pub async fn ask(&mut self, target: &str, trace: &str, left_ms: u64) -> std::io::Result<()> {
        let text = format!(
            "GET {target} HTTP/1.1\r\nHost: edge\r\nX-Request-Id: {trace}\r\nX-Deadline-Ms: {left_ms}\r\n\r\n"
        );
        self.write.write_all(text.as_bytes()).await
    }

    /// The next piece of the answer; none: the connection ended where it may.
    pub async fn next(&mut self) -> Option<Result<HttpEvent, String>> {
        self.read
            .next()
            .await
            .map(|piece| piece.map_err(|e| e.to_string()))
    }
}
