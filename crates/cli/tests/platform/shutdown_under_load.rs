//! Graceful shutdown under load that is ended by a kill at the earliest time that the platform allows, while
//! clients use their connections until they close.
use crate::support::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Upper limit at which the longest deadline counts.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// Time between the longest deadline and the kill.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// Maximum age of an unanswered request at the close of its connection up to which the client sends it again on a
/// new connection.
const MAX_CLOSE_CROSSING: Duration = Duration::from_millis(50);

/// Time after SIGTERM during which clients open new connections.
const ACCEPT_PERIOD: Duration = Duration::from_millis(600);

const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// A request without a response.
#[derive(Debug)]
struct LostRequest {
    /// Time between SIGTERM and the sending of the request.
    #[allow(dead_code, reason = "shown when the test fails")]
    sent_after_sigterm: Duration,
    #[allow(dead_code, reason = "shown when the test fails")]
    reason: &'static str,
}

/// Outcomes of a client's requests.
#[derive(Default)]
struct ClientTally {
    answered: usize,
    /// Number of requests sent again because they were in flight when their connection closed.
    resent: usize,
    lost: Vec<LostRequest>,
}

/// A client that sends a request every 25 ms on one connection until it is closed, and then on new ones while the
/// platform opens new connections, until the kill.
struct LoadClient {
    dispatcher: SocketAddr,
    script: &'static str,
    time_left_ms: String,
    /// Time at which SIGTERM was sent; `None` before.
    sigterm_at: watch::Receiver<Option<Instant>>,
    killed: CancellationToken,
    tally: ClientTally,
}

impl LoadClient {
    async fn send_request(&self, client: &mut FastCgiClient, id: u16) -> bool {
        let fields = [
            ("HTTP_X_TTL_MS", self.time_left_ms.as_str()),
            IDEMPOTENCY_KEY_FIELD,
        ];
        let body: &[u8] = if self.script == "/ops/submit" {
            b"x"
        } else {
            b""
        };
        let bytes = fastcgi_request(id, self.script, &fields, body);
        client.writer.write_all(&bytes).await.is_ok()
    }

    fn record_loss(&mut self, sent_at: Instant, reason: &'static str) {
        let sigterm_at = *self.sigterm_at.borrow();
        // Before SIGTERM no connection is closed and no process is killed.
        let sent_after_sigterm = sigterm_at.map_or(Duration::ZERO, |sigterm_at| {
            sent_at.saturating_duration_since(sigterm_at)
        });
        self.tally.lost.push(LostRequest {
            sent_after_sigterm,
            reason,
        });
    }

    async fn run(mut self) -> ClientTally {
        loop {
            let Ok(socket) = TcpStream::connect(self.dispatcher).await else {
                return self.tally;
            };
            let open = self.use_connection(FastCgiClient::new(socket)).await;
            let killed = self.killed.is_cancelled();
            for sent_at in open {
                if killed {
                    self.record_loss(sent_at, "killed");
                } else if sent_at.elapsed() > MAX_CLOSE_CROSSING {
                    self.record_loss(sent_at, "closed without a response");
                } else {
                    self.send_again(sent_at).await;
                }
            }
            let accepts_no_more = self
                .sigterm_at
                .borrow()
                .is_some_and(|sigterm_at| sigterm_at.elapsed() > ACCEPT_PERIOD);
            if killed || accepts_no_more {
                return self.tally;
            }
        }
    }

    /// Sends requests until the connection ends; returns the sending times of the unanswered requests.
    async fn use_connection(&mut self, mut client: FastCgiClient) -> Vec<Instant> {
        let mut open: BTreeMap<u16, Instant> = BTreeMap::new();
        let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
        let killed = self.killed.clone();
        loop {
            tokio::select! {
                ended = client.next_response() => match ended {
                    Some((id, response)) => {
                        assert!(open.remove(&id).is_some(), "a response without a request");
                        assert!(matches!(response.status, 502 | 503), "{response:?}");
                        self.tally.answered += 1;
                    }
                    None => return open.into_values().collect(),
                },
                _ = killed.cancelled() => return open.into_values().collect(),
                _ = ticks.tick() => {
                    let Some(id) = (1..=32).find(|id| !open.contains_key(id)) else { continue };
                    // A request that can no longer be written was not read by the dispatcher.
                    if self.send_request(&mut client, id).await {
                        open.insert(id, Instant::now());
                    }
                }
            }
        }
    }

