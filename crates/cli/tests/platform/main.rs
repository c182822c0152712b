//! `pointspindle run` from outside: clients, cache hosts and a notice board on loopback.
mod clocks;
mod crowd;
mod endings;
mod faults;
mod growth;
mod shutdown;
mod soak;
mod stage;
mod syscalls;
mod time_left;
mod unreadable;

use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::*;
use stage::*;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// One cache host and the origin, both with this script.
async fn small<F>(script: F) -> (Board, Host, Host, Dispatcher)
where
    F: Fn(&str, &str) -> Vec<u8> + Clone + Send + Sync + 'static,
{
    let (board, cache, origin) = (
        board().await,
        host(script.clone()).await,
        host(script).await,
    );
    let hosts = [
        listed("s-1", cache.at, "box", "Ready"),
        listed("o-1", origin.at, "origin", "Ready"),
    ];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    (board, cache, origin, dispatcher)
}

/// Taken into service once there is somebody to ask.
#[tokio::test]
async fn it_is_alive_once_a_list_is_known() {
    let mut board = board().await;
    let empty = |at| {
        let text = config(at, board.at, &[]);
        let known = text.find("\"known\"").unwrap()..text.find("\"settings\"").unwrap();
        text.replacen(&text[known], "", 1)
    };
    let dispatcher = Dispatcher::spawn(empty).await;
    assert_eq!(dispatcher.alive().await, 503);
    let cache = host(|id, _| served(id, "good")).await;
    let (last, say) = board.poll().await;
    assert_eq!(last, 0);
    let whole = listed("s-1", cache.at, "box", "Ready");
    say.send(event(
        1,
        &format!("\"pool\":{{\"seq\":1,\"whole\":true,\"hosts\":[{whole}]}}"),
    ))
    .unwrap();
    let ready = async {
        while dispatcher.alive().await != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, ready)
        .await
        .expect("it is ready in time");
}

/// What the platform refuses, as far as it shows from outside while requests are served: other processes, listeners beside the
/// one, named Unix sockets, IPv6, io_uring, a program without the system's C library. (What a refused call answers is the
/// platform's to show.)
#[tokio::test]
async fn it_is_one_process_with_one_listener_and_nothing_that_the_platform_refuses() {
    let (_board, _cache, _origin, dispatcher) = small(|id, _| served(id, "good")).await;
    let mut client = Client::connect(dispatcher.at).await;
    for id in 1..50 {
        client.ask(id, "/ops/page", &[], b"").await;
        assert_eq!(client.answer(id).await.status, 200);
    }
    let proc = std::path::PathBuf::from(format!("/proc/{}", dispatcher.pid()));
    let read = |what: &str| std::fs::read_to_string(proc.join(what)).unwrap_or_default();
    let maps = read("maps");
    assert!(
        maps.contains("/libc.so") && maps.contains("/ld-linux"),
        "linked against the C library: {maps}"
    );
    let mut threads = 0;
    for task in std::fs::read_dir(proc.join("task")).unwrap() {
        let id = task.unwrap().file_name().into_string().unwrap();
        assert_eq!(
            read(&format!("task/{id}/children")).trim(),
            "",
            "it has started another process"
        );
        threads += 1;
    }
    assert_eq!(threads, 1, "one thread does it all");
    let mut inodes = std::collections::BTreeSet::new();
    for fd in std::fs::read_dir(proc.join("fd")).unwrap() {
        let Ok(link) = std::fs::read_link(fd.unwrap().path()) else {
            continue;
        };
        let link = link.to_string_lossy().into_owned();
        assert!(!link.contains("io_uring"), "{link}");
        inodes.extend(
            link.strip_prefix("socket:[")
                .map(|l| l.trim_end_matches(']').to_owned()),
        );
    }
    // Columns of proc_pid_net(5): of tcp, 4th the state (0A listens), 10th the inode; of unix, 7th the inode, 8th a name.
    let rows = |what: &str, inode: usize| -> Vec<Vec<String>> {
        let text = read(what);
        let fields = text
            .lines()
            .skip(1)
            .map(|l| l.split_whitespace().map(str::to_owned).collect());
        fields
            .filter(|f: &Vec<String>| f.get(inode).is_some_and(|i| inodes.contains(i)))
            .collect()
    };
    let tcp = rows("net/tcp", 9);
    let listening = tcp.iter().filter(|f| f[3] == "0A").count();
    assert!(listening == 1 && tcp.len() >= 4, "{tcp:?}");
    assert!(rows("net/tcp6", 9).is_empty() && rows("net/udp6", 9).is_empty());
    assert!(
        rows("net/unix", 6).iter().all(|f| f.len() < 8),
        "a Unix socket has a name"
    );
}

