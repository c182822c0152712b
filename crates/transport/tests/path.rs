//! Bytes on their way: cut anywhere, of awkward sizes, to a peer that reads slowly or stops.
use bytes::{Bytes, BytesMut};
use pointspindle_protocol::streams::*;
use pointspindle_protocol::*;
use pointspindle_transport::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Encoder;

async fn sockets() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (here, there) = tokio::join!(TcpStream::connect(to), listener.accept());
    (here.unwrap(), there.unwrap().0)
}

fn ask(object: &str) -> RequestHead {
    RequestHead {
        object: object.into(),
        ..Default::default()
    }
}

fn content(len: usize) -> Bytes {
    (0..len)
        .map(|n| (n % 251) as u8)
        .collect::<Vec<u8>>()
        .into()
}

async fn whole(call: &mut Call) -> (BytesMut, Option<CallEnd>) {
    let mut body = BytesMut::new();
    while let Some(part) = call.next().await {
        match part {
            ResponsePart::Head(_) => {}
            ResponsePart::Data(data) => body.extend_from_slice(&data),
            ResponsePart::End(end) => return (body, Some(end)),
        }
    }
    (body, None)
}

/// Sizes about a frame's most, and bodies of one byte a frame, in reads cut as a small generator likes.
#[tokio::test]
async fn any_cutting_of_the_bytes_gives_the_same_answers() {
    let sizes = [0, 1, 8_191, 8_192, 65_535, 65_536, 65_537, 200_000];
    for seed in 1..=4_u64 {
        println!("seed {seed}");
        let (here, mut peer) = sockets().await;
        let (link, _incoming) =
            FramedConnection::start(here, Side::Caller, ConnectionOptions::default());
        let mut calls: Vec<Call> = sizes
            .iter()
            .map(|n| link.call(ask(&n.to_string())).unwrap())
            .collect();
        let mut bytes = BytesMut::new();
        let mut codec = FrameCodec::default();
        let mut put = |frame| codec.encode(frame, &mut bytes).unwrap();
        for (n, size) in sizes.iter().enumerate() {
            let id = n as u32 + 1;
            put(Frame::Head(
                id,
                ResponseHead {
                    size: Some(*size as u64),
                    ..Default::default()
                },
            ));
            let piece = if *size == 8_191 { 1 } else { MAX_DATA };
            for part in content(*size).chunks(piece) {
                put(Frame::Data(id, Bytes::copy_from_slice(part)));
            }
            put(Frame::End(
                id,
                EndHead {
                    bytes: *size as u64,
                    load: None,
                },
            ));
        }
        let writing = tokio::spawn(async move {
            let (mut dice, mut at) = (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15), 0);
            while at < bytes.len() {
                dice ^= dice << 13;
                dice ^= dice >> 7;
                dice ^= dice << 17;
                let most = [3, 700, 9_000, 90_000][(dice >> 60) as usize % 4];
                let step = (1 + (dice >> 20) as usize % most).min(bytes.len() - at);
                peer.write_all(&bytes[at..at + step]).await.unwrap();
                at += step;
                tokio::task::yield_now().await;
            }
            peer
        });
        for (call, size) in calls.iter_mut().zip(sizes) {
            let (body, end) = whole(call).await;
            assert!(body == content(size), "{size}: {} bytes came", body.len());
            assert!(matches!(end, Some(CallEnd::Complete(_))), "{size}: {end:?}");
        }
        drop(writing.await);
    }
}

/// The same through both halves: heads, bodies and ends written by their senders, some while the socket is full.
#[tokio::test]
async fn answers_are_whole_and_in_order_when_many_send_at_once() {
    let (here, there) = sockets().await;
    let (caller, _) = FramedConnection::start(here, Side::Caller, ConnectionOptions::default());
    let (_answerer, mut incoming) =
        FramedConnection::start(there, Side::Answerer, ConnectionOptions::default());
    tokio::spawn(async move {
        while let Some(Inbound::Request(head, mut responder)) = incoming.next().await {
            tokio::spawn(async move {
                let size: usize = head.object.parse().unwrap();
                responder
                    .head(ResponseHead {
                        size: Some(size as u64),
                        ..Default::default()
                    })
                    .await
                    .unwrap();
                responder.data(content(size)).await.unwrap();
                responder.end(None).await.unwrap();
            });
        }
    });
    let mut reading = tokio::task::JoinSet::new();
    for n in 0..48 {
        let size = [0, 1, 500, 65_536, 65_537, 900_000][n % 6];
        let mut call = caller.call(ask(&size.to_string())).unwrap();
        reading.spawn(async move {
            let (body, end) = whole(&mut call).await;
            assert!(
                body == content(size) && matches!(end, Some(CallEnd::Complete(_))),
                "{size}: {end:?}"
            );
        });
    }
    while let Some(done) = reading.join_next().await {
        done.unwrap();
    }
}

