//! Whether a client may retry, when, and at which dispatcher: decisions without I/O, shared by all calls of one client.
//!
//! * **Budget**: each call adds a fraction of a retry and each retry takes one, so that a client whose every call fails
//!   sends little more than one attempt per call, however long the outage lasts.
//! * **Backoff**: doubled with each attempt, with jitter between half and one and a half.
//! * **Circuit breaker**: a dispatcher that gives no response several times in a row is paused, then tried by one attempt.
mod breaker;
mod policy;
#[cfg(test)]
mod tests;

pub use policy::RetryPolicy;

use breaker::Breaker;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Microseconds on the client's own monotonic clock.
pub type Micros = u64;

/// Doublings of the backoff beyond this many change nothing: the longest backoff is reached long before.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// A `Retry-After` is extended by up to this fraction, so that clients rejected together do not return together.
const RETRY_AFTER_JITTER: f64 = 0.2;

/// The retry state that all calls of a client share.
#[derive(Debug)]
pub struct RetryState {
    rules: RetryPolicy,
    /// Retries left in the budget.
    budget: f64,
    /// By the dispatcher's index.
    breakers: Vec<Breaker>,
    /// The dispatcher whose turn is next.
    next: usize,
    random: StdRng,
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl RetryState {
    /// The state of a client of so many dispatchers; `seed` is of its jitter.
    pub fn new(rules: RetryPolicy, dispatchers: usize, seed: u64) -> Self {
        Self {
            rules,
            budget: rules.max_saved_retries,
            breakers: vec![Breaker::default(); dispatchers],
            next: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The settings.
    pub fn rules(&self) -> &RetryPolicy {
        &self.rules
    }

    /// A call begins: it adds its fraction of a retry to the budget.
    pub fn record_call(&mut self) {
        let budget = self.budget + self.rules.retries_per_call;
        self.budget = budget.min(self.rules.max_saved_retries);
    }

    /// Takes a retry off the budget, if there is one.
    pub fn take_retry(&mut self) -> bool {
        let available = self.budget >= 1.0;
        if available {
            self.budget -= 1.0;
        }
        available
    }

    /// The delay before retry `number` (from 1), at least as long as the dispatcher's `retry_after`.
    pub fn backoff(&mut self, number: u32, retry_after: Option<Micros>) -> Micros {
        let doublings = number.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let doubled = micros(self.rules.initial_backoff) << doublings;
        let mean = doubled.min(micros(self.rules.max_backoff)) as f64;
        let shortest = retry_after.map_or(0.0, |delay| {
            delay as f64 * (1.0 + RETRY_AFTER_JITTER * self.random.gen::<f64>())
        });
        (mean * self.jitter()).max(shortest) as Micros
    }

    /// Chooses a dispatcher for an attempt now, in turn, except those in `excluded`. None: all breakers are open.
    pub fn choose(&mut self, now: Micros, excluded: &[usize]) -> Option<usize> {
        let count = self.breakers.len();
        let chosen = (0..count)
            .map(|offset| (self.next + offset) % count)
            .find(|index| !excluded.contains(index) && self.breakers[*index].admits(now))?;
        self.next = (chosen + 1) % count;
        self.breakers[chosen].attempt_started(now, &self.rules);
        Some(chosen)
    }

    /// Whether an attempt may begin now at this dispatcher, outside its turn.
    pub fn choose_same(&mut self, now: Micros, dispatcher: usize) -> bool {
        let Some(breaker) = self.breakers.get_mut(dispatcher) else {
            return false;
        };
        let closed = breaker.is_closed(now);
        if closed {
            breaker.attempt_started(now, &self.rules);
        }
        closed
    }

    /// When the first of the open breakers lets an attempt through.
    pub fn next_attempt_at(&self) -> Option<Micros> {
        self.breakers.iter().map(Breaker::next_attempt_at).min()
    }

    /// A dispatcher has responded, whatever the response.
    pub fn record_response(&mut self, dispatcher: usize) {
        self.breakers[dispatcher].record_response();
    }

    /// An attempt ended without any response from the dispatcher.
    pub fn record_silence(&mut self, now: Micros, dispatcher: usize) {
        let jitter = self.jitter();
        self.breakers[dispatcher].record_silence(now, &self.rules, jitter);
    }

    /// A factor between a half and one and a half.
    fn jitter(&mut self) -> f64 {
        0.5 + self.random.gen::<f64>()
    }
}
