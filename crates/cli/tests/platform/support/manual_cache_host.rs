//! A cache host whose every byte the test writes, and one that accepts no connection until the test lets it.
use super::{healthy_reply, served_reply, transaction_id, TEST_TIMEOUT};
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The line end after a body.
const BODY_END_BYTES: usize = 2;
/// Time after which a connection that is not established shows that the accept queue is full.
const QUEUE_FULL_AFTER: Duration = Duration::from_millis(300);

/// A cache host whose every byte the test writes.
pub struct ManualCacheHost {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl ManualCacheHost {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address }
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> CacheHostConnection {
        let (socket, _) = timeout(TEST_TIMEOUT, self.listener.accept())
            .await
            .expect("the dispatcher did not connect in time")
            .unwrap();
        CacheHostConnection::new(socket)
    }

    /// Returns the next cache request on any connection, with that connection. Meanwhile health checks are
    /// answered, new connections are added to `connections` and closed ones are removed.
    pub async fn next_cache_request(
        &self,
        connections: &mut Vec<CacheHostConnection>,
    ) -> (String, CacheHostConnection) {
        let next = async {
            loop {
                let mut lines = FuturesUnordered::new();
                for (index, connection) in connections.iter_mut().enumerate() {
                    lines.push(async move { (index, connection.read_line().await) });
                }
                tokio::select! {
                    accepted = self.listener.accept() => {
                        drop(lines);
                        connections.push(CacheHostConnection::new(accepted.unwrap().0));
                    }
                    Some((index, line)) = lines.next() => {
                        drop(lines);
                        let mut connection = connections.remove(index);
                        let Some(line) = line else { continue };
                        if line.starts_with("PULL") {
                            connection.discard_body(&line).await;
                            return (line, connection);
                        }
                        if let Some(tag) = line.strip_prefix("ECHO ") {
                            connection.send(&healthy_reply(tag)).await;
                        }
                        connections.push(connection);
                    }
                }
            }
        };
        timeout(TEST_TIMEOUT, next).await.expect("no PULL in time")
    }
}

/// One connection of the dispatcher to a [`ManualCacheHost`].
pub struct CacheHostConnection {
    pub socket: BufReader<TcpStream>,
}

impl CacheHostConnection {
    fn new(socket: TcpStream) -> Self {
        let socket = BufReader::new(socket);
        Self { socket }
    }

    /// Returns the address of the dispatcher's end of the connection.
    pub fn peer_address(&self) -> SocketAddr {
        self.socket.get_ref().peer_addr().unwrap()
    }

    /// Cancel-safe only before the first byte of a line: in these tests each line arrives complete.
    async fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.socket.read_line(&mut line).await {
            Ok(1..) => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    async fn discard_body(&mut self, cache_request: &str) {
        let length = cache_request.rsplit(' ').next().unwrap();
        let length: usize = length.parse().unwrap();
        let mut body = vec![0; length + BODY_END_BYTES];
        self.socket.read_exact(&mut body).await.unwrap();
    }

    /// Sends these bytes unchanged.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).await.unwrap();
    }

    /// Replies to a cache request with a body.
    pub async fn serve(&mut self, cache_request: &str, body: &str) {
        self.send(&served_reply(transaction_id(cache_request), body))
            .await;
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.socket.get_ref())
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// Returns all that still arrives until the dispatcher closes the connection.
    pub async fn read_to_close(mut self) -> String {
        let mut bytes = Vec::new();
        let _ = timeout(TEST_TIMEOUT, self.socket.read_to_end(&mut bytes))
            .await
            .expect("the dispatcher did not close the connection in time");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// A cache host to which no connection is established until the test lets it accept.
pub struct UnresponsiveCacheHost {
    listener: std::net::TcpListener,
    queued: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl UnresponsiveCacheHost {
    /// Starts a cache host with a full accept queue: further connection attempts get no answer, and the system
    /// repeats them.
    pub async fn start() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any_port.into()).unwrap();
        socket.listen(0).unwrap();
        let listener: std::net::TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        while let Ok(Ok(socket)) = timeout(QUEUE_FULL_AFTER, TcpStream::connect(address)).await {
            queued.push(socket);
        }
        Self {
            listener,
            queued,
            address,
        }
    }

    /// Lets connections be established from now on.
    pub fn accept_connections(self) -> ManualCacheHost {
        drop(self.queued);
        self.listener.set_nonblocking(true).unwrap();
        ManualCacheHost {
            listener: TcpListener::from_std(self.listener).unwrap(),
            address: self.address,
        }
    }
}
