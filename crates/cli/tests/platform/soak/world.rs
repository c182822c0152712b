//! The stand-ins of a soak: cache hosts that misbehave by turns, and a notice board at two addresses with one log of events.
use super::books::*;
use crate::stage::{listed, request};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// How a host behaves just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mood {
    Good,
    Hangs,
    Refuses,
    Fails,
    Resets,
    Spoils,
}

pub const MOODS: [Mood; 6] = [
    Mood::Good,
    Mood::Hangs,
    Mood::Refuses,
    Mood::Fails,
    Mood::Resets,
    Mood::Spoils,
];

#[derive(Debug)]
pub struct CacheHost {
    pub number: usize,
    pub kind: &'static str,
    pub at: SocketAddr,
    mood: AtomicU8,
}

impl CacheHost {
    pub async fn start(number: usize, kind: &'static str, books: Arc<Books>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let host = Arc::new(Self {
            number,
            kind,
            at,
            mood: AtomicU8::new(0),
        });
        let own = host.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let _ = socket.set_nodelay(true);
                tokio::spawn(converse(own.clone(), socket, books.clone()));
            }
        });
        host
    }

    pub fn feel(&self, mood: Mood) {
        self.mood.store(mood as u8, Ordering::SeqCst);
    }

    fn mood(&self) -> Mood {
        MOODS[usize::from(self.mood.load(Ordering::SeqCst))]
    }

    pub fn id(&self) -> String {
        format!("{}-{}", self.kind, self.number)
    }

    /// Its line in an event.
    pub fn line(&self, health: &str) -> String {
        listed(&self.id(), self.at, self.kind, health)
    }
}

/// Attempts open on one connection, by their ids.
type Open = Arc<Mutex<HashMap<String, usize>>>;

async fn converse(host: Arc<CacheHost>, socket: TcpStream, books: Arc<Books>) {
    let (read, write) = socket.into_split();
    let write = Arc::new(tokio::sync::Mutex::new(write));
    let open = Open::default();
    let mut read = BufReader::new(read);
    let mut line = String::new();
    while matches!(read.read_line(&mut line).await, Ok(1..)) {
        let at = Instant::now();
        let text = std::mem::take(&mut line).trim_end().to_owned();
        match text.split(' ').collect::<Vec<_>>()[..] {
            ["PULL", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                if read.read_exact(&mut body).await.is_err() {
                    break;
                }
                let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name));
                let number = |name: &str| field(name).and_then(|v| v.parse().ok()).unwrap_or(0);
                let (txn, ms, cap) = (id.to_owned(), number("ms="), number("cap="));
                let pull = books.pulled(Pull {
                    txn,
                    host: host.number,
                    at,
                    ms,
                    cap,
                    over: None,
                });
                open.lock().unwrap().insert(id.to_owned(), pull);
                let mood = host.mood();
                if mood == Mood::Resets {
                    break;
                }
                tokio::spawn(answer(
                    mood,
                    id.to_owned(),
                    open.clone(),
                    write.clone(),
                    books.clone(),
                ));
            }
            ["KILL", id] => {
                if let Some(pull) = open.lock().unwrap().remove(id) {
                    books.over(pull, Over::GivenUp);
                }
            }
            ["ECHO", tag] if host.mood() != Mood::Hangs => {
                let green = format!("{tag} green - 0\r\n\r\n");
                let _ = write.lock().await.write_all(green.as_bytes()).await;
            }
            _ => {}
        }
    }
    // What was open ends with the connection.
    let left: Vec<usize> = open.lock().unwrap().drain().map(|(_, pull)| pull).collect();
    left.into_iter()
        .for_each(|pull| books.over(pull, Over::MayHaveRun));
}

