//! Both ends of a connection over a real socket, and one end against a peer that violates the protocol.
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

fn request(object: &str) -> RequestHead {
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

/// Credit that is never returned stalls the stream of the reader that reads nothing, and no other.
#[tokio::test]
async fn slow_reader_stalls_only_its_own_stream() {
    let (caller, _answerer, mut incoming) = pair().await;
    let slow = caller.call(request("slow")).unwrap();
    let (_, mut stalled) = next_request(&mut incoming).await;
    stalled.head(ResponseHead::default()).await.unwrap();
    let sending = tokio::spawn(async move { stalled.data(Bytes::from(vec![0; 4 << 20])).await });
    for n in 0..20 {
        let mut quick = caller.call(request(&format!("quick {n}"))).unwrap();
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
        "the cancel reaches the sender that waits for credit"
    );
}

/// Makes deferred requests of 12 KB and counts how often any of them was composed.
#[derive(Default)]
struct Composer {
    composed: Arc<AtomicUsize>,
}

impl Composer {
    fn composed(&self) -> usize {
        self.composed.load(Ordering::SeqCst)
    }

    fn request(&self, name: &str, may_begin: bool) -> DeferredRequest {
        let composed = self.composed.clone();
        let head = request(&format!("{name}/{}", "x".repeat(12_000)));
        Box::new(move || {
            composed.fetch_add(1, Ordering::SeqCst);
            may_begin.then(|| head.clone())
        })
    }

    /// Calls until the socket is full: the last request is not composed at once, or composed again later.
    fn fill_socket(&self, caller: &FramedConnection) -> Vec<Call> {
        let mut calls = Vec::new();
        while self.composed() <= calls.len() && calls.len() < 3_000 {
            let before = self.composed();
            let name = format!("first {}", calls.len());
            calls.push(caller.call_deferred(self.request(&name, true)).unwrap());
            if self.composed() == before {
                break;
            }
        }
        assert!(calls.len() < 3_000, "the socket is full at some time");
        calls
    }

    /// Calls on a full socket until a request is not composed at once.
    fn fill_socket_again(&self, caller: &FramedConnection) -> Vec<Call> {
        let mut calls = Vec::new();
        loop {
            let before = self.composed();
            calls.push(caller.call_deferred(self.request("last", true)).unwrap());
            if self.composed() == before {
                return calls;
            }
        }
    }
}

/// Reads requests up to one of a name; returns the names of all.
async fn read_requests_until(peer: &mut TcpStream, last: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut frames = Framed::new(peer, FrameCodec::default());
    while names.last().is_none_or(|name| name != last) {
        let frame = frames.next().await.expect("open").unwrap();
        if let Frame::Request(_, head) = frame {
            names.push(head.object.split('/').next().unwrap().to_owned());
        }
    }
    names
}

/// Requests whose first byte the socket has not accepted: withdrawn ones are never sent, those that may no longer begin are
/// not either, and at the connection's end the rest ends as not sent; only what was sent ends as broken.
#[tokio::test]
async fn request_is_composed_at_its_first_byte_or_never_sent() {
    let (here, mut there) = sockets().await;
    let (caller, _) =
        FramedConnection::start(here, Side::Caller, ConnectionOptions { max_streams: 4_000 });
    let composer = Composer::default();
    let first = composer.fill_socket(&caller);
    let call = |name, may_begin| {
        let request = composer.request(name, may_begin);
        caller.call_deferred(request).unwrap()
    };
    let withdrawn = call("withdrawn", true);
    let mut expired = call("expired", false);
    let mut good = call("good", true);
    drop(withdrawn);
    let received = read_requests_until(&mut there, "good").await;
    assert!(
        !received
            .iter()
            .any(|name| name == "withdrawn" || name == "expired"),
        "{received:?}"
    );
    assert_eq!(received.len(), first.len() + 1, "all others were sent");
    let not_sent = Some(ResponsePart::End(CallEnd::NotSent));
    assert_eq!(expired.next().await, not_sent);

    let mut last = composer.fill_socket_again(&caller);
    caller.close("test");
    let mut ends = Vec::new();
    for call in &mut last {
        ends.push(call.next().await);
    }
    let is_broken =
        |end: &Option<ResponsePart>| matches!(end, Some(ResponsePart::End(CallEnd::Broken(_))));
    assert!(is_broken(&ends[0]), "it was sent: {:?}", ends[0]);
    assert_eq!(ends.last(), Some(&not_sent));
    assert!(is_broken(&good.next().await));
}

#[tokio::test]
async fn dropped_call_cancels_and_dropped_responder_reports_possible_run() {
    let (caller, answerer, mut incoming) = pair().await;
    let call = caller.call(request("a")).unwrap();
    let (_, responder) = next_request(&mut incoming).await;
    drop(call);
    responder.cancelled().await;
    drop(responder);
    let mut call = caller.call(request("b")).unwrap();
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
        "no stream remains at either end"
    );
}

