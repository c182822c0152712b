//! Two ends of a connection over a real socket, and one end against a peer that breaks the rules.
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pointspindle_protocol::streams::*;
use pointspindle_protocol::*;
use pointspindle_transport::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

async fn sockets() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let (here, there) = tokio::join!(TcpStream::connect(to), listener.accept());
    (here.unwrap(), there.unwrap().0)
}

async fn pair() -> (FramedConnection, FramedConnection, Incoming) {
    let (here, there) = sockets().await;
    let (caller, _) = FramedConnection::start(here, Side::Caller, ConnectionOptions::default());
    let (answerer, incoming) =
        FramedConnection::start(there, Side::Answerer, ConnectionOptions::default());
    (caller, answerer, incoming)
}

fn ask(object: &str) -> RequestHead {
    RequestHead {
        object: object.into(),
        ..Default::default()
    }
}

async fn next_request(incoming: &mut Incoming) -> (RequestHead, Responder) {
    match incoming.next().await {
        Some(Inbound::Request(head, responder)) => (head, responder),
        other => panic!("no request: {other:?}"),
    }
}

async fn body(call: &mut Call) -> (usize, Option<CallEnd>) {
    let mut bytes = 0;
    while let Some(part) = call.next().await {
        match part {
            ResponsePart::Head(_) => {}
            ResponsePart::Data(data) => bytes += data.len(),
            ResponsePart::End(end) => return (bytes, Some(end)),
        }
    }
    (bytes, None)
}

/// Credit that is never given back stops the stream of the one who reads nothing, and nobody else's.
#[tokio::test]
async fn one_slow_reader_holds_up_nobody_else() {
    let (caller, _answerer, mut incoming) = pair().await;
    let slow = caller.call(ask("slow")).unwrap();
    let (_, mut stalled) = next_request(&mut incoming).await;
    stalled.head(ResponseHead::default()).await.unwrap();
    let sending = tokio::spawn(async move { stalled.data(Bytes::from(vec![0; 4 << 20])).await });
    for n in 0..20 {
        let mut quick = caller.call(ask(&format!("quick {n}"))).unwrap();
        let (_, mut responder) = next_request(&mut incoming).await;
        tokio::spawn(async move {
            responder.head(ResponseHead::default()).await.unwrap();
            responder.data(Bytes::from(vec![0; 1 << 20])).await.unwrap();
            responder.end(None).await.unwrap();
        });
        let (bytes, end) = body(&mut quick).await;
        assert_eq!(bytes, 1 << 20);
        assert!(matches!(end, Some(CallEnd::Complete(_))));
    }
    assert!(!sending.is_finished(), "it waits for credit");
    drop(slow);
    assert!(
        sending.await.unwrap().is_err(),
        "the cancel reaches the one who waits for credit"
    );
}

