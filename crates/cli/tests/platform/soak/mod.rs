//! Many dispatchers under drawn troubles, judged request by request from both ends' books.
//!
//! In CI a few fixed seeds. By hand, so many seconds of each seed, one after the other:
//! `SOAK_SEEDS=1..51 SOAK_SECONDS=12 cargo test -p pointspindle-cli --test platform soak:: -- --nocapture`.
mod books;
mod judge;
mod plan;
mod world;

use crate::faults::Faults;
use crate::stage::*;
use books::*;
use judge::{judge, plants, way, Clause, Violation};
use plan::Plan;
use pointspindle_platform_protocol::fastcgi::{record, ABORT_REQUEST};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use world::*;

const CI_SEEDS: std::ops::Range<u64> = 1..5;
const CI_SECONDS: u64 = 8;
/// The kill comes this long after the longest deadline, which counts as so much at most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// New connections come for so long after SIGTERM.
const NEW_CONNECTIONS: Duration = Duration::from_millis(600);
/// Requests open on one connection at most.
const OPEN_MOST: usize = 8;
const CACHES: usize = 5;

/// Where one dispatcher's clients find it.
struct Place {
    number: usize,
    at: SocketAddr,
    /// When it was told to end; none: it serves.
    term: Mutex<Option<Instant>>,
}

struct Soak {
    plan: Plan,
    books: Arc<Books>,
    log: Arc<Log>,
    hosts: Mutex<Vec<Arc<CacheHost>>>,
    places: Vec<Arc<Place>>,
    /// No new requests and no new troubles.
    over: CancellationToken,
}

fn between(dice: &mut StdRng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(dice.gen_range(from_ms..=to_ms))
}

impl Soak {
    async fn start(plan: Plan) -> Arc<Self> {
        let (books, log) = (Arc::new(Books::default()), Log::start().await);
        let mut hosts = Vec::new();
        let kinds = [["box"; CACHES].as_slice(), &["parent", "origin"]].concat();
        for (number, kind) in kinds.into_iter().enumerate() {
            hosts.push(CacheHost::start(number, kind, books.clone()).await);
        }
        let lines: Vec<String> = hosts.iter().map(|h| h.line("Ready")).collect();
        log.put(&format!(
            "\"pool\":{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}",
            lines.join(",")
        ));
        let mut places = Vec::new();
        for number in 0..plan.processes {
            let at = free_address().await;
            places.push(Arc::new(Place {
                number,
                at,
                term: Mutex::default(),
            }));
        }
        let over = CancellationToken::new();
        Arc::new(Self {
            plan,
            books,
            log,
            hosts: Mutex::new(hosts),
            places,
            over,
        })
    }

    fn config(&self, place: &Place, board: SocketAddr) -> String {
        let p = &self.plan;
        let text = config(place.at, board, &[]);
        let known = text.find("\"known\"").unwrap()..text.find("\"settings\"").unwrap();
        let text = text.replacen(&text[known], &format!("\"known\":{},", self.log.known()), 1);
        let deadline = format!("\"DeadlineMs\":{}.0", p.deadline.as_millis());
        let window = format!("\"KeyTtlMs\":{}.0", p.key_window.as_millis());
        let effect = format!("\"{}\"", p.effect);
        let (all, me) = (
            format!("\"Balancers\":{}", p.processes),
            format!("\"Me\":{}", place.number),
        );
        let (here, attempts) = (
            format!("\"InstancesByZone\":[0,{}]", p.processes),
            format!("\"MaxAttempts\":{}", p.attempts),
        );
        let sockets = format!("\"sockets\":{}", p.sockets);
        changed(
            text,
            &[
                ("\"DeadlineMs\":5000.0", &deadline),
                ("\"KeyTtlMs\":2000.0", &window),
                ("\"deduplicated\"", &effect),
                ("\"Balancers\":1", &all),
                ("\"Me\":0", &me),
                ("\"InstancesByZone\":[0,1]", &here),
                ("\"MaxAttempts\":6", &attempts),
                ("\"sockets\":256", &sockets),
            ],
        )
    }

    async fn pause(&self, time: Duration) -> bool {
        tokio::select! {
            () = tokio::time::sleep(time) => true,
            () = self.over.cancelled() => false,
        }
    }

