//! A parent and an edge cache with stores on disk, before an HTTP origin that counts: every byte compared with what the origin gave.
use bytes::{Bytes, BytesMut};
use pointspindle_cache_host::Host;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{
    CallEnd, ConnectionOptions, FramedConnection, Inbound, Network, ResponsePart,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the origin is asked, and how it behaves.
#[derive(Default)]
struct Seen {
    /// By request line.
    asked: BTreeMap<String, u64>,
    confirmed: u64,
    bytes: u64,
    version: u64,
    /// Answers are cut after so many bytes of body.
    cut_after: Option<usize>,
    wait: Duration,
}

fn body(path: &str, version: u64) -> Bytes {
    let len = match path {
        "/video/large" => 3_000_000,
        "/page/empty" => 0,
        _ => 20_000,
    };
    let line = format!("{path} {version}\n");
    line.bytes().cycle().take(len).collect::<Vec<u8>>().into()
}

/// HTTP/1.1 with keep-alive, an entity tag for each version, and a second of freshness for pages.
async fn origin(seen: Arc<Mutex<Seen>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(converse(socket, seen.clone()));
        }
    });
    at
}

async fn converse(mut socket: TcpStream, seen: Arc<Mutex<Seen>>) {
    let mut read = BytesMut::new();
    loop {
        let end = loop {
            if let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") {
                break end + 4;
            }
            if !matches!(socket.read_buf(&mut read).await, Ok(n) if n > 0) {
                return;
            }
        };
        let head = String::from_utf8(read.split_to(end).to_vec()).unwrap();
        let line = head.lines().next().unwrap().to_owned();
        let path = line.split(' ').nth(1).unwrap().to_owned();
        let known = head
            .lines()
            .find_map(|l| l.strip_prefix("if-none-match: "))
            .unwrap_or("")
            .to_owned();
        let (wait, version, cut) = {
            let mut seen = seen.lock().unwrap();
            *seen.asked.entry(line.clone()).or_default() += 1;
            (seen.wait, seen.version, seen.cut_after)
        };
        tokio::time::sleep(wait).await;
        let tag = format!("\"v{version}\"");
        let fresh = if path.starts_with("/page/") {
            "max-age=1"
        } else {
            "max-age=600"
        };
        let fields =
            format!("ETag: {tag}\r\nCache-Control: {fresh}\r\nContent-Type: text/plain\r\n");
        if known == tag {
            seen.lock().unwrap().confirmed += 1;
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
        let sent = &body[..cut.unwrap_or(body.len()).min(body.len())];
        seen.lock().unwrap().bytes += sent.len() as u64;
        if socket.write_all(text.as_bytes()).await.is_err() || socket.write_all(sent).await.is_err()
        {
            return;
        }
        if sent.len() < body.len() {
            return;
        }
    }
}

