//! Backoff for connecting to an address again: a decision without I/O.
//!
//! After a mass restart, or a network device's return, thousands of dispatchers have lost the same connections at the same
//! moment. Each waits a random time before it connects again, and longer after each failure, so that an endpoint that starts
//! does not repeatedly receive all of them at once. While an address must not be connected to, an attempt at it ends at once
//! as not connected, and the router chooses another endpoint.
use pointspindle::Micros;

/// Longest wait after a connection was lost.
const MAX_LOST_DELAY_US: Micros = 10_000;
/// Backoff after the first failure; doubled by each.
const INITIAL_BACKOFF_US: Micros = 10_000;
const MAX_BACKOFF_US: Micros = 400_000;
/// Keeps the shift below the width of the number.
const MAX_DOUBLINGS: u32 = 16;
/// How long an address is remembered after its latest loss or failure.
const RETENTION_US: Micros = 60_000_000;

/// Whether an address may be connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectDecision {
    /// At once.
    Now,
    /// After this time; requests for it wait.
    After(Micros),
    /// Not for this time; requests for it are sent elsewhere.
    RejectFor(Micros),
}

/// State of an address whose connection was lost or could not be made. Forgotten by its owner when [`Self::is_expired`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
    not_before: Micros,
    updated_at: Micros,
}

impl ReconnectBackoff {
    /// The connection ended without notice. `random` is drawn from 0 to 1.
    pub fn connection_lost(&mut self, now: Micros, random: f64) {
        self.failures = 0;
        self.wait(now, MAX_LOST_DELAY_US as f64 * random);
    }

    /// The connection could not be made. `random` is drawn from 0 to 1.
    pub fn connect_failed(&mut self, now: Micros, random: f64) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF_US << doublings).min(MAX_BACKOFF_US);
        self.failures += 1;
        self.wait(now, backoff as f64 * (0.5 + random));
    }

    fn wait(&mut self, now: Micros, delay: f64) {
        self.updated_at = now;
        self.not_before = now + delay as Micros;
    }

    /// Whether the address may be connected to now.
    pub fn decide(&self, now: Micros) -> ConnectDecision {
        match (self.not_before.saturating_sub(now), self.failures) {
            (0, _) => ConnectDecision::Now,
            (wait, 0) => ConnectDecision::After(wait),
            (wait, _) => ConnectDecision::RejectFor(wait),
        }
    }

    /// Whether the address may be forgotten.
    pub fn is_expired(&self, now: Micros) -> bool {
        now >= self.updated_at + RETENTION_US
    }
}

#[cfg(test)]
mod tests;
