//! The program as a person and an operator would use it: over its arguments, files, sockets and signals.
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

const PROGRAM: &str = env!("CARGO_BIN_EXE_pointspindle");

fn program(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[derive(serde::Deserialize)]
struct Bound {
    http: SocketAddr,
    framed: SocketAddr,
    control: SocketAddr,
    metrics: SocketAddr,
}

/// A process that is ended with its test.
struct Running {
    child: Child,
    bound: Bound,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Running {
    fn start(arguments: &[&str], folder: &Path) -> Self {
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
        let patience = Instant::now();
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
                patience.elapsed() < Duration::from_secs(30),
                "it does not listen"
            );
            std::thread::sleep(Duration::from_millis(5));
        };
        Self { child, bound }
    }

    fn signal(&self, name: &str) {
        let told = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(told.success());
    }

    fn wait(mut self) -> i32 {
        self.child.wait().unwrap().code().unwrap_or(-1)
    }
}

struct Answer {
    status: u16,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
    /// It ended where it said it would.
    whole: bool,
}

impl Answer {
    fn field(&self, name: &str) -> &str {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map_or("", |(_, v)| v.as_str())
    }
}

/// Sends text as it is and reads so many answers, in order.
async fn http(to: SocketAddr, sent: &str, answers: usize, head_only: bool) -> Vec<Answer> {
    let mut socket = TcpStream::connect(to).await.unwrap();
    socket.write_all(sent.as_bytes()).await.unwrap();
    let mut pieces = FramedRead::new(socket, ResponseCodec::new(head_only));
    let mut out: Vec<Answer> = vec![];
    while out.iter().filter(|a| a.whole).count() < answers {
        match tokio::time::timeout(Duration::from_secs(20), pieces.next())
            .await
            .expect("an answer in time")
        {
            Some(Ok(HttpEvent::Head { status, fields, .. })) => {
                out.push(Answer {
                    status,
                    fields,
                    body: vec![],
                    whole: false,
                });
            }
            Some(Ok(HttpEvent::Data(data))) => {
                out.last_mut().unwrap().body.extend_from_slice(&data)
            }
            Some(Ok(HttpEvent::End)) => out.last_mut().unwrap().whole = true,
            Some(Err(_)) | None => break,
        }
    }
    out
}

async fn get(to: SocketAddr, path: &str, fields: &str) -> Answer {
    let sent = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n");
    http(to, &sent, 1, false).await.pop().expect("an answer")
}

