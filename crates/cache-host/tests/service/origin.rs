//! HTTP origin for tests that counts its requests.
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Requests that the origin has received, and settings of its behaviour.
#[derive(Default)]
pub struct OriginState {
    /// Number of requests by request line.
    pub requests: BTreeMap<String, u64>,
    pub revalidations: u64,
    pub body_bytes: u64,
    pub version: u64,
    /// Number of bytes of a body after which the origin closes the connection.
    pub truncate_after: Option<usize>,
    pub response_delay: Duration,
}

/// Returns the body of an object in one version.
pub fn body(path: &str, version: u64) -> Bytes {
    let len = match path {
        "/video/large" => 3_000_000,
        "/page/empty" => 0,
        _ => 20_000,
    };
    let line = format!("{path} {version}\n");
    line.bytes().cycle().take(len).collect::<Vec<u8>>().into()
}

/// Starts an HTTP/1.1 origin with keep-alive and an entity tag for each version. Pages are fresh for 1 s, other objects
/// for 600 s.
pub async fn origin(state: Arc<Mutex<OriginState>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(socket, state.clone()));
        }
    });
    address
}

/// Reads the head of the next request; returns `None` at the end of the connection.
async fn read_head(socket: &mut TcpStream, read: &mut BytesMut) -> Option<String> {
    loop {
        if let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = read.split_to(end + 4).to_vec();
            return Some(String::from_utf8(head).unwrap());
        }
        if !matches!(socket.read_buf(read).await, Ok(n) if n > 0) {
            return None;
        }
    }
}

async fn serve_connection(mut socket: TcpStream, state: Arc<Mutex<OriginState>>) {
    let mut read = BytesMut::new();
    loop {
        let Some(head) = read_head(&mut socket, &mut read).await else {
            return;
        };
        let line = head.lines().next().unwrap().to_owned();
        let path = line.split(' ').nth(1).unwrap().to_owned();
        let if_none_match = head
            .lines()
            .find_map(|l| l.strip_prefix("if-none-match: "))
            .unwrap_or("")
            .to_owned();
        let (response_delay, version, truncate_after) = {
            let mut state = state.lock().unwrap();
            *state.requests.entry(line.clone()).or_default() += 1;
            (state.response_delay, state.version, state.truncate_after)
        };
        tokio::time::sleep(response_delay).await;
        let tag = format!("\"v{version}\"");
        let fresh = if path.starts_with("/page/") {
            "max-age=1"
        } else {
            "max-age=600"
        };
        let fields =
            format!("ETag: {tag}\r\nCache-Control: {fresh}\r\nContent-Type: text/plain\r\n");
        if if_none_match == tag {
            state.lock().unwrap().revalidations += 1;
            let text = format!("HTTP/1.1 304 Not Modified\r\n{fields}\r\n");
            if socket.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let body = body(&path, version);
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{fields}\r\n",
            body.len()
        );
        let sent = &body[..truncate_after.unwrap_or(body.len()).min(body.len())];
        state.lock().unwrap().body_bytes += sent.len() as u64;
        if socket.write_all(text.as_bytes()).await.is_err() || socket.write_all(sent).await.is_err()
        {
            return;
        }
        if sent.len() < body.len() {
            return;
        }
    }
}
