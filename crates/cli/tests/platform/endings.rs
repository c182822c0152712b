//! What is still owed in the instant in which something ends: each crossing forced by the order of events, the stand-in
//! holding its byte, its accept, its answer or its event until the test says go. docs/design/endings.md lists them.
use crate::stage::*;
use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::*;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;

const KEY: (&str, &str) = ("HTTP_X_TXN_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
const TXN: (&str, &str) = ("HTTP_X_TXN", "9b1f03aa5c7e2d41");
/// Connections may take longer than usual to come up.
const PATIENT: (&str, &str) = ("\"DialTimeoutMs\":400.0", "\"DialTimeoutMs\":5000.0");

/// A late cache host, the origin, a board's stream, and a client whose first request waits for a connection to the former.
async fn waiting_request(fields: &[(&str, &str)]) -> (Late, Dispatcher, Say, Client, Board) {
    let (mut board, cache) = (board().await, late().await);
    let origin = host(|id, _| served(id, "good")).await;
    let hosts = [
        listed("s-1", cache.at, "box", "Ready"),
        listed("o-1", origin.at, "origin", "Ready"),
    ];
    let dispatcher = Dispatcher::start_with(board.at, &hosts, &[PATIENT]).await;
    let (_, say) = board.poll().await;
    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", fields, b"").await;
    // Answered after the first one was decided on.
    client.ask(2, "/ops/submit", &[KEY], b"x").await;
    assert_eq!(client.answer(2).await.status, 200);
    (cache, dispatcher, say, client, board)
}

/// All that a released host hears until the dispatcher has ended well.
async fn heard_by(cache: Late, dispatcher: Dispatcher, others: Vec<Client>) -> String {
    let cache = cache.release();
    let mut peer = cache.accept().await;
    // The filler of its queue comes first and says nothing.
    let filler = std::mem::replace(&mut peer, cache.accept().await);
    dispatcher.signal("-TERM");
    drop(others);
    assert_eq!(dispatcher.exit().await, 0);
    drop(filler);
    peer.rest().await
}

type Say = tokio::sync::mpsc::UnboundedSender<String>;

/// The second event: what is told beside the list, and in that a new host, which answers `other`. It is taken by then: the
/// stream ends behind it, and the board is asked again from its number on.
async fn told(board: &mut Board, say: Say, what: &str, listed_too: &[String]) -> (Host, Say) {
    let other = host(|id, _| served(id, "other")).await;
    let hosts = [&[listed("s-2", other.at, "box", "Ready")], listed_too]
        .concat()
        .join(",");
    let list = format!("\"pool\":{{\"seq\":2,\"whole\":false,\"hosts\":[{hosts}]}}");
    say.send(event(2, &format!("{what}{list}"))).unwrap();
    drop(say);
    let (last, say) = board.poll().await;
    assert_eq!(last, 2);
    (other, say)
}

#[tokio::test]
async fn a_host_drained_while_its_connection_comes_up_gets_nothing() {
    let (cache, dispatcher, say, mut client, mut board) = waiting_request(&[TXN]).await;
    let drained = listed("s-1", cache.at, "box", "Terminating");
    let (_other, _say) = told(&mut board, say, "", &[drained]).await;
    let heard = heard_by(cache, dispatcher, Vec::new()).await;
    assert!(!heard.contains("PULL"), "{heard}");
    assert_eq!(client.answer(1).await.body, b"other", "it went elsewhere");
}

#[tokio::test]
async fn a_client_that_leaves_while_a_connection_comes_up_is_not_sent_on() {
    let (cache, dispatcher, _say, mut client, _board) = waiting_request(&[TXN]).await;
    client.abort(1).await;
    let heard = heard_by(cache, dispatcher, vec![client]).await;
    assert!(!heard.contains("PULL"), "{heard}");
}

/// A purge (and a list beside it, in one event) that is told while the connection comes up; the line says what holds when
/// its first byte goes out, its time as well.
#[tokio::test]
async fn a_purge_and_the_time_are_those_of_the_first_byte() {
    let row = ("HTTP_X_ROW", "00000000000000aa");
    let patient = ("HTTP_X_TTL_MS", "5000");
    let (cache, _dispatcher, say, mut client, mut board) =
        waiting_request(&[TXN, row, patient]).await;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let purge = format!("\"flush\":{{\"asset\":\"{}\",\"ms\":{now}}},", row.1);
    let (_other, _say) = told(&mut board, say, &purge, &[]).await;
    let cache = cache.release();
    let mut others = Vec::new();
    let (pull, mut peer) = loop {
        let (pull, peer) = cache.pull(&mut others).await;
        if id_of(&pull) == TXN.1 {
            break (pull, peer);
        }
        others.push(peer);
    };
    let number = |name: &str| -> u64 {
        let found = pull.split([',', ' ']).find_map(|f| f.strip_prefix(name));
        found
            .unwrap_or_else(|| panic!("{name} in {pull}"))
            .parse()
            .unwrap()
    };
    assert!(
        number("cap=") < 12_000,
        "no copy from before the purge: {pull}"
    );
    assert!(number("ms=") < 4_900, "less time is left by then: {pull}");
    peer.say(&served(TXN.1, "late")).await;
    assert_eq!(client.answer(1).await.body, b"late");
}

/// What may not run twice and never got a connection in its time was never sent on: refused, not failed.
#[tokio::test]
async fn what_never_began_is_refused_at_its_deadline() {
    let (board, origin) = (board().await, late().await);
    let hosts = [listed("o-1", origin.at, "origin", "Ready")];
    let once = ("deduplicated", "at_most_once");
    let dispatcher = Dispatcher::start_with(board.at, &hosts, &[PATIENT, once]).await;
    let mut client = Client::connect(dispatcher.at).await;
    client
        .ask(1, "/ops/submit", &[("HTTP_X_TTL_MS", "400")], b"x")
        .await;
    let answer = client.answer(1).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    let heard = heard_by(origin, dispatcher, vec![client]).await;
    assert!(!heard.contains("PULL"), "{heard}");
}

/// A member closes an unused connection in the instant in which one that may not run twice is placed: nothing was sent, it
/// goes over another.
#[tokio::test]
async fn a_connection_closed_while_unused_takes_no_new_request() {
    let (board, origin) = (board().await, held().await);
    let hosts = [listed("o-1", origin.at, "origin", "Ready")];
    let once = ("deduplicated", "at_most_once");
    let dispatcher = Dispatcher::start_with(board.at, &hosts, &[once]).await;
    let mut client = Client::connect(dispatcher.at).await;
    let mut others = Vec::new();
    for n in 0..8 {
        client.ask(1, "/ops/submit", &[], b"x").await;
        let (pull, mut peer) = origin.pull(&mut others).await;
        peer.say(&served(id_of(&pull), "good")).await;
        assert_eq!(client.answer(1).await.status, 200, "round {n}");
        others.push(peer);
        // Both are there when it goes on: the close of all its connections, and the request.
        dispatcher.signal("-STOP");
        others.clear();
        client.ask(2, "/ops/submit", &[], b"x").await;
        dispatcher.signal("-CONT");
        let (pull, mut peer) = origin.pull(&mut others).await;
        peer.say(&served(id_of(&pull), "again")).await;
        assert_eq!(client.answer(2).await.body, b"again", "round {n}");
        others.push(peer);
    }
}

/// An answer that never ends, to a request that was given up, holds up nothing that comes after it.
#[tokio::test]
async fn behind_an_answer_without_an_end_nothing_new_is_placed() {
    let (board, cache) = (board().await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    let mut others = Vec::new();
    client.ask(1, "/ops/page", &[], b"").await;
    let (pull, mut blocked) = cache.pull(&mut others).await;
    blocked
        .say(
            format!(
                "{} served rev=77aa,since=1764576000123,res=mem 200000\r\nand then",
                id_of(&pull)
            )
            .as_bytes(),
        )
        .await;
    // In the dispatcher's buffers before the abort is.
    client.abort(1).await;
    // The blocked connection is the one with nothing under way: all at once, each must be heard elsewhere.
    for id in 1..=6 {
        client
            .ask(
                id,
                "/ops/page",
                &[("HTTP_X_ROW", &format!("{id:016x}"))],
                b"",
            )
            .await;
    }
    for _ in 1..=6 {
        let (pull, mut peer) = cache.pull(&mut others).await;
        peer.say(&served(id_of(&pull), "good")).await;
        others.push(peer);
    }
    for id in 1..=6 {
        assert_eq!(client.answer(id).await.body, b"good");
    }
    // It never ends: the connection does. Nothing but the KILL went there.
    let rest = blocked.rest().await;
    assert!(rest.starts_with("KILL") && !rest.contains("PULL"), "{rest}");
}

/// A second copy of an answer comes when its id is asked again, with another object: never taken for the new one's.
#[tokio::test]
async fn a_late_second_copy_is_not_the_answer_to_the_next_request_of_that_id() {
    let (board, cache) = (board().await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    let mut others = Vec::new();
    client.ask(1, "/ops/page", &[TXN], b"").await;
    let (_, mut first) = cache.pull(&mut others).await;
    first.say(&served(TXN.1, "first")).await;
    assert_eq!(client.answer(1).await.body, b"first");
    let from = first.socket.get_ref().peer_addr().unwrap();
    others.push(first);
    client
        .ask(
            2,
            "/ops/page",
            &[TXN, ("HTTP_X_ROW", "00000000000000bb")],
            b"",
        )
        .await;
    let (_, mut peer) = cache.pull(&mut others).await;
    if peer.socket.get_ref().peer_addr().unwrap() == from {
        peer.say(&served(TXN.1, "first")).await;
    }
    peer.say(&served(TXN.1, "second")).await;
    assert_eq!(client.answer(2).await.body, b"second");
}

/// A copy is called current only if the host has named that very copy.
#[tokio::test]
async fn only_the_copy_that_was_named_is_called_current() {
    let other = |id: &str, fields: &str| match fields.contains("inm=") {
        true => format!("{id} still_good rev=ffffffffffffffff,res=mem 0\r\n\r\n").into_bytes(),
        false => format!("{id} still_good res=mem 0\r\n\r\n").into_bytes(),
    };
    let (board, cache) = (board().await, host(other).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    client
        .ask(1, "/ops/page", &[("HTTP_X_GOT", "4be0c1927d55a6f3")], b"")
        .await;
    client.ask(2, "/ops/page", &[], b"").await;
    for id in 1..=2 {
        let answer = client.answer(id).await;
        assert!(
            answer.status != 200 && !answer.head.contains("X-Ok304"),
            "{answer:?}"
        );
    }
}

/// Requests on connections that wait in the door's queue, and on one that is idle, when the door closes: each is answered.
#[tokio::test]
async fn what_has_come_when_the_door_closes_is_answered() {
    let (board, cache) = (board().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut idle = Client::connect(dispatcher.at).await;
    idle.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(idle.answer(1).await.status, 200);
    dispatcher.signal("-TERM");
    dispatcher.signal("-STOP");
    let mut queued = dispatcher.queue(12).await;
    idle.ask(2, "/ops/page", &[], b"").await;
    // Longer than the time for which it serves on: it finds all of this, and that time over, in one moment.
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    dispatcher.signal("-CONT");
    let answer = idle.answer(2).await;
    assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    for client in &mut queued {
        let answer = client.answer(1).await;
        assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    }
    assert_eq!(dispatcher.exit().await, 0);
}

/// Told to end, told again, and told of a new board meanwhile: that is followed, for attempts are still made; what is open is
/// answered, and the end is a good one.
#[tokio::test]
async fn signals_while_it_ends_change_nothing_and_a_new_board_is_followed() {
    let (mut first, cache) = (board().await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(first.at, &hosts).await;
    first.poll().await;
    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", &[], b"").await;
    let (pull, mut peer) = cache.pull(&mut Vec::new()).await;
    dispatcher.signal("-TERM");
    let mut second = board().await;
    // Half written when the signal comes; whole later, without another one.
    let whole = config(dispatcher.at, second.at, &[]);
    std::fs::write(&dispatcher.config, &whole[..whole.len() / 2]).unwrap();
    for signal in ["-HUP", "-TERM", "-INT"] {
        dispatcher.signal(signal);
    }
    // It has read the half: a new connection is answered after that.
    assert_ne!(dispatcher.alive().await, 0);
    std::fs::write(&dispatcher.config, &whole).unwrap();
    assert_eq!(second.poll().await.0, 1);
    peer.say(&served(id_of(&pull), "good")).await;
    assert_eq!(client.answer(1).await.body, b"good");
    assert!(client.end(2).await.is_none());
    assert_eq!(dispatcher.exit().await, 0);
}

/// `known` of a new configuration is ahead of what was heard, with a gap: the board is asked for what is missing.
#[tokio::test]
async fn a_gap_in_a_new_configuration_is_asked_for() {
    let (mut first, cache) = (board().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(first.at, &hosts).await;
    assert_eq!(first.poll().await.0, 1);
    let mut second = board().await;
    let ahead = config(dispatcher.at, second.at, &hosts).replace("\"rev\":1", "\"rev\":5");
    std::fs::write(&dispatcher.config, ahead).unwrap();
    dispatcher.signal("-HUP");
    assert_eq!(second.poll().await.0, 1, "2 to 4 were never heard");
}

/// A board that takes the connection and never answers is left for another try.
#[tokio::test]
async fn a_board_that_never_answers_is_asked_again() {
    let (silent, cache) = (held().await, host(|id, _| served(id, "good")).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(silent.at, &hosts).await;
    let first = silent.accept().await;
    let second = silent.accept().await;
    let mut usual = Client::connect(dispatcher.at).await;
    usual.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(usual.answer(1).await.status, 200);
    drop((first, second));
}

/// A crowded board begins each answer after two seconds: it is heard all the same.
#[tokio::test]
async fn a_board_that_is_slow_to_answer_is_heard() {
    let (mut slow, cache) = (slow_board(Duration::from_secs(2)).await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(slow.at, &hosts).await;
    let other = host(|id, _| served(id, "other")).await;
    let change = [
        listed("s-1", cache.at, "box", "Terminating"),
        listed("s-2", other.at, "box", "Ready"),
    ]
    .join(",");
    let change = event(
        2,
        &format!("\"pool\":{{\"seq\":2,\"whole\":false,\"hosts\":[{change}]}}"),
    );
    // Each answer tells it, whether it is still wanted or not; once it is taken the board is asked from its number on.
    let heard = async {
        loop {
            let (last, say) = slow.poll().await;
            if last == 2 {
                return;
            }
            let _ = say.send(change.clone());
        }
    };
    tokio::time::timeout(PATIENCE, heard)
        .await
        .expect("heard in the end");
    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(client.answer(1).await.body, b"other");
}

/// Good requests on a connection that is closed for what else came on it, or with one that is never whole: answered first.
#[tokio::test]
async fn good_requests_are_answered_before_their_connection_is_closed() {
    let (board, cache) = (board().await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut others = Vec::new();

    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", &[], b"").await;
    let (pull, mut peer) = cache.pull(&mut others).await;
    for id in 2..=20 {
        client.ask(id, "/ops/none", &[], b"").await;
    }
    assert_eq!(client.answer(2).await.status, 400);
    // All of it is read: a new connection is answered after that.
    assert_eq!(dispatcher.alive().await, 200);
    peer.say(&served(id_of(&pull), "good")).await;
    others.push(peer);
    assert_eq!(client.answer(1).await.body, b"good");
    assert!(client.end(99).await.is_none(), "closed then");

    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", &[], b"").await;
    let (pull, peer) = cache.pull(&mut others).await;
    others.push(peer);
    let mut half = BytesMut::new();
    record(
        &mut half,
        BEGIN_REQUEST,
        2,
        &[0, 1, KEEP_CONN, 0, 0, 0, 0, 0],
    );
    client.write.write_all(&half).await.unwrap();
    // Meanwhile the host gives its signs of life.
    let cut = tokio::select! {
        cut = client.answer(2) => cut,
        (pull, _) = cache.pull(&mut others) => panic!("{pull}"),
    };
    assert_eq!(cut.status, 400, "not whole in time");
    for peer in &mut others {
        peer.say(&served(id_of(&pull), "good")).await;
    }
    assert_eq!(client.answer(1).await.body, b"good");
}

/// Exactly as many as may be open, one more, and a close with all of them open: each is given up where it was sent, and
/// nothing of them is kept.
#[tokio::test]
async fn a_close_with_all_open_gives_all_up() {
    for leaves in ["close", "reset", "half-close"] {
        all_open_are_given_up(leaves).await;
    }
}

async fn all_open_are_given_up(leaves: &str) {
    let (board, mut cache) = (board().await, host(silent_on_a).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    let txns: Vec<String> = (1..=33).map(|n| format!("9b1f03aa000000{n:02x}")).collect();
    let row = ("HTTP_X_ROW", "aaaaaaaaaaaaaaaa");
    for (n, txn) in txns.iter().enumerate() {
        client
            .ask(n as u16 + 1, "/ops/page", &[("HTTP_X_TXN", txn), row], b"")
            .await;
    }
    let more = client.answer(33).await;
    assert_eq!(
        (more.status, more.body.len()),
        (0, 0),
        "overloaded, by the protocol's own word"
    );
    let (pull, _) = cache.next("PULL").await;
    match leaves {
        "half-close" => client.write.shutdown().await.unwrap(),
        "reset" => client.reset(),
        _ => drop(client),
    }
    cache.next(&format!("KILL {}", id_of(&pull))).await;
    // The same ids are free again.
    let mut again = Client::connect(dispatcher.at).await;
    for txn in &txns[..32] {
        again.ask(1, "/ops/page", &[("HTTP_X_TXN", txn)], b"").await;
        assert_eq!(again.answer(1).await.body, b"good");
    }
}

/// A second new board is named before the first new one has spoken: the old one is read on until the last one speaks.
#[tokio::test]
async fn the_old_board_is_read_until_the_last_named_one_speaks() {
    let (mut first, silent, cache) = (
        board().await,
        held().await,
        host(|id, _| served(id, "good")).await,
    );
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(first.at, &hosts).await;
    let (_, say) = first.poll().await;
    std::fs::write(&dispatcher.config, config(dispatcher.at, silent.at, &hosts)).unwrap();
    dispatcher.signal("-HUP");
    let asked = silent.accept().await;
    let (_other, _say) = told(&mut first, say, "", &[]).await;
    let mut last = board().await;
    std::fs::write(&dispatcher.config, config(dispatcher.at, last.at, &hosts)).unwrap();
    dispatcher.signal("-HUP");
    assert_eq!(
        last.poll().await.0,
        2,
        "what the old one told meanwhile is known"
    );
    drop(asked);
}

/// Hundreds sent at once by clients that are gone in the same moment: what had begun is given up at its host, the rest never
/// goes out, and nothing is kept.
#[tokio::test]
async fn hundreds_sent_at_once_by_clients_that_go_leave_nothing() {
    let (board, mut cache) = (board().await, host(silent_on_a).await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    for _ in 0..8 {
        let mut client = Client::connect(dispatcher.at).await;
        for id in 1..=32 {
            client
                .ask(id, "/ops/page", &[("HTTP_X_ROW", "aaaaaaaaaaaaaaaa")], b"")
                .await;
        }
    }
    let mut usual = Client::connect(dispatcher.at).await;
    usual.ask(1, "/ops/page", &[TXN], b"").await;
    assert_eq!(usual.answer(1).await.body, b"good");
    let mut open = std::collections::BTreeSet::new();
    let mut seen = false;
    let quiet = async {
        while !seen || !open.is_empty() {
            let (line, _) = cache.heard.recv().await.unwrap();
            let id = id_of(&line).to_owned();
            match line.split(' ').next() {
                Some("PULL") if id == TXN.1 => seen = true,
                Some("PULL") => assert!(open.insert(id), "{line}"),
                Some("KILL") => assert!(open.remove(&id), "{line}"),
                _ => {}
            }
        }
    };
    tokio::time::timeout(PATIENCE, quiet)
        .await
        .expect("all that began is given up");
}

/// Ten new configurations in a row, each with another board, one of them half written and one dead, and SIGTERM among them: the
/// last one is followed, what is open is answered, and the end is a good one.
#[tokio::test]
async fn ten_new_configurations_in_a_row_and_sigterm_within_them() {
    let (first, cache) = (board().await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(first.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", &[], b"").await;
    let (pull, mut peer) = cache.pull(&mut Vec::new()).await;
    let dead = (own_ip(), 9).into();
    let mut boards = Vec::new();
    for n in 0..10 {
        let next = board().await;
        let at = if n == 6 { dead } else { next.at };
        let whole = config(dispatcher.at, at, &hosts);
        let part = if n == 4 { whole.len() / 2 } else { whole.len() };
        std::fs::write(&dispatcher.config, &whole[..part]).unwrap();
        dispatcher.signal("-HUP");
        if n == 8 {
            dispatcher.signal("-TERM");
        }
        boards.push(next);
    }
    let mut last = boards.pop().unwrap();
    let (known, say) = last.poll().await;
    assert_eq!(known, 1);
    say.send(event(
        2,
        "\"flush\":{\"asset\":\"00000000000000aa\",\"ms\":1}",
    ))
    .unwrap();
    drop(say);
    assert_eq!(last.poll().await.0, 2, "what it tells is taken");
    peer.say(&served(id_of(&pull), "good")).await;
    assert_eq!(client.answer(1).await.body, b"good");
    assert!(client.end(2).await.is_none());
    assert_eq!(dispatcher.exit().await, 0);
}

/// A new host stands at the address of one that has gone, while an answer of the old one is still on its way: each answer is its
/// own request's.
#[tokio::test]
async fn a_new_host_at_the_address_of_one_that_has_gone_takes_no_answer_of_it() {
    let (mut board, cache) = (board().await, held().await);
    let hosts = [listed("s-1", cache.at, "box", "Ready")];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let (_, say) = board.poll().await;
    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", &[TXN], b"").await;
    let mut others = Vec::new();
    let (_, mut old) = cache.pull(&mut others).await;
    let from = old.socket.get_ref().peer_addr().unwrap();
    let change = [
        listed("s-1", cache.at, "box", "Gone"),
        listed("s-9", cache.at, "box", "Ready"),
    ]
    .join(",");
    say.send(event(
        2,
        &format!("\"pool\":{{\"seq\":2,\"whole\":false,\"hosts\":[{change}]}}"),
    ))
    .unwrap();
    drop(say);
    assert_eq!(board.poll().await.0, 2);
    client
        .ask(2, "/ops/page", &[("HTTP_X_ROW", "00000000000000bb")], b"")
        .await;
    let (pull, mut new) = cache.pull(&mut others).await;
    assert_ne!(
        new.socket.get_ref().peer_addr().unwrap(),
        from,
        "its own connection: {pull}"
    );
    old.say(&served(TXN.1, "old")).await;
    new.say(&served(id_of(&pull), "new")).await;
    assert_eq!(client.answer(1).await.body, b"old");
    assert_eq!(client.answer(2).await.body, b"new");
}

/// A keyed request that may have run, with no connection for a second attempt until its key is forgotten: nothing goes out again.
#[tokio::test]
async fn a_keyed_request_does_not_begin_again_after_its_window() {
    let (board, origin, parent) = (board().await, held().await, late().await);
    let hosts = [
        listed("o-1", origin.at, "origin", "Ready"),
        listed("p-1", parent.at, "parent", "Ready"),
    ];
    let dispatcher = Dispatcher::start_with(board.at, &hosts, &[PATIENT]).await;
    let mut client = Client::connect(dispatcher.at).await;
    let mut others = Vec::new();
    client
        .ask(1, "/ops/submit", &[KEY, ("HTTP_X_TTL_MS", "5000")], b"x")
        .await;
    let (_, first) = origin.pull(&mut others).await;
    let window = tokio::time::sleep(Duration::from_millis(2_000));
    // It goes to the parent next, where no connection comes up.
    drop((first, others));
    window.await;
    let parent = parent.release();
    let mut peers = Vec::new();
    tokio::select! {
        answer = client.answer(1) => assert_eq!(answer.status, 503, "{answer:?}"),
        (pull, _) = parent.pull(&mut peers) => panic!("after its window: {pull}"),
    }
}
