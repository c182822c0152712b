//! Observations at both ends of the dispatchers: requests by the clients, attempts by the cache hosts, and
//! announced changes by the discovery server.
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

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Open,
    /// Ended with this response status; 0 if it ended without a response.
    Answered {
        at: Instant,
        status: u16,
    },
    /// The connection was closed.
    Closed {
        at: Instant,
        /// Whether no response had been received on the connection.
        unused: bool,
    },
    /// The client aborted the request or closed the connection.
    Abandoned,
}

/// A request as observed by its client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub dispatcher: usize,
    pub class: Class,
    pub object: u64,
    pub sent_at: Instant,
    pub time_left: Duration,
    pub outcome: RequestOutcome,
    pub abandoned_at: Option<Instant>,
    /// Number of responses; more than one is a violation.
    pub responses: usize,
}

impl RequestRecord {
    /// Returns whether the request was answered with status 200.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, RequestOutcome::Answered { status: 200, .. })
    }
}

/// Outcome of an attempt at a cache host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Served,
    /// The request never ran.
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

/// An attempt as observed by its cache host.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub transaction: String,
    pub host: usize,
    pub received_at: Instant,
    /// Remaining time in the cache request.
    pub time_left_ms: u64,
    /// Age limit in the cache request; 0 for no limit.
    pub max_age_ms: u64,
    pub end: Option<AttemptEnd>,
}

impl Attempt {
    /// Returns whether the request may have run in this attempt, which every outcome but a rejection allows.
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

/// A change with the time of its announcement.
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

/// A period in which the discovery server was down or silent.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryOutage {
    pub from: Instant,
    pub to: Instant,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests by transaction id.
    pub requests: BTreeMap<String, RequestRecord>,
    pub attempts: Vec<Attempt>,
    pub announcements: Vec<Announcement>,
    pub process_ends: Vec<ProcessEnd>,
    pub crashes: Vec<String>,
    pub discovery_outages: Vec<DiscoveryOutage>,
}

/// Collects the observations of a run in progress.
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
