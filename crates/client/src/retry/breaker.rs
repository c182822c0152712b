//! Circuit breaker of one dispatcher: it opens after several attempts in a row without any response, and admits a single
//! trial attempt after a pause.
use super::{micros, Micros, RetryPolicy};

/// Upper bound of pause doublings, which prevents overflow; the longest pause is reached with fewer.
const MAX_PAUSE_DOUBLINGS: u32 = 10;

/// State of the circuit breaker of one dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Breaker {
    /// Number of attempts in a row without a response.
    failures: u32,
    /// Time at which the last of these attempts was counted.
    last_failure: Option<Micros>,
    /// Number of times that the breaker has opened since the last response.
    trips: u32,
    /// End of the pause, before which no attempt is admitted.
    pub(super) open_until: Micros,
    /// Time until which, at most, other attempts wait for the result of the trial after a pause.
    trial_until: Micros,
}

impl Breaker {
    /// Whether an attempt is admitted, with at most one trial at a time.
    pub(super) fn admits(&self, now: Micros) -> bool {
        self.pause_is_over(now) && (self.trips == 0 || now >= self.trial_until)
    }

    /// Whether the pause is over, even if a trial is in progress.
    pub(super) fn pause_is_over(&self, now: Micros) -> bool {
        now >= self.open_until
    }

    /// Returns the earliest time at which the breaker admits an attempt.
    pub(super) fn next_attempt_at(&self) -> Micros {
        self.open_until.max(self.trial_until)
    }

    /// Records the start of an attempt. After a pause it is the trial.
    pub(super) fn attempt_started(&mut self, now: Micros, policy: &RetryPolicy) {
        if self.trips > 0 {
            self.trial_until = now + micros(policy.breaker_pause);
        }
    }

    /// Records a response of the dispatcher.
    pub(super) fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Records the end of an attempt without any response. `jitter` is a factor of the pause.
    pub(super) fn record_no_response(&mut self, now: Micros, policy: &RetryPolicy, jitter: f64) {
        // Calls that share a connection are lost together, which counts as one failure.
        let already_counted = self
            .last_failure
            .is_some_and(|at| now < at + micros(policy.initial_backoff));
        if !self.pause_is_over(now) || already_counted {
            return;
        }
        self.failures += 1;
        self.last_failure = Some(now);
        if self.failures >= policy.breaker_threshold || self.trips > 0 {
            let doubled = micros(policy.breaker_pause) << self.trips.min(MAX_PAUSE_DOUBLINGS);
            let pause = doubled.min(micros(policy.max_breaker_pause)) as f64 * jitter;
            self.trips += 1;
            self.open_until = now + pause as Micros;
        }
    }
}
