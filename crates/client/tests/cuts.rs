//! Thousands of calls to real dispatchers over connections that are cut, or fall silent, at seeded places: each has one
//! outcome, each served body is right, and members never saw two live attempts of one call, nor unsafe work twice.
use bytes::Bytes;
use pointspindle_client::{Client, Outcome, Piece, Request, RetryRules};
use pointspindle_dispatcher::Dispatcher;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound, Responder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Two attempts of one call that live together for longer than this are two live attempts; less is a cancel on its way.
const TOGETHER: Duration = Duration::from_millis(120);

/// From when to when an attempt lived; none: it still does.
type Span = (Instant, Option<Instant>);

/// What members saw: spans of attempts by the call's name, and how often unsafe work was done.
#[derive(Default)]
struct Seen {
    spans: Mutex<HashMap<String, Vec<Span>>>,
    done: Mutex<HashMap<String, u32>>,
}

impl Seen {
    fn began(&self, call: &str) -> usize {
        let mut spans = self.spans.lock().unwrap();
        let of = spans.entry(call.to_owned()).or_default();
        of.push((Instant::now(), None));
        of.len() - 1
    }

    fn ended(&self, call: &str, n: usize) {
        self.spans.lock().unwrap().get_mut(call).unwrap()[n].1 = Some(Instant::now());
    }

    /// The longest that two attempts of one call lived together.
    fn together(&self) -> Duration {
        together(self.spans.lock().unwrap().values().map(|v| &v[..]))
    }
}

fn together<'a>(calls: impl Iterator<Item = &'a [Span]>) -> Duration {
    let now = Instant::now();
    let mut most = Duration::ZERO;
    for spans in calls {
        for (n, a) in spans.iter().enumerate() {
            for b in &spans[n + 1..] {
                let from = a.0.max(b.0);
                let to = a.1.unwrap_or(now).min(b.1.unwrap_or(now));
                most = most.max(to.saturating_duration_since(from));
            }
        }
    }
    most
}

/// A check that cannot fail would show nothing.
#[test]
fn two_attempts_that_live_together_are_seen() {
    let t = |ms| Instant::now() + Duration::from_millis(ms);
    let apart = [(t(0), Some(t(10))), (t(10), Some(t(400)))];
    let both = [(t(0), Some(t(300))), (t(100), Some(t(400)))];
    assert!(together([&apart[..]].into_iter()) < Duration::from_millis(5));
    assert!(together([&apart[..], &both[..]].into_iter()) > Duration::from_millis(190));
}

/// Bytes of an object, by its name alone.
fn content(object: &str) -> Bytes {
    let number: usize = object
        .rsplit('/')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let len = [0, 1, 700, 9_000, 70_000][number % 5];
    (0..len)
        .map(|n| ((n * 31 + number) % 251) as u8)
        .collect::<Vec<u8>>()
        .into()
}

async fn member(seen: Arc<Seen>, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let dice = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let (seen, dice) = (seen.clone(), dice.clone());
            tokio::spawn(async move {
                let (_link, mut incoming) = FramedConnection::start(
                    socket,
                    Side::Answerer,
                    ConnectionOptions { max_streams: 8192 },
                );
                while let Some(inbound) = incoming.next().await {
                    let Inbound::Request(head, responder) = inbound else {
                        continue;
                    };
                    // Some are so slow that a second attempt would meet the first.
                    let wait = match dice.lock().unwrap().gen_range(0..20) {
                        0 => 500,
                        n => n / 2,
                    };
                    tokio::spawn(answer(
                        seen.clone(),
                        head,
                        responder,
                        Duration::from_millis(wait),
                    ));
                }
            });
        }
    });
    at
}

async fn answer(seen: Arc<Seen>, head: RequestHead, mut responder: Responder, wait: Duration) {
    let n = seen.began(&head.trace);
    if head.class == "unsafe" {
        *seen
            .done
            .lock()
            .unwrap()
            .entry(head.trace.clone())
            .or_default() += 1;
    }
    let body = content(&head.object);
    // A cancel ends it at once, as at a real member.
    let gone = tokio::select! {
        () = responder.cancelled() => true,
        () = tokio::time::sleep(wait) => false,
    };
    if !gone {
        let size = Some(body.len() as u64);
        let answer = ResponseHead {
            size,
            cache_status: WireCacheStatus::Hit as i32,
            ..Default::default()
        };
        if responder.head(answer).await.is_ok() && responder.data(body).await.is_ok() {
            let _ = responder.end(None).await;
        }
    }
    seen.ended(&head.trace, n);
}

async fn dispatcher(members: [SocketAddr; 3], number: usize) -> Dispatcher {
    let [one, two, origin] = members;
    let text = format!(
        "[dispatcher]\nzone = b\nnumber = {number}\ncount = 2\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\n\
         drain_ms = 100\nclient_lease_ms = 200\n[zone b]\ndispatchers = 2\n\
         [member one]\naddress = {one}\nkind = cache\nzone = b\nweight = 500\n\
         [member two]\naddress = {two}\nkind = cache\nzone = b\nweight = 500\n\
         [member origin]\naddress = {origin}\nkind = origin\nzone = b\nweight = 500\n\
         [class page]\npath_prefix = /\ndeadline_ms = 8000\naim_ms = 6000\n\
         [class keyed]\nuncacheable = yes\nrepeat = keyed\nkey_window_ms = 4000\ndeadline_ms = 8000\naim_ms = 6000\n\
         [class unsafe]\nuncacheable = yes\nrepeat = unsafe\ndeadline_ms = 8000\naim_ms = 6000\n"
    );
    let settings = pointspindle_config::parse("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::start(settings, number as u64).await.unwrap()
}

/// Passes bytes on and cuts each connection after a seeded number of them: both ends closed, or both left in silence.
async fn relay(to: SocketAddr, seed: u64, cuts: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut dice = StdRng::seed_from_u64(seed);
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(to).await else {
                continue;
            };
            let (after, silent) = (dice.gen_range(1..1_200_000_u64), dice.gen::<f64>() < 0.3);
            let cuts = cuts.clone();
            tokio::spawn(async move {
                let left = AtomicU64::new(after);
                let (mut cr, mut cw) = client.into_split();
                let (mut sr, mut sw) = server.into_split();
                let over = tokio::select! {
                    over = pass(&mut cr, &mut sw, &left) => over,
                    over = pass(&mut sr, &mut cw, &left) => over,
                };
                if over {
                    cuts.fetch_add(1, Ordering::Relaxed);
                    if silent {
                        // Longer than any call waits.
                        tokio::time::sleep(Duration::from_secs(10)).await;
                    }
                }
            });
        }
    });
    at
}

