//! The store's monotonic wall clock.

/// A clock in milliseconds since 1970 that never goes back, even across restarts: if the wall clock is set back, this clock runs ahead
/// of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Clock {
    ahead_ms: u64,
    last_ms: u64,
}

impl Clock {
    pub(super) fn now(&mut self, wall_ms: u64) -> u64 {
        self.last_ms = self.last_ms.max(wall_ms + self.ahead_ms);
        self.last_ms
    }

    /// Ensures that no later time is before `at_ms`, the time of a recovered record.
    pub(super) fn advance_to(&mut self, at_ms: u64, wall_ms: u64) {
        if at_ms > wall_ms + self.ahead_ms {
            self.ahead_ms = at_ms - wall_ms;
        }
        self.last_ms = self.last_ms.max(at_ms);
    }
}
