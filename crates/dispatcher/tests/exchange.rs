//! Tests of requests over sockets: slow or disconnecting clients, and endpoints that fail in the middle of a response.
mod support;

use pointspindle_dispatcher::Dispatcher;
use pointspindle_protocol::*;
use std::net::SocketAddr;
use std::time::Duration;
use support::{get, start_with, ScriptedEndpoint, TEST_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A client that reads its response too slowly is disconnected, and its attempt is cancelled to free the endpoint's
/// capacity.
#[tokio::test]
async fn slow_client_is_disconnected_and_its_attempt_cancelled() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let dispatcher = start_with(&format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\ndrain_ms = 100\nleast_pace_kb_per_s = 64\n\
         pace_window_ms = 300\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {address}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 60000\naim_ms = 50000\n"
    ))
    .await;
    let mut client = TcpStream::connect(dispatcher.bound_addresses().http.unwrap())
        .await
        .unwrap();
    client
        .write_all(b"GET /page/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    let mut endpoint = ScriptedEndpoint::accept(&listener).await;
    let id = endpoint.receive_stream().await;
    let head = ResponseHead {
        size: Some(1 << 30),
        ..Default::default()
    };
    endpoint.send(Frame::Head(id, head)).await;
    assert_eq!(send_until_cancelled(&mut endpoint, id).await, id);
    let mut rest = Vec::new();
    timeout(TEST_TIMEOUT, client.read_to_end(&mut rest))
        .await
        .expect("the connection of the slow client is closed")
        .ok();
    assert!(rest.len() < 1 << 30);
    dispatcher.stop().await;
}

/// Sends as many bytes as the credit of the stream allows, so that only the client delays the response. Returns the stream
/// that is cancelled.
async fn send_until_cancelled(endpoint: &mut ScriptedEndpoint, id: u32) -> u32 {
    let mut sent = 0;
    loop {
        if sent < 4 {
            let data = vec![0; MAX_DATA_PAYLOAD].into();
            endpoint.send(Frame::Data(id, data)).await;
            sent += 1;
            continue;
        }
        match endpoint.receive().await {
            Some(Frame::Credit(stream, _)) if stream == id => sent -= 2,
            Some(Frame::Cancel(stream, _)) => return stream,
            Some(_) => {}
            None => panic!("the dispatcher closed the connection to the endpoint"),
        }
    }
}

/// Guards against a connection that is closed without a byte, so that the client cannot know whether its request has
/// arrived. This happened when an endpoint failed while its response head was buffered until the first bytes of the body.
#[tokio::test]
async fn endpoint_failure_after_buffered_head_yields_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatcher = start_with(&format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\nmetrics = 127.0.0.1:0\ndrain_ms = 100\n\
         [upstream]\n\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 4000\n",
        listener.local_addr().unwrap()
    ))
    .await;
    let http = dispatcher.bound_addresses().http.unwrap();
    for n in 0..20 {
        let client = tokio::spawn(async move { get(http, &format!("/page/{n}")).await });
        let mut endpoint = ScriptedEndpoint::accept(&listener).await;
        endpoint.send_hello(1).await;
        let id = endpoint.receive_stream().await;
        let head = ResponseHead {
            size: Some(100),
            cache_status: WireCacheStatus::Hit as i32,
            ..Default::default()
        };
        let error = ErrorHead {
            status: WireStatus::Failed as i32,
            may_have_run: true,
            ..Default::default()
        };
        let mut head_and_error = endpoint.encode(Frame::Head(id, head));
        head_and_error.extend_from_slice(&endpoint.encode(Frame::Error(id, error)));
        endpoint.socket.write_all(&head_and_error).await.unwrap();
        let response = client.await.unwrap();
        assert!(
            response.starts_with("HTTP/1.1 502") || response.starts_with("HTTP/1.1 200"),
            "{n}: {response:?}"
        );
        drop(endpoint);
    }
}

/// When an endpoint fails in the middle of a body, the remainder comes from another endpoint if it has the same validator.
/// No bytes of another version are appended; the client then receives a truncated response.
#[tokio::test]
async fn broken_response_resumes_only_with_matching_validator() {
    for (validator, resumed) in [("\"v1\"", true), ("\"v2\"", false)] {
        let response = response_resumed_with(validator).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let complete = response.ends_with("\r\n\r\n0123456789");
        let short = response.ends_with("\r\n\r\n0123");
        assert_eq!(complete, resumed, "{response}");
        assert_eq!(short, !resumed, "{response}");
    }
}

