//! Tests of connections to endpoints over sockets: a half-open connection, a truncated hello and a stalled endpoint.
mod support;

use pointspindle_dispatcher::Dispatcher;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{Call, ConnectionOptions, FramedConnection, Incoming};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use support::{get, get_with_retries, start_with, wait_until, ScriptedEndpoint};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

async fn start(endpoint: SocketAddr, upstream: &str) -> Dispatcher {
    start_with(&format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\nmetrics = 127.0.0.1:0\ndrain_ms = 100\n\
         [upstream]\n{upstream}\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 4000\n"
    ))
    .await
}

/// Simulates an endpoint machine that lost power: its connection accepts all bytes and returns none. Without probes, every
/// request would be sent there until the kernel's TCP timeout.
#[tokio::test]
async fn half_open_connection_to_old_process_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatcher = start(
        listener.local_addr().unwrap(),
        "quiet_ping_ms = 400\nping_timeout_ms = 400",
    )
    .await;
    let http = dispatcher.bound_addresses().http.unwrap();
    let first = tokio::spawn(get(http, "/page/1"));
    let mut old = ScriptedEndpoint::accept(&listener).await;
    old.send_hello(1).await;
    let id = old.receive_stream().await;
    old.respond(id).await;
    assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));

    // From here on the connection of the old process is neither read nor closed.
    let second = tokio::spawn(get_with_retries(http, "/page/2"));
    let mut new = ScriptedEndpoint::accept(&listener).await;
    new.send_hello(2).await;
    let id = new.receive_stream().await;
    new.respond(id).await;
    second.await.unwrap();
    let mut requests_at_old = 0;
    while let Some(frame) = old.receive().await {
        requests_at_old += matches!(frame, Frame::Request(..)) as usize;
    }
    assert_eq!(
        requests_at_old, 1,
        "only one request is sent before the connection is closed"
    );
    let metrics = get(dispatcher.bound_addresses().metrics.unwrap(), "/").await;
    assert!(
        metrics.contains("pointspindle_dead_member_connections_total 1"),
        "{metrics}"
    );
    dispatcher.stop().await;
}

/// A truncated hello proves nothing: neither that the process is still the same, nor that the endpoint sends no hello.
#[tokio::test]
async fn connection_closed_during_hello_carries_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatcher = start(listener.local_addr().unwrap(), "hello_timeout_ms = 5000").await;
    let http = dispatcher.bound_addresses().http.unwrap();
    let first = tokio::spawn(get(http, "/page/1"));
    let mut endpoint = ScriptedEndpoint::accept(&listener).await;
    endpoint.send_hello(1).await;
    let id = endpoint.receive_stream().await;
    endpoint.respond(id).await;
    assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));
    drop(endpoint);

    let second = tokio::spawn(get_with_retries(http, "/page/2"));
    for _ in 0..3 {
        send_truncated_hello(&listener).await;
    }
    let mut endpoint = ScriptedEndpoint::accept(&listener).await;
    endpoint.send_hello(2).await;
    let id = endpoint.receive_stream().await;
    endpoint.respond(id).await;
    second.await.unwrap();
    dispatcher.stop().await;
}

/// Accepts a connection, sends all but the last byte of a hello and closes it. No request may arrive on the connection.
async fn send_truncated_hello(listener: &TcpListener) {
    let mut endpoint = ScriptedEndpoint::accept(listener).await;
    let hello = endpoint.encode(Frame::Hello(HelloHead {
        incarnation: 2,
        ..Default::default()
    }));
    endpoint
        .socket
        .write_all(&hello[..hello.len() - 1])
        .await
        .unwrap();
    endpoint.socket.shutdown().await.unwrap();
    while let Some(frame) = endpoint.receive().await {
        assert!(
            !matches!(frame, Frame::Request(..)),
            "a request was sent before the hello"
        );
    }
}

/// Number of requests in [`stalled_endpoint_receives_no_requests_of_disconnected_clients`]; the clients of those with an
/// odd number disconnect.
const REQUESTS: usize = 600;

fn disconnects(request: usize) -> bool {
    request & 1 == 1
}