/// Requests whose first byte the socket has not taken: given up they never go out, those that may not begin any more do
/// not, and at the connection's end the rest is told as not sent; only what went out is told as broken.
#[tokio::test]
async fn a_request_begins_with_its_first_byte_and_not_before() {
    let (here, mut there) = sockets().await;
    let (caller, _) =
        FramedConnection::start(here, Side::Caller, ConnectionOptions { max_streams: 4_000 });
    let asked = Arc::new(AtomicUsize::new(0));
    let word = |object: String, may: bool| {
        let asked = asked.clone();
        let head = ask(&format!("{object}/{}", "x".repeat(12_000)));
        Box::new(move || {
            asked.fetch_add(1, Ordering::SeqCst);
            may.then(|| head.clone())
        })
    };
    // Until nothing more is taken: the last one is asked again at each room, and none of it is out.
    let mut out = Vec::new();
    while asked.load(Ordering::SeqCst) <= out.len() && out.len() < 3_000 {
        let before = asked.load(Ordering::SeqCst);
        out.push(
            caller
                .call_deferred(word(format!("first {}", out.len()), true))
                .unwrap(),
        );
        if asked.load(Ordering::SeqCst) == before {
            break;
        }
    }
    assert!(out.len() < 3_000, "the socket is full at some time");
    let given_up = caller.call_deferred(word("given up".into(), true)).unwrap();
    let mut not_any_more = caller
        .call_deferred(word("not any more".into(), false))
        .unwrap();
    let mut good = caller.call_deferred(word("good".into(), true)).unwrap();
    drop(given_up);
    // Read on until the good one has come: it stood behind the others.
    let mut seen = Vec::new();
    let mut frames = Framed::new(&mut there, FrameCodec::default());
    loop {
        let frame = frames.next().await.expect("open").unwrap();
        if let Frame::Request(_, head) = frame {
            let object = head.object.split('/').next().unwrap().to_owned();
            seen.push(object);
            if seen.last().is_some_and(|o| o == "good") {
                break;
            }
        }
    }
    assert!(
        !seen.iter().any(|o| o == "given up" || o == "not any more"),
        "{seen:?}"
    );
    assert_eq!(seen.len(), out.len() + 1, "all others went out");
    assert_eq!(
        not_any_more.next().await,
        Some(ResponsePart::End(CallEnd::NotSent))
    );
    // Full again, and then the end.
    let mut last = Vec::new();
    loop {
        let before = asked.load(Ordering::SeqCst);
        last.push(caller.call_deferred(word("last".into(), true)).unwrap());
        if asked.load(Ordering::SeqCst) == before {
            break;
        }
    }
    caller.close("test");
    let mut ends = Vec::new();
    for call in &mut last {
        ends.push(call.next().await);
    }
    assert!(
        matches!(ends[0], Some(ResponsePart::End(CallEnd::Broken(_)))),
        "it went out: {:?}",
        ends[0]
    );
    assert_eq!(
        ends.last(),
        Some(&Some(ResponsePart::End(CallEnd::NotSent)))
    );
    assert!(matches!(
        good.next().await,
        Some(ResponsePart::End(CallEnd::Broken(_)))
    ));
}

#[tokio::test]
async fn a_dropped_call_is_cancelled_and_a_dropped_responder_says_it_may_have_run() {
    let (caller, answerer, mut incoming) = pair().await;
    let call = caller.call(ask("a")).unwrap();
    let (_, responder) = next_request(&mut incoming).await;
    drop(call);
    responder.cancelled().await;
    drop(responder);
    let mut call = caller.call(ask("b")).unwrap();
    let (_, responder) = next_request(&mut incoming).await;
    drop(responder);
    match body(&mut call).await.1 {
        Some(CallEnd::Error(e)) => assert!(e.may_have_run),
        other => panic!("{other:?}"),
    }
    drop(call);
    assert_eq!(
        (caller.open_streams(), answerer.open_streams()),
        (0, 0),
        "nothing is kept of either"
    );
}

/// A client in haste: what is over the limit is turned away one by one, the connection and the others live.
#[tokio::test]
async fn a_thousand_streams_at_once_get_an_answer_each() {
    let (here, there) = sockets().await;
    let (caller, _) =
        FramedConnection::start(here, Side::Caller, ConnectionOptions { max_streams: 2_000 });
    let (_answerer, mut incoming) = FramedConnection::start(
        there,
        Side::Answerer,
        ConnectionOptions { max_streams: 100 },
    );
    let calls: Vec<Call> = (0..1_000)
        .map(|n| caller.call(ask(&n.to_string())).unwrap())
        .collect();
    let mut accepted = vec![];
    for _ in 0..100 {
        accepted.push(next_request(&mut incoming).await.1);
    }
    let (mut full, mut first) = (0, vec![]);
    for (n, mut call) in calls.into_iter().enumerate() {
        if n < 100 {
            first.push(call);
            continue;
        }
        match body(&mut call).await.1 {
            Some(CallEnd::Error(e)) if e.status() == WireStatus::Rejected && !e.may_have_run => {
                full += 1
            }
            other => panic!("{n}: {other:?}"),
        }
    }
    assert_eq!(full, 900);
    for responder in accepted {
        let mut responder = responder;
        responder.head(ResponseHead::default()).await.unwrap();
        responder.end(None).await.unwrap();
    }
    for call in &mut first {
        assert!(matches!(body(call).await.1, Some(CallEnd::Complete(_))));
    }
}

