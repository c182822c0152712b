//! Thousands of calls to real dispatchers over connections that are cut or stop responding after a random number of bytes.
//! Each call has one outcome, each served body is correct, endpoints never run two attempts of one call at once, and work
//! that is not idempotent is never done twice.
mod attempt_log;
mod cluster;
mod relay;

use attempt_log::{longest_overlap, AttemptLog, Lifetime};
use cluster::{content, start_dispatcher, start_endpoint};
use pointspindle_client::{CallEvent, Client, Outcome, Request, RetryPolicy};
use pointspindle_dispatcher::Dispatcher;
use relay::start_relay;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Longest accepted overlap of two attempts of one call, which allows for a cancellation in transit. A longer overlap
/// counts as two live attempts.
const MAX_OVERLAP: Duration = Duration::from_millis(120);
const MAX_CONCURRENT_CALLS: usize = 48;
const DEADLINE: Duration = Duration::from_secs(3);
const KEY_WINDOW: Duration = Duration::from_secs(3);

/// The overlap check itself must detect two attempts that are live at once.
#[test]
fn longest_overlap_two_live_attempts_are_detected() {
    let at = |ms| Instant::now() + Duration::from_millis(ms);
    let lifetime = |start, end| Lifetime {
        started_at: at(start),
        ended_at: Some(at(end)),
    };
    let sequential = [lifetime(0, 10), lifetime(10, 400)];
    let overlapping = [lifetime(0, 300), lifetime(100, 400)];
    assert!(longest_overlap([&sequential[..]].into_iter()) < Duration::from_millis(5));
    assert!(
        longest_overlap([&sequential[..], &overlapping[..]].into_iter())
            > Duration::from_millis(190)
    );
}

#[derive(Clone, Copy, PartialEq)]
enum Protocol {
    Framed,
    Http,
}

#[derive(Default)]
struct Totals {
    served: u64,
    rejected: u64,
    failed: u64,
    attempts: u64,
}

impl Totals {
    fn add(&mut self, call: FinishedCall) {
        self.attempts += u64::from(call.attempts);
        match call.outcome {
            Outcome::Served => self.served += 1,
            Outcome::Rejected { .. } => self.rejected += 1,
            Outcome::Failed { .. } => self.failed += 1,
        }
    }
}

struct FinishedCall {
    outcome: Outcome,
    attempts: u32,
}

/// Two dispatchers behind relays, in front of three endpoints.
struct Cluster {
    log: Arc<AttemptLog>,
    dispatchers: [Dispatcher; 2],
    relays: Vec<SocketAddr>,
    cuts: Arc<AtomicU64>,
}

async fn start_cluster(protocol: Protocol, seed: u64) -> Cluster {
    let log = Arc::new(AttemptLog::default());
    let endpoints = [
        start_endpoint(log.clone(), seed).await,
        start_endpoint(log.clone(), seed + 1).await,
        start_endpoint(log.clone(), seed + 2).await,
    ];
    let dispatchers = [
        start_dispatcher(endpoints, 0).await,
        start_dispatcher(endpoints, 1).await,
    ];
    let cuts = Arc::new(AtomicU64::new(0));
    let mut relays = Vec::new();
    for (number, dispatcher) in dispatchers.iter().enumerate() {
        let bound = dispatcher.bound_addresses();
        let target = match protocol {
            Protocol::Framed => bound.framed,
            Protocol::Http => bound.http,
        };
        let relay_seed = seed + 10 + number as u64;
        relays.push(start_relay(target.unwrap(), relay_seed, cuts.clone()).await);
    }
    Cluster {
        log,
        dispatchers,
        relays,
        cuts,
    }
}

fn client(protocol: Protocol, dispatchers: Vec<SocketAddr>, seed: u64) -> Client {
    // The retry limits are raised so that they do not end calls early; other tests cover the budget.
    let rules = RetryPolicy {
        retries_per_call: 2.0,
        max_saved_retries: 1e6,
        breaker_threshold: 8,
        ..RetryPolicy::default()
    };
    let builder = Client::builder().retry_policy(rules).seed(seed);
    let builder = match protocol {
        Protocol::Framed => builder.framed(dispatchers),
        Protocol::Http => builder.http(dispatchers),
    };
    builder.build().unwrap()
}