async fn host(role: &str, store: Option<&Path>, origin: Option<SocketAddr>, more: &str) -> Host {
    let store = store.map_or(String::new(), |path| {
        let path = path.display();
        format!("[store]\npath = {path}\ncapacity_mb = 24\nsegment_mb = 2\nmemory_mb = 1\nsync_ms = 20\nwarm_share = 0.001\n")
    });
    let origin = origin.map_or(String::new(), |at| format!("[origin]\naddress = {at}\n"));
    let text = format!(
        "[cache]\nname = {role}\nrole = {role}\n[listen]\nframed = 127.0.0.1:0\ncontrol = 127.0.0.1:0\ndrain_ms = 2000\n\
         {store}{origin}{more}[class video]\n[class page]\nfresh_ms = 5000\n[class enrol]\nuncacheable = yes\n"
    );
    let settings =
        pointspindle_config::parse_cache_host("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Host::start(settings, Network::Tcp)
        .await
        .unwrap_or_else(|e| panic!("{e}"))
}

async fn link(to: SocketAddr) -> FramedConnection {
    over(TcpStream::connect(to).await.unwrap())
}

fn over(socket: TcpStream) -> FramedConnection {
    let (link, mut incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    tokio::spawn(async move { while incoming.next().await.is_some() {} });
    link
}

fn ask(object: &str, source: &str) -> RequestHead {
    let class = object.split('/').nth(1).unwrap().to_owned();
    let fetch = FetchHead {
        source: source.into(),
        retention_rank: 2,
        coalesce: true,
        ..Default::default()
    };
    let left_us = 8_000_000;
    RequestHead {
        object: object.into(),
        class,
        time_left_us: left_us,
        fetch: Some(fetch),
        ..Default::default()
    }
}

async fn get(
    link: &FramedConnection,
    asked: RequestHead,
) -> Result<(ResponseHead, Bytes), ErrorHead> {
    let mut call = link.call(asked).unwrap();
    let (mut head, mut got) = (None, BytesMut::new());
    loop {
        match tokio::time::timeout(Duration::from_secs(10), call.next())
            .await
            .expect("in time")
            .unwrap()
        {
            ResponsePart::Head(h) => head = Some(h),
            ResponsePart::Data(data) => got.extend_from_slice(&data),
            ResponsePart::End(CallEnd::Complete(_)) => return Ok((head.unwrap(), got.freeze())),
            ResponsePart::End(CallEnd::Error(e)) => return Err(e),
            ResponsePart::End(CallEnd::Broken(why)) => panic!("{why}"),
            ResponsePart::End(CallEnd::NotSent) => panic!("nothing of it was sent"),
        }
    }
}

async fn purge(at: SocketAddr, head: PurgeHead) {
    let socket = TcpStream::connect(at).await.unwrap();
    let (link, mut incoming) =
        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
    link.control(Frame::Purge(head)).await.unwrap();
    match incoming.next().await.unwrap() {
        Inbound::Control(Frame::Ack(ack)) => assert_eq!(ack.rejection, ""),
        other => panic!("{other:?}"),
    }
}

struct Fleet {
    seen: Arc<Mutex<Seen>>,
    parent: Host,
    edge: Host,
    origin: SocketAddr,
    folder: tempfile::TempDir,
}

impl Fleet {
    async fn start(more: &str) -> Self {
        let seen = Arc::new(Mutex::new(Seen {
            version: 1,
            ..Seen::default()
        }));
        let origin = origin(seen.clone()).await;
        let folder = tempfile::tempdir().unwrap();
        let parent = host(
            "parent",
            Some(&folder.path().join("parent")),
            Some(origin),
            "",
        )
        .await;
        let edge = host("cache", Some(&folder.path().join("edge")), None, more).await;
        Self {
            seen,
            parent,
            edge,
            origin,
            folder,
        }
    }

    fn source(&self) -> String {
        self.parent.bound().framed.to_string()
    }

    fn asked(&self, line: &str) -> u64 {
        let line = format!("{line} HTTP/1.1");
        self.seen
            .lock()
            .unwrap()
            .asked
            .get(&line)
            .copied()
            .unwrap_or(0)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_object_is_filled_once_through_both_tiers_and_then_held() {
    let fleet = Fleet::start("").await;
    let edge = link(fleet.edge.bound().framed).await;
    let source = fleet.source();
    // Ten at once: one question at the origin.
    let asking = (0..10).map(|_| {
        let (edge, asked) = (edge.clone(), ask("/video/large", &source));
        tokio::spawn(async move { get(&edge, asked).await.unwrap() })
    });
    for asked in asking.collect::<Vec<_>>() {
        let (head, got) = asked.await.unwrap();
        assert!(
            got == body("/video/large", 1),
            "{head:?}: {} bytes",
            got.len()
        );
    }
    assert_eq!(fleet.asked("GET /video/large"), 1);
    let (head, got) = get(&edge, ask("/video/large", &source)).await.unwrap();
    assert!(head.cache_status() == WireCacheStatus::Hit && got == body("/video/large", 1));

    // Ranges of what is held, and of what is filled; RFC 9110, 14.
    for object in ["/video/large", "/video/other"] {
        let whole = body(object, 1);
        let size = whole.len() as u64;
        for (range, from, to) in [
            ("bytes=0-0".to_owned(), 0, 1),
            ("bytes=9000-9002".to_owned(), 9_000, 9_003),
            (format!("bytes=65535-{}", 65_537), 65_535, 65_538),
            (format!("bytes={}-", size - 3), size - 3, size),
            ("bytes=-5".to_owned(), size - 5, size),
        ] {
            if from >= size {
                continue;
            }
            let asked = RequestHead {
                range: range.clone(),
                ..ask(object, &source)
            };
            let (head, got) = get(&edge, asked).await.unwrap();
            assert_eq!(
                (head.range_first, head.complete_size),
                (Some(from), Some(size)),
                "{object} {range}"
            );
            assert_eq!(
                got,
                whole.slice(from as usize..to as usize),
                "{object} {range}"
            );
        }
        let beyond = RequestHead {
            range: format!("bytes={size}-"),
            ..ask(object, &source)
        };
        let (head, got) = get(&edge, beyond).await.unwrap();
        assert!(head.unsatisfiable && got.is_empty());
        let other = RequestHead {
            range: "bytes=0-0".into(),
            if_range: "\"v9\"".into(),
            ..ask(object, &source)
        };
        assert_eq!(
            get(&edge, other).await.unwrap().1,
            whole,
            "another validator: the whole"
        );
    }
    let known = RequestHead {
        if_none_match: "\"v1\"".into(),
        ..ask("/video/large", &source)
    };
    let (head, got) = get(&edge, known).await.unwrap();
    assert!(head.not_modified && got.is_empty());
    let empty = get(&edge, ask("/page/empty", &source)).await.unwrap();
    assert_eq!((empty.0.size, empty.1.len()), (Some(0), 0));
    let head_only = RequestHead {
        head_only: true,
        ..ask("/video/large", &source)
    };
    let (head, got) = get(&edge, head_only).await.unwrap();
    assert_eq!((head.size, got.len()), (Some(3_000_000), 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_copies_are_served_and_renewed_behind_with_few_bytes() {
    let fleet = Fleet::start("").await;
    let edge = link(fleet.edge.bound().framed).await;
    let source = fleet.source();
    get(&edge, ask("/page/a", &source)).await.unwrap();
    let before = fleet.seen.lock().unwrap().bytes;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    // Past its second at the origin, within the grace that the dispatcher allows.
    let old = |renew| {
        let mut asked = ask("/page/a", &source);
        asked.fetch.as_mut().unwrap().max_age_us = 60_000_000;
        asked.fetch.as_mut().unwrap().revalidate = renew;
        asked
    };
    let (head, got) = get(&edge, old(true)).await.unwrap();
    assert!(
        head.cache_status() == WireCacheStatus::Stale && got == body("/page/a", 1),
        "{head:?}"
    );
    // Confirmed by the origin, through the parent whose copy was as old.
    let mut rounds = 0;
    while fleet.edge.counts().renewed == 0 {
        get(&edge, old(true)).await.unwrap();
        rounds += 1;
        assert!(rounds < 300, "never renewed: {:?}", fleet.edge.counts());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (head, got) = get(&edge, old(false)).await.unwrap();
    assert!(
        got == body("/page/a", 1) && head.age_us < 3_000_000,
        "{head:?}"
    );
    let seen = fleet.seen.lock().unwrap();
    assert!(
        seen.confirmed >= 1 && seen.bytes == before,
        "{} confirmed, {} bytes",
        seen.confirmed,
        seen.bytes
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_purge_is_kept_also_by_a_fill_that_was_under_way_and_over_a_restart() {
    let fleet = Fleet::start("").await;
    let edge = link(fleet.edge.bound().framed).await;
    let source = fleet.source();
    get(&edge, ask("/video/a", &source)).await.unwrap();
    // A fill that takes the old version before the purge, and ends after it.
    fleet.seen.lock().unwrap().wait = Duration::from_millis(300);
    let (slow, asked) = (edge.clone(), ask("/video/b", &source));
    let filling = tokio::spawn(async move { get(&slow, asked).await });
    while fleet.asked("GET /video/b") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for at in [fleet.parent.bound().control, fleet.edge.bound().control] {
        for object in ["/video/a", "/video/b"] {
            purge(
                at.unwrap(),
                PurgeHead {
                    object: Some(object.into()),
                    ..Default::default()
                },
            )
            .await;
        }
    }
    fleet.seen.lock().unwrap().version = 2;
    filling.await.unwrap().unwrap();
    fleet.seen.lock().unwrap().wait = Duration::ZERO;
    for object in ["/video/a", "/video/b"] {
        let (head, got) = get(&edge, ask(object, &source)).await.unwrap();
        assert!(got == body(object, 2), "{object}: {head:?}");
    }
    // A restart comes back with its store, tells so, and what was purged stays away.
    let Fleet {
        edge: old, folder, ..
    } = fleet;
    assert!(old.is_cold(), "its first start was an empty one");
    edge.close("done");
    assert!(old.stop().await, "drained");
    let again = host("cache", Some(&folder.path().join("edge")), None, "").await;
    assert!(!again.is_cold());
    let edge = link(again.bound().framed).await;
    for object in ["/video/a", "/video/b"] {
        let (head, got) = get(&edge, ask(object, "127.0.0.1:1")).await.unwrap();
        assert!(
            head.cache_status() == WireCacheStatus::Hit && got == body(object, 2),
            "{object}: {head:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failures_say_whose_they_are_and_leave_nothing_half_held() {
    let fleet = Fleet::start("[fills]\nplaces = 1\nqueue = 1\n").await;
    let edge = link(fleet.edge.bound().framed).await;
    let source = fleet.source();
    let dead = get(&edge, ask("/video/x", "127.0.0.1:1"))
        .await
        .unwrap_err();
    assert_eq!(
        (dead.cache_status(), dead.may_have_run),
        (WireCacheStatus::SourceUnreachable, false)
    );
    fleet.seen.lock().unwrap().cut_after = Some(10_000);
    let cut = get(&edge, ask("/video/x", &source)).await.unwrap_err();
    assert!(
        cut.may_have_run && cut.cache_status() == WireCacheStatus::OriginFailed,
        "{cut:?}"
    );
    let mut held = ask("/video/x", &source);
    held.fetch.as_mut().unwrap().only_if_cached = true;
    let lacks = get(&edge, held).await.unwrap_err();
    assert_eq!(
        lacks.cache_status(),
        WireCacheStatus::SourceMiss,
        "half an answer is not held"
    );
    let plain = RequestHead {
        fetch: None,
        ..ask("/video/x", "")
    };
    assert_eq!(
        get(&edge, plain).await.unwrap_err().status(),
        WireStatus::Miss
    );
    let odd = RequestHead {
        class: "odd".into(),
        ..ask("/video/x", "")
    };
    assert!(get(&edge, odd).await.unwrap_err().detail.contains("odd"));

    // One fill and one that waits; the third is told at once, and the line moves on.
    fleet.seen.lock().unwrap().cut_after = None;
    fleet.seen.lock().unwrap().wait = Duration::from_millis(200);
    let asking: Vec<_> = ["/video/1", "/video/2", "/video/3"]
        .map(|object| {
            let (edge, asked) = (edge.clone(), ask(object, &source));
            tokio::spawn(async move { get(&edge, asked).await })
        })
        .into();
    let mut full = 0;
    for asked in asking {
        match asked.await.unwrap() {
            Ok((_, got)) => assert_eq!(got.len(), 20_000),
            Err(e) => {
                assert_eq!(
                    (e.status(), e.cache_status()),
                    (WireStatus::Rejected, WireCacheStatus::FillLimitReached)
                );
                full += 1;
            }
        }
    }
    assert_eq!(full, 1);
    // What must run is passed on, each time, and never kept.
    let gateway = host("origin", None, Some(fleet.origin), "").await;
    let gate = link(gateway.bound().framed).await;
    for _ in 0..2 {
        let run = RequestHead {
            idempotency_key: "k1".into(),
            fetch: None,
            ..ask("/enrol/1", "")
        };
        assert_eq!(get(&gate, run).await.unwrap().1, body("/enrol/1", 1));
    }
    assert_eq!(fleet.asked("POST /enrol/1"), 2);
    // A cache host beside the origin: filled where the origin is named, and not where it is only asked for what it holds.
    let near = host(
        "cache",
        Some(&fleet.folder.path().join("near")),
        Some(fleet.origin),
        "",
    )
    .await;
    let near = link(near.bound().framed).await;
    let look = ask("/video/near", "");
    assert_eq!(
        get(&near, look).await.unwrap_err().status(),
        WireStatus::Miss
    );
    let named = ask("/video/near", &fleet.origin.to_string());
    assert_eq!(get(&near, named).await.unwrap().1, body("/video/near", 1));
}

/// Connections that wait in the queue as the host is told to stop: what is asked on them is answered.
#[tokio::test]
async fn what_waits_in_the_queue_of_a_host_that_stops_is_answered() {
    let origin = origin(Arc::default()).await;
    let gateway = host("origin", None, Some(origin), "").await;
    // Blocking, on the runtime's one thread: none of them is accepted meanwhile.
    let queued: Vec<std::net::TcpStream> = (0..16)
        .map(|_| std::net::TcpStream::connect(gateway.bound().framed).unwrap())
        .collect();
    let mut asking = tokio::task::JoinSet::new();
    for socket in queued {
        socket.set_nonblocking(true).unwrap();
        let link = over(TcpStream::from_std(socket).unwrap());
        asking.spawn(async move {
            get(
                &link,
                RequestHead {
                    idempotency_key: "k1".into(),
                    fetch: None,
                    ..ask("/enrol/1", "")
                },
            )
            .await
        });
    }
    // Told before any of the tasks above runs.
    let stopped = tokio::spawn(gateway.stop());
    while let Some(asked) = asking.join_next().await {
        let asked = asked.unwrap();
        assert!(asked.is_ok(), "{asked:?}");
    }
    assert!(stopped.await.unwrap());
}
