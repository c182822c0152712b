//! State of the request to etcd: a snapshot read, a watch, or the backoff between two requests.
use super::{Micros, WatchEvent, WatcherSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Limit of the backoff's exponent, which prevents overflow. The settings limit the backoff itself.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Phase of the watcher, named after what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The watcher waits until this time before it sends the next request.
    Backoff { until: Micros },
    /// A snapshot read is in flight.
    ReadingSnapshot,
    /// A watch has been requested and is not established yet.
    OpeningWatch,
    /// The watch is established.
    Watching,
}

/// The request in flight, its time-outs, and the fragments received so far.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) phase: Phase,
    /// Events of incomplete revisions; discarded when the stream ends.
    pub(super) fragments: Vec<WatchEvent>,
    /// Time at which the request was sent, or of its last response.
    last_activity_at: Micros,
    progress_requested: bool,
    consecutive_failures: u32,
    rng: StdRng,
}

impl RequestState {
    pub(super) fn new(now: Micros, seed: u64) -> Self {
        Self {
            phase: Phase::Backoff { until: now },
            fragments: Vec::new(),
            last_activity_at: now,
            progress_requested: false,
            consecutive_failures: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn record_response(&mut self, now: Micros) {
        self.last_activity_at = now;
        self.progress_requested = false;
    }

    pub(super) fn start(&mut self, phase: Phase, now: Micros) {
        self.phase = phase;
        self.last_activity_at = now;
    }

    pub(super) fn watch_established(&mut self) {
        self.phase = Phase::Watching;
        self.consecutive_failures = 0;
    }

    pub(super) fn is_watch(&self) -> bool {
        matches!(self.phase, Phase::OpeningWatch | Phase::Watching)
    }

    /// Enters the backoff before the next request. The jitter spreads the reconnects of dispatchers that lost etcd at the same
    /// time.
    pub(super) fn back_off(&mut self, now: Micros, settings: &WatcherSettings) {
        self.fragments.clear();
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_us = (settings.initial_backoff_us << doublings).min(settings.max_backoff_us);
        let jitter = 0.5 + self.rng.gen::<f64>();
        self.consecutive_failures += 1;
        self.phase = Phase::Backoff {
            until: now + (backoff_us as f64 * jitter) as Micros,
        };
    }

    /// Returns the time of the next action of the phase: the next request, a progress request, or a time-out.
    pub(super) fn next_deadline(&self, settings: &WatcherSettings) -> Micros {
        match self.phase {
            Phase::Backoff { until } => until,
            Phase::Watching if !self.progress_requested => {
                self.last_activity_at + settings.progress_interval_us
            }
            _ => self.last_activity_at + settings.request_timeout_us(),
        }
    }

    pub(super) fn has_timed_out(&self, now: Micros, settings: &WatcherSettings) -> bool {
        now.saturating_sub(self.last_activity_at) >= settings.request_timeout_us()
    }

    /// Whether a progress request is due. Returns true once per period of inactivity of the watch.
    pub(super) fn take_progress_due(&mut self, now: Micros, settings: &WatcherSettings) -> bool {
        let inactive_us = now.saturating_sub(self.last_activity_at);
        let due = self.phase == Phase::Watching
            && !self.progress_requested
            && inactive_us >= settings.progress_interval_us;
        self.progress_requested |= due;
        due
    }
}
