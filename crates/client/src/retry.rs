//! Retry decisions without I/O, shared by all calls of a client: whether to retry, when, and at which dispatcher.
//!
//! * **Budget**: each call adds a fraction of a retry and each retry takes one. In an outage in which every call fails, a
//!   client therefore sends little more than one attempt per call, however long the outage lasts.
//! * **Backoff**: the mean delay doubles with each attempt, and jitter multiplies it by a factor between 0.5 and 1.5.
//! * **Circuit breaker**: after several attempts in a row without a response, a dispatcher gets no attempts for a pause, and
//!   then a single trial attempt.
mod breaker;
mod policy;
#[cfg(test)]
mod tests;

pub use policy::RetryPolicy;

use breaker::Breaker;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Microseconds on the client's monotonic clock.
pub type Micros = u64;

/// Upper bound of backoff doublings, which prevents overflow; the longest backoff is reached with fewer.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Largest fraction by which a `Retry-After` delay is extended, so that clients rejected together do not retry together.
const RETRY_AFTER_JITTER: f64 = 0.2;

/// Retry state that all calls of a client share.
#[derive(Debug)]
pub struct RetryState {
    policy: RetryPolicy,
    /// Number of retries left in the budget.
    budget: f64,
    /// Circuit breakers, by the index of the dispatcher.
    breakers: Vec<Breaker>,
    /// Index of the dispatcher that is next in turn.
    next: usize,
    random: StdRng,
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl RetryState {
    /// Creates the state of a client of `dispatchers` dispatchers. `seed` is the seed of the jitter.
    pub fn new(policy: RetryPolicy, dispatchers: usize, seed: u64) -> Self {
        Self {
            policy,
            budget: policy.max_saved_retries,
            breakers: vec![Breaker::default(); dispatchers],
            next: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the retry policy.
    pub fn policy(&self) -> &RetryPolicy {
        &self.policy
    }

    /// Records the start of a call, which adds a fraction of a retry to the budget.
    pub fn record_call(&mut self) {
        let budget = self.budget + self.policy.retries_per_call;
        self.budget = budget.min(self.policy.max_saved_retries);
    }

    /// Takes a retry from the budget. Returns whether one was available.
    pub fn take_retry(&mut self) -> bool {
        let available = self.budget >= 1.0;
        if available {
            self.budget -= 1.0;
        }
        available
    }

    /// Returns the delay before retry `number` (from 1), which is at least the dispatcher's `retry_after`.
    pub fn backoff(&mut self, number: u32, retry_after: Option<Micros>) -> Micros {
        let doublings = number.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let doubled = micros(self.policy.initial_backoff) << doublings;
        let mean = doubled.min(micros(self.policy.max_backoff)) as f64;
        let shortest = retry_after.map_or(0.0, |delay| {
            delay as f64 * (1.0 + RETRY_AFTER_JITTER * self.random.gen::<f64>())
        });
        (mean * self.jitter()).max(shortest) as Micros
    }

    /// Chooses the next dispatcher in turn for an attempt now, except those in `excluded`. Returns `None` if the breakers of
    /// all others are open or wait for a trial.
    pub fn choose(&mut self, now: Micros, excluded: &[usize]) -> Option<usize> {
        let count = self.breakers.len();
        let chosen = (0..count)
            .map(|offset| (self.next + offset) % count)
            .find(|index| !excluded.contains(index) && self.breakers[*index].admits(now))?;
        self.next = (chosen + 1) % count;
        self.breakers[chosen].attempt_started(now, &self.policy);
        Some(chosen)
    }

    /// Admits an attempt at this dispatcher now, regardless of turn and of a trial in progress. Returns `false` during the
    /// breaker's pause.
    pub fn try_admit(&mut self, now: Micros, dispatcher: usize) -> bool {
        let Some(breaker) = self.breakers.get_mut(dispatcher) else {
            return false;
        };
        let admitted = breaker.pause_is_over(now);
        if admitted {
            breaker.attempt_started(now, &self.policy);
        }
        admitted
    }

    /// Returns the earliest time at which a breaker admits an attempt.
    pub fn next_attempt_at(&self) -> Option<Micros> {
        self.breakers.iter().map(Breaker::next_attempt_at).min()
    }

    /// Records a response of a dispatcher, whatever its content.
    pub fn record_response(&mut self, dispatcher: usize) {
        self.breakers[dispatcher].record_response();
    }

    /// Records the end of an attempt without any response of the dispatcher.
    pub fn record_no_response(&mut self, now: Micros, dispatcher: usize) {
        let jitter = self.jitter();
        self.breakers[dispatcher].record_no_response(now, &self.policy, jitter);
    }

    /// Returns a random factor between 0.5 and 1.5.
    fn jitter(&mut self) -> f64 {
        0.5 + self.random.gen::<f64>()
    }
}
