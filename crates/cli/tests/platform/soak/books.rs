//! What both ends of the dispatchers have seen: clients of their requests, cache hosts of theirs, the board of what it told.
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Page,
    Submit,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Open,
    /// By the status of its answer; 0: an end without one.
    Answered(Instant, u16),
    /// The connection was closed; `new`: nothing had been answered on it.
    Closed {
        at: Instant,
        new: bool,
    },
    /// The client has taken it back or closed.
    Left,
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub dispatcher: usize,
    pub class: Class,
    pub object: u64,
    pub sent: Instant,
    pub ttl: Duration,
    pub end: End,
    pub left: Option<Instant>,
    /// Answers, to be one at most.
    pub answers: usize,
}

/// How an attempt ended at a cache host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    Served,
    /// It never ran.
    Refused,
    MayHaveRun,
    GivenUp,
}

#[derive(Clone, Debug)]
pub struct Pull {
    pub txn: String,
    pub host: usize,
    pub at: Instant,
    pub ms: u64,
    pub cap: u64,
    pub over: Option<(Instant, Over)>,
}

/// What the board has told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Drained { host: usize },
    Purged { object: u64, at: Instant },
}

/// A dispatcher's planned end.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub dispatcher: usize,
    pub killed: Instant,
}

#[derive(Clone, Debug, Default)]
pub struct Book {
    pub asked: BTreeMap<String, Asked>,
    pub pulls: Vec<Pull>,
    pub told: Vec<(Instant, Told)>,
    pub endings: Vec<Ending>,
    pub crashes: Vec<String>,
    /// Spans in which the board was down or silent.
    pub board_troubles: Vec<(Instant, Instant)>,
}

#[derive(Debug, Default)]
pub struct Books(Mutex<Book>);

impl Books {
    pub fn lock(&self) -> MutexGuard<'_, Book> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A new attempt; its number.
    pub fn pulled(&self, pull: Pull) -> usize {
        let mut book = self.lock();
        book.pulls.push(pull);
        book.pulls.len() - 1
    }

    pub fn over(&self, pull: usize, over: Over) {
        self.lock().pulls[pull]
            .over
            .get_or_insert((Instant::now(), over));
    }

    /// A request's end, unless it had one. Answers are counted whatever came before.
    pub fn ended(&self, txn: &str, end: End) {
        let mut book = self.lock();
        let Some(asked) = book.asked.get_mut(txn) else {
            return;
        };
        asked.answers += usize::from(matches!(end, End::Answered(..)));
        if asked.end == End::Open {
            asked.end = end;
        }
    }

    pub fn left(&self, txn: &str) {
        if let Some(asked) = self.lock().asked.get_mut(txn) {
            asked.left.get_or_insert(Instant::now());
            if asked.end == End::Open {
                asked.end = End::Left;
            }
        }
    }
}
