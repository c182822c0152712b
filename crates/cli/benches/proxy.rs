//! What the dispatcher costs, beside other ways to the same bytes, in one run on one machine.
//!
//! Ways: straight to a stand-in (HTTP, and framed), through a bare byte relay, through a plain `hyper` reverse
//! proxy, through the dispatcher by each protocol. Each way's middle is a process of its own with one worker thread;
//! its CPU time and memory are read from /proc. The load is a closed loop over a fixed number of connections.
//!
//! `cargo bench -p pointspindle-cli --bench proxy -- [seconds a row]`
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{RequestHead, ResponseHead, WireCacheStatus};
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection, Inbound, ResponsePart};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONNECTIONS: usize = 16;
const SMALL: usize = 4 * 1024;
const LARGE: usize = 1024 * 1024;

fn size_of(path: &str) -> usize {
    if path.contains("large") {
        LARGE
    } else {
        SMALL
    }
}

fn runtime(threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .unwrap()
}

fn main() {
    let arguments: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| a != "--bench")
        .collect();
    match arguments.first().map(String::as_str) {
        Some("serve") => runtime(1).block_on(serve(&arguments[1], arguments.get(2))),
        seconds => {
            let seconds = seconds.and_then(|s| s.parse().ok()).unwrap_or(3.0);
            runtime(2).block_on(measure(Duration::from_secs_f64(seconds)));
        }
    }
}

// ---- the middles and the stand-ins, each in a process of its own

/// The bodies of small and large objects.
#[derive(Clone)]
struct Bodies {
    small: Bytes,
    large: Bytes,
}

type ProxyClient = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

async fn serve(what: &str, to: Option<&String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    println!("{}", listener.local_addr().unwrap());
    let to: Option<SocketAddr> = to.map(|t| t.parse().unwrap());
    let bodies = Bodies {
        small: Bytes::from(vec![b's'; SMALL]),
        large: Bytes::from(vec![b'l'; LARGE]),
    };
    let client: ProxyClient =
        hyper_util::client::legacy::Client::builder(TokioExecutor::new()).build_http();
    loop {
        let (socket, _) = listener.accept().await.unwrap();
        let _ = socket.set_nodelay(true);
        match what {
            "http" => tokio::spawn(serve_http(socket, bodies.clone())),
            "hyper" => tokio::spawn(serve_proxy(socket, client.clone(), to.unwrap())),
            "relay" => tokio::spawn(relay(socket, to.unwrap())),
            "silent" => tokio::spawn(serve_nothing(socket)),
            _ => tokio::spawn(framed_member(socket, bodies.clone())),
        };
    }
}

/// An HTTP server with both bodies.
async fn serve_http(socket: TcpStream, bodies: Bodies) {
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let body = if size_of(request.uri().path()) == LARGE {
            bodies.large.clone()
        } else {
            bodies.small.clone()
        };
        async move { Ok::<_, hyper::Error>(hyper::Response::new(Full::new(body))) }
    });
    let server = hyper::server::conn::http1::Builder::new();
    let _ = server.serve_connection(TokioIo::new(socket), service).await;
}

/// A plain proxy of hyper's own parts.
async fn serve_proxy(socket: TcpStream, client: ProxyClient, to: SocketAddr) {
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let uri = format!("http://{to}{}", request.uri().path());
        let forwarded = hyper::Request::get(uri)
            .body(Full::new(Bytes::new()))
            .unwrap();
        let client = client.clone();
        async move { client.request(forwarded).await }
    });
    let server = hyper::server::conn::http1::Builder::new();
    let _ = server.serve_connection(TokioIo::new(socket), service).await;
}

/// Copies bytes both ways.
async fn relay(mut here: TcpStream, to: SocketAddr) {
    let mut there = TcpStream::connect(to).await.unwrap();
    let _ = there.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut here, &mut there).await;
}

/// A cache host that accepts requests and answers none.
async fn serve_nothing(socket: TcpStream) {
    let options = ConnectionOptions {
        max_streams: 100_000,
    };
    let (_connection, mut incoming) = FramedConnection::start(socket, Side::Responder, options);
    let mut unanswered = vec![];
    while let Some(inbound) = incoming.next().await {
        unanswered.push(inbound);
    }
}

