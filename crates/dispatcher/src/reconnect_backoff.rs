//! Backoff for reconnecting to an address. This module performs no I/O.
//!
//! After a mass restart, or the recovery of a network device, thousands of dispatchers have lost the same connections at the
//! same time. Each waits a random time before it reconnects, and longer after each failure, so that a starting endpoint does
//! not repeatedly receive all of them at once. While an address is in backoff after a failure, an attempt to it fails at once
//! as not connected, and the router chooses another endpoint.
use pointspindle::Micros;

/// Longest delay before reconnecting after an established connection was lost.
const MAX_LOST_DELAY_US: Micros = 10_000;
/// Backoff after the first failure. Each further failure doubles it.
const INITIAL_BACKOFF_US: Micros = 10_000;
const MAX_BACKOFF_US: Micros = 400_000;
/// Limits the shift by the number of doublings to less than the width of the integer.
const MAX_DOUBLINGS: u32 = 16;
/// How long the state of an address is retained after its latest loss or failure.
const RETENTION_US: Micros = 60_000_000;

/// Whether an address may be connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectDecision {
    /// The address may be connected to at once.
    Now,
    /// The address may be connected to after this time; its requests wait.
    After(Micros),
    /// The address must not be connected to for this time; its requests are sent to other endpoints.
    RejectFor(Micros),
}

/// State of an address whose connection was lost or could not be established. The owner removes it when
/// [`Self::is_expired`] returns true.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
    not_before: Micros,
    updated_at: Micros,
}

impl ReconnectBackoff {
    /// Records that an established connection was lost. `random` is drawn uniformly from 0 to 1.
    pub fn connection_lost(&mut self, now: Micros, random: f64) {
        self.failures = 0;
        self.set_delay(now, MAX_LOST_DELAY_US as f64 * random);
    }

    /// Records that the connection could not be established. `random` is drawn uniformly from 0 to 1.
    pub fn connect_failed(&mut self, now: Micros, random: f64) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF_US << doublings).min(MAX_BACKOFF_US);
        self.failures += 1;
        self.set_delay(now, backoff as f64 * (0.5 + random));
    }

    fn set_delay(&mut self, now: Micros, delay: f64) {
        self.updated_at = now;
        self.not_before = now + delay as Micros;
    }

    /// Returns whether the address may be connected to at `now`.
    pub fn decide(&self, now: Micros) -> ConnectDecision {
        match (self.not_before.saturating_sub(now), self.failures) {
            (0, _) => ConnectDecision::Now,
            (wait, 0) => ConnectDecision::After(wait),
            (wait, _) => ConnectDecision::RejectFor(wait),
        }
    }

    /// Whether the state of the address may be removed.
    pub fn is_expired(&self, now: Micros) -> bool {
        now >= self.updated_at + RETENTION_US
    }
}

#[cfg(test)]
mod tests;