/// Returns the response to a client whose endpoint failed after four bytes of ten, where the remainder has this validator.
async fn response_resumed_with(validator: &str) -> String {
    let first_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let second_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatcher = start_with(&format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\ndrain_ms = 100\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {}\nkind = cache\nzone = b\nweight = 50\n\
         [member two]\naddress = {}\nkind = cache\nzone = b\nweight = 50\n\
         [member origin]\naddress = 127.0.0.1:1\nkind = origin\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 8000\n",
        first_listener.local_addr().unwrap(),
        second_listener.local_addr().unwrap()
    ))
    .await;
    let http = dispatcher.bound_addresses().http.unwrap();
    let client = tokio::spawn(async move { get(http, "/page/1").await });
    let mut first_endpoint = ScriptedEndpoint::accept(&first_listener).await;
    let mut second_endpoint = ScriptedEndpoint::accept(&second_listener).await;
    first_endpoint.send_hello(1).await;
    second_endpoint.send_hello(2).await;
    // The endpoint that receives the request fails, and its listener closes.
    let ((id, request), mut failing, mut surviving, failing_listener) = tokio::select! {
        request = first_endpoint.receive_request() => (request, first_endpoint, second_endpoint, first_listener),
        request = second_endpoint.receive_request() => (request, second_endpoint, first_endpoint, second_listener),
    };
    assert_eq!(request.range, "");
    let head = ResponseHead {
        size: Some(10),
        validator: "\"v1\"".into(),
        cache_status: WireCacheStatus::Hit as i32,
        ..Default::default()
    };
    failing.send(Frame::Head(id, head.clone())).await;
    failing.send(Frame::Data(id, "0123".into())).await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    drop((failing, failing_listener));
    send_remainder(&mut surviving, validator, head).await;
    client.await.unwrap()
}

/// Expects the request for the remainder and answers it with this validator.
async fn send_remainder(endpoint: &mut ScriptedEndpoint, validator: &str, head: ResponseHead) {
    let (id, request) = timeout(TEST_TIMEOUT, endpoint.receive_request())
        .await
        .unwrap();
    assert_eq!(request.range, "bytes=4-9");
    assert_eq!(request.if_range, "\"v1\"");
    let remainder = ResponseHead {
        size: Some(6),
        range_first: Some(4),
        complete_size: Some(10),
        validator: validator.into(),
        ..head
    };
    endpoint.send(Frame::Head(id, remainder)).await;
    endpoint.send(Frame::Data(id, "456789".into())).await;
    endpoint.send_end(id, 6).await;
}

/// Way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    HalfClose,
}

/// A client's disconnect is detected although unread requests precede it in the socket: the attempt in progress is
/// cancelled, and none of the waiting requests is forwarded.
#[tokio::test]
async fn client_disconnect_behind_unread_requests_cancels_the_attempt() {
    for disconnect in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let dispatcher = start_with_long_deadline(listener.local_addr().unwrap()).await;
        let http = dispatcher.bound_addresses().http.unwrap();
        let mut client = TcpStream::connect(http).await.unwrap();
        let requests: String = (0..31)
            .map(|n| format!("GET /page/{n} HTTP/1.1\r\nHost: a\r\n\r\n"))
            .collect();
        client.write_all(requests.as_bytes()).await.unwrap();
        let mut endpoint = ScriptedEndpoint::accept(&listener).await;
        let id = endpoint.receive_stream().await;
        let _half_closed = disconnect_client(client, disconnect).await;
        let cancelled = receive_cancel(&mut endpoint, disconnect).await;
        assert_eq!(cancelled, id, "{disconnect:?}");
        // The next request must be that of a connected client.
        let last = tokio::spawn(get(http, "/page/last"));
        let (id, head) = endpoint.receive_request().await;
        assert_eq!(
            head.object, "/page/last",
            "{disconnect:?}: a request of the disconnected client was forwarded"
        );
        endpoint.respond(id).await;
        assert!(last.await.unwrap().starts_with("HTTP/1.1 200"));
        dispatcher.stop().await;
    }
}

async fn start_with_long_deadline(endpoint: SocketAddr) -> Dispatcher {
    start_with(&format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\ndrain_ms = 100\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 60000\naim_ms = 50000\n"
    ))
    .await
}

/// Disconnects the client. Returns its socket if that stays open in one direction.
async fn disconnect_client(mut client: TcpStream, disconnect: Disconnect) -> Option<TcpStream> {
    match disconnect {
        Disconnect::Close => None,
        Disconnect::Reset => {
            socket2::SockRef::from(&client)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            None
        }
        Disconnect::HalfClose => {
            client.shutdown().await.unwrap();
            Some(client)
        }
    }
}

/// Returns the next stream that is cancelled. No request may arrive before that.
async fn receive_cancel(endpoint: &mut ScriptedEndpoint, disconnect: Disconnect) -> u32 {
    loop {
        match endpoint
            .receive()
            .await
            .expect("the connection to the endpoint stays open")
        {
            Frame::Cancel(stream, _) => return stream,
            Frame::Request(..) => {
                panic!("{disconnect:?}: a request of the disconnected client was forwarded")
            }
            Frame::Probe(probe) if !probe.echo => endpoint.echo(probe).await,
            _ => {}
        }
    }
}
