//! Tests of both ends of a connection over a TCP socket, and of one end against a peer that violates the protocol.
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
    let (caller_socket, answerer_socket) = tokio::join!(TcpStream::connect(to), listener.accept());
    (caller_socket.unwrap(), answerer_socket.unwrap().0)
}

async fn pair() -> (FramedConnection, FramedConnection, Incoming) {
    let (caller_socket, answerer_socket) = sockets().await;
    let (caller, _) =
        FramedConnection::start(caller_socket, Side::Caller, ConnectionOptions::default());
    let (answerer, incoming) = FramedConnection::start(
        answerer_socket,
        Side::Responder,
        ConnectionOptions::default(),
    );
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
        other => panic!("expected a request, got {other:?}"),
    }
}

/// Reads the response to its end; returns the length of the body and the end.
async fn read_response(call: &mut Call) -> (usize, Option<CallEnd>) {
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

/// A reader that does not read returns no credit. Guards against the sender of its stream stalling other streams too.
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
        let (bytes, end) = read_response(&mut quick).await;
        assert_eq!(bytes, 1 << 20);
        assert!(matches!(end, Some(CallEnd::Complete(_))));
    }
    assert!(
        !sending.is_finished(),
        "the sender of the unread stream must wait for credit"
    );
    drop(slow);
    assert!(
        sending.await.unwrap().is_err(),
        "a cancel must end the wait for credit"
    );
}

/// Makes deferred requests of 12 KB and counts how often they are composed.
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

    /// Makes calls until the socket is full, so that the last request is not composed at once or is composed again later.
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
        assert!(calls.len() < 3_000, "the socket must become full");
        calls
    }

    /// Makes calls until a request is not composed at once, because the socket is full again.
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

/// Reads requests up to the one named `last`; returns the names of all requests read.
async fn read_requests_until(peer: &mut TcpStream, last: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut frames = Framed::new(peer, FrameCodec::default());
    while names.last().is_none_or(|name| name != last) {
        let frame = frames
            .next()
            .await
            .expect("the connection ended before the last request")
            .unwrap();
        if let Frame::Request(_, head) = frame {
            names.push(head.object.split('/').next().unwrap().to_owned());
        }
    }
    names
}

/// Covers requests whose first byte the socket has not accepted. Requests that were withdrawn or may no longer start are
/// never sent, and the others end as not sent when the connection closes. Only requests that were sent end as broken.
#[tokio::test]
async fn request_is_composed_at_its_first_byte_or_never_sent() {
    let (caller_socket, mut answerer_socket) = sockets().await;
    let (caller, _) = FramedConnection::start(
        caller_socket,
        Side::Caller,
        ConnectionOptions { max_streams: 4_000 },
    );
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
    let received = read_requests_until(&mut answerer_socket, "good").await;
    assert!(
        !received
            .iter()
            .any(|name| name == "withdrawn" || name == "expired"),
        "{received:?}"
    );
    assert_eq!(
        received.len(),
        first.len() + 1,
        "all other requests must be sent"
    );
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
    assert!(
        is_broken(&ends[0]),
        "a sent request must end as broken: {:?}",
        ends[0]
    );
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
    match read_response(&mut call).await.1 {
        Some(CallEnd::Error(e)) => assert!(e.may_have_run),
        other => panic!("{other:?}"),
    }
    drop(call);
    assert_eq!(
        (caller.open_streams(), answerer.open_streams()),
        (0, 0),
        "no stream must remain at either end"
    );
}