#[tokio::test]
async fn a_newcomer_starts_a_whole_fleet_with_one_command() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = Running::start(&["serve", "--port", "0"], folder.path());
    let to = fleet.bound.http;
    let first = get(to, "/page/welcome", "").await;
    assert_eq!(
        (
            first.status,
            first.body.len(),
            first.field("content-length")
        ),
        (200, 2048, "2048")
    );
    assert!(
        first.field("cache-status").contains("fwd=miss"),
        "{}",
        first.field("cache-status")
    );
    let second = get(to, "/page/welcome", "").await;
    assert!(second.field("cache-status").contains("hit"));
    assert_eq!(first.body, second.body);

    let part = get(to, "/page/welcome", "Range: bytes=100-149\r\n").await;
    assert_eq!(
        (part.status, part.field("content-range")),
        (206, "bytes 100-149/2048")
    );
    assert_eq!(part.body, first.body[100..150]);
    let outside = get(to, "/page/welcome", "Range: bytes=9999-\r\n").await;
    assert_eq!(
        (outside.status, outside.field("content-range")),
        (416, "bytes */2048")
    );
    let same = get(
        to,
        "/page/welcome",
        &format!("If-None-Match: {}\r\n", first.field("etag")),
    )
    .await;
    assert_eq!((same.status, same.body.len()), (304, 0));
    let head = http(
        to,
        "HEAD /page/welcome HTTP/1.1\r\nHost: x\r\n\r\n",
        1,
        true,
    )
    .await;
    assert_eq!(
        (head[0].status, head[0].field("content-length")),
        (200, "2048")
    );
    assert_eq!(get(to, "/page/none", "").await.status, 404);
    let large = get(to, "/video/lesson-2", "").await;
    assert_eq!((large.status, large.body.len()), (200, 4 << 20));

    // Pipelined requests are answered in order; one that two readers could read differently is refused.
    let ask = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    let three = [
        ask("/video/lesson-1"),
        ask("/page/welcome"),
        ask("/page/signs/stop"),
    ]
    .concat();
    let sizes: Vec<usize> = http(to, &three, 3, false)
        .await
        .iter()
        .map(|a| a.body.len())
        .collect();
    assert_eq!(sizes, [1 << 20, 2048, 6 * 1024]);
    let smuggled = "GET /page/welcome HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(http(to, smuggled, 1, false).await[0].status, 400);

    let control = fleet.bound.control.to_string();
    let list = text(&program(&["members", "--at", &control]).stdout);
    assert!(
        list.contains("4 members") && list.contains("parent"),
        "{list}"
    );
    assert!(
        program(&["purge", "--at", &control, "--object", "/page/welcome"])
            .status
            .success()
    );
    let purged = get(to, "/page/welcome", "").await;
    assert!(
        purged.field("cache-status").contains("fwd=miss"),
        "a copy from before the purge does not do"
    );
    let metrics = text(&get(fleet.bound.metrics, "/metrics", "").await.body);
    assert!(
        metrics.contains("pointspindle_requests_total{class=\"test-page\",outcome=\"served\"}"),
        "{metrics}"
    );
    fleet.signal("-TERM");
    assert_eq!(fleet.wait(), 0);
}

#[test]
fn wrong_settings_are_named_and_nothing_starts_with_them() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("wrong.ini");
    std::fs::write(
        &file,
        "[dispatcher]\nzone = a\nnumbr = 3\n[listen]\nhttp = 127.0.0.1:0\n",
    )
    .unwrap();
    let checked = program(&["check", file.to_str().unwrap()]);
    assert_eq!(checked.status.code(), Some(1));
    let told = text(&checked.stdout);
    assert!(
        told.contains("wrong.ini:3: dispatcher.numbr: no such key; did you mean number?"),
        "{told}"
    );
    assert!(told.contains("no class"), "{told}");
    let served = program(&["serve", file.to_str().unwrap()]);
    assert_eq!(served.status.code(), Some(2));
    assert!(text(&served.stderr).contains("wrong.ini:3"));
    let scenario = folder.path().join("day.ini");
    std::fs::write(
        &scenario,
        "[day]\nabout = x\n[class a]\n[trouble t]\nkind = earthquake\n",
    )
    .unwrap();
    let checked = program(&["lab", "check", scenario.to_str().unwrap()]);
    assert!(
        text(&checked.stdout).contains("day.ini:5: trouble t.kind"),
        "{}",
        text(&checked.stdout)
    );
}

/// Settings of a dispatcher whose only cache host is whatever listens at `member`.
fn settings(folder: &Path, member: SocketAddr, extra: &str) -> String {
    let file = folder.join("edge.ini");
    let state = folder.join("edge.state");
    let body = format!(
        "[dispatcher]\nzone = b\nnumber = 0\nstate_file = {}\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\n\
         control = 127.0.0.1:0\nmetrics = 127.0.0.1:0\nhead_timeout_ms = 300\n[upstream]\nconnect_timeout_ms = 100\n\
         [class page]\npath_prefix = /\ndeadline_ms = 1500\n{extra}\n\
         [member cache]\naddress = {member}\nkind = cache\nzone = b\nweight = 8\n\
         [member origin]\naddress = 127.0.0.1:9\nkind = origin\nzone = b\nweight = 8\n",
        state.display()
    );
    std::fs::write(&file, body).unwrap();
    file.to_str().unwrap().to_owned()
}

