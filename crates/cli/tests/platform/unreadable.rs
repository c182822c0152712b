//! Bytes that are no record, behind good requests on one connection: what was taken whole is answered, nothing behind is taken.
use crate::stage::*;
use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

const TXN: (&str, &str) = ("HTTP_X_TXN", "9b1f03aa5c7e2d41");

fn begin(id: u16) -> Vec<u8> {
    let mut out = BytesMut::new();
    record(
        &mut out,
        BEGIN_REQUEST,
        id,
        &[0, 1, KEEP_CONN, 0, 0, 0, 0, 0],
    );
    out.to_vec()
}

/// What ends a connection: no records, and records that make no sense.
fn unreadable() -> Vec<(&'static str, Vec<u8>)> {
    let mut skipped = BytesMut::new();
    (0..8).for_each(|_| record(&mut skipped, STDIN, 77, &[b'x'; 60_000]));
    vec![
        ("no record", vec![0xff; 64]),
        (
            "an HTTP head",
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
        ),
        ("a request under the number of an open one", begin(1)),
        ("a request without a number", begin(0)),
        ("much of requests that were over", skipped.to_vec()),
    ]
}

#[tokio::test]
async fn good_requests_are_answered_though_what_follows_cannot_be_read() {
    let (board, cache) = (board().await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut others = Vec::new();
    for (what, bytes) in unreadable() {
        let mut client = Client::connect(dispatcher.at).await;
        client.ask(1, "/ops/page", &[TXN], b"").await;
        let (pull, mut peer) = cache.pull(&mut others).await;
        let behind = request(9, "/ops/page", &[("HTTP_X_ROW", "00000000000000ee")], b"");
        client
            .write
            .write_all(&[bytes, behind.to_vec()].concat())
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(150)).await;
        peer.say(&served(id_of(&pull), "good")).await;
        let answer = client
            .end(1)
            .await
            .unwrap_or_else(|| panic!("{what}: closed without an answer"));
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (200, &b"good"[..]),
            "{what}"
        );
        assert!(
            client.end(9).await.is_none(),
            "{what}: taken behind what cannot be read, or not closed"
        );
        others.push(peer);
        // Had it been sent on, it would be heard before this one.
        let mut usual = Client::connect(dispatcher.at).await;
        usual.ask(1, "/ops/page", &[], b"").await;
        let (pull, mut peer) = cache.pull(&mut others).await;
        assert!(!pull.contains("00000000000000ee"), "{what}: {pull}");
        peer.say(&served(id_of(&pull), "usual")).await;
        assert_eq!(usual.answer(1).await.body, b"usual", "{what}");
        others.push(peer);
    }
}

/// It is still seen that such a client leaves: what it had open is given up at the host.
#[tokio::test]
async fn a_client_that_leaves_behind_unreadable_bytes_is_seen() {
    let (board, mut cache) = (board().await, host(silent_on_a).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    for (what, bytes) in unreadable() {
        let mut client = Client::connect(dispatcher.at).await;
        client
            .ask(
                1,
                "/ops/page",
                &[TXN, ("HTTP_X_ROW", "aaaaaaaaaaaaaaaa")],
                b"",
            )
            .await;
        cache.next(&format!("PULL {}", TXN.1)).await;
        client.write.write_all(&bytes).await.unwrap();
        assert_eq!(dispatcher.alive().await, 200, "{what}");
        drop(client);
        cache.next(&format!("KILL {}", TXN.1)).await;
    }
}