/// A peer that stops reading holds the sender up, not memory; once it reads again everything comes.
#[tokio::test]
async fn a_peer_that_stops_reading_bounds_what_waits_for_it() {
    let (here, mut peer) = sockets().await;
    let (link, _incoming) =
        FramedConnection::start(here, Side::Caller, ConnectionOptions::default());
    const FRAMES: u64 = 2_000;
    let probe = |token| {
        Frame::Probe(ProbeHead {
            token,
            echo: false,
            load: None,
        })
    };
    let sent = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let (counted, sender) = (sent.clone(), link.clone());
    // Each of some 16 KB: far more than socket buffers and the writer's bound together.
    let big = |token| {
        Frame::Purge(PurgeHead {
            object: Some("x".repeat(16_000)),
            group: token,
            ..Default::default()
        })
    };
    let sending = tokio::spawn(async move {
        for n in 0..FRAMES {
            sender.control(big(n)).await.unwrap();
            counted.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
        sender.control(probe(7)).await.unwrap();
    });
    // Until nothing moves any more.
    let mut last = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = sent.load(std::sync::atomic::Ordering::Relaxed);
        if now == last && now > 0 {
            break;
        }
        last = now;
    }
    assert!(
        last < FRAMES,
        "all {FRAMES} frames were taken though nobody reads"
    );
    let mut bytes = 0;
    let mut buffer = vec![0; 1 << 20];
    let reading = async {
        while !sending.is_finished() || bytes < FRAMES as usize * 16_000 {
            bytes += peer.read(&mut buffer).await.unwrap();
        }
    };
    tokio::time::timeout(Duration::from_secs(20), reading)
        .await
        .expect("it goes on");
}

/// Held over all connections is what was read and not yet taken, and it goes down by whatever way it goes. In a crowd the
/// windows are small: a reader that stops holds a quarter, and one that goes on is never stalled.
#[tokio::test]
async fn bytes_are_counted_over_connections_and_a_crowd_has_small_windows() {
    // Always a crowd.
    let crowd = BufferMeter::new(0);
    let mut links = Vec::new();
    for _ in 0..2 {
        let (here, there) = sockets().await;
        let (link, incoming) = FramedConnection::start_metered(
            here,
            Side::Caller,
            ConnectionOptions::default(),
            crowd.clone(),
        );
        let (answerer, mut asked) =
            FramedConnection::start(there, Side::Answerer, ConnectionOptions::default());
        tokio::spawn(async move {
            let _answerer = answerer;
            while let Some(Inbound::Request(_, mut responder)) = asked.next().await {
                tokio::spawn(async move {
                    let _ = responder.head(ResponseHead::default()).await;
                    if responder.data(content(3 << 20)).await.is_ok() {
                        let _ = responder.end(None).await;
                    }
                });
            }
        });
        links.push((link, incoming));
    }
    let mut calls: Vec<Call> = links
        .iter()
        .map(|(link, _)| link.call(ask("large")).unwrap())
        .collect();
    let mut stopped = links[0].0.call(ask("large")).unwrap();
    for call in &mut calls {
        let (body, end) = whole(call).await;
        assert_eq!(body.len(), 3 << 20);
        assert!(matches!(end, Some(CallEnd::Complete(_))), "{end:?}");
    }
    // Half a megabyte taken, then nothing more.
    let mut taken = 0;
    while taken < 512 * 1024 {
        if let Some(ResponsePart::Data(data)) = stopped.next().await {
            taken += data.len();
        }
    }
    // All that may come has come when the peer's credit is used up.
    let most = u64::from(CROWDED_WINDOW) * 3 / 2;
    tokio::time::timeout(Duration::from_secs(10), async {
        while crowd.buffered_bytes() < u64::from(CROWDED_WINDOW) / 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await
    .expect("it reads ahead");
    assert!(
        crowd.buffered_bytes() <= most,
        "{} bytes held by one that stopped",
        crowd.buffered_bytes()
    );
    drop(stopped);
    tokio::time::timeout(Duration::from_secs(10), async {
        while crowd.buffered_bytes() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await
    .expect("what was dropped unread is given back");
}

/// A peer that was cut off, not dead, reads on later: what was given up meanwhile may run elsewhere by then, and must not reach it.
#[tokio::test]
async fn what_a_given_up_connection_still_held_never_reaches_its_peer() {
    for given_up in [false, true] {
        let (socket, mut peer) = sockets().await;
        let (link, incoming) = FramedConnection::start(
            socket,
            Side::Caller,
            ConnectionOptions { max_streams: 8192 },
        );
        let trace = "t".repeat(1_000);
        let head = || RequestHead {
            object: "/a".into(),
            trace: trace.clone(),
            ..Default::default()
        };
        // More than the buffers of both kernels take, so that some of it waits on this side.
        let calls: Vec<_> = (0..8_000).map(|_| link.call(head()).unwrap()).collect();
        if given_up {
            link.abort("no sign of life");
        } else {
            link.close("done");
        }
        link.flushed().await;
        drop((calls, link, incoming));
        let mut got = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(10), peer.read_to_end(&mut got));
        let reset = read.await.expect("it ends").is_err();
        assert_eq!(reset, given_up, "{} bytes came", got.len());
    }
}
