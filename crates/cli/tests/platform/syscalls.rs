//! System calls that fail as Linux documents: for the local machine's want, for a connection that died in the queue, for nothing
//! at all. Nobody loses an answer by it.
use crate::faults::{errno, Call, Faults};
use crate::stage::*;
use std::time::Duration;

/// A dispatcher with faults, with one cache host that is good.
async fn faulty() -> (Faults, Board, Host, Dispatcher) {
    let (board, cache) = (board().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let faults = Faults::new();
    let board_at = board.at;
    let dispatcher = Dispatcher::spawn_faulty(&faults, |at| config(at, board_at, &hosts)).await;
    assert_eq!(dispatcher.alive().await, 200);
    (faults, board, cache, dispatcher)
}

/// Connections that died in the queue, or a shortage of the whole machine, say nothing of those who rest here.
#[tokio::test]
async fn a_failed_accept_closes_nobody_who_rests() {
    let errors = [
        errno::ECONNABORTED,
        errno::EINTR,
        errno::ENETUNREACH,
        errno::ETIMEDOUT,
        errno::EHOSTUNREACH,
        errno::ENFILE,
        errno::ENOBUFS,
        errno::ENOMEM,
    ];
    let (faults, _board, _cache, dispatcher) = faulty().await;
    let mut resting = Vec::new();
    for _ in 0..40 {
        let mut client = Client::connect(dispatcher.at).await;
        client.ask(1, "/ops/page", &[], b"").await;
        assert_eq!(client.answer(1).await.body, b"good");
        resting.push(client);
    }
    for error in errors {
        faults.fail(Call::Accept, error, 3);
        let mut new = Client::connect(dispatcher.at).await;
        new.ask(1, "/ops/page", &[], b"").await;
        assert_eq!(new.answer(1).await.body, b"good", "error {error}");
        faults.spent(Call::Accept).await;
        for (n, client) in resting.iter_mut().enumerate() {
            // It may be closed before that is written.
            let _ = tokio::io::AsyncWriteExt::write_all(
                &mut client.write,
                &request(1, "/ops/page", &[], b""),
            )
            .await;
            let answer = client.end(1).await;
            assert!(
                answer.is_some_and(|a| a.body == b"good"),
                "error {error}: resting client {n} was closed"
            );
        }
    }
}

/// The door closes while accept fails: what waits in its queue is taken and answered all the same.
#[tokio::test]
async fn a_failed_accept_leaves_nobody_in_the_queue_of_a_door_that_closes() {
    for error in [errno::ECONNABORTED, errno::EINTR, errno::ENFILE] {
        let (faults, _board, _cache, dispatcher) = faulty().await;
        dispatcher.signal("-TERM");
        dispatcher.signal("-STOP");
        let mut queued = dispatcher.queue(12).await;
        // Longer than it serves on: it finds all of this, and that time over, in one moment.
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        faults.fail(Call::Accept, error, 3);
        dispatcher.signal("-CONT");
        for (n, client) in queued.iter_mut().enumerate() {
            let answer = client.end(1).await;
            assert!(
                answer.is_some_and(|a| matches!(a.status, 200 | 503)),
                "error {error}: queued client {n}"
            );
        }
        assert_eq!(dispatcher.exit().await, 0);
    }
}

/// The local machine's want of an address, a descriptor or memory, or a call that was interrupted, is no word about the host:
/// each costs one request at most, and the host is not held off.
#[tokio::test]
async fn a_local_shortage_is_no_word_about_a_host() {
    let connects = [
        errno::EADDRNOTAVAIL,
        errno::ENOBUFS,
        errno::ENETUNREACH,
        errno::EINTR,
    ];
    let sockets = [errno::ENFILE, errno::ENOBUFS, errno::ENOMEM];
    let connects = connects.map(|error| (Call::Connect, error));
    for (call, error) in connects
        .into_iter()
        .chain(sockets.map(|error| (Call::Socket, error)))
    {
        let (board, cache) = (board().await, host(|id, _| served(id, "good")).await);
        let hosts = [listed("s-1", cache.at, "box", "Ready")];
        let faults = Faults::new();
        let board_at = board.at;
        let dispatcher = Dispatcher::spawn_faulty(&faults, |at| config(at, board_at, &hosts)).await;
        let mut client = Client::connect(dispatcher.at).await;
        client.ask(1, "/ops/page", &[], b"").await;
        assert_eq!(client.answer(1).await.body, b"good");
        // Longer than its connections are kept: the next request needs a new one.
        faults.pass(Duration::from_secs(60));
        // Requests that are read in its first rounds after that count as buffered for a minute, and are rejected.
        dispatcher.catch_up().await;
        faults.fail(call, error, 4);
        let mut refused = 0;
        for n in 0..20u16 {
            client.ask(n + 1, "/ops/page", &[], b"").await;
            let answer = match client.end(n + 1).await {
                Some(answer) => answer,
                None => {
                    // It rested for too long by the clock that has jumped: closed, and asked again.
                    client = Client::connect(dispatcher.at).await;
                    client.ask(n + 1, "/ops/page", &[], b"").await;
                    client.answer(n + 1).await
                }
            };
            refused += u16::from(answer.status != 200);
        }
        println!("{call:?} {error}: {refused} of 20 refused");
        assert!(refused <= 4, "{call:?} {error}: {refused} of 20 refused");
        faults.spent(call).await;
    }
}

/// Calls that are interrupted, and reads and writes of a few bytes: every answer is whole.
#[tokio::test]
async fn interrupted_calls_and_short_reads_and_writes_cost_nothing() {
    let body = "0123456789".repeat(300);
    let (board, script) = (board().await, body.clone());
    let cache = host(move |id, _| served(id, &script)).await;
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let faults = Faults::new();
    let board_at = board.at;
    let dispatcher = Dispatcher::spawn_faulty(&faults, |at| config(at, board_at, &hosts)).await;
    let mut client = Client::connect(dispatcher.at).await;
    for (call, short) in [
        (None, 7),
        (Some(Call::Read), 0),
        (Some(Call::Write), 0),
        (Some(Call::Wait), 0),
        (Some(Call::Read), 7),
    ] {
        faults.short_io(short);
        for n in 1..=20 {
            if let Some(call) = call {
                faults.fail(call, errno::EINTR, 2);
            }
            client
                .ask(n, "/ops/page", &[("HTTP_X_ROW", &format!("{n:016x}"))], b"")
                .await;
            let answer = client.end(n).await;
            let answer = answer.unwrap_or_else(|| panic!("{call:?}, {short} bytes: closed"));
            assert_eq!(
                (answer.status, answer.body.len()),
                (200, body.len()),
                "{call:?}, {short} bytes"
            );
        }
    }
}
