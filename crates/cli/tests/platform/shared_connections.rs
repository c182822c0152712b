//! Connections of a web server with many clients behind it: the fault of one client costs only that client.
use crate::support::*;
use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

const SEED: u64 = 3;
/// Size of the header of a FastCGI record, which is all of the record that ends a body.
const RECORD_HEADER_BYTES: usize = 8;
const PAGE_INTERVAL: Duration = Duration::from_millis(25);
const BODY: [u8; 12_000] = [b'a'; 12_000];

/// Starts a dispatcher with a cache host and an origin that serve all requests.
async fn start_platform() -> (DispatcherProcess, DiscoveryServer, ScriptedCacheHost) {
    let discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [
        endpoint_entry("s-1", cache.address, "box", "Ready"),
        endpoint_entry("o-1", cache.address, "origin", "Ready"),
    ];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    (dispatcher, discovery, cache)
}

/// A web server's connection: pages and writes of many clients, with the responses that it has received.
struct SharedConnection {
    client: FastCgiClient,
    last_id: u16,
    responses: BTreeMap<u16, Response>,
}

impl SharedConnection {
    async fn open(dispatcher: &DispatcherProcess) -> Self {
        Self {
            client: FastCgiClient::connect(dispatcher.address).await,
            last_id: 0,
            responses: BTreeMap::new(),
        }
    }

    fn next_id(&mut self) -> u16 {
        self.last_id += 1;
        self.last_id
    }

    /// Sends a request and returns its id.
    async fn send(&mut self, script: &str) -> u16 {
        let id = self.next_id();
        self.client.send_request(id, script, &[], b"").await;
        id
    }

    async fn write(&mut self, bytes: &[u8]) {
        self.client.writer.write_all(bytes).await.unwrap();
    }

    /// Receives responses until this time.
    async fn receive_until(&mut self, until: Instant) {
        while let Ok(next) = tokio::time::timeout_at(until, self.client.next_response()).await {
            let (id, response) = next.expect("the shared connection was closed");
            let earlier = self.responses.insert(id, response);
            assert!(earlier.is_none(), "request {id} ended twice");
        }
    }

    /// Returns the status of a request's response, for which it waits.
    async fn status(&mut self, id: u16) -> u16 {
        if let Some(response) = self.responses.remove(&id) {
            return response.status;
        }
        self.client.response(id).await.status
    }
}

/// A write whose records are sent one after another, each at its time.
struct SlowWrite {
    /// Records that are not sent yet, the next one last.
    records: Vec<BytesMut>,
    next_at: Instant,
    interval: Duration,
}

impl SlowWrite {
    const BODY_RECORDS: usize = 12;

    fn new(id: u16, now: Instant, duration: Duration) -> Self {
        let key = format!("{id:032x}");
        let mut head = fastcgi_request(id, "/ops/submit", &[("HTTP_X_TXN_KEY", &key)], b"");
        let end_of_body = head.split_off(head.len() - RECORD_HEADER_BYTES);
        let mut records = vec![head];
        for content in BODY.chunks(BODY.len().div_ceil(Self::BODY_RECORDS)) {
            let mut record = BytesMut::new();
            write_record(&mut record, STDIN, id, content);
            records.push(record);
        }
        records.push(end_of_body);
        records.reverse();
        Self {
            interval: duration / records.len() as u32,
            records,
            next_at: now,
        }
    }

    /// Sends the next record if its time has come.
    async fn proceed(&mut self, connection: &mut SharedConnection, now: Instant) {
        if now < self.next_at {
            return;
        }
        self.next_at += self.interval;
        if let Some(record) = self.records.pop() {
            connection.write(&record).await;
        }
    }
}

