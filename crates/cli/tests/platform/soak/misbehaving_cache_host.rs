//! Cache hosts that misbehave from time to time and record each attempt.
use super::observations::{Attempt, AttemptOutcome, Recorder};
use crate::support::{endpoint_entry, healthy_reply, overloaded_reply, served_reply};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// The line end after a body.
const BODY_END_BYTES: usize = 2;
/// Maximum delay of a reply; the last digit of the transaction id determines the delay.
const MAX_WORK_MS: u64 = 8;

/// Current behaviour of a cache host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    Serves,
    /// Replies neither to requests nor to health checks.
    Hangs,
    Rejects,
    Fails,
    /// Closes the connection when a request arrives.
    Closes,
    /// Replies with bytes that are not a valid reply.
    Corrupts,
}

/// All behaviours, indexed by their numbers.
pub const BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::Serves,
    Behaviour::Hangs,
    Behaviour::Rejects,
    Behaviour::Fails,
    Behaviour::Closes,
    Behaviour::Corrupts,
];

/// A cache host whose behaviour changes.
#[derive(Debug)]
pub struct MisbehavingCacheHost {
    pub number: usize,
    class: &'static str,
    address: SocketAddr,
    behaviour: AtomicU8,
}

impl MisbehavingCacheHost {
    /// Starts a cache host that serves; `class` is the platform's name for its kind.
    pub async fn start(number: usize, class: &'static str, recorder: Arc<Recorder>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let host = Arc::new(Self {
            number,
            class,
            address,
            behaviour: AtomicU8::new(Behaviour::Serves as u8),
        });
        let accepting = host.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let _ = socket.set_nodelay(true);
                let (reader, writer) = socket.into_split();
                let connection = Connection {
                    host: accepting.clone(),
                    recorder: recorder.clone(),
                    writer: Arc::new(tokio::sync::Mutex::new(writer)),
                    open: OpenAttempts::default(),
                };
                tokio::spawn(connection.serve(BufReader::new(reader)));
            }
        });
        host
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.behaviour.store(behaviour as u8, Ordering::SeqCst);
    }

    fn behaviour(&self) -> Behaviour {
        BEHAVIOURS[usize::from(self.behaviour.load(Ordering::SeqCst))]
    }

    /// Returns the cache host's entry in an endpoint list.
    pub fn entry(&self, health: &str) -> String {
        let id = format!("{}-{}", self.class, self.number);
        endpoint_entry(&id, self.address, self.class, health)
    }
}

/// Indices of the open attempts of one connection, by transaction id.
type OpenAttempts = Arc<Mutex<HashMap<String, usize>>>;

/// One connection of a dispatcher.
#[derive(Clone)]
struct Connection {
    host: Arc<MisbehavingCacheHost>,
    recorder: Arc<Recorder>,
    writer: Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
    open: OpenAttempts,
}

impl Connection {
    async fn serve(self, mut reader: BufReader<OwnedReadHalf>) {
        let mut buffer = String::new();
        while matches!(reader.read_line(&mut buffer).await, Ok(1..)) {
            let received_at = Instant::now();
            let line = std::mem::take(&mut buffer).trim_end().to_owned();
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["PULL", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap() + BODY_END_BYTES];
                    if reader.read_exact(&mut body).await.is_err() {
                        break;
                    }
                    self.record_attempt(id, fields, received_at);
                    let behaviour = self.host.behaviour();
                    if behaviour == Behaviour::Closes {
                        break;
                    }
                    tokio::spawn(self.clone().reply(behaviour, id.to_owned()));
                }
                ["KILL", id] => {
                    if let Some(attempt) = self.open.lock().unwrap().remove(id) {
                        self.recorder
                            .attempt_ended(attempt, AttemptOutcome::Cancelled);
                    }
                }
                ["ECHO", tag] if self.host.behaviour() != Behaviour::Hangs => {
                    let _ = self
                        .writer
                        .lock()
                        .await
                        .write_all(&healthy_reply(tag))
                        .await;
                }
                _ => {}
            }
        }
        self.end_all();
    }

    fn record_attempt(&self, id: &str, fields: &str, received_at: Instant) {
        let number = |name: &str| {
            let value = fields.split(',').find_map(|field| field.strip_prefix(name));
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        let attempt = self.recorder.attempt_received(Attempt {
            transaction: id.to_owned(),
            host: self.host.number,
            received_at,
            time_left_ms: number("ms="),
            max_age_ms: number("cap="),
            end: None,
        });
        self.open.lock().unwrap().insert(id.to_owned(), attempt);
    }

    /// Ends the open attempts when the connection ends.
    fn end_all(&self) {
        let open: Vec<usize> = self
            .open
            .lock()
            .unwrap()
            .drain()
            .map(|(_, attempt)| attempt)
            .collect();
        for attempt in open {
            self.recorder
                .attempt_ended(attempt, AttemptOutcome::MayHaveRun);
        }
    }

    async fn reply(self, behaviour: Behaviour, id: String) {
        let (reply, outcome) = match behaviour {
            Behaviour::Hangs | Behaviour::Closes => return,
            Behaviour::Serves => (served_reply(&id, "good"), AttemptOutcome::Served),
            Behaviour::Rejects => (overloaded_reply(&id), AttemptOutcome::Rejected),
            Behaviour::Fails => (
                format!("{id} crashed res=mem 0\r\n\r\n").into_bytes(),
                AttemptOutcome::MayHaveRun,
            ),
            Behaviour::Corrupts => (
                b"\xff\x00 no answer at all\r\n".to_vec(),
                AttemptOutcome::MayHaveRun,
            ),
        };
        let last_digit = id.as_bytes()[15];
        let work = Duration::from_millis(u64::from(last_digit) % MAX_WORK_MS);
        tokio::time::sleep(work).await;
        let Some(attempt) = self.open.lock().unwrap().remove(&id) else {
            return;
        };
        let mut writer = self.writer.lock().await;
        let outcome = match writer.write_all(&reply).await {
            Ok(()) => outcome,
            Err(_) => AttemptOutcome::MayHaveRun,
        };
        self.recorder.attempt_ended(attempt, outcome);
    }
}