    /// Sends a request again on a new connection.
    async fn send_again(&mut self, sent_at: Instant) {
        self.tally.resent += 1;
        let Ok(socket) = TcpStream::connect(self.dispatcher).await else {
            return;
        };
        let mut client = FastCgiClient::new(socket);
        if !self.send_request(&mut client, 1).await {
            return;
        }
        let killed = self.killed.clone();
        let ended = tokio::select! {
            ended = client.next_response() => ended.is_some(),
            _ = killed.cancelled() => false,
        };
        match ended {
            true => self.tally.answered += 1,
            false => self.record_loss(sent_at, "sent again and lost"),
        }
    }
}

/// Runs a dispatcher whose cache hosts never reply, sends SIGTERM under load, and kills it at the earliest
/// allowed time.
async fn shut_down_and_kill(deadline_ms: u64, effect: &str) -> ClientTally {
    let silent = |_: &str, _: &str| Vec::new();
    let discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start(silent).await;
    let origin = ScriptedCacheHost::start(silent).await;
    let endpoints = [
        endpoint_entry("s-1", cache.address, "box", "Ready"),
        endpoint_entry("o-1", origin.address, "origin", "Ready"),
    ];
    let deadline = format!("\"DeadlineMs\":{deadline_ms}.0");
    let changes = [
        ("\"DeadlineMs\":5000.0", deadline.as_str()),
        ("\"deduplicated\"", effect),
    ];
    let mut dispatcher =
        DispatcherProcess::start_with_replacements(discovery.address, &endpoints, &changes).await;
    let (sigterm_sender, sigterm_receiver) = watch::channel(None);
    let killed = CancellationToken::new();
    let mut clients = JoinSet::new();
    for script in ["/ops/page", "/ops/submit"].into_iter().cycle().take(6) {
        let client = LoadClient {
            dispatcher: dispatcher.address,
            script,
            time_left_ms: deadline_ms.to_string(),
            sigterm_at: sigterm_receiver.clone(),
            killed: killed.clone(),
            tally: ClientTally::default(),
        };
        clients.spawn(client.run());
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    dispatcher.signal("-TERM");
    let sigterm_at = Instant::now();
    sigterm_sender.send_replace(Some(sigterm_at));
    let longest_deadline = Duration::from_millis(deadline_ms).min(MAX_COUNTED_DEADLINE);
    tokio::time::sleep_until(sigterm_at + longest_deadline + KILL_AFTER_DEADLINE).await;
    if dispatcher.is_running() {
        dispatcher.signal("-KILL");
    }
    killed.cancel();
    let mut total = ClientTally::default();
    while let Some(result) = clients.join_next().await {
        let tally = result.unwrap();
        total.answered += tally.answered;
        total.resent += tally.resent;
        total.lost.extend(tally.lost);
    }
    total
}

/// Each request that was read is answered before the kill, whatever the longest deadline in the settings.
#[tokio::test]
async fn requests_after_sigterm_are_answered_before_the_earliest_kill() {
    let mut runs = JoinSet::new();
    for deadline_ms in [50, 100, 250, 400, 600, 1_000, 3_000, 5_000] {
        for effect in ["\"deduplicated\"", "\"at_most_once\""] {
            runs.spawn(async move {
                let tally = shut_down_and_kill(deadline_ms, effect).await;
                (deadline_ms, effect, tally)
            });
        }
    }
    let mut lost = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (deadline_ms, effect, tally) = run.unwrap();
        println!(
            "{deadline_ms} ms, {effect}: {} answered, {} were sent again after a close",
            tally.answered, tally.resent
        );
        assert!(tally.answered > 50, "clients sent requests");
        lost.extend(
            tally
                .lost
                .into_iter()
                .map(|request| (deadline_ms, effect, request)),
        );
    }
    assert!(
        lost.is_empty(),
        "{} lost, by deadline, effect and time after SIGTERM: {lost:?}",
        lost.len()
    );
}
