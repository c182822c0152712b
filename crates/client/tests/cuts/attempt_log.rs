//! Log of the attempts at endpoints, and the longest overlap of two attempts of one call.
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lifetime of an attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Lifetime {
    pub started_at: Instant,
    /// `None` while the attempt is live.
    pub ended_at: Option<Instant>,
}

/// Lifetimes of attempts and executions of work that is not idempotent, by call.
#[derive(Default)]
pub struct AttemptLog {
    attempts: Mutex<HashMap<String, Vec<Lifetime>>>,
    executions: Mutex<HashMap<String, u32>>,
}

impl AttemptLog {
    /// Records the start of an attempt and returns its number within the call.
    pub fn record_start(&self, call: &str) -> usize {
        let mut attempts = self.attempts.lock().unwrap();
        let call_attempts = attempts.entry(call.to_owned()).or_default();
        call_attempts.push(Lifetime {
            started_at: Instant::now(),
            ended_at: None,
        });
        call_attempts.len() - 1
    }

    pub fn record_end(&self, call: &str, number: usize) {
        let mut attempts = self.attempts.lock().unwrap();
        attempts.get_mut(call).unwrap()[number].ended_at = Some(Instant::now());
    }

    pub fn record_execution(&self, call: &str) {
        let mut executions = self.executions.lock().unwrap();
        *executions.entry(call.to_owned()).or_default() += 1;
    }

    /// Returns the longest time for which two attempts of one call were live at once.
    pub fn longest_overlap(&self) -> Duration {
        let attempts = self.attempts.lock().unwrap();
        longest_overlap(attempts.values().map(|call_attempts| &call_attempts[..]))
    }

    /// Returns the number of calls whose work was done more than once.
    pub fn repeated_executions(&self) -> usize {
        let executions = self.executions.lock().unwrap();
        executions.values().filter(|times| **times > 1).count()
    }
}

pub fn longest_overlap<'a>(calls: impl Iterator<Item = &'a [Lifetime]>) -> Duration {
    let now = Instant::now();
    let mut longest = Duration::ZERO;
    for attempts in calls {
        for (number, first) in attempts.iter().enumerate() {
            for second in &attempts[number + 1..] {
                let from = first.started_at.max(second.started_at);
                let to = first
                    .ended_at
                    .unwrap_or(now)
                    .min(second.ended_at.unwrap_or(now));
                longest = longest.max(to.saturating_duration_since(from));
            }
        }
    }
    longest
}
