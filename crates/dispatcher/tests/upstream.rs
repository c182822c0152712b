//! Connections to members over sockets: what a half-open one, a cut hello and a dead address do to requests.
use bytes::BytesMut;
use pointspindle_config::parse;
use pointspindle_dispatcher::Dispatcher;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

const PATIENCE: Duration = Duration::from_secs(10);

async fn start(endpoint: SocketAddr, upstream: &str) -> Dispatcher {
    let text = format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\nmetrics = 127.0.0.1:0\ndrain_ms = 100\n\
         [upstream]\n{upstream}\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 4000\n"
    );
    let settings = parse("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::start(settings, 1).await.unwrap()
}

/// An answer, as far as it came.
async fn get(at: SocketAddr, path: &str) -> String {
    let mut socket = TcpStream::connect(at).await.unwrap();
    let asked = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    socket.write_all(asked.as_bytes()).await.unwrap();
    let mut text = String::new();
    let _ = timeout(PATIENCE, socket.read_to_string(&mut text))
        .await
        .expect("answered in time");
    text
}

/// As a client that comes back until it is served: with one member alone a broken attempt has nowhere else to go.
async fn served(at: SocketAddr, path: &'static str) {
    let again = async {
        while !get(at, path).await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, again).await.expect("served in the end");
}

/// One connection of the dispatcher, as a member that does just what the test says.
struct Member {
    socket: TcpStream,
    read: (FrameCodec, BytesMut),
    write: FrameCodec,
}

impl Member {
    async fn accept(listener: &TcpListener) -> Self {
        let socket = timeout(PATIENCE, listener.accept())
            .await
            .expect("it connects")
            .unwrap()
            .0;
        socket.set_nodelay(true).unwrap();
        Self {
            socket,
            read: Default::default(),
            write: FrameCodec::default(),
        }
    }

    fn bytes(&mut self, frame: Frame) -> BytesMut {
        let mut out = BytesMut::new();
        self.write.encode(frame, &mut out).unwrap();
        out
    }

    async fn say(&mut self, frame: Frame) {
        let out = self.bytes(frame);
        self.socket.write_all(&out).await.unwrap();
    }

    async fn hello(&mut self, process: u64) {
        let started_ago_us = Some(60_000_000);
        self.say(Frame::Hello(HelloHead {
            incarnation: process,
            started_ago_us,
            ..Default::default()
        }))
        .await;
    }

    /// The next frame; none when the dispatcher has closed.
    async fn hear(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = self.read.0.decode(&mut self.read.1).unwrap() {
                return Some(frame);
            }
            let read = timeout(PATIENCE, self.socket.read_buf(&mut self.read.1))
                .await
                .expect("it speaks");
            if !matches!(read, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    /// The next request's stream.
    async fn asked(&mut self) -> u32 {
        self.request().await.0
    }

    async fn request(&mut self) -> (u32, RequestHead) {
        loop {
            match self.hear().await.expect("the connection is open") {
                Frame::Request(id, head) => return (id, head),
                Frame::Probe(p) if !p.echo => {
                    self.say(Frame::Probe(ProbeHead { echo: true, ..p })).await
                }
                _ => {}
            }
        }
    }

    async fn answer(&mut self, id: u32) {
        let head = ResponseHead {
            size: Some(2),
            cache_status: WireCacheStatus::Hit as i32,
            ..Default::default()
        };
        self.say(Frame::Head(id, head)).await;
        self.say(Frame::Data(id, "ok".into())).await;
        self.say(Frame::End(
            id,
            EndHead {
                bytes: 2,
                load: None,
            },
        ))
        .await;
    }
}

/// A machine that lost power: its connection takes everything and brings nothing. Without a probe every request until the
/// kernel gives up would go there.
#[tokio::test]
async fn a_half_open_connection_to_the_old_process_is_found_and_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatcher = start(
        listener.local_addr().unwrap(),
        "quiet_ping_ms = 400\nping_timeout_ms = 400",
    )
    .await;
    let http = dispatcher.bound_addresses().http.unwrap();
    let first = tokio::spawn(get(http, "/page/1"));
    let mut old = Member::accept(&listener).await;
    old.hello(1).await;
    let id = old.asked().await;
    old.answer(id).await;
    assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));

    // From here on the old process's end is neither read nor closed.
    let second = tokio::spawn(served(http, "/page/2"));
    let mut new = Member::accept(&listener).await;
    new.hello(2).await;
    let id = new.asked().await;
    new.answer(id).await;
    second.await.unwrap();
    let mut asked_old = 0;
    while let Some(frame) = old.hear().await {
        asked_old += matches!(frame, Frame::Request(..)) as usize;
    }
    assert_eq!(asked_old, 1, "one attempt, and the connection is closed");
    let metrics = get(dispatcher.bound_addresses().metrics.unwrap(), "/").await;
    assert!(
        metrics.contains("pointspindle_dead_member_connections_total 1"),
        "{metrics}"
    );
    dispatcher.stop().await;
}

