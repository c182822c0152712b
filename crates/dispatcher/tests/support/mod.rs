//! What the dispatcher's tests over sockets share: HTTP clients and an endpoint that follows a script.
#![allow(dead_code)] // Each test file uses its own part.
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

/// Longest wait for anything that must happen.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A dispatcher with these settings.
pub async fn start_with(settings: &str) -> Dispatcher {
    let settings = parse("test", settings).unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::start(settings, 1).await.unwrap()
}

/// A response to a request on a connection of its own, as far as it came.
pub async fn get(address: SocketAddr, path: &str) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    let _ = timeout(TEST_TIMEOUT, socket.read_to_string(&mut text))
        .await
        .expect("answered in time");
    text
}

/// Retries until the request is served: with one endpoint alone a broken attempt has nowhere else to go.
pub async fn get_with_retries(address: SocketAddr, path: &'static str) {
    let retries = async {
        while !get(address, path).await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, retries)
        .await
        .expect("served in the end");
}

/// Polls until the condition holds, with a bound.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, polling)
        .await
        .expect("the condition holds in time");
}

/// One connection of the dispatcher, to an endpoint that does just what the test says.
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

    /// The next frame; none when the dispatcher has closed.
    pub async fn receive(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = self.decoder.decode(&mut self.received).unwrap() {
                return Some(frame);
            }
            let read = timeout(TEST_TIMEOUT, self.socket.read_buf(&mut self.received))
                .await
                .expect("the dispatcher sends something");
            if !matches!(read, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    /// The next request's stream.
    pub async fn receive_stream(&mut self) -> u32 {
        self.receive_request().await.0
    }

    /// The next request, with its stream; probes before it are answered.
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

    /// A complete response of two bytes.
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
