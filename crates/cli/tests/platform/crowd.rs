//! Descriptors used up, by clients that say nothing or read nothing and by members; starts while discovery is of no use.
use crate::stage::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// An address at which nobody listens.
fn nobody() -> SocketAddr {
    (own_ip(), 9).into()
}

fn limited(text: String, sockets: u64) -> String {
    let told = "\"sockets\":256";
    assert!(text.contains(told));
    text.replace(told, &format!("\"sockets\":{sockets}"))
}

/// Asks on new connections until one of them is answered: some may be closed unread while a crowd is there.
async fn asked_until_answered(at: SocketAddr) -> Answer {
    let asking = async {
        loop {
            let mut client = Client::connect(at).await;
            // It may be closed before that is written.
            let _ = client
                .write
                .write_all(&request(1, "/ops/page", &[], b""))
                .await;
            if let Some(answer) = client.end(1).await {
                return answer;
            }
        }
    };
    timeout(PATIENCE, asking).await.expect("answered in time")
}

/// Connections that say nothing and are made again as soon as they are closed, until dropped.
struct Crowd(Vec<tokio::task::JoinHandle<()>>);

impl Crowd {
    async fn gather(at: SocketAddr, size: usize) -> Self {
        let made = Arc::new(AtomicUsize::new(0));
        let idle = |made: Arc<AtomicUsize>| async move {
            loop {
                let Ok(socket) = TcpStream::connect(at).await else {
                    continue;
                };
                made.fetch_add(1, Ordering::SeqCst);
                let _ = socket.readable().await;
            }
        };
        let crowd = Self(
            (0..size)
                .map(|_| tokio::spawn(idle(made.clone())))
                .collect(),
        );
        let all = async {
            while made.load(Ordering::SeqCst) < size {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(PATIENCE, all).await.expect("the crowd is there");
        crowd
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.iter().for_each(|idle| idle.abort());
    }
}

/// Idle clients take all that clients may have, discovery is down, and a new configuration names another one: the watch comes
/// back, a host that drains is heard of, and what is asked then goes elsewhere.
#[tokio::test]
async fn idle_clients_fill_the_descriptors_while_discovery_is_down() {
    let (cache, origin) = (
        host(|id, _| served(id, "old")).await,
        host(|id, _| served(id, "origin")).await,
    );
    let hosts = [
        listed("s-1", cache.at, "box", "Ready"),
        listed("o-1", origin.at, "origin", "Ready"),
    ];
    let down = nobody();
    let dispatcher =
        Dispatcher::spawn_bounded(Some(96), |at| limited(config(at, down, &hosts), 96)).await;
    let crowd = Crowd::gather(dispatcher.at, 300).await;
    assert_eq!(asked_until_answered(dispatcher.at).await.body, b"old");
    let mut next = board().await;
    std::fs::write(
        &dispatcher.config,
        limited(config(dispatcher.at, next.at, &hosts), 96),
    )
    .unwrap();
    dispatcher.signal("-HUP");
    let (last, say) = next.poll().await;
    assert_eq!(last, 1, "the watch goes on from what is known");
    let other = host(|id, _| served(id, "other")).await;
    let told = [
        listed("s-1", cache.at, "box", "Terminating"),
        listed("s-2", other.at, "box", "Ready"),
    ]
    .join(",");
    say.send(event(
        2,
        &format!("\"pool\":{{\"seq\":2,\"whole\":false,\"hosts\":[{told}]}}"),
    ))
    .unwrap();
    drop(say);
    // It asks on from there: the event is taken by then.
    assert_eq!(next.poll().await.0, 2);
    for _ in 0..20 {
        let answer = asked_until_answered(dispatcher.at).await;
        assert!(answer.body != b"old", "sent to a host that drains");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    drop(crowd);
}

/// More hosts than connections to members may be: what finds none free goes to another host, none is blamed for it, and the
/// bound holds.
#[tokio::test]
async fn without_a_descriptor_for_a_member_another_one_serves() {
    let board = board().await;
    let mut hosts = Vec::new();
    for n in 0..24 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        hosts.push(listed(
            &format!("s-{n}"),
            listener.local_addr().unwrap(),
            "box",
            "Ready",
        ));
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(answer_pulls(socket));
            }
        });
    }
    let board_at = board.at;
    let dispatcher =
        Dispatcher::spawn_bounded(Some(64), |at| limited(config(at, board_at, &hosts), 64)).await;
    let mut client = Client::connect(dispatcher.at).await;
    let mut most = 0;
    for n in 0..200u16 {
        let row = format!(
            "{:016x}",
            0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(u64::from(n) + 1)
        );
        client
            .ask(n + 1, "/ops/page", &[("HTTP_X_ROW", &row)], b"")
            .await;
        let answer = client.answer(n + 1).await;
        assert_eq!(answer.status, 200, "request {n}: {answer:?}");
        most = most.max(dispatcher.descriptors());
    }
    println!("{most} descriptors at once for 24 members, of 64");
    // Two fifths are clients', of which there is one; 24 its own; the other 15 are for members, and one more while one closes.
    assert!(most <= 15 + 1 + 24 + 1, "{most}");
}