#[tokio::test]
async fn requests_go_all_the_way_and_their_answers_back() {
    let script = |id: &str, fields: &str| match fields {
        f if f.contains("inm=") => {
            format!("{id} still_good rev=4be0c1927d55a6f3,res=mem 0\r\n\r\n").into_bytes()
        }
        f if f.contains("obj=aaaaaaaaaaaaaaaa") => Vec::new(),
        _ => served(id, &"x".repeat(200_000)),
    };
    let (_board, mut cache, mut origin, dispatcher) = small(script).await;
    let mut client = Client::connect(dispatcher.at).await;

    client
        .ask(1, "/ops/page", &[("HTTP_X_TXN", "9b1f03aa5c7e2d41")], b"")
        .await;
    let answer = client.answer(1).await;
    assert_eq!((answer.status, answer.body.len()), (200, 200_000));
    let (pull, _) = cache.next("PULL").await;
    assert!(
        pull.starts_with("PULL 9b1f03aa5c7e2d41 kind=page,obj=7f3a9c21e0b4d655,seg=3,ms="),
        "{pull}"
    );
    assert!(
        pull.contains(",up=o-1,store=1,cap=12000,do=revalidate 0"),
        "{pull}"
    );

    client
        .ask(2, "/ops/page", &[("HTTP_X_GOT", "4be0c1927d55a6f3")], b"")
        .await;
    let same = client.answer(2).await;
    assert!(
        same.status == 200 && same.body.is_empty() && same.head.contains("X-Ok304: 1"),
        "{same:?}"
    );

    // A write runs at the origin, with its key and body as they came.
    let write = [("HTTP_X_TXN_KEY", KEY), ("CONTENT_LENGTH", "5")];
    client.ask(3, "/ops/submit", &write, b"a\r\nb\0").await;
    assert_eq!(client.answer(3).await.status, 200);
    let (pull, body) = origin.next("PULL").await;
    assert!(
        pull.contains(&format!(",token={KEY} 5")) && body == b"a\r\nb\0",
        "{pull}"
    );

    // Given up: the cache host is told, and the number is free again.
    let never = [
        ("HTTP_X_ROW", "aaaaaaaaaaaaaaaa"),
        ("HTTP_X_TXN", "9b1f03aa5c7e2d42"),
    ];
    client.ask(4, "/ops/page", &never, b"").await;
    cache.next("PULL 9b1f03aa5c7e2d42").await;
    let mut abort = BytesMut::new();
    record(&mut abort, ABORT_REQUEST, 4, &[]);
    client.write.write_all(&abort).await.unwrap();
    assert_eq!(client.answer(4).await.status, 0, "an end without an answer");
    cache.next("KILL 9b1f03aa5c7e2d42").await;
    client.ask(4, "/ops/page", &[], b"").await;
    assert_eq!(client.answer(4).await.status, 200);
}

/// Nobody holds it and nothing can be had: refused at once, with a time to come back.
#[tokio::test]
async fn what_is_given_up_is_answered_at_once() {
    let script = |id: &str, _: &str| format!("{id} overload res=crowded 0\r\n\r\n").into_bytes();
    let (_board, _cache, _origin, dispatcher) = small(script).await;
    let mut client = Client::connect(dispatcher.at).await;
    client.ask(1, "/ops/page", &[], b"").await;
    let refused = client.answer(1).await;
    assert!(
        refused.status == 503 && refused.head.contains("X-Throttle-Ms: "),
        "{refused:?}"
    );
}