/// The peer speaks frames by hand.
async fn against(frames: Vec<Frame>) -> (Option<CallEnd>, String) {
    let (here, there) = sockets().await;
    let (caller, _) = FramedConnection::start(here, Side::Caller, ConnectionOptions::default());
    let mut call = caller.call(ask("a")).unwrap();
    let mut peer = Framed::new(there, FrameCodec::default());
    assert!(matches!(peer.next().await, Some(Ok(Frame::Request(1, _)))));
    for frame in frames {
        peer.send(frame).await.unwrap();
    }
    drop(peer);
    let end = body(&mut call).await.1;
    tokio::time::timeout(Duration::from_secs(5), caller.closed())
        .await
        .expect("it closes");
    (end, caller.close_reason())
}

#[tokio::test]
async fn a_peer_that_breaks_the_protocol_ends_the_connection_and_never_a_call_well() {
    let head = || Frame::Head(1, ResponseHead::default());
    let data = |n: usize| Frame::Data(1, Bytes::from(vec![0; n]));
    let end = |bytes| Frame::End(1, EndHead { bytes, load: None });
    for (frames, why) in [
        (vec![head(), data(5), end(6)], "counts other bytes"),
        (vec![data(5)], "data before the head"),
        (vec![head(), head()], "a second head"),
        (
            vec![Frame::Head(7, ResponseHead::default())],
            "nothing that was asked",
        ),
        (vec![Frame::Request(2, ask("b"))], "only the other side"),
        (vec![head(), data(5)], "the peer closed"),
    ] {
        let (got, told) = against(frames).await;
        assert!(matches!(got, Some(CallEnd::Broken(_))), "{why}: {got:?}");
        assert!(told.contains(why), "{told:?} is not {why:?}");
    }
    let (got, told) = against(vec![head(), end(0), end(0)]).await;
    assert!(
        matches!(got, Some(CallEnd::Complete(_))),
        "the first end counts"
    );
    assert!(told.contains("after its end"), "{told}");
}

#[tokio::test]
async fn garbage_in_place_of_the_preface_is_no_request() {
    use tokio::io::AsyncWriteExt;
    let (mut here, there) = sockets().await;
    let (answerer, mut incoming) =
        FramedConnection::start(there, Side::Answerer, ConnectionOptions::default());
    here.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    assert!(incoming.next().await.is_none());
    assert!(
        answerer.close_reason().contains("preface"),
        "{}",
        answerer.close_reason()
    );
}

/// The very first request finds a socket that takes nothing yet: it goes out later, behind the preface all the same.
#[tokio::test]
async fn a_first_request_that_has_to_wait_goes_out_behind_the_preface() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // Just made known to the runtime, which has not looked yet whether it takes bytes.
    let here = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    here.set_nonblocking(true).unwrap();
    let (caller, _) = FramedConnection::start(
        TcpStream::from_std(here).unwrap(),
        Side::Caller,
        ConnectionOptions::default(),
    );
    let mut call = caller.call(ask("first")).unwrap();
    let (there, _) = listener.accept().await.unwrap();
    let (_answerer, mut incoming) =
        FramedConnection::start(there, Side::Answerer, ConnectionOptions::default());
    let (head, responder) = next_request(&mut incoming).await;
    assert_eq!(head.object, "first");
    responder.error(ErrorHead::default()).await.unwrap();
    assert!(matches!(
        call.next().await,
        Some(ResponsePart::End(CallEnd::Error(_)))
    ));
}
