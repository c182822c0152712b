//! The clients of a run, which connect, send requests, abort some, disconnect and connect again.
use super::fault_schedule::PAGE_OBJECTS;
use super::observations::{Class, Recorder, RequestOutcome, RequestRecord};
use super::run::{random_duration, DispatcherSlot, Run};
use crate::support::{abort_record, fastcgi_request, FastCgiClient};
use bytes::BytesMut;
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

const CLIENT_SALT: u64 = 1_000_000;
/// Number of salts reserved for the clients of one dispatcher.
const SALTS_PER_DISPATCHER: u64 = 100;
/// Maximum number of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 8;
const SUBMIT_PROBABILITY: f64 = 0.3;
/// First object number of write requests.
const FIRST_SUBMIT_OBJECT: u64 = 1_000;
/// Requests with very little time left.
const SHORT_DEADLINE_PROBABILITY: f64 = 0.05;
const SHORT_DEADLINES_MS: std::ops::RangeInclusive<u64> = 1..=20;
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
const IDLE_RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Open requests of a connection: transaction ids by request id.
type OpenRequests = BTreeMap<u16, String>;

/// One client of a dispatcher.
pub struct Client {
    run: Arc<Run>,
    slot: Arc<DispatcherSlot>,
    rng: StdRng,
}

impl Client {
    pub fn new(run: Arc<Run>, slot: Arc<DispatcherSlot>, number: u64) -> Self {
        let salt = CLIENT_SALT + SALTS_PER_DISPATCHER * slot.number as u64 + number;
        let rng = run.plan.rng(salt);
        Self { run, slot, rng }
    }

    /// Uses successive connections until the run is over.
    pub async fn run(mut self) {
        loop {
            let socket = match self.slot.accepts_connections() {
                true => TcpStream::connect(self.slot.address).await.ok(),
                false => None,
            };
            match socket {
                Some(socket) => self.use_connection(FastCgiClient::new(socket)).await,
                None => tokio::time::sleep(RECONNECT_INTERVAL).await,
            }
            if self.run.over.is_cancelled() {
                return;
            }
        }
    }

    async fn use_connection(&mut self, mut connection: FastCgiClient) {
        let mut open = OpenRequests::new();
        let mut ticks = tokio::time::interval(random_duration(&mut self.rng, 15, 60));
        let mut unused = true;
        loop {
            tokio::select! {
                response = connection.next_response() => {
                    let at = Instant::now();
                    let Some((id, response)) = response else {
                        let outcome = RequestOutcome::Closed { at, unused };
                        for transaction in open.values() {
                            self.run.recorder.request_ended(transaction, outcome);
                        }
                        return;
                    };
                    unused = false;
                    if let Some(transaction) = open.remove(&id) {
                        let outcome = RequestOutcome::Answered { at, status: response.status };
                        self.run.recorder.request_ended(&transaction, outcome);
                    }
                }
                _ = ticks.tick() => {
                    if self.act(&mut connection, &mut open).await.is_break() {
                        drop(connection);
                        for transaction in open.values() {
                            self.run.recorder.request_abandoned(transaction);
                        }
                        return;
                    }
                }
            }
        }
    }

    /// Sends a request, after possibly aborting an open one. Breaks if the client disconnects instead.
    async fn act(
        &mut self,
        connection: &mut FastCgiClient,
        open: &mut OpenRequests,
    ) -> ControlFlow<()> {
        if self.run.over.is_cancelled() {
            return match open.is_empty() {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            };
        }
        match self.rng.gen_range(0..100) {
            0..6 => {
                // The request is aborted in any state.
                let Some((id, transaction)) = open.iter().next() else {
                    return ControlFlow::Continue(());
                };
                let _ = connection.writer.write_all(&abort_record(*id)).await;
                self.run.recorder.request_abandoned(transaction);
            }
            6..8 => return ControlFlow::Break(()),
            _ => {}
        }
        let unused_id = (1..=32).find(|id| !open.contains_key(id));
        if let Some(id) = unused_id.filter(|_| open.len() < MAX_OPEN_REQUESTS) {
            self.send_request(connection, open, id).await;
        }
        ControlFlow::Continue(())
    }

    async fn send_request(
        &mut self,
        connection: &mut FastCgiClient,
        open: &mut OpenRequests,
        id: u16,
    ) {
        let request = RandomRequest::draw(&mut self.rng, self.run.plan.deadline);
        let bytes = request.record_and_encode(&self.run.recorder, self.slot.number, id);
        match connection.writer.write_all(&bytes).await {
            Ok(()) => _ = open.insert(id, request.transaction),
            // The dispatcher cannot have read the request: its last byte was not written.
            Err(_) => self.run.recorder.request_abandoned(&request.transaction),
        }
    }
}

/// A request with random values.
struct RandomRequest {
    class: Class,
    object: u64,
    time_left_ms: u64,
    transaction: String,
    idempotency_key: String,
}

impl RandomRequest {
    /// Draws a request. The values must be drawn in this order for a seed to keep its requests.
    fn draw(rng: &mut StdRng, deadline: Duration) -> Self {
        let class = match rng.gen_bool(SUBMIT_PROBABILITY) {
            true => Class::Submit,
            false => Class::Page,
        };
        let first_object = match class {
            Class::Page => 0,
            Class::Submit => FIRST_SUBMIT_OBJECT,
        };
        let object = first_object + rng.gen_range(0..PAGE_OBJECTS);
        let deadline_ms = deadline.as_millis() as u64;
        let time_left_ms = match rng.gen_bool(SHORT_DEADLINE_PROBABILITY) {
            true => rng.gen_range(SHORT_DEADLINES_MS),
            false => rng.gen_range(deadline_ms / 2..=deadline_ms),
        };
        let transaction = format!("{:016x}", rng.gen::<u64>());
        let idempotency_key = format!("{:032x}", rng.gen::<u128>());
        Self {
            class,
            object,
            time_left_ms,
            transaction,
            idempotency_key,
        }
    }

    /// Records the request as sent now, and returns its bytes.
    fn record_and_encode(&self, recorder: &Recorder, dispatcher: usize, id: u16) -> BytesMut {
        let object = format!("{:016x}", self.object);
        let time_left = self.time_left_ms.to_string();
        let mut fields = vec![
            ("HTTP_X_TXN", self.transaction.as_str()),
            ("HTTP_X_ROW", &object),
            ("HTTP_X_TTL_MS", &time_left),
        ];
        let (script, body): (_, &[u8]) = match self.class {
            Class::Page => ("/ops/page", b""),
            Class::Submit => {
                fields.push(("HTTP_X_TXN_KEY", &self.idempotency_key));
                ("/ops/submit", b"x")
            }
        };
        let bytes = fastcgi_request(id, script, &fields, body);
        let record = RequestRecord {
            dispatcher,
            class: self.class,
            object: self.object,
            sent_at: Instant::now(),
            time_left: Duration::from_millis(self.time_left_ms),
            outcome: RequestOutcome::Open,
            abandoned_at: None,
            responses: 0,
        };
        let transaction = self.transaction.clone();
        recorder.lock().requests.insert(transaction, record);
        bytes
    }
}

impl Run {
    /// Runs an idle client, which connects again as soon as its connection is closed.
    pub async fn keep_idle_connection(self: Arc<Self>, slot: Arc<DispatcherSlot>) {
        while !self.over.is_cancelled() {
            match TcpStream::connect(slot.address).await {
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
                Err(_) => tokio::time::sleep(IDLE_RECONNECT_INTERVAL).await,
            }
        }
    }
}
