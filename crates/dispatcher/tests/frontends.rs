//! Tests of the frontends over sockets: which connections are closed or rejected, and that no response is lost thereby.
mod support;

use pointspindle_dispatcher::Dispatcher;
use std::net::SocketAddr;
use support::{start_with, TEST_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Starts an endpoint that accepts connections and never answers, so that requests stay in progress.
async fn silent_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((socket, _)) = listener.accept().await {
            open.push(socket);
        }
    });
    address
}

async fn start(limits: &str) -> Dispatcher {
    let endpoint = silent_endpoint().await;
    start_with(&format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\ndrain_ms = 100\n{limits}\n\
         [zone b]\ndispatchers = 1\n[member one]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 4000\n"
    ))
    .await
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

async fn send_request(socket: &mut TcpStream, path: &str) {
    socket
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())
        .await
        .unwrap();
}

/// Reads until the peer closes, and returns the text.
async fn read_to_close(socket: &mut TcpStream) -> String {
    let mut text = Vec::new();
    timeout(TEST_TIMEOUT, socket.read_to_end(&mut text))
        .await
        .expect("the connection is closed before the timeout")
        .unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

/// Requests a path that no class serves, whose response leaves the connection open, and returns the response.
async fn request_not_found(socket: &mut TcpStream) -> String {
    send_request(socket, "/none").await;
    let mut buffer = vec![0; 4096];
    let read = timeout(TEST_TIMEOUT, socket.read(&mut buffer))
        .await
        .expect("the request is answered before the timeout")
        .unwrap();
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

#[tokio::test]
async fn soft_limit_exceeded_closes_longest_idle_connection() {
    let dispatcher = start("max_connections = 8\nsoft_connections = 3").await;
    let address = dispatcher.bound_addresses().http.unwrap();
    let mut open = Vec::new();
    for _ in 0..3 {
        let mut socket = connect(address).await;
        // The response shows that the dispatcher has accepted the connection.
        assert!(request_not_found(&mut socket)
            .await
            .starts_with("HTTP/1.1 404"));
        open.push(socket);
    }
    // Used again, so that it is no longer the connection that has been idle for longest.
    assert!(request_not_found(&mut open[0])
        .await
        .starts_with("HTTP/1.1 404"));
    let mut fourth = connect(address).await;
    assert_eq!(
        read_to_close(&mut open[1]).await,
        "",
        "the connection is closed without a byte"
    );
    assert!(request_not_found(&mut open[0])
        .await
        .starts_with("HTTP/1.1 404"));
    assert!(request_not_found(&mut fourth)
        .await
        .starts_with("HTTP/1.1 404"));
    dispatcher.stop().await;
}

#[tokio::test]
async fn connection_limit_reached_rejects_with_retry_after() {
    let dispatcher = start("max_connections = 3\nsoft_connections = 3").await;
    let http = dispatcher.bound_addresses().http.unwrap();
    let framed = dispatcher.bound_addresses().framed.unwrap();
    let mut open = Vec::new();
    for n in 0..3 {
        let mut socket = connect(http).await;
        assert!(request_not_found(&mut socket)
            .await
            .starts_with("HTTP/1.1 404"));
        send_request(&mut socket, &format!("/page/{n}")).await;
        open.push(socket);
    }
    // Once none of the three connections is closed in favour of a new one, their requests have been read.
    let rejection = loop {
        let mut rejected = connect(http).await;
        send_request(&mut rejected, "/page/late").await;
        let text = read_to_close(&mut rejected).await;
        if !text.is_empty() {
            break text;
        }
    };
    assert!(
        rejection.starts_with("HTTP/1.1 503") && rejection.contains("x-come-back-ms: 1000"),
        "{rejection}"
    );
    assert!(
        rejection.to_lowercase().contains("retry-after: 1"),
        "{rejection}"
    );
    let mut other = connect(framed).await;
    let goaway = read_to_close(&mut other).await;
    assert!(goaway.contains("come back after"), "{goaway:?}");
    for socket in &mut open {
        let mut buffer = vec![0; 4096];
        let read = timeout(TEST_TIMEOUT, socket.read(&mut buffer))
            .await
            .expect("the request is answered by its deadline")
            .unwrap();
        assert!(
            read > 0,
            "a request in progress was aborted for a new connection"
        );
    }
    dispatcher.stop().await;
}

#[tokio::test]
async fn address_limit_reached_closes_only_its_own_connections() {
    let dispatcher = start("max_connections = 100\naddress_connections = 2").await;
    let address = dispatcher.bound_addresses().http.unwrap();
    let mut first_two = Vec::new();
    for _ in 0..2 {
        let mut socket = connect(address).await;
        assert!(request_not_found(&mut socket)
            .await
            .starts_with("HTTP/1.1 404"));
        first_two.push(socket);
    }
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.9:0".parse().unwrap()).unwrap();
    let mut other = socket.connect(address).await.unwrap();
    assert!(
        request_not_found(&mut other)
            .await
            .starts_with("HTTP/1.1 404"),
        "the connection of another address stays open"
    );
    let mut third = connect(address).await;
    assert_eq!(
        read_to_close(&mut first_two[0]).await,
        "",
        "the connection of the same address that was idle for longest is closed"
    );
    assert!(request_not_found(&mut third)
        .await
        .starts_with("HTTP/1.1 404"));
    assert!(request_not_found(&mut other)
        .await
        .starts_with("HTTP/1.1 404"));
    dispatcher.stop().await;
}

#[tokio::test]
async fn idle_connection_is_closed_and_active_one_stays_open() {
    let dispatcher = start("idle_ms = 1000").await;
    let http = dispatcher.bound_addresses().http.unwrap();
    let framed = dispatcher.bound_addresses().framed.unwrap();
    let idle = connect(http).await;
    let mut active = connect(http).await;
    // Sends only probes, which do not count as use.
    let mut probing = connect(framed).await;
    probing
        .write_all(
            &[
                &pointspindle_protocol::frame::PREFACE[..],
                &[0, 0, 0, 0, 12, 0, 0, 0, 0],
            ]
            .concat(),
        )
        .await
        .unwrap();
    let mut buffer = [0; 64];
    let closed = loop {
        // Sends requests without a pause.
        assert!(request_not_found(&mut active)
            .await
            .starts_with("HTTP/1.1 404"));
        match idle.try_read(&mut buffer) {
            Ok(read) => break read,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => panic!("{e}"),
        }
    };
    assert_eq!(closed, 0, "the connection is closed without a byte");
    // The active connection stays open, because its last use is more recent than the idle timeout.
    assert!(request_not_found(&mut active)
        .await
        .starts_with("HTTP/1.1 404"));
    assert!(read_to_close(&mut probing)
        .await
        .contains("idle for too long"));
    dispatcher.stop().await;
}

/// Connections that wait in the accept queue with a request when the dispatcher stops are answered instead of being reset.
#[tokio::test]
async fn accept_queue_of_stopping_dispatcher_is_answered() {
    let dispatcher = start("").await;
    let address = dispatcher.bound_addresses().http.unwrap();
    // These calls block the only thread of the runtime, so that no connection is accepted in the meantime.
    let queued: Vec<std::net::TcpStream> = (0..16)
        .map(|_| {
            let mut socket = std::net::TcpStream::connect(address).unwrap();
            std::io::Write::write_all(&mut socket, b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n")
                .unwrap();
            socket.set_nonblocking(true).unwrap();
            socket
        })
        .collect();
    let stopping = tokio::spawn(dispatcher.stop());
    for (n, socket) in queued.into_iter().enumerate() {
        let mut text = Vec::new();
        let mut socket = TcpStream::from_std(socket).unwrap();
        let read = timeout(TEST_TIMEOUT, socket.read_to_end(&mut text))
            .await
            .expect("the connection is closed before the timeout");
        let text = String::from_utf8_lossy(&text).into_owned();
        assert!(
            read.is_ok() && text.starts_with("HTTP/1.1 404"),
            "connection {n}: {read:?}, {text:?}"
        );
    }
    assert!(stopping.await.unwrap());
}