async fn answer(
    mood: Mood,
    id: String,
    open: Open,
    write: Arc<tokio::sync::Mutex<tokio::net::tcp::OwnedWriteHalf>>,
    books: Arc<Books>,
) {
    let (bytes, over) = match mood {
        Mood::Hangs | Mood::Resets => return,
        Mood::Good => (crate::stage::served(&id, "good"), Over::Served),
        Mood::Refuses => (
            format!("{id} overload res=crowded 0\r\n\r\n").into_bytes(),
            Over::Refused,
        ),
        Mood::Fails => (
            format!("{id} crashed res=mem 0\r\n\r\n").into_bytes(),
            Over::MayHaveRun,
        ),
        Mood::Spoils => (b"\xff\x00 no answer at all\r\n".to_vec(), Over::MayHaveRun),
    };
    // A little work, of the id's own length.
    tokio::time::sleep(Duration::from_millis(u64::from(id.as_bytes()[15] % 8))).await;
    let Some(pull) = open.lock().unwrap().remove(&id) else {
        return;
    };
    let mut write = write.lock().await;
    let written = write.write_all(&bytes).await;
    books.over(
        pull,
        if written.is_ok() {
            over
        } else {
            Over::MayHaveRun
        },
    );
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoardState {
    Up,
    /// It takes no connection, and those that were open are closed.
    Down,
    /// Connections stay open and say nothing.
    Silent,
}

/// A log of events, told at two addresses.
pub struct Log {
    events: Mutex<Vec<String>>,
    told: watch::Sender<usize>,
    state: watch::Sender<BoardState>,
    pub addresses: Vec<SocketAddr>,
}

impl Log {
    pub async fn start() -> Arc<Self> {
        let mut listeners = Vec::new();
        for _ in 0..2 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let (told, state) = (watch::channel(0).0, watch::channel(BoardState::Up).0);
        let log = Arc::new(Self {
            events: Mutex::default(),
            told,
            state,
            addresses,
        });
        for listener in listeners {
            let log = log.clone();
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    tokio::spawn(log.clone().tell(socket));
                }
            });
        }
        log
    }

    pub fn put(&self, what: &str) {
        let mut events = self.events.lock().unwrap();
        let rev = events.len() + 1;
        events.push(format!("{{\"rev\":{rev},{what}}}"));
        self.told.send_replace(rev);
    }

    pub fn set(&self, state: BoardState) {
        self.state.send_replace(state);
    }

    /// All that was told, as a configuration knows it.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!(
            "{{\"rev\":{},\"notices\":[{}]}}",
            events.len(),
            events.join(",")
        )
    }

    async fn tell(self: Arc<Self>, mut socket: TcpStream) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = socket.read_u8().await else {
                return;
            };
            head.push(byte);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last = head.lines().find_map(|l| l.strip_prefix("last-event-id: "));
        let mut last: usize = last.and_then(|l| l.parse().ok()).unwrap_or(0);
        let (mut told, mut state) = (self.told.subscribe(), self.state.subscribe());
        let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n".to_owned();
        let mut comments = tokio::time::interval(Duration::from_millis(500));
        loop {
            let now = *state.borrow_and_update();
            if now == BoardState::Down {
                return;
            }
            if now == BoardState::Up {
                let events = self.events.lock().unwrap()[last..].to_vec();
                for event in events {
                    last += 1;
                    text += &format!("id: {last}\ndata: {event}\n\n");
                }
                if socket
                    .write_all(std::mem::take(&mut text).as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
            tokio::select! {
                _ = told.changed() => {}
                _ = state.changed() => {}
                _ = comments.tick() => text = ":\n\n".to_owned(),
            }
        }
    }
}

/// A request of a client, in the books from the moment in which it is written.
pub fn ask(
    dice: &mut StdRng,
    books: &Books,
    dispatcher: usize,
    id: u16,
    deadline: Duration,
) -> (String, bytes::BytesMut) {
    let class = if dice.gen_bool(0.3) {
        Class::Submit
    } else {
        Class::Page
    };
    let object = dice.gen_range(0..30u64) + if class == Class::Submit { 1_000 } else { 0 };
    let most = deadline.as_millis() as u64;
    let ttl_ms = if dice.gen_bool(0.05) {
        dice.gen_range(1..=20)
    } else {
        dice.gen_range(most / 2..=most)
    };
    let (txn, ttl) = (format!("{:016x}", dice.gen::<u64>()), ttl_ms.to_string());
    let (row, key) = (
        format!("{object:016x}"),
        format!("{:032x}", dice.gen::<u128>()),
    );
    let mut fields = vec![
        ("HTTP_X_TXN", txn.as_str()),
        ("HTTP_X_ROW", &row),
        ("HTTP_X_TTL_MS", &ttl),
    ];
    let (script, body): (_, &[u8]) = match class {
        Class::Page => ("/ops/page", b""),
        Class::Submit => {
            fields.push(("HTTP_X_TXN_KEY", &key));
            ("/ops/submit", b"x")
        }
    };
    let bytes = request(id, script, &fields, body);
    let (sent, ttl) = (Instant::now(), Duration::from_millis(ttl_ms));
    let asked = Asked {
        dispatcher,
        class,
        object,
        sent,
        ttl,
        end: End::Open,
        left: None,
        answers: 0,
    };
    books.lock().asked.insert(txn.clone(), asked);
    (txn, bytes)
}
