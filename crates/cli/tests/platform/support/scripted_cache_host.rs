//! A cache host that replies according to a script, and replies for scripts to use.
use super::TEST_TIMEOUT;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The line end after a body.
const BODY_END_BYTES: usize = 2;

/// A line that a cache host has received, with the body if it is a cache request.
#[derive(Debug)]
pub struct ReceivedMessage {
    pub line: String,
    pub body: Vec<u8>,
}

/// A cache host that replies to each cache request with the result of its script for the id and the fields.
pub struct ScriptedCacheHost {
    pub address: SocketAddr,
    pub received: mpsc::UnboundedReceiver<ReceivedMessage>,
}

impl ScriptedCacheHost {
    /// Starts a cache host; `script` gets a request's id and fields and returns the reply's bytes.
    pub async fn start<F>(script: F) -> Self
    where
        F: Fn(&str, &str) -> Vec<u8> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (message_sender, received) = mpsc::unbounded_channel();
        let script = Arc::new(script);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve(socket, script.clone(), message_sender.clone()));
            }
        });
        Self { address, received }
    }

    /// Starts a cache host that serves the same body for each request.
    pub async fn start_serving(body: &'static str) -> Self {
        Self::start(move |id, _| served_reply(id, body)).await
    }

    /// Returns the next message whose line begins with `prefix`; messages before it are dropped.
    pub async fn next_message(&mut self, prefix: &str) -> ReceivedMessage {
        loop {
            let message = timeout(TEST_TIMEOUT, self.received.recv())
                .await
                .expect("no such line in time")
                .unwrap();
            if message.line.starts_with(prefix) {
                return message;
            }
        }
    }
}

/// Serves one connection according to the script until it ends.
async fn serve<F>(
    socket: TcpStream,
    script: Arc<F>,
    received: mpsc::UnboundedSender<ReceivedMessage>,
) where
    F: Fn(&str, &str) -> Vec<u8>,
{
    let mut socket = BufReader::new(socket);
    let mut buffer = String::new();
    while matches!(socket.read_line(&mut buffer).await, Ok(1..)) {
        let line = std::mem::take(&mut buffer).trim_end().to_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let mut body = Vec::new();
        let reply = match words[..] {
            ["PULL", id, fields, length] => {
                body = vec![0; length.parse::<usize>().unwrap() + BODY_END_BYTES];
                socket.read_exact(&mut body).await.unwrap();
                body.truncate(body.len() - BODY_END_BYTES);
                script(id, fields)
            }
            ["ECHO", tag] => healthy_reply(tag),
            _ => Vec::new(),
        };
        let _ = received.send(ReceivedMessage { line, body });
        if socket.write_all(&reply).await.is_err() {
            return;
        }
    }
}

/// Starts a cache host that serves `good` for each cache request, records no requests and counts its connections.
pub async fn start_untracked_cache_host(connections: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve_untracked(socket));
        }
    });
    address
}

async fn serve_untracked(socket: TcpStream) {
    let mut socket = BufReader::new(socket);
    let mut buffer = String::new();
    while matches!(socket.read_line(&mut buffer).await, Ok(1..)) {
        let line = std::mem::take(&mut buffer);
        let words: Vec<&str> = line.split_whitespace().collect();
        let reply = match words[..] {
            ["PULL", id, ..] => served_reply(id, "good"),
            ["ECHO", tag] => healthy_reply(tag),
            _ => continue,
        };
        if socket.write_all(&reply).await.is_err() {
            return;
        }
    }
}

/// Returns the reply to a health check.
pub fn healthy_reply(tag: &str) -> Vec<u8> {
    format!("{tag} green - 0\r\n\r\n").into_bytes()
}

/// Returns the reply that serves a body.
pub fn served_reply(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{id} served rev=77aa,since=1764576000123,res=mem {length}\r\n{body}\r\n").into_bytes()
}

/// Returns the reply that rejects a request as overloaded.
pub fn overloaded_reply(id: &str) -> Vec<u8> {
    format!("{id} overload res=crowded 0\r\n\r\n").into_bytes()
}

/// A script that never replies for the object of [`super::OBJECT_A_FIELD`].
pub fn silent_for_object_a(id: &str, fields: &str) -> Vec<u8> {
    match fields.contains("obj=aaaaaaaaaaaaaaaa") {
        true => Vec::new(),
        false => served_reply(id, "good"),
    }
}