pub async fn answer_pulls(socket: TcpStream) {
    let mut socket = BufReader::new(socket);
    let mut line = String::new();
    while matches!(socket.read_line(&mut line).await, Ok(1..)) {
        let text = std::mem::take(&mut line);
        let reply = match text.split_whitespace().collect::<Vec<_>>()[..] {
            ["PULL", id, ..] => served(id, "good"),
            ["ECHO", tag] => format!("{tag} green - 0\r\n\r\n").into_bytes(),
            _ => continue,
        };
        if socket.write_all(&reply).await.is_err() {
            return;
        }
    }
}

/// Fewer descriptors than it was told of, and a crowd that takes them all: who was there is answered, refused or closed, and
/// once the crowd is gone all is as before.
#[tokio::test]
async fn with_all_descriptors_taken_it_answers_refuses_or_closes() {
    let (board, cache) = (board().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let board_at = board.at;
    let mut dispatcher =
        Dispatcher::spawn_bounded(Some(40), |at| config(at, board_at, &hosts)).await;
    let mut usual = Client::connect(dispatcher.at).await;
    usual.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(usual.answer(1).await.body, b"good");
    let crowd = Crowd::gather(dispatcher.at, 120).await;
    usual.ask(2, "/ops/page", &[], b"").await;
    if let Some(answer) = usual.end(2).await {
        assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    }
    assert!(dispatcher.runs());
    drop(crowd);
    let again = async { while asked_until_answered(dispatcher.at).await.status != 200 {} };
    timeout(PATIENCE, again)
        .await
        .expect("as before once the crowd is gone");
}

/// Clients that ask for much and read nothing: what is held for them stays within the memory that it was told of, and who reads is
/// served.
#[tokio::test]
async fn clients_that_read_nothing_are_held_within_the_memory() {
    let big = "x".repeat(400_000);
    let script = move |id: &str, fields: &str| match fields.contains("obj=aaaaaaaaaaaaaaaa") {
        true => served(id, &big),
        false => served(id, "good"),
    };
    let (board, cache) = (board().await, host(script).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut silent = Vec::new();
    for _ in 0..12 {
        let mut client = Client::connect(dispatcher.at).await;
        for id in 1..=32 {
            client
                .ask(id, "/ops/page", &[("HTTP_X_ROW", "aaaaaaaaaaaaaaaa")], b"")
                .await;
        }
        silent.push(client);
    }
    // Given up once it has taken nothing for the time that a client has: the connection ends though nothing was read.
    let served = async {
        loop {
            let answer = asked_until_answered(dispatcher.at).await;
            if answer.status == 200 {
                return answer;
            }
        }
    };
    assert_eq!(
        timeout(PATIENCE, served)
            .await
            .expect("served in the end")
            .body,
        b"good"
    );
    let peak = dispatcher.peak_kb();
    println!("peak {peak} kB, for 154 MB of answers that nobody reads");
    assert!(
        peak < 32 * 1024,
        "{peak} kB of the 32 MB that it was told of"
    );
}

/// Started again with discovery down, silent or behind, and with a `known` that is old: ready by its own word and serving. The
/// distribution is printed; that all of them get there is what is judged.
#[tokio::test]
async fn restarted_processes_are_ready_whatever_discovery_does() {
    let (silent, behind) = (held().await, board().await);
    let cache = host(|id, _| served(id, "good")).await;
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let boards = [
        ("down", nobody()),
        ("silent", silent.at),
        ("behind", behind.at),
    ];
    for (what, board) in boards {
        let mut starting = tokio::task::JoinSet::new();
        for _ in 0..10 {
            let hosts = hosts.clone();
            starting.spawn(async move {
                let began = Instant::now();
                // Ahead of what the board will tell.
                let known = |at| config(at, board, &hosts).replace("\"rev\":1", "\"rev\":7");
                let dispatcher = Dispatcher::spawn(known).await;
                while dispatcher.alive().await != 200 {}
                let ready = began.elapsed();
                let mut client = Client::connect(dispatcher.at).await;
                client.ask(1, "/ops/page", &[], b"").await;
                assert_eq!(client.answer(1).await.body, b"good");
                ready
            });
        }
        let mut ready = Vec::new();
        while let Some(one) = timeout(PATIENCE, starting.join_next())
            .await
            .expect("ready in time")
        {
            ready.push(one.unwrap().as_millis());
        }
        ready.sort();
        println!("discovery {what}: start to ready, ms: {ready:?}");
        assert_eq!(ready.len(), 10);
    }
}
