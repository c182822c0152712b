//! A wall clock that is stepped under a running dispatcher: purges, starts and ages stay spans of real time.
use crate::faults::Faults;
use crate::stage::*;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const ROW: &str = "00000000000000aa";
/// Ages that are asked for are whole milliseconds, and a purge counts from the end of its own.
const ROUNDING_MS: u64 = 5;

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

fn purge(object: &str, ms: u128) -> String {
    format!("\"flush\":{{\"asset\":\"{object}\",\"ms\":{ms}}}")
}

/// A dispatcher with faults, one cache host and a board whose stream is open.
struct Stepped {
    faults: Faults,
    board: Board,
    say: tokio::sync::mpsc::UnboundedSender<String>,
    cache: Host,
    hosts: [String; 1],
    dispatcher: Dispatcher,
}

impl Stepped {
    async fn start() -> Self {
        let (mut board, cache) = (board().await, host(|id, _| served(id, "good")).await);
        let hosts = [listed("s-1", cache.at, "box", "Ready")];
        let faults = Faults::new();
        let dispatcher = Dispatcher::spawn_faulty(&faults, |at| config(at, board.at, &hosts)).await;
        let (_, say) = board.poll().await;
        Self {
            faults,
            board,
            say,
            cache,
            hosts,
            dispatcher,
        }
    }

    /// Tells an event; it is taken when this returns: the stream ends behind it, and the board is asked again.
    async fn tell(&mut self, rev: u64, what: &str) {
        self.say.send(event(rev, what)).unwrap();
        self.say = tokio::sync::mpsc::unbounded_channel().0;
        let (last, say) = self.board.poll().await;
        assert_eq!(last, rev);
        self.say = say;
    }

    /// The oldest copy that the next request for an object takes, in milliseconds.
    async fn cap(&mut self, object: &str) -> u64 {
        let mut client = Client::connect(self.dispatcher.at).await;
        client
            .ask(1, "/ops/page", &[("HTTP_X_ROW", object)], b"")
            .await;
        assert_eq!(client.answer(1).await.status, 200);
        let pull = loop {
            let (pull, _) = self.cache.next("PULL").await;
            if pull.contains(&format!("obj={object}")) {
                break pull;
            }
        };
        let cap = pull.split([',', ' ']).find_map(|f| f.strip_prefix("cap="));
        cap.unwrap_or_else(|| panic!("no age in {pull}"))
            .parse()
            .unwrap()
    }

    /// No copy from before a purge at `purged` is asked for.
    async fn keeps(&mut self, object: &str, purged: Instant, what: &str) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let cap = self.cap(object).await;
        let since = purged.elapsed().as_millis() as u64;
        assert!(
            cap >= 1 && cap <= since + ROUNDING_MS,
            "{what}: a copy of {cap} ms, purged {since} ms ago"
        );
    }
}

const STEPS: [f64; 6] = [1.0, 5.0, 3_600.0, -1.0, -5.0, -3_600.0];

/// Stepped before a purge, between a purge and its telling, and between two of them.
#[tokio::test]
async fn a_stepped_clock_makes_no_purge_older() {
    for step in STEPS {
        let mut s = Stepped::start().await;
        s.faults.step_wall(step);
        let (purged, ms) = (Instant::now(), unix_ms());
        s.tell(2, &purge(ROW, ms)).await;
        s.keeps(ROW, purged, &format!("{step} s before a purge"))
            .await;

        let mut s = Stepped::start().await;
        let (purged, ms) = (Instant::now(), unix_ms());
        s.faults.step_wall(step);
        s.tell(2, &purge(ROW, ms)).await;
        s.keeps(
            ROW,
            purged,
            &format!("{step} s between a purge and its telling"),
        )
        .await;

        let second = "00000000000000bb";
        let mut s = Stepped::start().await;
        let (purged, ms) = (Instant::now(), unix_ms());
        s.tell(2, &purge(ROW, ms)).await;
        s.faults.step_wall(step);
        let (again, ms) = (Instant::now(), unix_ms());
        s.tell(3, &purge(second, ms)).await;
        s.keeps(ROW, purged, &format!("{step} s after the first purge"))
            .await;
        s.keeps(second, again, &format!("{step} s before the second purge"))
            .await;
    }
}

/// Stepped, and then a new configuration that knows of one more purge.
#[tokio::test]
async fn a_stepped_clock_makes_no_purge_of_a_new_configuration_older() {
    for step in STEPS {
        let mut s = Stepped::start().await;
        s.faults.step_wall(step);
        let (purged, ms) = (Instant::now(), unix_ms());
        let mut next = board().await;
        let known = format!("}},{{\"rev\":2,{}}}]}},", purge(ROW, ms));
        let text = config(s.dispatcher.at, next.at, &s.hosts);
        let text = changed(
            text,
            &[
                ("}]},", known.as_str()),
                ("\"known\":{\"rev\":1", "\"known\":{\"rev\":2"),
            ],
        );
        std::fs::write(&s.dispatcher.config, text).unwrap();
        s.dispatcher.signal("-HUP");
        let (last, _say) = next.poll().await;
        assert_eq!(last, 2);
        s.keeps(ROW, purged, &format!("{step} s before a new configuration"))
            .await;
    }
}

/// Set right long after the start: a clock that was an hour ahead makes nothing older from then on.
#[tokio::test]
async fn a_clock_that_is_set_right_makes_no_purge_older() {
    for ahead in [5.0, 3_600.0] {
        let faults = Faults::new();
        faults.step_wall(ahead);
        let (mut board, cache) = (board().await, host(|id, _| served(id, "good")).await);
        let hosts = [listed("s-1", cache.at, "box", "Ready")];
        let dispatcher = Dispatcher::spawn_faulty(&faults, |at| config(at, board.at, &hosts)).await;
        let (_, say) = board.poll().await;
        let mut s = Stepped {
            faults,
            board,
            say,
            cache,
            hosts,
            dispatcher,
        };
        s.faults.step_wall(0.0);
        let (purged, ms) = (Instant::now(), unix_ms());
        s.tell(2, &purge(ROW, ms)).await;
        s.keeps(ROW, purged, &format!("{ahead} s ahead until now"))
            .await;
    }
}

/// A start that is told after a step is as young as it is: the host gets what a cold one may, and not what a warm one does.
#[tokio::test]
async fn a_stepped_clock_makes_no_start_older() {
    for step in [5.0, 3_600.0, -3_600.0] {
        let mut s = Stepped::start().await;
        let mut cold = host(|id, _| served(id, "cold")).await;
        // Its first window: a dispatcher that has just started sends nothing to who is cold.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        s.faults.step_wall(step);
        let born = format!("\"share\":10,\"born_ms\":{}", unix_ms());
        let entry =
            listed("s-2", cold.at, "box", "Ready").replace("\"share\":50,\"born_ms\":0", &born);
        let drained = listed("s-1", s.cache.at, "box", "Terminating");
        s.tell(
            2,
            &format!("\"pool\":{{\"seq\":2,\"whole\":false,\"hosts\":[{drained},{entry}]}}"),
        )
        .await;
        let mut client = Client::connect(s.dispatcher.at).await;
        let mut served = 0;
        for n in 0..200u32 {
            let row = format!("{n:016x}");
            client
                .ask(1, "/ops/page", &[("HTTP_X_ROW", &row)], b"")
                .await;
            served += usize::from(client.answer(1).await.status == 200);
        }
        println!("{step} s: a cold host served {served} of 200");
        assert!(
            (1..100).contains(&served),
            "{step} s: {served} of 200 went to a host that has just started"
        );
        cold.next("PULL").await;
    }
}