/// What a scripted cache host does with each request.
#[derive(Clone, Copy)]
enum Host {
    /// Accepts and says nothing.
    Silent,
    /// Sends a head and half of the body, then is gone.
    DiesInBody,
    /// Sends a head and some body, then stalls.
    Stalls,
    /// A whole answer after so many milliseconds.
    Answers(u64),
}

async fn host(kind: Host) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let (link, mut incoming) =
                FramedConnection::start(socket, Side::Answerer, ConnectionOptions::default());
            tokio::spawn(async move {
                while let Some(inbound) = incoming.next().await {
                    let pointspindle_transport::Inbound::Request(_, responder) = inbound else {
                        continue;
                    };
                    tokio::spawn(play(kind, responder, link.clone()));
                }
            });
        }
    });
    at
}

async fn play(
    kind: Host,
    mut responder: pointspindle_transport::Responder,
    link: FramedConnection,
) {
    let head = ResponseHead {
        size: Some(4_000),
        cache_status: WireCacheStatus::Hit as i32,
        ..Default::default()
    };
    match kind {
        Host::Silent => {
            responder.cancelled().await;
        }
        Host::DiesInBody => {
            let _ = responder.head(head).await;
            let _ = responder.data(vec![b'x'; 2_000].into()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            responder.abandon();
            link.close("dies");
        }
        Host::Stalls => {
            let _ = responder.head(head).await;
            let _ = responder.data(vec![b'x'; 2_000].into()).await;
            responder.cancelled().await;
        }
        Host::Answers(after) => {
            tokio::time::sleep(Duration::from_millis(after)).await;
            let _ = responder.head(head).await;
            let _ = responder.data(vec![b'x'; 4_000].into()).await;
            let _ = responder.end(None).await;
        }
    }
}

/// One framed call; how it ended, and how long it took.
async fn framed(to: SocketAddr, left_ms: u64) -> (Option<CallEnd>, Duration) {
    let began = Instant::now();
    let socket = TcpStream::connect(to).await.unwrap();
    let (link, _incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    let head = RequestHead {
        object: "/a".into(),
        class: "page".into(),
        time_left_us: left_ms * 1_000,
        ..Default::default()
    };
    let mut call = link.call(head).unwrap();
    let mut end = None;
    while let Some(part) = call.next().await {
        if let ResponsePart::End(e) = part {
            end = Some(e);
        }
    }
    (end, began.elapsed())
}

fn status_of(end: &Option<CallEnd>) -> Option<WireStatus> {
    match end {
        Some(CallEnd::Error(e)) => Some(e.status()),
        _ => None,
    }
}

#[tokio::test]
async fn a_host_that_accepts_and_stays_silent_costs_the_client_no_more_than_its_deadline() {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), host(Host::Silent).await, "");
    let edge = Running::start(&["serve", &file], folder.path());
    let (end, took) = framed(edge.bound.framed, 700).await;
    assert_eq!(status_of(&end), Some(WireStatus::Refused), "{end:?}");
    assert!(
        took >= Duration::from_millis(300),
        "it waited for the host: {took:?}"
    );
    let answer = get(edge.bound.http, "/a", "X-Deadline-Ms: 700\r\n").await;
    assert_eq!((answer.status, answer.field("x-outcome")), (503, "refused"));
    assert!(
        !answer.field("retry-after").is_empty()
            && answer.field("proxy-status").contains("pointspindle")
    );
}

#[tokio::test]
async fn nobody_at_the_member_s_address_is_a_quick_refusal() {
    let folder = tempfile::tempdir().unwrap();
    let nobody = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let file = settings(folder.path(), nobody, "");
    let edge = Running::start(&["serve", &file], folder.path());
    let (end, _) = framed(edge.bound.framed, 1_400).await;
    assert_eq!(status_of(&end), Some(WireStatus::Refused), "{end:?}");
}