/// Requests that wait for a connection which accepts no bytes are checked again before they are sent: those of clients
/// that have disconnected are never sent, the others are.
#[tokio::test]
async fn stalled_endpoint_receives_no_requests_of_disconnected_clients() {
    let listener = listener_with_small_buffer();
    let dispatcher = start_with(&format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         drain_ms = 100\nmax_streams = 4000\n[upstream]\nmax_streams = 4000\n[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {}\nkind = cache\nzone = b\nweight = 4000\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 60000\naim_ms = 50000\n",
        listener.local_addr().unwrap()
    ))
    .await;
    let bound = dispatcher.bound_addresses();
    let (_clients, _incoming, calls) = start_calls(bound.framed.unwrap()).await;
    let metrics = bound.metrics.unwrap();
    // All requests are queued on the connection to the endpoint by now; later frames are queued behind them.
    wait_until(async || open_requests(metrics).await == REQUESTS).await;
    let mut endpoint = ScriptedEndpoint::accept(&listener).await;
    // Every second client disconnects while the endpoint reads nothing. The dispatcher has detected that once none of their
    // requests is open.
    let connected_clients: Vec<_> = calls.into_iter().step_by(2).collect();
    wait_until(async || open_requests(metrics).await == connected_clients.len()).await;
    let received = receive_all(&mut endpoint, connected_clients.len()).await;

    // The requests that the kernel buffered before the clients disconnected have consecutive stream numbers. After the
    // first gap, no request of a disconnected client may be sent.
    let first = received[0].stream;
    let buffered_by_kernel = received
        .iter()
        .zip(first..)
        .take_while(|(request, next)| request.stream == *next)
        .count();
    let sent_after_disconnect = received[buffered_by_kernel..]
        .iter()
        .filter(|request| disconnects(request.number))
        .count();
    println!(
        "{} of {REQUESTS} requests were sent, {buffered_by_kernel} of them in the kernel's buffer before the disconnects",
        received.len()
    );
    assert_eq!(
        sent_after_disconnect, 0,
        "requests of disconnected clients were sent"
    );
    assert!(
        buffered_by_kernel < REQUESTS,
        "the kernel's buffer must be smaller than all requests together"
    );
    dispatcher.stop().await;
}

fn listener_with_small_buffer() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(16).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpListener::from_std(socket.into()).unwrap()
}

/// Starts all requests on one client connection. Each request is so large that only few fit into the kernel's buffers.
async fn start_calls(framed: SocketAddr) -> (FramedConnection, Incoming, Vec<Call>) {
    let socket = TcpStream::connect(framed).await.unwrap();
    let options = ConnectionOptions { max_streams: 4_000 };
    let (clients, incoming) = FramedConnection::start(socket, Side::Caller, options);
    let padding = "x".repeat(12_000);
    let request = |number: usize| RequestHead {
        object: format!("/page/{number}/{padding}"),
        class: "page".into(),
        ..Default::default()
    };
    let calls = (0..REQUESTS)
        .map(|number| clients.call(request(number)).unwrap())
        .collect();
    (clients, incoming, calls)
}

async fn open_requests(metrics: SocketAddr) -> usize {
    let text = get(metrics, "/").await;
    let line = text
        .lines()
        .find(|line| line.starts_with("pointspindle_open_requests "))
        .expect("the metrics contain the gauge of open requests");
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// A request that reached the endpoint.
struct ReceivedRequest {
    stream: u32,
    number: usize,
}

/// Reads until all requests of connected clients have arrived and every other request that arrived has been cancelled:
/// requests that the kernel had buffered before their client disconnected cannot be withdrawn.
async fn receive_all(
    endpoint: &mut ScriptedEndpoint,
    connected_clients: usize,
) -> Vec<ReceivedRequest> {
    let mut received: Vec<ReceivedRequest> = Vec::new();
    let mut cancelled = BTreeSet::new();
    let mut missing_requests = connected_clients;
    while missing_requests > 0
        || received
            .iter()
            .any(|request| disconnects(request.number) && !cancelled.contains(&request.stream))
    {
        match endpoint.receive().await.expect("the connection stays open") {
            Frame::Request(stream, head) => {
                let number: usize = head.object.split('/').nth(2).unwrap().parse().unwrap();
                received.push(ReceivedRequest { stream, number });
                missing_requests -= !disconnects(number) as usize;
            }
            Frame::Cancel(stream, _) => drop(cancelled.insert(stream)),
            _ => {}
        }
    }
    received
}
