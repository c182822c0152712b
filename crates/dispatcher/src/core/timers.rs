//! Timers of the core, ordered by time and then by kind.
use pointspindle::Micros;
use std::collections::BTreeSet;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Requested by the router, with its token.
    Router(u64),
    /// A request has waited long enough for an endpoint's lease.
    WorkRequest(u64),
    /// The fleet counts change.
    FleetCounts,
    /// An attempt's deadline.
    Attempt { request: u64, attempt: u32 },
}

/// Pending timers. Bound: one for each open attempt, one for each request that waits for a lease, one for the fleet counts,
/// and those of the router. A timer is forgotten when it fires or is cancelled.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pending: BTreeSet<(Micros, Timer)>,
}

impl Timers {
    /// Sets a timer; the same timer at the same time counts once.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.pending.insert((at, timer));
    }

    /// Cancels a timer; without effect if it has fired.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.pending.remove(&(at, timer));
    }

    /// When the next timer fires.
    pub fn next(&self) -> Option<Micros> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes the next timer that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.pending.first().filter(|(at, _)| *at <= now)?;
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}
