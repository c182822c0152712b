//! What a client has left: counted from when it sent, also where the dispatcher was not there to read; and clients with very
//! little.
use crate::faults::Faults;
use crate::stage::*;
use pointspindle_platform_protocol::fastcgi::{record, ABORT_REQUEST};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// A host is told at most what the client has left and this.
const SLACK: Duration = Duration::from_millis(150);

fn number(pull: &str, name: &str) -> u64 {
    let found = pull.split([',', ' ']).find_map(|f| f.strip_prefix(name));
    found
        .unwrap_or_else(|| panic!("{name} in {pull}"))
        .parse()
        .unwrap()
}

/// Stopped for a second: requests that came meanwhile, one by one and in a batch, on a new connection and on one that rested,
/// have a second less.
#[tokio::test]
async fn time_in_the_systems_buffers_counts() {
    let (board, mut cache) = (board().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut rested = Client::connect(dispatcher.at).await;
    rested.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(rested.answer(1).await.status, 200);
    cache.next("PULL").await;
    for ttl_ms in [1_500u64, 4_000] {
        dispatcher.signal("-STOP");
        let sent = Instant::now();
        let ttl = ttl_ms.to_string();
        let mut new = Client::connect(dispatcher.at).await;
        for client in [&mut rested, &mut new] {
            let batch: Vec<u8> = (1..=8)
                .flat_map(|id| request(id, "/ops/page", &[("HTTP_X_TTL_MS", &ttl)], b"").to_vec())
                .collect();
            client.write.write_all(&batch).await.unwrap();
        }
        let written = Instant::now();
        tokio::time::sleep(Duration::from_secs(1)).await;
        dispatcher.signal("-CONT");
        let mut answered = 0;
        for client in [&mut rested, &mut new] {
            for id in 1..=8 {
                answered += usize::from(client.answer(id).await.status == 200);
            }
        }
        assert!(answered > 0, "there was time for some");
        for _ in 0..answered {
            let (pull, _) = cache.next("PULL").await;
            let left = Duration::from_millis(ttl_ms)
                .saturating_sub(written - sent + Duration::from_secs(1));
            let told = Duration::from_millis(number(&pull, "ms="));
            assert!(told <= left + SLACK, "{ttl_ms} ms, a second ago: {pull}");
        }
    }
}

/// Requests that come while it runs are not charged for an earlier pause.
#[tokio::test]
async fn a_pause_is_charged_to_what_waited_through_it_alone() {
    let (board, mut cache) = (board().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    dispatcher.signal("-STOP");
    tokio::time::sleep(Duration::from_secs(1)).await;
    dispatcher.signal("-CONT");
    dispatcher.catch_up().await;
    client
        .ask(1, "/ops/page", &[("HTTP_X_TTL_MS", "4000")], b"")
        .await;
    assert_eq!(client.answer(1).await.status, 200);
    let (pull, _) = cache.next("PULL").await;
    assert!(number(&pull, "ms=") > 3_000, "{pull}");
}

/// From 1 to 20 ms, at a host that drops them without a word: each has one answer, and the host was told of no more time.
#[tokio::test]
async fn requests_with_very_little_time_left_have_an_answer_each() {
    let (board, mut cache) = (board().await, host(|_, _| Vec::new()).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    for ttl_ms in 1..=40u16 {
        let ttl = ttl_ms.to_string();
        for (id, class) in [(1, "/ops/page"), (2, "/ops/submit")] {
            let key = ("HTTP_X_TXN_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
            let body: &[u8] = if id == 2 { b"x" } else { b"" };
            client
                .ask(id, class, &[("HTTP_X_TTL_MS", &ttl), key], body)
                .await;
        }
        for id in 1..=2 {
            assert!(
                matches!(client.answer(id).await.status, 502 | 503),
                "{ttl_ms} ms"
            );
        }
        while let Ok((line, _)) = cache.heard.try_recv() {
            assert!(
                !line.starts_with("PULL") || number(&line, "ms=") <= u64::from(ttl_ms),
                "{ttl_ms}: {line}"
            );
        }
    }
}

/// Twenty minutes pass at once, all timers with them: discovery that falls silent then is asked again, and requests are served.
#[tokio::test]
async fn after_a_long_time_all_goes_on() {
    let (mut board, cache) = (board().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let faults = Faults::new();
    let board_at = board.at;
    let dispatcher = Dispatcher::spawn_faulty(&faults, |at| config(at, board_at, &hosts)).await;
    let (_, first) = board.poll().await;
    for round in 0..3 {
        // The stream is read by now, and nothing comes on it any more: data that arrives with the passing time would show a
        // stream that lives.
        dispatcher.catch_up().await;
        board.fall_silent();
        faults.pass(Duration::from_secs(1_200));
        // The stream counts as silent by then.
        let (last, _say) = board.poll().await;
        assert_eq!(last, 1, "round {round}");
        dispatcher.catch_up().await;
        let mut client = Client::connect(dispatcher.at).await;
        for id in 1..=5 {
            client.ask(id, "/ops/page", &[], b"").await;
            assert_eq!(client.answer(id).await.body, b"good", "round {round}");
        }
    }
    drop(first);
}

/// A client takes its request back while the process does not run, and the next attempt is due by then: it is not made.
#[tokio::test]
async fn who_left_while_the_process_did_not_run_is_not_sent_on() {
    let full = |id: &str, _: &str| format!("{id} overload res=crowded 0\r\n\r\n").into_bytes();
    let (board, mut origin) = (board().await, host(full).await);
    let hosts = [listed("o-1", origin.at, "origin", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    for round in 0..8u64 {
        let txn = format!("9b1f03aa00ee{round:04x}");
        let key = ("HTTP_X_TXN_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        client
            .ask(1, "/ops/submit", &[("HTTP_X_TXN", &txn), key], b"x")
            .await;
        origin.next(&format!("PULL {txn}")).await;
        // Refused for want of room: it is tried again a little later.
        tokio::time::sleep(Duration::from_millis(20)).await;
        dispatcher.signal("-STOP");
        while origin.heard.try_recv().is_ok() {}
        let mut abort = bytes::BytesMut::new();
        record(&mut abort, ABORT_REQUEST, 1, &[]);
        client.write.write_all(&abort).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        dispatcher.signal("-CONT");
        assert_eq!(
            client.answer(1).await.status,
            0,
            "round {round}: an end without an answer"
        );
        assert_eq!(dispatcher.alive().await, 200);
        while let Ok((line, _)) = origin.heard.try_recv() {
            assert!(!line.starts_with("PULL"), "round {round}: {line}");
        }
    }
}