/// Guards against one time-out for all incomplete requests of a connection, and against counting what exceeds it on the
/// connection: writes of up to 1.6 s overlap without a gap, and every request on the connection is served.
#[tokio::test]
async fn slow_writes_that_overlap_are_served_beside_other_requests() {
    const DURATION: Duration = Duration::from_secs(8);
    let (dispatcher, _discovery, _cache) = start_platform().await;
    let mut random = StdRng::seed_from_u64(SEED);
    let mut connection = SharedConnection::open(&dispatcher).await;
    let (mut pages, mut writes, mut open_writes) = (Vec::new(), Vec::new(), Vec::new());
    let started_at = Instant::now();
    let mut next_write_at = started_at;
    while started_at.elapsed() < DURATION || !open_writes.is_empty() {
        let now = Instant::now();
        if now >= next_write_at && started_at.elapsed() < DURATION {
            let duration = Duration::from_millis(random.gen_range(1_000..1_600));
            let id = connection.next_id();
            writes.push(id);
            open_writes.push(SlowWrite::new(id, now, duration));
            next_write_at = now + Duration::from_millis(random.gen_range(200..500));
        }
        for write in &mut open_writes {
            write.proceed(&mut connection, now).await;
        }
        open_writes.retain(|write: &SlowWrite| !write.records.is_empty());
        pages.push(connection.send("/ops/page").await);
        connection.receive_until(now + PAGE_INTERVAL).await;
    }
    for id in pages.iter().chain(&writes) {
        assert_eq!(connection.status(*id).await, 200, "request {id}");
    }
    println!(
        "{} pages and {} slow writes served",
        pages.len(),
        writes.len()
    );
}

/// Guards against a connection that stops serving because requests of some clients never become complete: these are
/// rejected, more of them than the limit of invalid requests, and all others are served.
#[tokio::test]
async fn requests_that_never_complete_cost_no_other_request() {
    const INCOMPLETE: u16 = 20;
    let (dispatcher, _discovery, _cache) = start_platform().await;
    let mut connection = SharedConnection::open(&dispatcher).await;
    let first = connection.send("/ops/page").await;
    assert_eq!(connection.status(first).await, 200);
    let mut incomplete = Vec::new();
    for _ in 0..INCOMPLETE {
        let id = connection.next_id();
        connection.write(&begin_request_record(id)).await;
        incomplete.push(id);
    }
    let mut pages = Vec::new();
    while !incomplete
        .iter()
        .all(|id| connection.responses.contains_key(id))
    {
        pages.push(connection.send("/ops/page").await);
        connection
            .receive_until(Instant::now() + PAGE_INTERVAL)
            .await;
    }
    pages.push(connection.send("/ops/page").await);
    for id in incomplete {
        assert_eq!(connection.status(id).await, 400, "incomplete request {id}");
    }
    for id in pages {
        assert_eq!(connection.status(id).await, 200, "page {id}");
    }
}

/// Guards against a limit of invalid requests over the life of a connection: valid requests make up for them.
#[tokio::test]
async fn invalid_requests_of_some_clients_cost_no_other_request() {
    let (dispatcher, _discovery, _cache) = start_platform().await;
    let mut connection = SharedConnection::open(&dispatcher).await;
    for round in 0..60 {
        let page = connection.send("/ops/page").await;
        let invalid = connection.send("/ops/none").await;
        assert_eq!(connection.status(page).await, 200, "round {round}");
        assert_eq!(connection.status(invalid).await, 400, "round {round}");
    }
}

/// Guards against complete requests without an answer once too many were invalid: they are rejected, the one in flight
/// before is served, and then the connection is closed.
#[tokio::test]
async fn complete_requests_after_too_many_invalid_ones_are_answered() {
    const INVALID: u16 = 20;
    let discovery = DiscoveryServer::start().await;
    let cache = ManualCacheHost::start().await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut connections = Vec::new();
    let mut connection = SharedConnection::open(&dispatcher).await;
    let in_flight = connection.send("/ops/page").await;
    let (line, mut cache_connection) = cache.next_cache_request(&mut connections).await;
    let half_written = connection.next_id();
    connection.write(&begin_request_record(half_written)).await;
    let mut invalid = Vec::new();
    for _ in 0..INVALID {
        invalid.push(connection.send("/ops/none").await);
    }
    let late = connection.send("/ops/page").await;
    for id in invalid {
        assert_eq!(connection.status(id).await, 400, "invalid request {id}");
    }
    assert_eq!(connection.status(half_written).await, 503);
    assert_eq!(connection.status(late).await, 503);
    cache_connection.serve(&line, "good").await;
    assert_eq!(connection.status(in_flight).await, 200);
    assert!(
        connection.client.next_response().await.is_none(),
        "the connection was not closed"
    );
}