/// A hello that is cut in its middle says nothing: neither that the process is the old one, nor that none will come.
#[tokio::test]
async fn nothing_is_sent_on_a_connection_whose_hello_was_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatcher = start(listener.local_addr().unwrap(), "hello_timeout_ms = 5000").await;
    let http = dispatcher.bound_addresses().http.unwrap();
    let first = tokio::spawn(get(http, "/page/1"));
    let mut one = Member::accept(&listener).await;
    one.hello(1).await;
    let id = one.asked().await;
    one.answer(id).await;
    assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));
    drop(one);

    let second = tokio::spawn(served(http, "/page/2"));
    for _ in 0..3 {
        let mut cut = Member::accept(&listener).await;
        let whole = cut.bytes(Frame::Hello(HelloHead {
            incarnation: 2,
            ..Default::default()
        }));
        cut.socket
            .write_all(&whole[..whole.len() - 1])
            .await
            .unwrap();
        cut.socket.shutdown().await.unwrap();
        while let Some(frame) = cut.hear().await {
            assert!(
                !matches!(frame, Frame::Request(..)),
                "sent before the hello"
            );
        }
    }
    let mut whole = Member::accept(&listener).await;
    whole.hello(2).await;
    let id = whole.asked().await;
    whole.answer(id).await;
    second.await.unwrap();
    dispatcher.stop().await;
}

/// One client that takes its answer in drops is given up; the place at the member is free again.
#[tokio::test]
async fn a_client_that_trickles_is_given_up_and_its_attempt_cancelled() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = listener.local_addr().unwrap();
    let text = format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\ndrain_ms = 100\nleast_pace_kb_per_s = 64\n\
         pace_window_ms = 300\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 60000\naim_ms = 50000\n"
    );
    let dispatcher = Dispatcher::start(parse("test", &text).unwrap(), 1)
        .await
        .unwrap();
    let mut client = TcpStream::connect(dispatcher.bound_addresses().http.unwrap())
        .await
        .unwrap();
    client
        .write_all(b"GET /page/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    let mut endpoint = Member::accept(&listener).await;
    let id = endpoint.asked().await;
    endpoint
        .say(Frame::Head(
            id,
            ResponseHead {
                size: Some(1 << 30),
                ..Default::default()
            },
        ))
        .await;
    let mut sent = 0;
    let cancelled = loop {
        // As much as the credit of the stream allows, so that the client is what is waited for.
        if sent < 4 {
            endpoint
                .say(Frame::Data(id, vec![0; MAX_DATA].into()))
                .await;
            sent += 1;
            continue;
        }
        match endpoint.hear().await {
            Some(Frame::Credit(stream, _)) if stream == id => sent -= 2,
            Some(Frame::Cancel(stream, _)) => break stream,
            Some(_) => {}
            None => panic!("the connection to the member must stay"),
        }
    };
    assert_eq!(cancelled, id);
    let mut rest = Vec::new();
    timeout(PATIENCE, client.read_to_end(&mut rest))
        .await
        .expect("cut")
        .ok();
    assert!(rest.len() < 1 << 30);
    dispatcher.stop().await;
}

/// Found on a simulated network: the member broke in the instant in which its head had come and waited to go out with the first
/// bytes, and the connection was closed without a word. The client could not tell whether it had been heard at all.
#[tokio::test]
async fn a_member_that_breaks_behind_its_head_leaves_an_answer_not_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatcher = start(listener.local_addr().unwrap(), "").await;
    let http = dispatcher.bound_addresses().http.unwrap();
    for n in 0..20 {
        let asking = tokio::spawn(async move { get(http, &format!("/page/{n}")).await });
        let mut endpoint = Member::accept(&listener).await;
        endpoint.hello(1).await;
        let id = endpoint.asked().await;
        let head = ResponseHead {
            size: Some(100),
            cache_status: WireCacheStatus::Hit as i32,
            ..Default::default()
        };
        let mut both = endpoint.bytes(Frame::Head(id, head));
        let error = ErrorHead {
            status: WireStatus::Failed as i32,
            may_have_run: true,
            ..Default::default()
        };
        both.extend_from_slice(&endpoint.bytes(Frame::Error(id, error)));
        endpoint.socket.write_all(&both).await.unwrap();
        let told = asking.await.unwrap();
        assert!(
            told.starts_with("HTTP/1.1 502") || told.starts_with("HTTP/1.1 200"),
            "{n}: {told:?}"
        );
        drop(endpoint);
    }
}