/// A full queue of the kernel leaves a connect without any answer: as good as a host that is gone.
#[tokio::test]
async fn a_connect_that_hangs_is_given_up_and_the_client_answered() {
    let folder = tempfile::tempdir().unwrap();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let member = listener.local_addr().unwrap();
    let mut held = vec![];
    loop {
        match tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(member)).await {
            Ok(Ok(stream)) => held.push(stream),
            Ok(Err(e)) => panic!("refused: {e}"),
            Err(_) => break,
        }
        assert!(held.len() < 1_000, "connects never hang here");
    }
    let file = settings(folder.path(), member, "");
    let edge = Running::start(&["serve", &file], folder.path());
    let (end, _) = framed(edge.bound.framed, 1_400).await;
    assert_eq!(status_of(&end), Some(WireStatus::Refused), "{end:?}");
    let metrics = text(&get(edge.bound.metrics, "/metrics", "").await.body);
    assert!(
        metrics.contains("pointspindle_attempts_total{outcome=\"connect_failed\"}"),
        "{metrics}"
    );
}

/// A client that reads nothing and gives no credit back: its own answer fails in time, others are served.
#[tokio::test]
async fn credit_that_is_never_returned_costs_nobody_else() {
    use futures_util::SinkExt;
    let folder = tempfile::tempdir().unwrap();
    let fleet = Running::start(&["serve", "--port", "0"], folder.path());
    let socket = TcpStream::connect(fleet.bound.framed).await.unwrap();
    let mut frames = tokio_util::codec::Framed::new(socket, FrameCodec::default());
    let ask = |object: &str, class: &str| RequestHead {
        object: object.into(),
        class: class.into(),
        time_left_us: 900_000,
        ..Default::default()
    };
    frames
        .send(Frame::Request(1, ask("/video/lesson-2", "lesson-video")))
        .await
        .unwrap();
    for stream in 2..12 {
        frames
            .send(Frame::Request(stream, ask("/page/welcome", "test-page")))
            .await
            .unwrap();
    }
    let (mut bytes, mut ended, mut slow) = (0, 0, None);
    while slow.is_none() || ended < 10 {
        match tokio::time::timeout(Duration::from_secs(10), frames.next())
            .await
            .expect("in time")
        {
            Some(Ok(Frame::Data(1, data))) => bytes += data.len(),
            Some(Ok(Frame::Error(1, e))) => slow = Some(e.status()),
            Some(Ok(Frame::End(1, _))) => panic!("4 MiB without credit"),
            Some(Ok(Frame::End(..))) => ended += 1,
            Some(Ok(_)) => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(slow, Some(WireStatus::Failed));
    assert_eq!(
        bytes,
        pointspindle_protocol::streams::STREAM_WINDOW as usize,
        "no more than its window was sent"
    );
}

/// A client must be able to tell half a file from a file, on both protocols.
#[tokio::test]
async fn an_answer_that_breaks_off_differs_from_one_that_ends() {
    for kind in [Host::DiesInBody, Host::Stalls] {
        let folder = tempfile::tempdir().unwrap();
        let file = settings(folder.path(), host(kind).await, "");
        let edge = Running::start(&["serve", &file], folder.path());
        let answer = get(edge.bound.http, "/a", "X-Deadline-Ms: 900\r\n").await;
        assert_eq!(
            (answer.status, answer.body.len(), answer.whole),
            (200, 2_000, false)
        );
        let (end, _) = framed(edge.bound.framed, 900).await;
        assert_eq!(status_of(&end), Some(WireStatus::Failed), "{end:?}");
    }
}

#[tokio::test]
async fn what_is_accepted_before_sigterm_is_answered_and_the_exit_is_clean() {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), host(Host::Answers(700)).await, "");
    let edge = Running::start(&["serve", &file], folder.path());
    let (to_framed, to_http) = (edge.bound.framed, edge.bound.http);
    let calls: Vec<_> = (0..6)
        .map(|_| tokio::spawn(framed(to_framed, 1_400)))
        .collect();
    let asked: Vec<_> = (0..6)
        .map(|_| tokio::spawn(async move { get(to_http, "/b", "").await }))
        .collect();
    // All are open once the metrics say so.
    let patience = Instant::now();
    loop {
        let metrics = text(&get(edge.bound.metrics, "/metrics", "").await.body);
        if metrics
            .lines()
            .any(|l| l == "pointspindle_open_requests 12")
        {
            break;
        }
        assert!(patience.elapsed() < Duration::from_secs(10), "{metrics}");
    }
    edge.signal("-TERM");
    for call in calls {
        let (end, _) = call.await.unwrap();
        assert!(
            matches!(end, Some(CallEnd::Complete(_))) || status_of(&end).is_some(),
            "a final answer: {end:?}"
        );
    }
    for asked in asked {
        let answer = asked.await.unwrap();
        assert!(
            answer.whole && matches!(answer.status, 200 | 503),
            "{}",
            answer.status
        );
    }
    assert!(
        TcpStream::connect(to_http).await.is_err(),
        "nothing new is taken"
    );
    assert_eq!(edge.wait(), 0);
}

