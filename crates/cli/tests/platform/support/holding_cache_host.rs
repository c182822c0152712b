//! A cache host that holds its replies until it is told to send them all.
use super::{served_reply, TEST_TIMEOUT};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// A cache host that serves one body for each cache request, but not before [`HoldingCacheHost::release_after`].
pub struct HoldingCacheHost {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    body: String,
    /// Number of cache requests received.
    received: watch::Sender<usize>,
    is_released: watch::Sender<bool>,
}

impl HoldingCacheHost {
    pub async fn start(body: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            body,
            received: watch::channel(0).0,
            is_released: watch::channel(false).0,
        });
        let accepting = state.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve(socket, accepting.clone()));
            }
        });
        Self { address, state }
    }

    /// Waits for this number of cache requests, and then sends all replies.
    pub async fn release_after(&self, count: usize) {
        let mut received = self.state.received.subscribe();
        timeout(
            TEST_TIMEOUT,
            received.wait_for(|received| *received >= count),
        )
        .await
        .expect("too few cache requests in time")
        .unwrap();
        self.state.is_released.send_replace(true);
    }
}

/// Serves one connection: reads all requests without waiting, and replies to them in order.
async fn serve(socket: TcpStream, state: Arc<State>) {
    let (read, mut write) = socket.into_split();
    let (reply_sender, mut replies) = tokio::sync::mpsc::unbounded_channel::<String>();
    let mut is_released = state.is_released.subscribe();
    let writer_state = state.clone();
    tokio::spawn(async move {
        let _ = is_released.wait_for(|released| *released).await;
        while let Some(id) = replies.recv().await {
            let reply = served_reply(&id, &writer_state.body);
            if write.write_all(&reply).await.is_err() {
                return;
            }
        }
    });
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["PULL", id, ..] = words[..] {
            let _ = reply_sender.send(id.to_owned());
            state.received.send_modify(|received| *received += 1);
        }
    }
}