/// Requests above the limit of open streams are rejected; the connection and the other streams continue.
#[tokio::test]
async fn requests_above_stream_limit_are_rejected_one_by_one() {
    let (caller_socket, answerer_socket) = sockets().await;
    let (caller, _) = FramedConnection::start(
        caller_socket,
        Side::Caller,
        ConnectionOptions { max_streams: 2_000 },
    );
    let (_answerer, mut incoming) = FramedConnection::start(
        answerer_socket,
        Side::Responder,
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
        match read_response(&mut call).await.1 {
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
        assert!(matches!(
            read_response(call).await.1,
            Some(CallEnd::Complete(_))
        ));
    }
}

/// Makes a call to a peer that responds with the given frames and then closes; returns the end of the call and the reason
/// for which the connection closed.
async fn call_scripted_peer(frames: Vec<Frame>) -> (Option<CallEnd>, String) {
    let (caller_socket, answerer_socket) = sockets().await;
    let (caller, _) =
        FramedConnection::start(caller_socket, Side::Caller, ConnectionOptions::default());
    let mut call = caller.call(request("a")).unwrap();
    let mut peer = Framed::new(answerer_socket, FrameCodec::default());
    assert!(matches!(peer.next().await, Some(Ok(Frame::Request(1, _)))));
    for frame in frames {
        peer.send(frame).await.unwrap();
    }
    drop(peer);
    let end = read_response(&mut call).await.1;
    tokio::time::timeout(Duration::from_secs(5), caller.closed())
        .await
        .expect("the connection closes within 5 s");
    (end, caller.close_reason())
}

#[tokio::test]
async fn protocol_violation_closes_connection_and_breaks_the_call() {
    let head = || Frame::Head(1, ResponseHead::default());
    let data = |n: usize| Frame::Data(1, Bytes::from(vec![0; n]));
    let end = |bytes| Frame::End(1, EndHead { bytes, load: None });
    for (frames, expected) in [
        (
            vec![head(), data(5), end(6)],
            "states a different number of body bytes",
        ),
        (vec![data(5)], "data before the head"),
        (vec![head(), head()], "a second head"),
        (
            vec![Frame::Head(7, ResponseHead::default())],
            "on a stream without a request",
        ),
        (
            vec![Frame::Request(2, request("b"))],
            "may not send a frame of type request",
        ),
        (vec![head(), data(5)], "the peer closed"),
    ] {
        let (call_end, reason) = call_scripted_peer(frames).await;
        assert!(
            matches!(call_end, Some(CallEnd::Broken(_))),
            "{expected}: {call_end:?}"
        );
        assert!(
            reason.contains(expected),
            "close reason {reason:?} does not contain {expected:?}"
        );
    }
    let (call_end, reason) = call_scripted_peer(vec![head(), end(0), end(0)]).await;
    assert!(
        matches!(call_end, Some(CallEnd::Complete(_))),
        "the call must end with its first end frame"
    );
    assert!(reason.contains("after its end"), "{reason}");
}

#[tokio::test]
async fn invalid_preface_closes_connection_without_request() {
    use tokio::io::AsyncWriteExt;
    let (mut caller_socket, answerer_socket) = sockets().await;
    let (answerer, mut incoming) = FramedConnection::start(
        answerer_socket,
        Side::Responder,
        ConnectionOptions::default(),
    );
    caller_socket
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    assert!(incoming.next().await.is_none());
    assert!(
        answerer.close_reason().contains("preface"),
        "{}",
        answerer.close_reason()
    );
}

/// The socket accepts no bytes yet when the first request is made. Guards against sending the request later without the
/// preface.
#[tokio::test]
async fn delayed_first_request_is_sent_behind_the_preface() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // The socket is registered with the runtime only below, so that the runtime does not know its readiness yet.
    let caller_socket = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    caller_socket.set_nonblocking(true).unwrap();
    let (caller, _) = FramedConnection::start(
        TcpStream::from_std(caller_socket).unwrap(),
        Side::Caller,
        ConnectionOptions::default(),
    );
    let mut call = caller.call(request("first")).unwrap();
    let (answerer_socket, _) = listener.accept().await.unwrap();
    let (_answerer, mut incoming) = FramedConnection::start(
        answerer_socket,
        Side::Responder,
        ConnectionOptions::default(),
    );
    let (head, responder) = next_request(&mut incoming).await;
    assert_eq!(head.object, "first");
    responder.error(ErrorHead::default()).await.unwrap();
    assert!(matches!(
        call.next().await,
        Some(ResponsePart::End(CallEnd::Error(_)))
    ));
}
