//! Timers of the core, by time and then in the order in which they were set.
use pointspindle::Micros;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A wish of the router, with its token.
    Router(u64),
    /// A request has waited long enough for a member's word.
    Ask(u64),
    /// The counts of dispatchers change.
    Peers,
    /// Time-out of an attempt of a request.
    Attempt(u64, u32),
}

/// At most one for each open attempt and a few of the router's and of the peers'.
#[derive(Debug, Default)]
pub struct Timers {
    set: BTreeSet<(Micros, Timer)>,
}

impl Timers {
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.set.insert((at, timer));
    }

    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.set.remove(&(at, timer));
    }

    pub fn next(&self) -> Option<Micros> {
        self.set.first().map(|(at, _)| *at)
    }

    /// The next timer whose time has come.
    pub fn due(&mut self, now: Micros) -> Option<Timer> {
        self.set.first().filter(|(at, _)| *at <= now)?;
        self.set.pop_first().map(|(_, timer)| timer)
    }
}