/// Spoilt answers end their connection, are never served, and another attempt is made; what only brings more than belongs
/// to it is good.
#[tokio::test]
async fn spoilt_answers_are_had_again_and_strange_ones_skipped() {
    let count = std::sync::Arc::new(AtomicUsize::new(0));
    let script = move |id: &str, fields: &str| {
        let good = served(id, "good");
        if fields.contains("obj=bbbbbbbbbbbbbbbb") {
            // An unknown id ahead, and a second copy.
            return [
                served("ffffffffffffffff", "other"),
                good.clone(),
                served(id, "copy"),
            ]
            .concat();
        }
        match count.fetch_add(1, Ordering::SeqCst) % 6 {
            0 => b"\xff\x00\x81 noise\r\n".to_vec(),
            1 => vec![b'x'; 4096],
            2 => format!("{id} served - 3221225472\r\n").into_bytes(),
            3 => format!("{id} served - 2\r\ntoo long\r\n").into_bytes(),
            _ => good,
        }
    };
    let (board, a, b) = (
        board().await,
        host(script.clone()).await,
        host(script.clone()).await,
    );
    let origin = host(script).await;
    let hosts = [
        listed("s-1", a.at, "box", "Ready"),
        listed("s-2", b.at, "box", "Ready"),
        listed("o-1", origin.at, "origin", "Ready"),
    ];
    let dispatcher = Dispatcher::start(board.at, &hosts).await;
    let mut client = Client::connect(dispatcher.at).await;
    let mut good = 0;
    for n in 1..=30 {
        let row = format!("{n:016x}");
        client
            .ask(n, "/ops/page", &[("HTTP_X_ROW", &row)], b"")
            .await;
        let answer = client.answer(n).await;
        assert!(answer.status == 503 || answer.body == b"good", "{answer:?}");
        good += (answer.status == 200) as usize;
    }
    assert!(good >= 10, "{good} of 30 were served");
    for n in 1..=10 {
        client
            .ask(n, "/ops/page", &[("HTTP_X_ROW", "bbbbbbbbbbbbbbbb")], b"")
            .await;
        assert_eq!(client.answer(n).await.body, b"good");
    }
}

/// Each is told so or closed, none is served or reaches a cache host, and a usual client is served meanwhile.
#[tokio::test]
async fn bad_clients_get_an_end_and_cost_nobody_anything() {
    let (_board, mut cache, _origin, dispatcher) = small(|id, _| served(id, "good")).await;
    let mut usual = Client::connect(dispatcher.at).await;
    let begin = |id| {
        let mut out = BytesMut::new();
        record(
            &mut out,
            BEGIN_REQUEST,
            id,
            &[0, 1, KEEP_CONN, 0, 0, 0, 0, 0],
        );
        out
    };
    let with = |fields: &[(&str, &str)]| request(1, "/ops/page", fields, b"");
    let mut endless = begin(1);
    (0..8).for_each(|_| record(&mut endless, PARAMS, 1, &[b'x'; 60_000]));
    let mut huge = request(1, "/ops/submit", &[("HTTP_X_TXN_KEY", KEY)], b"x");
    huge.truncate(huge.len() - 8);
    (0..8).for_each(|_| record(&mut huge, STDIN, 1, &[b'x'; 60_000]));
    let mut two = begin(1);
    two.extend(begin(1));
    let half = begin(1);
    let bad: Vec<BytesMut> = vec![
        BytesMut::from(&b"GET / HTTP/1.1\r\n\r\n"[..]),
        BytesMut::from(&[0xff; 300][..]),
        endless,
        huge,
        two,
        half,
        BytesMut::new(),
        request(1, "/ops/none", &[], b""),
        request(1, "/ops/page", &[], b"a body"),
        with(&[("HTTP_X_TTL_MS", "-1")]),
        with(&[("HTTP_X_TTL_MS", "99999999999")]),
        with(&[("HTTP_X_TXN", "not hex at all!!")]),
        with(&[("HTTP_X_ROW", "x y\r\nKILL z")]),
        with(&[("HTTP_X_BATCH", "300")]),
        with(&[("CONTENT_LENGTH", "-7")]),
    ];
    for (n, bytes) in bad.into_iter().enumerate() {
        let mut client = Client::connect(dispatcher.at).await;
        // It may be closed while it still sends.
        let _ = client.write.write_all(&bytes).await;
        if let Some(answer) = client.end(1).await {
            assert!(answer.status != 200, "case {n}: {answer:?}");
        }
        usual.ask(1, "/ops/page", &[], b"").await;
        assert_eq!(usual.answer(1).await.body, b"good", "case {n}");
        cache.next("PULL").await;
        assert!(
            cache.heard.try_recv().is_err(),
            "case {n}: something else went out"
        );
    }
    // The id of an open request, with another object: the first one goes on.
    let id = ("HTTP_X_TXN", "9b1f03aa5c7e2dff");
    let both = [
        request(1, "/ops/page", &[id], b""),
        request(
            2,
            "/ops/page",
            &[id, ("HTTP_X_ROW", "cccccccccccccccc")],
            b"",
        ),
    ];
    usual.write.write_all(&both.concat()).await.unwrap();
    assert_eq!(usual.answer(2).await.status, 400);
    assert_eq!(usual.answer(1).await.status, 200);
}