/// A member that dies in the middle of a body: the rest comes from another one, from the next byte on and under the same validator; of
/// another version not a byte is joined, and the client sees that its answer is short.
#[tokio::test]
async fn what_is_left_of_a_broken_answer_comes_from_elsewhere_or_not_at_all() {
    for (second, served) in [("\"v1\"", true), ("\"v2\"", false)] {
        let (one, two) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let text = format!(
            "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\ndrain_ms = 100\n[zone b]\ndispatchers = 1\n\
             [member one]\naddress = {}\nkind = cache\nzone = b\nweight = 50\n\
             [member two]\naddress = {}\nkind = cache\nzone = b\nweight = 50\n\
             [member origin]\naddress = 127.0.0.1:1\nkind = origin\nzone = b\nweight = 50\n\
             [class page]\npath_prefix = /page/\ndeadline_ms = 8000\n",
            one.local_addr().unwrap(),
            two.local_addr().unwrap()
        );
        let settings = parse("test", &text).unwrap_or_else(|e| panic!("{e}"));
        let dispatcher = Dispatcher::start(settings, 1).await.unwrap();
        let http = dispatcher.bound_addresses().http.unwrap();
        let asking = tokio::spawn(async move { get(http, "/page/1").await });
        let (mut a, mut b) = (Member::accept(&one).await, Member::accept(&two).await);
        a.hello(1).await;
        b.hello(1).await;
        // Whoever is asked first dies after four bytes of ten.
        let ((id, asked), mut dies, mut lives, door) = tokio::select! {
            asked = a.request() => (asked, a, b, one),
            asked = b.request() => (asked, b, a, two),
        };
        assert_eq!(asked.range, "");
        let head = ResponseHead {
            size: Some(10),
            validator: "\"v1\"".into(),
            cache_status: WireCacheStatus::Hit as i32,
            ..Default::default()
        };
        dies.say(Frame::Head(id, head.clone())).await;
        dies.say(Frame::Data(id, "0123".into())).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        drop((dies, door));
        let (id, asked) = timeout(PATIENCE, lives.request()).await.unwrap();
        assert_eq!(
            (asked.range.as_str(), asked.if_range.as_str()),
            ("bytes=4-9", "\"v1\"")
        );
        let rest = ResponseHead {
            size: Some(6),
            range_first: Some(4),
            complete_size: Some(10),
            validator: second.into(),
            ..head
        };
        lives.say(Frame::Head(id, rest)).await;
        lives.say(Frame::Data(id, "456789".into())).await;
        lives
            .say(Frame::End(
                id,
                EndHead {
                    bytes: 6,
                    load: None,
                },
            ))
            .await;
        let told = asking.await.unwrap();
        assert!(told.starts_with("HTTP/1.1 200"), "{told}");
        assert_eq!(told.ends_with("\r\n\r\n0123456789"), served, "{told}");
        assert_eq!(told.ends_with("\r\n\r\n0123"), !served, "{told}");
    }
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Close,
    Reset,
    HalfClose,
}

/// A client's leaving is seen though it stands behind requests that are not read yet: what is under way is given up, and
/// none of those that wait is sent on.
#[tokio::test]
async fn a_leaving_behind_requests_that_are_not_read_yet_is_seen() {
    for leaves in [Leaves::Close, Leaves::Reset, Leaves::HalfClose] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let text = format!(
            "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\ndrain_ms = 100\n[zone b]\ndispatchers = 1\n\
             [member one]\naddress = {}\nkind = cache\nzone = b\nweight = 50\n\
             [class page]\npath_prefix = /page/\ndeadline_ms = 60000\naim_ms = 50000\n",
            listener.local_addr().unwrap()
        );
        let dispatcher = Dispatcher::start(parse("test", &text).unwrap(), 1)
            .await
            .unwrap();
        let mut client = TcpStream::connect(dispatcher.bound_addresses().http.unwrap())
            .await
            .unwrap();
        let asked: String = (0..31)
            .map(|n| format!("GET /page/{n} HTTP/1.1\r\nHost: a\r\n\r\n"))
            .collect();
        client.write_all(asked.as_bytes()).await.unwrap();
        let mut endpoint = Member::accept(&listener).await;
        let id = endpoint.asked().await;
        let held = match leaves {
            Leaves::Close => None,
            Leaves::Reset => {
                socket2::SockRef::from(&client)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                None
            }
            Leaves::HalfClose => {
                client.shutdown().await.unwrap();
                Some(&client)
            }
        };
        if held.is_none() {
            drop(client);
        }
        let cancelled = loop {
            match endpoint
                .hear()
                .await
                .expect("the connection to the member stays")
            {
                Frame::Cancel(stream, _) => break stream,
                Frame::Request(..) => panic!("{leaves:?}: sent on for a client that has left"),
                Frame::Probe(p) if !p.echo => {
                    endpoint
                        .say(Frame::Probe(ProbeHead { echo: true, ..p }))
                        .await
                }
                _ => {}
            }
        };
        assert_eq!(cancelled, id, "{leaves:?}");
        // What is asked by who is there comes next, and nothing in between.
        let last = tokio::spawn(get(
            dispatcher.bound_addresses().http.unwrap(),
            "/page/last",
        ));
        let (id, head) = endpoint.request().await;
        assert_eq!(
            head.object, "/page/last",
            "{leaves:?}: sent on for a client that has left"
        );
        endpoint.answer(id).await;
        assert!(last.await.unwrap().starts_with("HTTP/1.1 200"));
        dispatcher.stop().await;
    }
}