    /// Hosts change their moods, one at a time.
    async fn moods(self: Arc<Self>) {
        let mut dice = self.plan.dice(1);
        while self.pause(between(&mut dice, 150, 500)).await {
            let host = {
                let hosts = self.hosts.lock().unwrap();
                hosts[dice.gen_range(0..hosts.len())].clone()
            };
            host.feel(MOODS[dice.gen_range(1..MOODS.len())]);
            let lasts = between(&mut dice, 100, 900);
            tokio::spawn(async move {
                tokio::time::sleep(lasts).await;
                host.feel(Mood::Good);
            });
        }
        self.hosts
            .lock()
            .unwrap()
            .iter()
            .for_each(|host| host.feel(Mood::Good));
    }

    /// Objects are purged; cache hosts drain, go and are replaced.
    async fn events(self: Arc<Self>) {
        let mut dice = self.plan.dice(2);
        let (mut seq, mut next) = (1, CACHES + 2);
        while self.pause(between(&mut dice, 100, 400)).await {
            if dice.gen_bool(0.8) {
                let (object, at) = (dice.gen_range(0..30u64), Instant::now());
                let flush = format!(
                    "\"flush\":{{\"asset\":\"{object:016x}\",\"ms\":{}}}",
                    unix_ms()
                );
                // Told a little later than it happened.
                if !self.pause(between(&mut dice, 0, 200)).await {
                    return;
                }
                self.log.put(&flush);
                self.books
                    .lock()
                    .told
                    .push((Instant::now(), Told::Purged { object, at }));
                continue;
            }
            let new = CacheHost::start(next, "box", self.books.clone()).await;
            let old = {
                let mut hosts = self.hosts.lock().unwrap();
                let place = dice.gen_range(0..CACHES);
                std::mem::replace(&mut hosts[place], new.clone())
            };
            (next, seq) = (next + 1, seq + 1);
            let lines = [old.line("Terminating"), new.line("Ready")].join(",");
            self.log.put(&format!(
                "\"pool\":{{\"seq\":{seq},\"whole\":false,\"hosts\":[{lines}]}}"
            ));
            self.books
                .lock()
                .told
                .push((Instant::now(), Told::Drained { host: old.number }));
        }
    }

    /// The board is down or silent for a while.
    async fn board_troubles(self: Arc<Self>) {
        let mut dice = self.plan.dice(3);
        while self.pause(between(&mut dice, 1_500, 4_000)).await {
            let state = if dice.gen_bool(0.5) {
                BoardState::Down
            } else {
                BoardState::Silent
            };
            let from = Instant::now();
            self.log.set(state);
            self.pause(between(&mut dice, 300, 2_500)).await;
            self.log.set(BoardState::Up);
            // Asked again by then: what was told before may be heard a little later.
            let to = Instant::now() + Duration::from_millis(1_000);
            self.books.lock().board_troubles.push((from, to));
        }
    }

    /// One dispatcher's process, started anew after each planned end.
    async fn lives(self: Arc<Self>, place: Arc<Place>) {
        let mut dice = self.plan.dice(1_000 + place.number as u64);
        let mut board = self.log.addresses[0];
        while !self.over.is_cancelled() {
            let faults = Faults::new();
            let text = self.config(&place, board);
            let mut dispatcher = Dispatcher::spawn_at(place.at, &faults, text).await;
            *place.term.lock().unwrap() = None;
            while self.pause(between(&mut dice, 200, 900)).await && dispatcher.runs() {
                match dice.gen_range(0..10) {
                    0..4 => {
                        for _ in 0..dice.gen_range(1..=4) {
                            board = self.log.addresses[dice.gen_range(0..2)];
                            std::fs::write(&dispatcher.config, self.config(&place, board)).unwrap();
                            dispatcher.signal("-HUP");
                            tokio::time::sleep(between(&mut dice, 0, 40)).await;
                        }
                    }
                    4..6 if self.plan.steps => faults.step_wall(
                        [-3_600.0, -5.0, -1.0, 0.0, 1.0, 5.0, 3_600.0][dice.gen_range(0..7)],
                    ),
                    6 => {
                        dispatcher.signal("-STOP");
                        tokio::time::sleep(between(&mut dice, 20, 250)).await;
                        dispatcher.signal("-CONT");
                    }
                    7..10 => break,
                    _ => {}
                }
            }
            if !dispatcher.runs() {
                self.books
                    .lock()
                    .crashes
                    .push(format!("dispatcher {} has ended by itself", place.number));
                return;
            }
            if self.over.is_cancelled() {
                self.answered_all().await;
                return;
            }
            self.end(&place, &mut dispatcher, &mut dice).await;
        }
    }