/// Over the framed protocol, one call in ten has an idempotency key, and one in ten is not idempotent.
fn request(protocol: Protocol, number: u64) -> Request {
    let name = format!("call-{number}");
    let request = |class: &str| Request {
        trace: name.clone(),
        ..Request::get(format!("/o/{number}"), class, DEADLINE)
    };
    match (number % 10, protocol) {
        (0, Protocol::Framed) => request("keyed").with_idempotency_key(name.clone(), KEY_WINDOW),
        (1, Protocol::Framed) => request("unsafe").not_idempotent(),
        _ => request("page"),
    }
}

async fn make_call(client: Client, request: Request) -> FinishedCall {
    let object = request.object.clone();
    let started_at = Instant::now();
    let mut call = client.call(request).unwrap();
    let mut body = Vec::new();
    let mut outcome = None;
    while let Some(event) = call.next().await {
        assert!(outcome.is_none(), "an event came after the outcome");
        match event {
            CallEvent::Head(_) => assert!(body.is_empty(), "a second head"),
            CallEvent::Data(data) => body.extend_from_slice(&data),
            CallEvent::End(end) => outcome = Some(end),
        }
    }
    assert!(
        started_at.elapsed() < Duration::from_secs(6),
        "the call ended long after its deadline"
    );
    let outcome = outcome.expect("the call ended without an outcome");
    if outcome == Outcome::Served {
        assert!(
            body == content(&object),
            "{object}: wrong body of {} bytes",
            body.len()
        );
    }
    FinishedCall {
        outcome,
        attempts: call.attempts(),
    }
}

async fn make_calls(client: &Client, protocol: Protocol, calls: u64) -> Totals {
    let mut running = JoinSet::new();
    let mut totals = Totals::default();
    for number in 0..calls {
        running.spawn(make_call(client.clone(), request(protocol, number)));
        while running.len() >= MAX_CONCURRENT_CALLS {
            totals.add(running.join_next().await.unwrap().unwrap());
        }
    }
    while let Some(call) = running.join_next().await {
        totals.add(call.unwrap());
    }
    totals
}

async fn calls_over_cut_connections(protocol: Protocol, calls: u64, seed: u64) {
    let framed = protocol == Protocol::Framed;
    println!("framed: {framed}, {calls} calls, seed {seed}");
    let cluster = start_cluster(protocol, seed).await;
    let client = client(protocol, cluster.relays.clone(), seed);
    let totals = make_calls(&client, protocol, calls).await;
    let cuts = cluster.cuts.load(Ordering::Relaxed);
    let overlap = cluster.log.longest_overlap();
    println!(
        "{} served, {} rejected, {} failed, {} attempts, {cuts} cuts, longest overlap {overlap:?}",
        totals.served, totals.rejected, totals.failed, totals.attempts,
    );
    assert_eq!(totals.served + totals.rejected + totals.failed, calls);
    assert!(cuts > 50, "only {cuts} connections were cut");
    assert!(
        totals.served * 10 > calls * 8,
        "only {} of {calls} calls were served",
        totals.served
    );
    let overlap = cluster.log.longest_overlap();
    assert!(overlap < MAX_OVERLAP, "two live attempts for {overlap:?}");
    let repeated = cluster.log.repeated_executions();
    assert_eq!(
        repeated, 0,
        "calls whose non-idempotent work was done twice"
    );
    for dispatcher in cluster.dispatchers {
        dispatcher.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn framed_calls_over_cut_connections_have_one_outcome_and_one_live_attempt() {
    calls_over_cut_connections(Protocol::Framed, 7_000, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http_calls_over_cut_connections_have_one_outcome_and_one_live_attempt() {
    calls_over_cut_connections(Protocol::Http, 3_000, 2).await;
}
