//! The doors over sockets: who makes room, who is turned away, and that nobody loses an answer by it.
use pointspindle_config::parse;
use pointspindle_dispatcher::Dispatcher;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(10);

/// A member that takes everything and answers nothing, so that requests stay under way.
async fn mute() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((socket, _)) = listener.accept().await {
            held.push(socket);
        }
    });
    at
}

async fn start(limits: &str) -> Dispatcher {
    let endpoint = mute().await;
    let text = format!(
        "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\ndrain_ms = 100\n{limits}\n\
         [zone b]\ndispatchers = 1\n[member one]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /page/\ndeadline_ms = 4000\n"
    );
    let settings = parse("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::start(settings, 1).await.unwrap()
}

async fn connect(at: SocketAddr) -> TcpStream {
    TcpStream::connect(at).await.unwrap()
}

async fn ask(socket: &mut TcpStream, path: &str) {
    socket
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())
        .await
        .unwrap();
}

/// Everything until the peer closes.
async fn rest(socket: &mut TcpStream) -> String {
    let mut text = Vec::new();
    timeout(PATIENCE, socket.read_to_end(&mut text))
        .await
        .expect("closed in time")
        .unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

/// An answer without closing: to a path that no class serves.
async fn short(socket: &mut TcpStream) -> String {
    ask(socket, "/none").await;
    let mut buffer = vec![0; 4096];
    let read = timeout(PATIENCE, socket.read(&mut buffer))
        .await
        .expect("answered")
        .unwrap();
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

#[tokio::test]
async fn over_the_soft_limit_the_longest_idle_connection_makes_room() {
    let dispatcher = start("max_connections = 8\nsoft_connections = 3").await;
    let at = dispatcher.bound_addresses().http.unwrap();
    let mut held = Vec::new();
    for _ in 0..3 {
        let mut socket = connect(at).await;
        // Known to the door: it has answered something.
        assert!(short(&mut socket).await.starts_with("HTTP/1.1 404"));
        held.push(socket);
    }
    // Used again: it is not the longest idle one any more.
    assert!(short(&mut held[0]).await.starts_with("HTTP/1.1 404"));
    let mut fourth = connect(at).await;
    assert_eq!(rest(&mut held[1]).await, "", "closed between requests");
    assert!(short(&mut held[0]).await.starts_with("HTTP/1.1 404"));
    assert!(short(&mut fourth).await.starts_with("HTTP/1.1 404"));
    dispatcher.stop().await;
}

#[tokio::test]
async fn full_of_requests_under_way_newcomers_are_told_when_to_come_back() {
    let dispatcher = start("max_connections = 3\nsoft_connections = 3").await;
    let (http, framed) = (
        dispatcher.bound_addresses().http.unwrap(),
        dispatcher.bound_addresses().framed.unwrap(),
    );
    let mut held = Vec::new();
    for n in 0..3 {
        let mut socket = connect(http).await;
        assert!(short(&mut socket).await.starts_with("HTTP/1.1 404"));
        ask(&mut socket, &format!("/page/{n}")).await;
        held.push(socket);
    }
    // Their requests have been read once none of the three is closed for a newcomer any more.
    let refused = loop {
        let mut late = connect(http).await;
        ask(&mut late, "/page/late").await;
        let text = rest(&mut late).await;
        if !text.is_empty() {
            break text;
        }
    };
    assert!(
        refused.starts_with("HTTP/1.1 503") && refused.contains("x-come-back-ms: 1000"),
        "{refused}"
    );
    assert!(
        refused.to_lowercase().contains("retry-after: 1"),
        "{refused}"
    );
    let mut other = connect(framed).await;
    let words = rest(&mut other).await;
    assert!(words.contains("come back after"), "{words:?}");
    for socket in &mut held {
        let mut buffer = vec![0; 4096];
        let read = timeout(PATIENCE, socket.read(&mut buffer))
            .await
            .expect("answered by its deadline")
            .unwrap();
        assert!(read > 0, "a request under way was given up for a newcomer");
    }
    dispatcher.stop().await;
}

#[tokio::test]
async fn one_address_with_many_connections_leaves_room_for_others() {
    let dispatcher = start("max_connections = 100\naddress_connections = 2").await;
    let at = dispatcher.bound_addresses().http.unwrap();
    let mut mine = Vec::new();
    for _ in 0..2 {
        let mut socket = connect(at).await;
        assert!(short(&mut socket).await.starts_with("HTTP/1.1 404"));
        mine.push(socket);
    }
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.9:0".parse().unwrap()).unwrap();
    let mut other = socket.connect(at).await.unwrap();
    assert!(
        short(&mut other).await.starts_with("HTTP/1.1 404"),
        "another address is not touched"
    );
    let mut third = connect(at).await;
    assert_eq!(
        rest(&mut mine[0]).await,
        "",
        "its own longest idle one made room"
    );
    assert!(short(&mut third).await.starts_with("HTTP/1.1 404"));
    assert!(short(&mut other).await.starts_with("HTTP/1.1 404"));
    dispatcher.stop().await;
}

#[tokio::test]
async fn a_connection_idle_for_too_long_is_closed_and_one_in_use_is_not() {
    let dispatcher = start("idle_ms = 1000").await;
    let (http, framed) = (
        dispatcher.bound_addresses().http.unwrap(),
        dispatcher.bound_addresses().framed.unwrap(),
    );
    let (idle, mut used) = (connect(http).await, connect(http).await);
    // Speaks the protocol, and asks for nothing but echoes: as idle as the other.
    let mut pinging = connect(framed).await;
    pinging
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
        // In use all the time, without a wait in between.
        assert!(short(&mut used).await.starts_with("HTTP/1.1 404"));
        match idle.try_read(&mut buffer) {
            Ok(read) => break read,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => panic!("{e}"),
        }
    };
    assert_eq!(closed, 0, "closed between requests, without a word");
    // Its last use was a moment ago, and not a second.
    assert!(short(&mut used).await.starts_with("HTTP/1.1 404"));
    assert!(rest(&mut pinging).await.contains("idle for too long"));
    dispatcher.stop().await;
}

/// Connections that wait in the queue, each with a request on it, as the dispatcher is told to stop: none is reset unread.
#[tokio::test]
async fn what_waits_in_the_queue_of_a_door_that_closes_is_answered() {
    let dispatcher = start("").await;
    let at = dispatcher.bound_addresses().http.unwrap();
    // Blocking, on the runtime's one thread: none of them is accepted meanwhile.
    let queued: Vec<std::net::TcpStream> = (0..16)
        .map(|_| {
            let mut socket = std::net::TcpStream::connect(at).unwrap();
            std::io::Write::write_all(&mut socket, b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n")
                .unwrap();
            socket.set_nonblocking(true).unwrap();
            socket
        })
        .collect();
    let stopped = tokio::spawn(dispatcher.stop());
    for (n, socket) in queued.into_iter().enumerate() {
        let mut text = Vec::new();
        let mut socket = TcpStream::from_std(socket).unwrap();
        let read = timeout(PATIENCE, socket.read_to_end(&mut text))
            .await
            .expect("closed in time");
        let text = String::from_utf8_lossy(&text).into_owned();
        assert!(
            read.is_ok() && text.starts_with("HTTP/1.1 404"),
            "connection {n}: {read:?}, {text:?}"
        );
    }
    assert!(stopped.await.unwrap());
}