    /// SIGTERM, now and then more of it or a new configuration, and the kill at the earliest.
    async fn end(&self, place: &Place, dispatcher: &mut Dispatcher, dice: &mut StdRng) {
        *place.term.lock().unwrap() = Some(Instant::now());
        dispatcher.signal("-TERM");
        let kill = Instant::now() + self.plan.deadline.min(DEADLINE_MOST) + KILL_AFTER;
        if dice.gen_bool(0.3) {
            tokio::time::sleep(between(dice, 0, 300)).await;
            dispatcher.signal(if dice.gen_bool(0.5) { "-TERM" } else { "-HUP" });
        }
        tokio::time::sleep_until(kill).await;
        if dispatcher.runs() {
            dispatcher.signal("-KILL");
        } else if let Some(code) = dispatcher.exit_code().filter(|code| *code != 0) {
            self.books
                .lock()
                .crashes
                .push(format!("dispatcher {} ended with {code}", place.number));
        }
        let killed = Instant::now();
        self.books.lock().endings.push(Ending {
            dispatcher: place.number,
            killed,
        });
    }

    /// Returns once no request is open, or none can be in time any more.
    async fn answered_all(&self) {
        let longest = self.plan.deadline + Duration::from_secs(2);
        let all = async {
            while self.books.lock().asked.values().any(|a| a.end == End::Open) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = tokio::time::timeout(longest, all).await;
    }

    /// One client: connects, asks, takes back, leaves, and comes again.
    async fn client(self: Arc<Self>, place: Arc<Place>, number: u64) {
        let mut dice = self
            .plan
            .dice(1_000_000 + 100 * place.number as u64 + number);
        loop {
            let late = place
                .term
                .lock()
                .unwrap()
                .is_some_and(|term| term.elapsed() > NEW_CONNECTIONS);
            let socket = if late {
                None
            } else {
                TcpStream::connect(place.at).await.ok()
            };
            match socket {
                Some(socket) => {
                    self.connection(&place, Client::new(socket), &mut dice)
                        .await
                }
                None => tokio::time::sleep(Duration::from_millis(20)).await,
            }
            if self.over.is_cancelled() {
                return;
            }
        }
    }

    async fn connection(&self, place: &Place, mut client: Client, dice: &mut StdRng) {
        let mut open: BTreeMap<u16, String> = BTreeMap::new();
        let mut ticks = tokio::time::interval(between(dice, 15, 60));
        let mut new = true;
        loop {
            tokio::select! {
                ended = client.next_end() => {
                    let at = Instant::now();
                    let Some((id, answer)) = ended else {
                        let end = End::Closed { at, new };
                        open.values().for_each(|txn| self.books.ended(txn, end));
                        return;
                    };
                    new = false;
                    if let Some(txn) = open.remove(&id) {
                        self.books.ended(&txn, End::Answered(at, answer.status));
                    }
                }
                _ = ticks.tick() => {
                    if self.over.is_cancelled() {
                        if open.is_empty() {
                            return;
                        }
                        continue;
                    }
                    match dice.gen_range(0..100) {
                        0..6 => {
                            // Taken back, at whatever point it is.
                            let Some((id, txn)) = open.iter().next() else { continue };
                            let mut abort = bytes::BytesMut::new();
                            record(&mut abort, ABORT_REQUEST, *id, &[]);
                            let _ = client.write.write_all(&abort).await;
                            self.books.left(txn);
                        }
                        6..8 => {
                            drop(client);
                            open.values().for_each(|txn| self.books.left(txn));
                            return;
                        }
                        _ => {}
                    }
                    let Some(id) = (1..=32).find(|id| !open.contains_key(id)) else { continue };
                    if open.len() >= OPEN_MOST {
                        continue;
                    }
                    let (txn, bytes) = ask(dice, &self.books, place.number, id, self.plan.deadline);
                    match client.write.write_all(&bytes).await {
                        Ok(()) => _ = open.insert(id, txn),
                        // Not taken: its last byte was not written.
                        Err(_) => self.books.left(&txn),
                    }
                }
            }
        }
    }

    /// Idle clients that come again as soon as they are closed.
    async fn idle_client(self: Arc<Self>, place: Arc<Place>) {
        while !self.over.is_cancelled() {
            match TcpStream::connect(place.at).await {
                Ok(socket) => {
                    let closed = async {
                        while matches!(socket.readable().await, Ok(()))
                            && socket.try_read(&mut [0; 64]).is_err()
                        {}
                    };
                    tokio::select! {
                        () = closed => {}
                        () = self.over.cancelled() => {}
                    }
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

/// Plays a seed; its books.
async fn play(plan: Plan) -> Book {
    let soak = Soak::start(plan).await;
    let (mut dispatchers, mut others) = (JoinSet::new(), JoinSet::new());
    for place in &soak.places {
        *place.term.lock().unwrap() = Some(Instant::now() - NEW_CONNECTIONS * 2);
        dispatchers.spawn(soak.clone().lives(place.clone()));
        for number in 0..soak.plan.clients_each as u64 {
            others.spawn(soak.clone().client(place.clone(), number));
        }
        let idle = if soak.plan.crowd {
            soak.plan.sockets as usize / 2
        } else {
            0
        };
        (0..idle).for_each(|_| _ = others.spawn(soak.clone().idle_client(place.clone())));
    }
    others.spawn(soak.clone().moods());
    others.spawn(soak.clone().events());
    others.spawn(soak.clone().board_troubles());
    tokio::time::sleep(soak.plan.lasts).await;
    soak.over.cancel();
    while let Some(ended) = dispatchers.join_next().await {
        ended.unwrap();
    }
    others.abort_all();
    while let Some(ended) = others.join_next().await {
        // Stopped, unless it has failed by itself.
        assert!(
            !ended.is_err_and(|e| e.is_panic()),
            "a stand-in or a client has failed"
        );
    }
    let book = soak.books.lock().clone();
    book
}

fn report(plan: &Plan, book: &Book, violations: &[Violation]) {
    let start = book
        .asked
        .values()
        .map(|a| a.sent)
        .min()
        .unwrap_or_else(Instant::now);
    for v in violations.iter().take(5) {
        println!(
            "seed {}: {:?}: {}\n    {}",
            plan.seed,
            v.clause,
            v.why,
            way(book, &v.txn, start)
        );
    }
    if !violations.is_empty() {
        let seconds = plan.lasts.as_secs();
        println!(
            "again: SOAK_SEEDS={}..{} SOAK_SECONDS={seconds} cargo test -p pointspindle-cli --test platform soak:: -- --nocapture",
            plan.seed,
            plan.seed + 1
        );
    }
}

fn asked_for() -> (std::ops::Range<u64>, Duration) {
    let number = |text: &str| text.parse::<u64>().expect("a number");
    let seeds = std::env::var("SOAK_SEEDS").map_or(CI_SEEDS, |text| {
        let (from, to) = text.split_once("..").expect("SOAK_SEEDS as 1..51");
        number(from)..number(to)
    });
    let seconds = std::env::var("SOAK_SECONDS").map_or(CI_SECONDS, |text| number(&text));
    (seeds, Duration::from_secs(seconds))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_clause_is_broken_under_drawn_troubles() {
    let (seeds, lasts) = asked_for();
    let (mut requests, mut attempts, mut broken) = (0, 0, BTreeMap::<Clause, usize>::new());
    let mut missed = BTreeSet::new();
    for seed in seeds {
        let plan = Plan::draw(seed, lasts);
        let book = play(plan.clone()).await;
        let violations = judge(&plan, &book);
        let answered = book
            .asked
            .values()
            .filter(|a| matches!(a.end, End::Answered(_, 200)))
            .count();
        println!(
            "{plan:?}: {} requests, {answered} served, {} attempts, {} violations",
            book.asked.len(),
            book.pulls.len(),
            violations.len()
        );
        report(&plan, &book, &violations);
        (requests, attempts) = (requests + book.asked.len(), attempts + book.pulls.len());
        for violation in &violations {
            *broken.entry(violation.clause).or_default() += 1;
        }
        // A judge that never fails is none.
        for (clause, planted) in plants(&plan, &book) {
            if !judge(&plan, &planted).iter().any(|v| v.clause == clause) {
                missed.insert(clause);
            }
        }
    }
    println!("{requests} requests, {attempts} attempts, violations by clause: {broken:?}");
    assert!(missed.is_empty(), "planted and not found: {missed:?}");
    assert!(broken.is_empty(), "{broken:?}");
    assert!(requests > 0 && attempts > 0);
}
