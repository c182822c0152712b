//! Timers of the core, ordered by time and then by kind.
use pointspindle::Micros;
use std::collections::BTreeSet;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer requested by the router, with its token.
    Router(u64),
    /// The deadline of a request that waits for an endpoint's work lease.
    WorkRequest(u64),
    /// The next change of the fleet counts.
    FleetCounts,
    /// The deadline of an attempt.
    Attempt { request: u64, attempt: u32 },
}

/// Pending timers. Bound: one for each attempt in flight, one for each request that waits for a lease, one for the fleet
/// counts, and those of the router. A timer is removed when it fires or is cancelled.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pending: BTreeSet<(Micros, Timer)>,
}

impl Timers {
    /// Sets a timer. Setting the same timer for the same time again has no effect.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.pending.insert((at, timer));
    }

    /// Cancels a timer. This has no effect if it has fired.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.pending.remove(&(at, timer));
    }

    /// Returns the time at which the next timer fires.
    pub fn next(&self) -> Option<Micros> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.pending.first().filter(|(at, _)| *at <= now)?;
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}