/// More than there are places for, and none says anything: each is closed, and a usual client is served meanwhile.
#[tokio::test]
async fn a_crowd_that_says_nothing_is_closed() {
    let (_board, _cache, _origin, dispatcher) = small(|id, _| served(id, "good")).await;
    let mut crowd = Vec::new();
    for n in 0..150 {
        crowd.push(Client::connect(dispatcher.at).await);
        if n % 30 == 0 {
            let mut usual = Client::connect(dispatcher.at).await;
            usual.ask(1, "/ops/page", &[], b"").await;
            // One whose place was wanted comes again, as web servers do.
            if let Some(answer) = usual.end(1).await {
                assert_eq!(answer.body, b"good");
            }
        }
    }
    for client in &mut crowd {
        assert!(client.end(1).await.is_none());
    }
    let mut usual = Client::connect(dispatcher.at).await;
    usual.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(usual.answer(1).await.body, b"good");
}

/// Hundreds taken back in one moment: each is given up at its cache host, and every number is free again.
#[tokio::test]
async fn hundreds_of_aborts_at_once_leave_nothing() {
    let (_board, mut cache, _origin, dispatcher) = small(silent_on_a).await;
    let mut clients = Vec::new();
    let mut aborts = BytesMut::new();
    for id in 1..=32 {
        record(&mut aborts, ABORT_REQUEST, id, &[]);
    }
    for _ in 0..8 {
        let mut client = Client::connect(dispatcher.at).await;
        for id in 1..=32 {
            client
                .ask(id, "/ops/page", &[("HTTP_X_ROW", "aaaaaaaaaaaaaaaa")], b"")
                .await;
        }
        clients.push(client);
    }
    // Those that found room are at the cache host; the others were refused.
    cache.next("PULL").await;
    for client in &mut clients {
        client.write.write_all(&aborts).await.unwrap();
    }
    for client in &mut clients {
        for id in 1..=32 {
            assert_ne!(client.answer(id).await.status, 200);
        }
        client.ask(1, "/ops/page", &[], b"").await;
        assert_eq!(client.answer(1).await.body, b"good");
    }
    cache.next("KILL").await;
}