async fn framed_member(socket: TcpStream, bodies: Bodies) {
    let (_link, mut incoming) = FramedConnection::start(
        socket,
        Side::Responder,
        ConnectionOptions { max_streams: 8192 },
    );
    while let Some(inbound) = incoming.next().await {
        let Inbound::Request(head, mut responder) = inbound else {
            continue;
        };
        let body = if size_of(&head.object) == LARGE {
            bodies.large.clone()
        } else {
            bodies.small.clone()
        };
        tokio::spawn(async move {
            let size = Some(body.len() as u64);
            let answer = ResponseHead {
                size,
                cache_status: WireCacheStatus::Hit as i32,
                ..Default::default()
            };
            if responder.head(answer).await.is_ok() && responder.data(body).await.is_ok() {
                let _ = responder.end(None).await;
            }
        });
    }
}

/// A process that is ended with its handle.
struct Process {
    child: Child,
    at: SocketAddr,
    framed: Option<SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(arguments: &[&str]) -> Process {
    use std::io::{BufRead, BufReader};
    let mut command = Command::new(std::env::current_exe().unwrap());
    let mut child = command
        .arg("serve")
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    Process {
        child,
        at: line.trim().parse().unwrap(),
        framed: None,
    }
}

fn dispatcher(member: SocketAddr, folder: &std::path::Path) -> Process {
    let (settings, ready) = (folder.join("edge.ini"), folder.join("ready"));
    let text = format!(
        "[dispatcher]\nzone = b\nnumber = 0\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\nmax_streams = 4096\n\
         [class page]\npath_prefix = /\ndeadline_ms = 20000\naim_ms = 5000\n\
         [member m]\naddress = {member}\nkind = cache\nzone = b\nweight = 1000\n\
         [member o]\naddress = 127.0.0.1:9\nkind = origin\nzone = b\nweight = 1000\n"
    );
    std::fs::write(&settings, text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_pointspindle"))
        .env("TOKIO_WORKER_THREADS", "1")
        .args(["--log", "error", "serve"])
        .arg(&settings)
        .arg("--ready-file")
        .arg(&ready)
        .spawn()
        .unwrap();
    let bytes = loop {
        match std::fs::read(&ready) {
            Ok(bytes) => break bytes,
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    let bound: serde_json::Value = serde_json::from_slice(&bytes).unwrap();
    let at = |door: &str| bound[door].as_str().unwrap().parse().unwrap();
    Process {
        child,
        at: at("http"),
        framed: Some(at("framed")),
    }
}

/// User and system time so far, and resident memory in bytes.
fn usage(process: &Process) -> (Duration, u64) {
    pointspindle_testbed::idle::process_usage(process.child.id())
}

// ---- the load

async fn http_loop(to: SocketAddr, path: String, until: Instant) -> Vec<u64> {
    let mut socket = TcpStream::connect(to).await.unwrap();
    let _ = socket.set_nodelay(true);
    let asked = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    let want = size_of(&path);
    let mut buffer = BytesMut::with_capacity(256 * 1024);
    let mut times = vec![];
    while Instant::now() < until {
        let began = Instant::now();
        socket.write_all(asked.as_bytes()).await.unwrap();
        buffer.clear();
        let mut body: Option<usize> = None;
        let mut got = 0;
        while body.is_none_or(|end| got < end) {
            if body.is_some() {
                buffer.clear();
            }
            let n = socket.read_buf(&mut buffer).await.unwrap();
            assert!(n > 0, "closed");
            got += n;
            if body.is_none() {
                if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                    assert!(
                        buffer.starts_with(b"HTTP/1.1 200"),
                        "{:?}",
                        &buffer[..40.min(buffer.len())]
                    );
                    body = Some(at + 4 + want);
                }
            }
        }
        times.push(began.elapsed().as_micros() as u64);
    }
    times
}

/// As many calls at once as the other loops have connections, all on one.
async fn framed_loop(link: FramedConnection, path: String, until: Instant) -> Vec<u64> {
    let mut times = vec![];
    while Instant::now() < until {
        let began = Instant::now();
        let class = "page".into();
        let head = RequestHead {
            object: path.clone(),
            class,
            time_left_us: 20_000_000,
            ..Default::default()
        };
        let mut call = link.call(head).unwrap();
        let mut got = 0;
        loop {
            match call.next().await {
                Some(ResponsePart::Data(data)) => got += data.len(),
                Some(ResponsePart::End(CallEnd::Complete(_))) => break,
                Some(ResponsePart::Head(_)) => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(got, size_of(&path));
        times.push(began.elapsed().as_micros() as u64);
    }
    times
}

async fn load(
    to: SocketAddr,
    framed: bool,
    path: &str,
    length: Duration,
) -> (f64, u64, u64, usize) {
    let until = Instant::now() + length;
    let began = Instant::now();
    let mut loops = vec![];
    let link = if framed {
        let socket = TcpStream::connect(to).await.unwrap();
        let (link, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        Some(link)
    } else {
        None
    };
    for _ in 0..CONNECTIONS {
        let path = path.to_owned();
        loops.push(match &link {
            Some(link) => tokio::spawn(framed_loop(link.clone(), path, until)),
            None => tokio::spawn(http_loop(to, path, until)),
        });
    }
    let mut times = vec![];
    for each in loops {
        times.extend(each.await.unwrap());
    }
    let took = began.elapsed().as_secs_f64();
    times.sort_unstable();
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    (times.len() as f64 / took, at(0.5), at(0.99), times.len())
}

/// One way: requests a second, p50 and p99, CPU a request of its middle.
async fn row(name: &str, to: SocketAddr, framed: bool, middle: Option<&Process>, length: Duration) {
    for path in ["/small", "/large"] {
        load(to, framed, path, length / 4).await;
        let before = middle.map(|p| usage(p).0);
        let (rate, p50, p99, count) = load(to, framed, path, length).await;
        let cpu = middle
            .zip(before)
            .map(|(p, before)| (usage(p).0 - before).as_micros() as f64 / count as f64);
        let cpu = cpu.map_or("-".to_owned(), |us| format!("{us:.1}"));
        println!(
            "| {name} | {} | {rate:.0} | {p50} | {p99} | {cpu} |",
            &path[1..]
        );
    }
}

async fn measure(length: Duration) {
    let folder = tempfile::tempdir().unwrap();
    let (http, member) = (start(&["http"]), start(&["framed"]));
    let relay = start(&["relay", &http.at.to_string()]);
    let framed_relay = start(&["relay", &member.at.to_string()]);
    let hyper = start(&["hyper", &http.at.to_string()]);
    let edge = dispatcher(member.at, folder.path());
    println!(
        "{CONNECTIONS} requests at once, {:.1} s a row; the middle has one worker thread\n",
        length.as_secs_f64()
    );
    println!("| way | body | requests/s | p50 us | p99 us | CPU us a request |\n| --- | --- | --- | --- | --- | --- |");
    row("HTTP straight", http.at, false, None, length).await;
    row("HTTP, byte relay", relay.at, false, Some(&relay), length).await;
    row("HTTP, hyper proxy", hyper.at, false, Some(&hyper), length).await;
    row("HTTP, dispatcher", edge.at, false, Some(&edge), length).await;
    row("framed straight", member.at, true, None, length).await;
    row(
        "framed, byte relay",
        framed_relay.at,
        true,
        Some(&framed_relay),
        length,
    )
    .await;
    row(
        "framed, dispatcher",
        edge.framed.unwrap(),
        true,
        Some(&edge),
        length,
    )
    .await;
    measure_idle_connections(&hyper, &edge).await;
    measure_open_requests().await;
}

const IDLE_CONNECTIONS: usize = 2_000;
const OPEN_REQUESTS: usize = 500;

async fn measure_idle_connections(hyper: &Process, edge: &Process) {
    println!("\n| idle connections | bytes each, program |\n| --- | --- |");
    for (name, at, process) in [
        ("hyper proxy, HTTP", hyper.at, hyper),
        ("dispatcher, HTTP", edge.at, edge),
        ("dispatcher, framed", edge.framed.unwrap(), edge),
    ] {
        let before = usage(process).1;
        let mut held = vec![];
        for _ in 0..IDLE_CONNECTIONS {
            held.push(TcpStream::connect(at).await.unwrap());
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let after = usage(process).1;
        println!(
            "| {name} | {} |",
            after.saturating_sub(before) / IDLE_CONNECTIONS as u64
        );
        drop(held);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Of a dispatcher whose only endpoint accepts requests and answers none.
async fn measure_open_requests() {
    let silent = start(&["silent"]);
    let folder = tempfile::tempdir().unwrap();
    let edge = dispatcher(silent.at, folder.path());
    let socket = TcpStream::connect(edge.framed.unwrap()).await.unwrap();
    let (link, _incoming) = FramedConnection::start(
        socket,
        Side::Caller,
        ConnectionOptions { max_streams: 4096 },
    );
    let before = usage(&edge).1;
    let mut calls = vec![];
    for n in 0..OPEN_REQUESTS {
        let class = "page".into();
        let head = RequestHead {
            object: format!("/o{n}"),
            class,
            time_left_us: 20_000_000,
            ..Default::default()
        };
        calls.push(link.call(head).unwrap());
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let each = usage(&edge).1.saturating_sub(before) / OPEN_REQUESTS as u64;
    println!("\nan open request, framed: {each} bytes of program memory ({OPEN_REQUESTS} open)");
}
