//! The state of the request to etcd: a snapshot read, a watch, or the backoff between two of them.
use super::{Micros, WatchEvent, WatcherSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Bounds the exponent of the backoff; the settings bound the backoff itself.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// What the watcher is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The next request is sent at this time.
    Backoff { until: Micros },
    /// A snapshot read is in flight.
    ReadingSnapshot,
    /// The watch has been requested.
    OpeningWatch,
    /// The watch is established.
    Watching,
}

/// The request in flight, its time-outs, and the fragments received so far.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) phase: Phase,
    /// Events of revisions that are not complete yet; dropped when the stream ends.
    pub(super) fragments: Vec<WatchEvent>,
    /// When the request was sent or last responded.
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

    /// Waits before the next request. The jitter spreads dispatchers that lost etcd at the same moment.
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

    /// When the phase next has something to do.
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

    /// True once for each period of inactivity of the watch.
    pub(super) fn take_progress_due(&mut self, now: Micros, settings: &WatcherSettings) -> bool {
        let inactive_us = now.saturating_sub(self.last_activity_at);
        let due = self.phase == Phase::Watching
            && !self.progress_requested
            && inactive_us >= settings.progress_interval_us;
        self.progress_requested |= due;
        due
    }
}
