//! Runs the program as a process, emulates cache hosts, and makes calls over both protocols.
use futures_util::StreamExt;
use pointspindle_protocol::http::{HttpEvent, ResponseCodec};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection, ResponsePart};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::FramedRead;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_pointspindle");

pub fn run_program(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[derive(serde::Deserialize)]
pub struct ListenAddresses {
    pub http: SocketAddr,
    pub framed: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
}

/// Process of a dispatcher; dropping it kills the process.
pub struct DispatcherProcess {
    child: Child,
    pub bound: ListenAddresses,
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl DispatcherProcess {
    pub fn start(arguments: &[&str], folder: &Path) -> Self {
        let ready = folder.join("ready.json");
        let _ = std::fs::remove_file(&ready);
        let mut child = Command::new(PROGRAM)
            .args(arguments)
            .arg("--ready-file")
            .arg(&ready)
            .stdout(Stdio::null())
            .stderr(
                std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(folder.join("log"))
                    .unwrap(),
            )
            .spawn()
            .unwrap();
        let started = Instant::now();
        let bound = loop {
            if let Ok(bytes) = std::fs::read(&ready) {
                break serde_json::from_slice(&bytes).unwrap();
            }
            assert!(
                child.try_wait().unwrap().is_none(),
                "{}",
                std::fs::read_to_string(folder.join("log")).unwrap()
            );
            assert!(
                started.elapsed() < Duration::from_secs(30),
                "the dispatcher does not listen after 30 s"
            );
            std::thread::sleep(Duration::from_millis(5));
        };
        Self { child, bound }
    }

    pub fn signal(&self, name: &str) {
        let output = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(output.success());
    }

    pub fn wait(mut self) -> i32 {
        self.child.wait().unwrap().code().unwrap_or(-1)
    }
}

pub struct Response {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head announced.
    pub is_complete: bool,
}

impl Response {
    pub fn field(&self, name: &str) -> &str {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map_or("", |(_, v)| v.as_str())
    }
}

/// Sends a text unchanged and reads up to this number of responses, in order.
pub async fn http_exchange(
    to: SocketAddr,
    sent: &str,
    responses: usize,
    head_only: bool,
) -> Vec<Response> {
    let mut socket = TcpStream::connect(to).await.unwrap();
    socket.write_all(sent.as_bytes()).await.unwrap();
    let mut events = FramedRead::new(socket, ResponseCodec::new(head_only));
    let mut out: Vec<Response> = vec![];
    while out.iter().filter(|response| response.is_complete).count() < responses {
        match tokio::time::timeout(Duration::from_secs(20), events.next())
            .await
            .expect("no response within 20 s")
        {
            Some(Ok(HttpEvent::Head { status, fields, .. })) => {
                out.push(Response {
                    status,
                    fields,
                    body: vec![],
                    is_complete: false,
                });
            }
            Some(Ok(HttpEvent::Data(data))) => {
                out.last_mut().unwrap().body.extend_from_slice(&data)
            }
            Some(Ok(HttpEvent::End)) => out.last_mut().unwrap().is_complete = true,
            Some(Err(_)) | None => break,
        }
    }
    out
}

pub async fn http_get(to: SocketAddr, path: &str, fields: &str) -> Response {
    let sent = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n");
    http_exchange(to, &sent, 1, false)
        .await
        .pop()
        .expect("no response")
}

/// Writes the settings of a dispatcher whose only cache host listens at `endpoint`. Returns the file's path.
pub fn write_settings(folder: &Path, endpoint: SocketAddr, extra: &str) -> String {
    let file = folder.join("dispatcher.ini");
    let state = folder.join("dispatcher.state");
    let body = format!(
        "[dispatcher]\nzone = b\nnumber = 0\nstate_file = {}\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\n\
         control = 127.0.0.1:0\nmetrics = 127.0.0.1:0\nhead_timeout_ms = 300\n[upstream]\nconnect_timeout_ms = 100\n\
         [class page]\npath_prefix = /\ndeadline_ms = 1500\n{extra}\n\
         [member cache]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 8\n\
         [member origin]\naddress = 127.0.0.1:9\nkind = origin\nzone = b\nweight = 8\n",
        state.display()
    );
    std::fs::write(&file, body).unwrap();
    file.to_str().unwrap().to_owned()
}

/// Behaviour of a scripted cache host for each request.
#[derive(Clone, Copy)]
pub enum HostBehaviour {
    /// Accepts the request and sends no response.
    Silent,
    /// Sends a head and half of the body, then closes the connection.
    ClosesInBody,
    /// Sends a head and half of the body, then stalls.
    Stalls,
    /// Sends a complete response after this number of milliseconds.
    RespondsAfterMs(u64),
}

pub async fn scripted_host(behaviour: HostBehaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let (connection, mut incoming) =
                FramedConnection::start(socket, Side::Responder, ConnectionOptions::default());
            tokio::spawn(async move {
                while let Some(inbound) = incoming.next().await {
                    let pointspindle_transport::Inbound::Request(_, responder) = inbound else {
                        continue;
                    };
                    tokio::spawn(respond(behaviour, responder, connection.clone()));
                }
            });
        }
    });
    address
}

pub async fn respond(
    behaviour: HostBehaviour,
    mut responder: pointspindle_transport::Responder,
    connection: FramedConnection,
) {
    let head = ResponseHead {
        size: Some(4_000),
        cache_status: WireCacheStatus::Hit as i32,
        ..Default::default()
    };
    match behaviour {
        HostBehaviour::Silent => {
            responder.cancelled().await;
        }
        HostBehaviour::ClosesInBody => {
            let _ = responder.head(head).await;
            let _ = responder.data(vec![b'x'; 2_000].into()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            responder.abandon();
            connection.close("dies");
        }
        HostBehaviour::Stalls => {
            let _ = responder.head(head).await;
            let _ = responder.data(vec![b'x'; 2_000].into()).await;
            responder.cancelled().await;
        }
        HostBehaviour::RespondsAfterMs(delay_ms) => {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let _ = responder.head(head).await;
            let _ = responder.data(vec![b'x'; 4_000].into()).await;
            let _ = responder.end(None).await;
        }
    }
}

/// Makes one framed call and returns how it ended and how long it took.
pub async fn framed_call(to: SocketAddr, deadline_ms: u64) -> (Option<CallEnd>, Duration) {
    let started = Instant::now();
    let socket = TcpStream::connect(to).await.unwrap();
    let (connection, _incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    let head = RequestHead {
        object: "/a".into(),
        class: "page".into(),
        time_left_us: deadline_ms * 1_000,
        ..Default::default()
    };
    let mut call = connection.call(head).unwrap();
    let mut end = None;
    while let Some(part) = call.next().await {
        if let ResponsePart::End(e) = part {
            end = Some(e);
        }
    }
    (end, started.elapsed())
}

pub fn status_of(end: &Option<CallEnd>) -> Option<WireStatus> {
    match end {
        Some(CallEnd::Error(e)) => Some(e.status()),
        _ => None,
    }
}
