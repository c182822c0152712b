//! What endpoints saw of attempts, and how long two of one call lived together.
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The lifetime of an attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Lifetime {
    pub began: Instant,
    /// None: it still lives.
    pub ended: Option<Instant>,
}

/// Lifetimes of attempts by their call, and how often work that is not idempotent was done.
#[derive(Default)]
pub struct AttemptLog {
    attempts: Mutex<HashMap<String, Vec<Lifetime>>>,
    executions: Mutex<HashMap<String, u32>>,
}

impl AttemptLog {
    /// An attempt has begun; its number in its call.
    pub fn record_start(&self, call: &str) -> usize {
        let mut attempts = self.attempts.lock().unwrap();
        let of_call = attempts.entry(call.to_owned()).or_default();
        of_call.push(Lifetime {
            began: Instant::now(),
            ended: None,
        });
        of_call.len() - 1
    }

    pub fn record_end(&self, call: &str, number: usize) {
        let mut attempts = self.attempts.lock().unwrap();
        attempts.get_mut(call).unwrap()[number].ended = Some(Instant::now());
    }

    pub fn record_execution(&self, call: &str) {
        let mut executions = self.executions.lock().unwrap();
        *executions.entry(call.to_owned()).or_default() += 1;
    }

    /// The longest that two attempts of one call lived together.
    pub fn longest_overlap(&self) -> Duration {
        let attempts = self.attempts.lock().unwrap();
        longest_overlap(attempts.values().map(|of_call| &of_call[..]))
    }

    /// Calls whose work was done more than once.
    pub fn repeated_executions(&self) -> usize {
        let executions = self.executions.lock().unwrap();
        executions.values().filter(|times| **times > 1).count()
    }
}

pub fn longest_overlap<'a>(calls: impl Iterator<Item = &'a [Lifetime]>) -> Duration {
    let now = Instant::now();
    let mut longest = Duration::ZERO;
    for attempts in calls {
        for (number, one) in attempts.iter().enumerate() {
            for other in &attempts[number + 1..] {
                let from = one.began.max(other.began);
                let to = one.ended.unwrap_or(now).min(other.ended.unwrap_or(now));
                longest = longest.max(to.saturating_duration_since(from));
            }
        }
    }
    longest
}