/// Requests that wait behind a connection which takes nothing begin only where that still holds when it does: those of
/// clients that have left never go out, the others do.
#[tokio::test]
async fn behind_a_member_that_reads_nothing_only_those_begin_whose_clients_are_there() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(16).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(socket.into()).unwrap();
    let text = format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         drain_ms = 100\nmax_streams = 4000\n[upstream]\nmax_streams = 4000\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {}\nkind = cache\nzone = b\nweight = 4000\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 60000\naim_ms = 50000\n",
        listener.local_addr().unwrap()
    );
    let dispatcher = Dispatcher::start(parse("test", &text).unwrap(), 1)
        .await
        .unwrap();
    let bound = dispatcher.bound_addresses();
    let socket = TcpStream::connect(bound.framed.unwrap()).await.unwrap();
    let (clients, _incoming) = FramedConnection::start(
        socket,
        Side::Caller,
        ConnectionOptions { max_streams: 4_000 },
    );
    let long = "x".repeat(12_000);
    let ask = |n: usize| RequestHead {
        object: format!("/page/{n}/{long}"),
        class: "page".into(),
        ..Default::default()
    };
    let calls: Vec<_> = (0..MANY).map(|n| clients.call(ask(n)).unwrap()).collect();
    let metrics = bound.metrics.unwrap();
    let under_way = |text: &str| -> usize {
        let line = text
            .lines()
            .find(|l| l.starts_with("pointspindle_open_requests "))
            .expect("a figure");
        line.rsplit(' ').next().unwrap().parse().unwrap()
    };
    // All are placed: whatever still comes goes behind them.
    until(async || under_way(&get(metrics, "/").await) == MANY).await;
    let mut endpoint = Member::accept(&listener).await;
    // Every second one leaves while nothing is read; that is known once none of them is open any more.
    let stay: Vec<_> = calls.into_iter().step_by(2).collect();
    until(async || under_way(&get(metrics, "/").await) == stay.len()).await;
    let (mut begun, mut cancelled) = (Vec::new(), std::collections::BTreeSet::new());
    let mut left_open = stay.len();
    // What the kernel had taken before the leaving cannot be called back: it is cancelled behind.
    let gone = |n: usize| n & 1 == 1;
    while left_open > 0
        || begun
            .iter()
            .any(|(id, n)| gone(*n) && !cancelled.contains(id))
    {
        match endpoint.hear().await.expect("the connection stays") {
            Frame::Request(id, head) => {
                let n: usize = head.object.split('/').nth(2).unwrap().parse().unwrap();
                begun.push((id, n));
                left_open -= (n & 1 == 0) as usize;
            }
            Frame::Cancel(id, _) => drop(cancelled.insert(id)),
            _ => {}
        }
    }
    // What the kernel took before the leaving has numbers without a gap; behind the first gap nobody's who left goes out.
    let first = begun[0].0;
    let taken = begun
        .iter()
        .zip(first..)
        .take_while(|((id, _), next)| id == next)
        .count();
    let late = begun[taken..].iter().filter(|(_, n)| gone(*n)).count();
    println!(
        "{} of {MANY} requests went out, {taken} of them in the kernel by then",
        begun.len()
    );
    assert_eq!(late, 0, "went out for clients that had left");
    assert!(
        taken < MANY,
        "the kernel's own buffer has to be smaller than all of them"
    );
    dispatcher.stop().await;
}

/// Asks again and again, with a bound.
async fn until(mut is_so: impl AsyncFnMut() -> bool) {
    let asking = async {
        while !is_so().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, asking)
        .await
        .expect("it comes to that in time");
}

/// Requests of [`behind_a_member_that_reads_nothing_only_those_begin_whose_clients_are_there`].
const MANY: usize = 600;
