//! Helpers for the dispatcher's tests over sockets: HTTP clients and a scripted endpoint.
#![allow(dead_code)] // Each test file uses only some of the helpers.
use bytes::BytesMut;
use pointspindle_config::parse;
use pointspindle_dispatcher::Dispatcher;
use pointspindle_protocol::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum wait for an expected event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a dispatcher with these settings.
pub async fn start_with(settings: &str) -> Dispatcher {
    let settings = parse("test", settings).unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::start(settings, 1).await.unwrap()
}

/// Sends a request on a new connection and returns its response, which may be truncated.
pub async fn get(address: SocketAddr, path: &str) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    let _ = timeout(TEST_TIMEOUT, socket.read_to_string(&mut text))
        .await
        .expect("the request is answered before the timeout");
    text
}

/// Retries until the request is served: with a single endpoint, a failed attempt cannot be repeated elsewhere.
pub async fn get_with_retries(address: SocketAddr, path: &'static str) {
    let retries = async {
        while !get(address, path).await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, retries)
        .await
        .expect("a retry is served before the timeout");
}

/// Polls until the condition holds, for at most [`TEST_TIMEOUT`].
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, polling)
        .await
        .expect("the condition holds before the timeout");
}

/// One connection of the dispatcher to an endpoint whose frames the test controls.
pub struct ScriptedEndpoint {
    pub socket: TcpStream,
    decoder: FrameCodec,
    received: BytesMut,
    encoder: FrameCodec,
}

impl ScriptedEndpoint {
    pub async fn accept(listener: &TcpListener) -> Self {
        let (socket, _) = timeout(TEST_TIMEOUT, listener.accept())
            .await
            .expect("the dispatcher connects")
            .unwrap();
        socket.set_nodelay(true).unwrap();
        Self {
            socket,
            decoder: FrameCodec::default(),
            received: BytesMut::new(),
            encoder: FrameCodec::default(),
        }
    }

    pub fn encode(&mut self, frame: Frame) -> BytesMut {
        let mut out = BytesMut::new();
        self.encoder.encode(frame, &mut out).unwrap();
        out
    }

    pub async fn send(&mut self, frame: Frame) {
        let out = self.encode(frame);
        self.socket.write_all(&out).await.unwrap();
    }

    pub async fn send_hello(&mut self, incarnation: u64) {
        self.send(Frame::Hello(HelloHead {
            incarnation,
            started_ago_us: Some(60_000_000),
            ..Default::default()
        }))
        .await;
    }

    /// Returns the next frame, or `None` if the dispatcher has closed the connection.
    pub async fn receive(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = self.decoder.decode(&mut self.received).unwrap() {
                return Some(frame);
            }
            let read = timeout(TEST_TIMEOUT, self.socket.read_buf(&mut self.received))
                .await
                .expect("the dispatcher sends a frame before the timeout");
            if !matches!(read, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    /// Returns the stream of the next request.
    pub async fn receive_stream(&mut self) -> u32 {
        self.receive_request().await.0
    }

    /// Returns the next request and its stream. Probes that precede it are answered.
    pub async fn receive_request(&mut self) -> (u32, RequestHead) {
        loop {
            match self.receive().await.expect("the connection is open") {
                Frame::Request(id, head) => return (id, head),
                Frame::Probe(probe) if !probe.echo => self.echo(probe).await,
                _ => {}
            }
        }
    }

    pub async fn echo(&mut self, probe: ProbeHead) {
        let echo = ProbeHead {
            echo: true,
            ..probe
        };
        self.send(Frame::Probe(echo)).await;
    }

    /// Sends a complete response with a body of two bytes.
    pub async fn respond(&mut self, id: u32) {
        let head = ResponseHead {
            size: Some(2),
            cache_status: WireCacheStatus::Hit as i32,
            ..Default::default()
        };
        self.send(Frame::Head(id, head)).await;
        self.send(Frame::Data(id, "ok".into())).await;
        self.send_end(id, 2).await;
    }

    pub async fn send_end(&mut self, id: u32, bytes: u64) {
        self.send(Frame::End(id, EndHead { bytes, load: None }))
            .await;
    }
}
