//! The circuit breaker of one dispatcher: opens after several attempts in a row without any response, and lets a single
//! trial through when its pause is over.
use super::{micros, Micros, RetryPolicy};

/// Doublings of the pause beyond this many change nothing: the longest pause is reached long before.
const MAX_PAUSE_DOUBLINGS: u32 = 10;

/// What is known of one dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Breaker {
    /// Attempts in a row without a response.
    failures: u32,
    /// When the last of them was counted.
    last_failure: Option<Micros>,
    /// How often the breaker has opened since the last response.
    trips: u32,
    /// No attempt before this moment.
    pub(super) open_until: Micros,
    /// After a pause one attempt is let through; the others wait for its result, at most until this moment.
    trial_until: Micros,
}

impl Breaker {
    /// Whether an attempt is let through, with at most one trial at a time.
    pub(super) fn admits(&self, now: Micros) -> bool {
        self.is_closed(now) && (self.trips == 0 || now >= self.trial_until)
    }

    /// Whether its pause is over, whatever trial may be under way.
    pub(super) fn is_closed(&self, now: Micros) -> bool {
        now >= self.open_until
    }

    /// When it next lets an attempt through.
    pub(super) fn next_attempt_at(&self) -> Micros {
        self.open_until.max(self.trial_until)
    }

    /// An attempt begins: after a pause it is the trial.
    pub(super) fn attempt_started(&mut self, now: Micros, rules: &RetryPolicy) {
        if self.trips > 0 {
            self.trial_until = now + micros(rules.breaker_pause);
        }
    }

    /// The dispatcher has responded.
    pub(super) fn record_response(&mut self) {
        *self = Self::default();
    }

    /// An attempt ended without any response. `jitter`: factor of the pause.
    pub(super) fn record_silence(&mut self, now: Micros, rules: &RetryPolicy, jitter: f64) {
        // Calls that share a connection are lost together; that counts once.
        let already_counted = self
            .last_failure
            .is_some_and(|at| now < at + micros(rules.initial_backoff));
        if !self.is_closed(now) || already_counted {
            return;
        }
        self.failures += 1;
        self.last_failure = Some(now);
        if self.failures >= rules.breaker_threshold || self.trips > 0 {
            let doubled = micros(rules.breaker_pause) << self.trips.min(MAX_PAUSE_DOUBLINGS);
            let pause = doubled.min(micros(rules.max_breaker_pause)) as f64 * jitter;
            self.trips += 1;
            self.open_until = now + pause as Micros;
        }
    }
}
