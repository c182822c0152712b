//! Connections to endpoints over sockets: what a half-open one, a cut hello and a stalled endpoint do to requests.
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

/// A machine that lost power: its connection takes everything and brings nothing. Without a probe every request until the
/// kernel gives up would go there.
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

    // From here on the old process's end is neither read nor closed.
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
        "one attempt, and the connection is closed"
    );
    let metrics = get(dispatcher.bound_addresses().metrics.unwrap(), "/").await;
    assert!(
        metrics.contains("pointspindle_dead_member_connections_total 1"),
        "{metrics}"
    );
    dispatcher.stop().await;
}

/// A hello that is cut in its middle says nothing: neither that the process is the old one, nor that none will come.
#[tokio::test]
async fn connection_cut_before_hello_carries_no_request() {
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
        cut_before_hello(&listener).await;
    }
    let mut endpoint = ScriptedEndpoint::accept(&listener).await;
    endpoint.send_hello(2).await;
    let id = endpoint.receive_stream().await;
    endpoint.respond(id).await;
    second.await.unwrap();
    dispatcher.stop().await;
}

/// Accepts a connection, sends all but the last byte of a hello and closes; no request may arrive on it.
async fn cut_before_hello(listener: &TcpListener) {
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
            "sent before the hello"
        );
    }
}

/// Requests of [`stalled_endpoint_receives_no_requests_of_disconnected_clients`]; those with an odd number disconnect.
const REQUESTS: usize = 600;

fn disconnects(request: usize) -> bool {
    request & 1 == 1
}

/// Requests that wait behind a connection which takes nothing begin only where that still holds when it does: those of
/// clients that have left never go out, the others do.
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
    // All have been sent to the endpoint's connection: whatever still comes goes behind them.
    wait_until(async || open_requests(metrics).await == REQUESTS).await;
    let mut endpoint = ScriptedEndpoint::accept(&listener).await;
    // Every second client leaves while nothing is read; that is known once none of their requests is open any more.
    let staying: Vec<_> = calls.into_iter().step_by(2).collect();
    wait_until(async || open_requests(metrics).await == staying.len()).await;
    let begun = receive_all(&mut endpoint, staying.len()).await;

    // What the kernel took before the clients left has numbers without a gap; behind the first gap nothing of those who
    // left may go out.
    let first = begun[0].stream;
    let in_kernel = begun
        .iter()
        .zip(first..)
        .take_while(|(request, next)| request.stream == *next)
        .count();
    let late = begun[in_kernel..]
        .iter()
        .filter(|request| disconnects(request.number))
        .count();
    println!(
        "{} of {REQUESTS} requests went out, {in_kernel} of them in the kernel by then",
        begun.len()
    );
    assert_eq!(late, 0, "went out for clients that had left");
    assert!(
        in_kernel < REQUESTS,
        "the kernel's own buffer has to be smaller than all of them"
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

/// Starts all requests on one connection of clients, each too large for many to fit into the kernel's buffers.
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
        .expect("the gauge is there");
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// A request that reached the endpoint.
struct BegunRequest {
    stream: u32,
    number: usize,
}

/// Reads until all requests of staying clients have arrived, and every other one that arrived is cancelled: what the kernel
/// had taken before its client left cannot be called back.
async fn receive_all(endpoint: &mut ScriptedEndpoint, staying: usize) -> Vec<BegunRequest> {
    let mut begun: Vec<BegunRequest> = Vec::new();
    let mut cancelled = BTreeSet::new();
    let mut staying_left = staying;
    while staying_left > 0
        || begun
            .iter()
            .any(|request| disconnects(request.number) && !cancelled.contains(&request.stream))
    {
        match endpoint.receive().await.expect("the connection stays") {
            Frame::Request(stream, head) => {
                let number: usize = head.object.split('/').nth(2).unwrap().parse().unwrap();
                begun.push(BegunRequest { stream, number });
                staying_left -= !disconnects(number) as usize;
            }
            Frame::Cancel(stream, _) => drop(cancelled.insert(stream)),
            _ => {}
        }
    }
    begun
}