/// Requests above the limit are rejected; the connection and the other streams continue.
#[tokio::test]
async fn requests_above_stream_limit_are_rejected_one_by_one() {
    let (here, there) = sockets().await;
    let (caller, _) =
        FramedConnection::start(here, Side::Caller, ConnectionOptions { max_streams: 2_000 });
    let (_answerer, mut incoming) = FramedConnection::start(
        there,
        Side::Answerer,
        ConnectionOptions { max_streams: 100 },
    );
    let calls: Vec<Call> = (0..1_000)
        .map(|n| caller.call(request(&n.to_string())).unwrap())
        .collect();
    let mut accepted = vec![];
    for _ in 0..100 {
        accepted.push(next_request(&mut incoming).await.1);
    }
    let mut rejected = 0;
    let mut first = vec![];
    for (n, mut call) in calls.into_iter().enumerate() {
        if n < 100 {
            first.push(call);
            continue;
        }
        match body(&mut call).await.1 {
            Some(CallEnd::Error(e)) if e.status() == WireStatus::Rejected && !e.may_have_run => {
                rejected += 1
            }
            other => panic!("{n}: {other:?}"),
        }
    }
    assert_eq!(rejected, 900);
    for responder in accepted {
        let mut responder = responder;
        responder.head(ResponseHead::default()).await.unwrap();
        responder.end(None).await.unwrap();
    }
    for call in &mut first {
        assert!(matches!(body(call).await.1, Some(CallEnd::Complete(_))));
    }
}

/// A call against a peer that answers with the given frames; returns the call's end and the reason of the close.
async fn against(frames: Vec<Frame>) -> (Option<CallEnd>, String) {
    let (here, there) = sockets().await;
    let (caller, _) = FramedConnection::start(here, Side::Caller, ConnectionOptions::default());
    let mut call = caller.call(request("a")).unwrap();
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
async fn protocol_violation_closes_connection_and_breaks_the_call() {
    let head = || Frame::Head(1, ResponseHead::default());
    let data = |n: usize| Frame::Data(1, Bytes::from(vec![0; n]));
    let end = |bytes| Frame::End(1, EndHead { bytes, load: None });
    for (frames, expected) in [
        (vec![head(), data(5), end(6)], "counts other bytes"),
        (vec![data(5)], "data before the head"),
        (vec![head(), head()], "a second head"),
        (
            vec![Frame::Head(7, ResponseHead::default())],
            "nothing that was asked",
        ),
        (vec![Frame::Request(2, request("b"))], "only the other side"),
        (vec![head(), data(5)], "the peer closed"),
    ] {
        let (got, reason) = against(frames).await;
        assert!(
            matches!(got, Some(CallEnd::Broken(_))),
            "{expected}: {got:?}"
        );
        assert!(reason.contains(expected), "{reason:?} is not {expected:?}");
    }
    let (got, reason) = against(vec![head(), end(0), end(0)]).await;
    assert!(
        matches!(got, Some(CallEnd::Complete(_))),
        "the first end counts"
    );
    assert!(reason.contains("after its end"), "{reason}");
}

#[tokio::test]
async fn invalid_preface_closes_connection_without_request() {
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

/// The first request finds a socket that accepts nothing yet: it is sent later, still behind the preface.
#[tokio::test]
async fn delayed_first_request_is_sent_behind_the_preface() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // Registered with the runtime only now, which does not know its readiness yet.
    let here = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    here.set_nonblocking(true).unwrap();
    let (caller, _) = FramedConnection::start(
        TcpStream::from_std(here).unwrap(),
        Side::Caller,
        ConnectionOptions::default(),
    );
    let mut call = caller.call(request("first")).unwrap();
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
