//! What both ends of the dispatchers have observed: clients of their requests, cache hosts of their attempts,
//! and the discovery server of the changes that it announced.
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Page,
    Submit,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Open,
    /// By the status of its response; 0: an end without one.
    Answered {
        at: Instant,
        status: u16,
    },
    /// The connection was closed.
    Closed {
        at: Instant,
        /// Nothing had been answered on it.
        unused: bool,
    },
    /// The client has aborted it or closed the connection.
    Abandoned,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub dispatcher: usize,
    pub class: Class,
    pub object: u64,
    pub sent_at: Instant,
    pub time_left: Duration,
    pub outcome: RequestOutcome,
    pub abandoned_at: Option<Instant>,
    /// Responses; there may be one at most.
    pub responses: usize,
}

impl RequestRecord {
    /// Whether it was answered with status 200.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, RequestOutcome::Answered { status: 200, .. })
    }
}

/// How an attempt ended at a cache host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Served,
    /// It never ran.
    Rejected,
    MayHaveRun,
    Cancelled,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub at: Instant,
    pub outcome: AttemptOutcome,
}

/// An attempt, as its cache host saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub transaction: String,
    pub host: usize,
    pub received_at: Instant,
    /// The time left that the cache request named.
    pub time_left_ms: u64,
    /// The age limit that the cache request named; 0: none.
    pub max_age_ms: u64,
    pub end: Option<AttemptEnd>,
}

impl Attempt {
    /// Whether the request may have run by this attempt: all but a rejection.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.end,
            Some(AttemptEnd {
                outcome: AttemptOutcome::Rejected,
                ..
            })
        )
    }
}

/// A change that the discovery server has announced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    Drained { host: usize },
    Purged { object: u64, at: Instant },
}

/// When a change was announced.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    pub at: Instant,
    pub change: Change,
}

/// The planned end of a dispatcher's process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    pub dispatcher: usize,
    pub killed_at: Instant,
}

/// A time in which the discovery server was down or silent.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryOutage {
    pub from: Instant,
    pub to: Instant,
}

/// All that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests by their transaction ids.
    pub requests: BTreeMap<String, RequestRecord>,
    pub attempts: Vec<Attempt>,
    pub announcements: Vec<Announcement>,
    pub process_ends: Vec<ProcessEnd>,
    pub crashes: Vec<String>,
    pub discovery_outages: Vec<DiscoveryOutage>,
}

/// The observations of a run that goes on.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<Observations>);

impl Recorder {
    pub fn lock(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a new attempt; returns its index.
    pub fn attempt_received(&self, attempt: Attempt) -> usize {
        let mut observations = self.lock();
        observations.attempts.push(attempt);
        observations.attempts.len() - 1
    }

    /// Records the end of an attempt, unless it had ended.
    pub fn attempt_ended(&self, attempt: usize, outcome: AttemptOutcome) {
        let mut observations = self.lock();
        let at = Instant::now();
        observations.attempts[attempt]
            .end
            .get_or_insert(AttemptEnd { at, outcome });
    }

    /// Records a request's end, unless it had ended. Responses are counted whatever came before.
    pub fn request_ended(&self, transaction: &str, outcome: RequestOutcome) {
        let mut observations = self.lock();
        let Some(request) = observations.requests.get_mut(transaction) else {
            return;
        };
        let is_response = matches!(outcome, RequestOutcome::Answered { .. });
        request.responses += usize::from(is_response);
        if request.outcome == RequestOutcome::Open {
            request.outcome = outcome;
        }
    }

    /// Records that a client has aborted a request or closed its connection.
    pub fn request_abandoned(&self, transaction: &str) {
        if let Some(request) = self.lock().requests.get_mut(transaction) {
            request.abandoned_at.get_or_insert(Instant::now());
            if request.outcome == RequestOutcome::Open {
                request.outcome = RequestOutcome::Abandoned;
            }
        }
    }

    pub fn announced(&self, change: Change) {
        let mut observations = self.lock();
        let at = Instant::now();
        observations.announcements.push(Announcement { at, change });
    }

    pub fn crashed(&self, crash: String) {
        self.lock().crashes.push(crash);
    }
}
