//! Shutdown against a kill at the earliest moment that the platform allows: clients keep using their connections to the end.
use crate::stage::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The longest deadline counts as this at most, and the kill comes so much after it.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(700);
/// A request that crosses a close by no more than this is sent again on a new connection.
const CROSSING: Duration = Duration::from_millis(50);
/// New connections come for so long after SIGTERM.
const NEW_CONNECTIONS: Duration = Duration::from_millis(600);
const EVERY: Duration = Duration::from_millis(25);
const KEY: (&str, &str) = ("HTTP_X_TXN_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");

#[derive(Default)]
struct Tally {
    answered: usize,
    /// Resent after a close that they crossed.
    crossed: usize,
    /// When they were asked after SIGTERM, and what became of them.
    lost: Vec<(Duration, &'static str)>,
}

/// One client: asks every 25 ms on one connection until that is closed, on a new one while such come, and until the kill.
struct Asking {
    at: SocketAddr,
    class: &'static str,
    ttl_ms: String,
    /// When SIGTERM had been sent, once it has.
    term: tokio::sync::watch::Receiver<Option<Instant>>,
    killed: CancellationToken,
    tally: Tally,
}

impl Asking {
    async fn ask(&self, client: &mut Client, id: u16) -> bool {
        let fields = [("HTTP_X_TTL_MS", self.ttl_ms.as_str()), KEY];
        let body: &[u8] = if self.class == "/ops/submit" {
            b"x"
        } else {
            b""
        };
        let bytes = request(id, self.class, &fields, body);
        client.write.write_all(&bytes).await.is_ok()
    }

    fn lose(&mut self, asked: Instant, why: &'static str) {
        let term = *self.term.borrow();
        // Before SIGTERM nothing is closed and nothing killed.
        let after = term.map_or(Duration::ZERO, |term| asked.saturating_duration_since(term));
        self.tally.lost.push((after, why));
    }

    async fn run(mut self) -> Tally {
        loop {
            let Ok(socket) = tokio::net::TcpStream::connect(self.at).await else {
                return self.tally;
            };
            let open = self.one_connection(Client::new(socket)).await;
            let killed = self.killed.is_cancelled();
            for asked in open {
                if killed {
                    self.lose(asked, "killed");
                } else if asked.elapsed() > CROSSING {
                    self.lose(asked, "closed without an answer");
                } else {
                    self.again(asked).await;
                }
            }
            let late = self
                .term
                .borrow()
                .is_some_and(|term| term.elapsed() > NEW_CONNECTIONS);
            if killed || late {
                return self.tally;
            }
        }
    }

    /// When each request was asked that had no answer as the connection ended.
    async fn one_connection(&mut self, mut client: Client) -> Vec<Instant> {
        let mut open: BTreeMap<u16, Instant> = BTreeMap::new();
        let mut ticks = tokio::time::interval(EVERY);
        let killed = self.killed.clone();
        loop {
            tokio::select! {
                ended = client.next_end() => match ended {
                    Some((id, answer)) => {
                        assert!(open.remove(&id).is_some(), "an answer that was not asked for");
                        assert!(matches!(answer.status, 502 | 503), "{answer:?}");
                        self.tally.answered += 1;
                    }
                    None => return open.into_values().collect(),
                },
                _ = killed.cancelled() => return open.into_values().collect(),
                _ = ticks.tick() => {
                    let Some(id) = (1..=32).find(|id| !open.contains_key(id)) else { continue };
                    // One that cannot be written any more was not taken.
                    if self.ask(&mut client, id).await {
                        open.insert(id, Instant::now());
                    }
                }
            }
        }
    }

    async fn again(&mut self, asked: Instant) {
        self.tally.crossed += 1;
        let Ok(socket) = tokio::net::TcpStream::connect(self.at).await else {
            return;
        };
        let mut client = Client::new(socket);
        if !self.ask(&mut client, 1).await {
            return;
        }
        let killed = self.killed.clone();
        let ended = tokio::select! {
            ended = client.next_end() => ended.is_some(),
            _ = killed.cancelled() => false,
        };
        match ended {
            true => self.tally.answered += 1,
            false => self.lose(asked, "sent again and lost"),
        }
    }
}

/// One dispatcher whose hosts say nothing: told to end under load and killed at the earliest.
async fn ended_and_killed(deadline_ms: u64, effect: &str) -> Tally {
    let silent = |_: &str, _: &str| Vec::new();
    let (board, cache, origin) = (board().await, host(silent).await, host(silent).await);
    let hosts = [
        listed("s-1", cache.at, "box", "Ready"),
        listed("o-1", origin.at, "origin", "Ready"),
    ];
    let deadline = format!("\"DeadlineMs\":{deadline_ms}.0");
    let changes = [
        ("\"DeadlineMs\":5000.0", deadline.as_str()),
        ("\"deduplicated\"", effect),
    ];
    let mut dispatcher = Dispatcher::start_with(board.at, &hosts, &changes).await;
    let (term, is_term) = tokio::sync::watch::channel(None);
    let kill = CancellationToken::new();
    let mut clients = JoinSet::new();
    for class in ["/ops/page", "/ops/submit"].into_iter().cycle().take(6) {
        let (at, ttl_ms) = (dispatcher.at, deadline_ms.to_string());
        let (term, killed) = (is_term.clone(), kill.clone());
        clients.spawn(
            Asking {
                at,
                class,
                ttl_ms,
                term,
                killed,
                tally: Tally::default(),
            }
            .run(),
        );
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    dispatcher.signal("-TERM");
    let told = Instant::now();
    term.send_replace(Some(told));
    let longest = Duration::from_millis(deadline_ms).min(DEADLINE_MOST);
    tokio::time::sleep_until(told + longest + KILL_AFTER).await;
    if dispatcher.runs() {
        dispatcher.signal("-KILL");
    }
    kill.cancel();
    let mut all = Tally::default();
    while let Some(one) = clients.join_next().await {
        let one = one.unwrap();
        all.answered += one.answered;
        all.crossed += one.crossed;
        all.lost.extend(one.lost);
    }
    all
}

/// Whatever the longest deadline of the settings is, what was read has its answer before the kill.
#[tokio::test]
async fn what_is_read_after_sigterm_is_answered_before_the_earliest_kill() {
    let mut runs = JoinSet::new();
    for deadline_ms in [50, 100, 250, 400, 600, 1_000, 3_000, 5_000] {
        for effect in ["\"deduplicated\"", "\"at_most_once\""] {
            runs.spawn(async move {
                (
                    deadline_ms,
                    effect,
                    ended_and_killed(deadline_ms, effect).await,
                )
            });
        }
    }
    let mut lost = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (deadline_ms, effect, tally) = run.unwrap();
        println!(
            "{deadline_ms} ms, {effect}: {} answered, {} crossed a close",
            tally.answered, tally.crossed
        );
        assert!(tally.answered > 50, "clients were there");
        lost.extend(
            tally
                .lost
                .into_iter()
                .map(|(after, why)| (deadline_ms, effect, after, why)),
        );
    }
    assert!(
        lost.is_empty(),
        "{} lost, by deadline, effect and time after SIGTERM: {lost:?}",
        lost.len()
    );
}
