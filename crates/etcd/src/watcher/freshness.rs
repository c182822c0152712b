//! Freshness of the view, derived from the time at which it was last complete.
use super::{Micros, Output, ViewFreshness};

/// Tracks the freshness of the view and reports each change once.
#[derive(Debug)]
pub(super) struct Freshness {
    state: ViewFreshness,
    /// Time at which the view was last known to equal the store; initially the start of the watcher.
    complete_at: Micros,
    stale_after_us: Micros,
}

impl Freshness {
    pub(super) fn new(stale_after_us: Micros, now: Micros) -> Self {
        Self {
            state: ViewFreshness::Unknown,
            complete_at: now,
            stale_after_us,
        }
    }

    pub(super) fn state(&self) -> ViewFreshness {
        self.state
    }

    pub(super) fn complete_at(&self) -> Micros {
        self.complete_at
    }

    /// Returns when the view becomes stale; none if it is not current.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        (self.state == ViewFreshness::Current).then_some(self.complete_at + self.stale_after_us)
    }

    /// Records that the view equals the store as of `now`.
    pub(super) fn mark_complete(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.complete_at = now;
        self.set_state(ViewFreshness::Current, out);
    }

    /// Marks the view as stale if its deadline has passed.
    pub(super) fn mark_stale_if_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.next_deadline().is_some_and(|deadline| now >= deadline) {
            self.set_state(ViewFreshness::Stale, out);
        }
    }

    fn set_state(&mut self, state: ViewFreshness, out: &mut Vec<Output>) {
        if self.state != state {
            self.state = state;
            out.push(Output::Freshness(state));
        }
    }
}