/// Drains and new hosts of the board's events; a new board at SIGHUP is asked from the last number on.
#[tokio::test]
async fn the_board_is_followed_and_a_new_one_asked_at_sighup() {
    let (mut first, cache, _origin, mut dispatcher) = small(|id, _| served(id, "one")).await;
    let (last, say) = first.poll().await;
    assert_eq!(last, 1, "what the configuration holds is known");
    let other = host(|id, _| served(id, "two")).await;
    let body = |at| async move {
        let mut client = Client::connect(at).await;
        client.ask(1, "/ops/page", &[], b"").await;
        client.answer(1).await.body
    };
    let becomes = |text: &'static str, at| async move {
        let turned = async {
            while body(at).await != text.as_bytes() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, turned).await.expect(text);
    };
    becomes("one", dispatcher.at).await;
    // Cut in the middle of an event: it is not taken, and asked for again.
    let change = format!(
        "\"pool\":{{\"seq\":2,\"whole\":false,\"hosts\":[{},{}]}}",
        listed("s-1", cache.at, "box", "Terminating"),
        listed("s-2", other.at, "box", "Ready")
    );
    let text = event(2, &change);
    say.send(text[..text.len() / 2].to_owned()).unwrap();
    drop(say);
    let (last, say) = first.poll().await;
    assert_eq!(last, 1);
    say.send(text.clone() + &text).unwrap();
    becomes("two", dispatcher.at).await;

    // A broken file changes nothing.
    std::fs::write(&dispatcher.config, "{\"name\":").unwrap();
    dispatcher.signal("-HUP");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(dispatcher.runs());
    let mut second = board().await;
    std::fs::write(&dispatcher.config, config(dispatcher.at, second.at, &[])).unwrap();
    dispatcher.signal("-HUP");
    let (last, say) = second.poll().await;
    assert_eq!(last, 2);
    // The new one goes on with the numbers: a host at the address of one that is gone.
    let gone = listed("s-2", other.at, "box", "Gone");
    let again = listed("s-3", cache.at, "box", "Ready");
    let change = format!("\"pool\":{{\"seq\":3,\"whole\":false,\"hosts\":[{gone},{again}]}}");
    say.send(event(3, &change)).unwrap();
    becomes("one", dispatcher.at).await;
}

// The late host sleeps on a thread of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sigterm_answers_what_still_comes_and_ends_well() {
    let script = |id: &str, fields: &str| {
        if fields.contains("obj=aaaaaaaaaaaaaaaa") {
            // Late, but in time.
            std::thread::sleep(Duration::from_millis(1_500));
        }
        served(id, "good")
    };
    let (_board, _cache, _origin, dispatcher) = small(script).await;
    let mut client = Client::connect(dispatcher.at).await;
    let mut idle = Client::connect(dispatcher.at).await;
    idle.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(idle.answer(1).await.status, 200);
    client
        .ask(1, "/ops/page", &[("HTTP_X_ROW", "aaaaaaaaaaaaaaaa")], b"")
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    dispatcher.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut late = Client::connect(dispatcher.at).await;
    late.ask(1, "/ops/page", &[], b"").await;
    assert_eq!(
        late.answer(1).await.status,
        200,
        "new ones still come for a moment"
    );
    assert_eq!(client.answer(1).await.status, 200);
    assert!(
        idle.end(2).await.is_none(),
        "closed without a word when nothing is open"
    );
    assert_eq!(dispatcher.exit().await, 0);
}

#[test]
fn a_wrong_configuration_is_named_with_file_and_key() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let complaint = |text: Option<&str>| {
        let _ = std::fs::remove_file(&file);
        if let Some(text) = text {
            std::fs::write(&file, text).unwrap();
        }
        let out = Command::new(env!("CARGO_BIN_EXE_pointspindle"))
            .arg("run")
            .env("BALANCER_CONFIG", &file)
            .output()
            .unwrap();
        assert!(!out.status.success());
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(
            text.contains("config.json") && !text.contains("panicked"),
            "{text}"
        );
        text
    };
    complaint(None);
    assert!(complaint(Some("{\"name\":\"n0\"}")).contains("listen"));
    let at = ([127, 0, 0, 1], 1).into();
    let good = config(at, at, &[]);
    assert!(complaint(Some(&good.replace("\"Zone\":1", "\"Zone\":9"))).contains("settings.Zone"));
    assert!(complaint(Some(
        &good.replace("127.0.0.1:1\",\"seed", "nowhere\",\"seed")
    ))
    .contains("listen"));
}