/// True when the bytes are used up.
async fn pass(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    left: &AtomicU64,
) -> bool {
    let mut buffer = vec![0; 8 * 1024];
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            return false;
        };
        let may = left.load(Ordering::Relaxed).min(read as u64);
        if to.write_all(&buffer[..may as usize]).await.is_err() {
            return false;
        }
        if left.fetch_sub(may, Ordering::Relaxed) == may {
            return true;
        }
    }
}

#[derive(Default)]
struct Count {
    served: u64,
    refused: u64,
    failed: u64,
    tries: u64,
}

async fn play(framed: bool, calls: u64, seed: u64) {
    println!("framed: {framed}, {calls} calls, seed {seed}");
    let seen = Arc::new(Seen::default());
    let mut members = Vec::new();
    for n in 0..3 {
        members.push(member(seen.clone(), seed + n).await);
    }
    let members = [members[0], members[1], members[2]];
    let (one, two) = (dispatcher(members, 0).await, dispatcher(members, 1).await);
    let cuts = Arc::new(AtomicU64::new(0));
    let mut doors = Vec::new();
    for (n, d) in [&one, &two].into_iter().enumerate() {
        let to = if framed {
            d.bound_addresses().framed
        } else {
            d.bound_addresses().http
        };
        doors.push(relay(to.unwrap(), seed + 10 + n as u64, cuts.clone()).await);
    }
    // Hard on purpose: the budget is another test's.
    let rules = RetryRules {
        share: 2.0,
        saved: 1e6,
        silent: 8,
        ..RetryRules::default()
    };
    let builder = Client::builder().retries(rules).seed(seed);
    let client = if framed {
        builder.framed(doors)
    } else {
        builder.http(doors)
    }
    .build()
    .unwrap();
    let (mut running, mut sum) = (JoinSet::new(), Count::default());
    let mut add = |(outcome, tries): (Outcome, u32)| {
        sum.tries += u64::from(tries);
        match outcome {
            Outcome::Served => sum.served += 1,
            Outcome::Refused { .. } => sum.refused += 1,
            Outcome::Failed { .. } => sum.failed += 1,
        }
    };
    for n in 0..calls {
        let name = format!("call-{n}");
        let deadline = Duration::from_secs(3);
        let request = Request {
            trace: name.clone(),
            ..Request::get(format!("/o/{n}"), "page", deadline)
        };
        let request = match n % 10 {
            0 if framed => Request {
                class: "keyed".into(),
                ..request
            }
            .keyed(name, Duration::from_secs(3)),
            1 if framed => Request {
                class: "unsafe".into(),
                ..request
            }
            .unsafe_to_repeat(),
            _ => request,
        };
        let client = client.clone();
        running.spawn(async move {
            let object = request.object.clone();
            let began = Instant::now();
            let mut call = client.call(request).unwrap();
            let (mut body, mut outcome) = (Vec::new(), None);
            while let Some(piece) = call.next().await {
                assert!(outcome.is_none(), "something came after the outcome");
                match piece {
                    Piece::Head(_) => assert!(body.is_empty(), "a second head"),
                    Piece::Data(data) => body.extend_from_slice(&data),
                    Piece::End(end) => outcome = Some(end),
                }
            }
            assert!(
                began.elapsed() < Duration::from_secs(6),
                "long after its deadline"
            );
            let outcome = outcome.expect("a call has an outcome");
            if outcome == Outcome::Served {
                assert!(
                    body == content(&object),
                    "{object}: {} bytes, not its own",
                    body.len()
                );
            }
            (outcome, call.tries())
        });
        while running.len() >= 48 {
            add(running.join_next().await.unwrap().unwrap());
        }
    }
    while let Some(done) = running.join_next().await {
        add(done.unwrap());
    }
    let cut = cuts.load(Ordering::Relaxed);
    println!(
        "{} served, {} refused, {} failed, {} tries, {cut} cuts, {:?} together at most",
        sum.served,
        sum.refused,
        sum.failed,
        sum.tries,
        seen.together()
    );
    assert_eq!(sum.served + sum.refused + sum.failed, calls);
    assert!(cut > 50, "{cut} cuts");
    assert!(
        sum.served * 10 > calls * 8,
        "{} of {calls} served",
        sum.served
    );
    assert!(
        seen.together() < TOGETHER,
        "two live attempts for {:?}",
        seen.together()
    );
    let twice = seen
        .done
        .lock()
        .unwrap()
        .values()
        .filter(|n| **n > 1)
        .count();
    assert_eq!(twice, 0, "unsafe work done twice");
    one.stop().await;
    two.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn framed_calls_over_connections_that_are_cut() {
    play(true, 7_000, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http_calls_over_connections_that_are_cut() {
    play(false, 3_000, 2).await;
}
