//! Transfer of bodies: segmentation by the network, sizes at the limits of a frame, peers that read slowly or stop reading.
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
    let (caller_socket, answerer_socket) = tokio::join!(TcpStream::connect(to), listener.accept());
    (caller_socket.unwrap(), answerer_socket.unwrap().0)
}

fn request(object: &str) -> RequestHead {
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

async fn read_response(call: &mut Call) -> (BytesMut, Option<CallEnd>) {
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

/// Encodes one response for each size, on streams from 1 on. The body of 8191 bytes is sent in frames of one byte.
fn encode_responses(sizes: &[usize]) -> BytesMut {
    let mut bytes = BytesMut::new();
    let mut codec = FrameCodec::default();
    let mut put = |frame| codec.encode(frame, &mut bytes).unwrap();
    for (id, size) in (1..).zip(sizes) {
        let head = ResponseHead {
            size: Some(*size as u64),
            ..Default::default()
        };
        put(Frame::Head(id, head));
        let frame_size = if *size == 8_191 { 1 } else { MAX_DATA_PAYLOAD };
        for part in content(*size).chunks(frame_size) {
            put(Frame::Data(id, Bytes::copy_from_slice(part)));
        }
        let end = EndHead {
            bytes: *size as u64,
            load: None,
        };
        put(Frame::End(id, end));
    }
    bytes
}

/// Writes bytes in segments of random size. Returns the socket, so that the connection stays open.
async fn write_segments(mut peer: TcpStream, bytes: BytesMut, seed: u64) -> TcpStream {
    let mut rng = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut at = 0;
    while at < bytes.len() {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        let max_step = [3, 700, 9_000, 90_000][(rng >> 60) as usize % 4];
        let step = (1 + (rng >> 20) as usize % max_step).min(bytes.len() - at);
        peer.write_all(&bytes[at..at + step]).await.unwrap();
        at += step;
        tokio::task::yield_now().await;
    }
    peer
}

/// Covers sizes around the limit of a frame and a body in frames of one byte. Guards against decoding errors at segment
/// boundaries.
#[tokio::test]
async fn responses_are_equal_for_any_segmentation() {
    let sizes = [0, 1, 8_191, 8_192, 65_535, 65_536, 65_537, 200_000];
    for seed in 1..=4_u64 {
        println!("seed {seed}");
        let (caller_socket, peer) = sockets().await;
        let (caller, _incoming) =
            FramedConnection::start(caller_socket, Side::Caller, ConnectionOptions::default());
        let mut calls: Vec<Call> = sizes
            .iter()
            .map(|size| caller.call(request(&size.to_string())).unwrap())
            .collect();
        let writing = tokio::spawn(write_segments(peer, encode_responses(&sizes), seed));
        for (call, size) in calls.iter_mut().zip(sizes) {
            let (body, end) = read_response(call).await;
            assert!(
                body == content(size),
                "body of {size} bytes: received {} bytes",
                body.len()
            );
            assert!(
                matches!(end, Some(CallEnd::Complete(_))),
                "body of {size} bytes: {end:?}"
            );
        }
        drop(writing.await);
    }
}

/// Many streams send heads, bodies and ends at once, some of them while the socket is full. Guards against frames that are
/// lost or reordered in the send queue.
#[tokio::test]
async fn concurrent_responses_are_complete_and_in_order() {
    let (caller_socket, answerer_socket) = sockets().await;
    let (caller, _) =
        FramedConnection::start(caller_socket, Side::Caller, ConnectionOptions::default());
    let (_answerer, mut incoming) = FramedConnection::start(
        answerer_socket,
        Side::Responder,
        ConnectionOptions::default(),
    );
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
        let mut call = caller.call(request(&size.to_string())).unwrap();
        reading.spawn(async move {
            let (body, end) = read_response(&mut call).await;
            assert!(
                body == content(size) && matches!(end, Some(CallEnd::Complete(_))),
                "body of {size} bytes: {end:?}"
            );
        });
    }
    while let Some(done) = reading.join_next().await {
        done.unwrap();
    }
}

/// A peer that stops reading must block the sender, whose queue would otherwise grow without limit. All bytes arrive once
/// the peer reads again.
#[tokio::test]
async fn stalled_peer_bounds_the_sender_until_it_reads() {
    let (caller_socket, mut peer) = sockets().await;
    let (caller, _incoming) =
        FramedConnection::start(caller_socket, Side::Caller, ConnectionOptions::default());
    const FRAMES: u64 = 2_000;
    let probe = |token| {
        Frame::Probe(ProbeHead {
            token,
            echo: false,
            load: None,
        })
    };
    let sent = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let (counted, sender) = (sent.clone(), caller.clone());
    // Frames of 16 KB, in total far more than the socket buffers and the limit of the writer's queue.
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
    // Waits until the writer accepts no further frame.
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
        "all {FRAMES} frames were accepted although the peer does not read"
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
        .expect("sending continues once the peer reads again");
}

/// Connects a caller that uses the meter to an answerer that sends 3 MiB for each request; returns the caller.
async fn metered_connection(meter: &BufferMeter) -> (FramedConnection, Incoming) {
    let (caller_socket, answerer_socket) = sockets().await;
    let options = ConnectionOptions::default();
    let caller =
        FramedConnection::start_metered(caller_socket, Side::Caller, options, meter.clone());
    let (answerer, mut requests) =
        FramedConnection::start(answerer_socket, Side::Responder, options);
    tokio::spawn(async move {
        let _answerer = answerer;
        while let Some(Inbound::Request(_, mut responder)) = requests.next().await {
            tokio::spawn(async move {
                let _ = responder.head(ResponseHead::default()).await;
                if responder.data(content(3 << 20)).await.is_ok() {
                    let _ = responder.end(None).await;
                }
            });
        }
    });
    caller
}

async fn wait_for_buffered(meter: &BufferMeter, expected: impl Fn(u64) -> bool, reason: &str) {
    tokio::time::timeout(Duration::from_secs(10), async {
        while !expected(meter.buffered_bytes()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await
    .expect(reason);
}

/// The meter counts the bytes of all its connections that were received and not yet consumed, and subtracts them however
/// they are released. At the threshold the windows are reduced: a reader that stops reading buffers about the
/// reduced window, a quarter of the full one, and a reader that continues is never stalled.
#[tokio::test]
async fn buffered_bytes_are_metered_and_windows_shrink_at_threshold() {
    // A threshold of 0 is always reached.
    let meter = BufferMeter::new(0);
    let connections = [
        metered_connection(&meter).await,
        metered_connection(&meter).await,
    ];
    let mut calls: Vec<Call> = connections
        .iter()
        .map(|(caller, _)| caller.call(request("large")).unwrap())
        .collect();
    let mut stopped = connections[0].0.call(request("large")).unwrap();
    for call in &mut calls {
        let (body, end) = read_response(call).await;
        assert_eq!(body.len(), 3 << 20);
        assert!(matches!(end, Some(CallEnd::Complete(_))), "{end:?}");
    }
    // Reads half a megabyte, then stops reading.
    let mut taken = 0;
    while taken < 512 * 1024 {
        if let Some(ResponsePart::Data(data)) = stopped.next().await {
            taken += data.len();
        }
    }
    // The peer sends until its credit is used up; no more bytes arrive after that.
    let reduced_window = u64::from(REDUCED_WINDOW);
    wait_for_buffered(
        &meter,
        |bytes| bytes >= reduced_window / 2,
        "the connection buffers unread bytes up to the window",
    )
    .await;
    assert!(
        meter.buffered_bytes() <= reduced_window * 3 / 2,
        "{} bytes are buffered for a reader that stopped",
        meter.buffered_bytes()
    );
    drop(stopped);
    wait_for_buffered(
        &meter,
        |bytes| bytes == 0,
        "unread bytes are subtracted when the call is dropped",
    )
    .await;
}

/// Guards against requests that reach a peer after they were abandoned: a peer that was only unreachable reads again later,
/// while the requests may already run elsewhere.
#[tokio::test]
async fn aborted_connection_never_delivers_queued_requests() {
    for aborted in [false, true] {
        let (socket, mut peer) = sockets().await;
        let (caller, incoming) = FramedConnection::start(
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
        // More bytes than the buffers of both sockets hold, so that some requests are queued on this side.
        let calls: Vec<_> = (0..8_000).map(|_| caller.call(head()).unwrap()).collect();
        if aborted {
            caller.abort("peer does not respond");
        } else {
            caller.close("done");
        }
        caller.flushed().await;
        drop((calls, caller, incoming));
        let mut received = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(10), peer.read_to_end(&mut received));
        let reset = read
            .await
            .expect("the connection ends within 10 s")
            .is_err();
        assert_eq!(reset, aborted, "{} bytes received", received.len());
    }
}