#[tokio::test]
async fn heads_that_trickle_or_never_come_are_cut_off() {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), host(Host::Answers(0)).await, "");
    let edge = Running::start(&["serve", &file], folder.path());
    let answers = http(edge.bound.http, "GET /a HTTP/1.1\r\nHost:", 1, false).await;
    assert_eq!(answers[0].status, 408);
    let flood = format!("GET /a HTTP/1.1\r\nHost: x\r\n{}", "a: b\r\n".repeat(100));
    assert_eq!(http(edge.bound.http, &flood, 1, false).await[0].status, 431);
}

/// Killed while it writes its state again and again: what is read afterwards is whole, or nothing.
#[tokio::test]
async fn a_kill_during_the_writing_of_the_state_leaves_a_whole_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), host(Host::Answers(0)).await, "");
    let state = folder.path().join("edge.state");
    for round in 0..8_u64 {
        let edge = Running::start(&["serve", &file], folder.path());
        let socket = TcpStream::connect(edge.bound.control).await.unwrap();
        let (link, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        for n in 0..200 + 40 * round {
            let purge = PurgeHead {
                object: Some(format!("/p{n}")),
                group: n,
                age_us: 0,
                seq: n,
            };
            link.control(Frame::Purge(purge)).await.unwrap();
            if n % 50 == 0 {
                tokio::time::sleep(Duration::from_millis(7)).await;
            }
        }
        drop(edge);
        if let Ok(bytes) = std::fs::read(&state) {
            pointspindle_dispatcher::core::state::Snapshot::from_bytes(&bytes).expect("whole");
        }
    }
    // Torn by hand: reported, ignored, and the static members serve.
    let whole = std::fs::read(&state).expect("written by then");
    std::fs::write(&state, &whole[..whole.len() / 2]).unwrap();
    let edge = Running::start(&["serve", &file], folder.path());
    assert_eq!(get(edge.bound.http, "/a", "").await.status, 200);
    let log = std::fs::read_to_string(folder.path().join("log")).unwrap();
    assert!(
        log.contains("the state file is not used") && log.contains("torn"),
        "{log}"
    );
}

#[tokio::test]
async fn a_list_told_at_run_time_is_in_force_again_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), host(Host::Answers(0)).await, "");
    let other = host(Host::Answers(0)).await.to_string();
    let edge = Running::start(&["serve", &file], folder.path());
    let control = edge.bound.control.to_string();
    let set = format!("{other}=ready");
    let told = program(&[
        "members", "--at", &control, "--set", &set, "--kind", "cache", "--zone", "b", "--cold",
    ]);
    assert!(told.status.success(), "{}", text(&told.stderr));
    edge.signal("-TERM");
    edge.wait();
    let edge = Running::start(&["serve", &file], folder.path());
    let list = text(&program(&["members", "--at", &edge.bound.control.to_string()]).stdout);
    assert!(
        list.contains(&other) && list.contains("3 members"),
        "{list}"
    );
    let wrong = program(&[
        "members",
        "--at",
        &edge.bound.control.to_string(),
        "--set",
        "nonsense",
    ]);
    assert_eq!(wrong.status.code(), Some(2));
}
