//! A link that transfers share evenly, each limited to its full speed (processor sharing with a rate limit).
//!
//! All transfers have the same rate, so one running sum of service determines when each ends: a transfer that begins at
//! sum `v` with work `w` ends when the sum reaches `v + w`. The cost of each event is logarithmic in the number of
//! transfers.
use pointspindle::Micros;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// Duration of a transfer at full speed, microseconds; an integer, so that the order of ends is exact.
type Work = u64;

/// A transfer, ordered by its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TransferKey {
    /// The sum of service at which the transfer ends.
    end: Work,
    id: u64,
}

/// A link and the transfers on it.
#[derive(Debug)]
pub(crate) struct SharedLink {
    /// Number of transfers at full speed that the link carries now.
    capacity: f64,
    /// Share of the capacity that each further full load of transfers costs.
    congestion_loss: f64,
    /// Running sum of the service that each transfer has received, microseconds.
    served: f64,
    /// Time up to which `served` is computed, microseconds.
    now: Micros,
    transfers: BTreeSet<TransferKey>,
}

impl SharedLink {
    pub(crate) fn new(capacity: f64, congestion_loss: f64) -> Self {
        Self {
            capacity,
            congestion_loss,
            served: 0.0,
            now: 0,
            transfers: BTreeSet::new(),
        }
    }

    /// Returns the rate of each transfer as a share of full speed; 1 while the link is not full.
    fn rate(&self) -> f64 {
        if self.capacity <= 0.0 {
            return 0.0;
        }
        if self.transfers.is_empty() {
            return 1.0;
        }
        let count = self.transfers.len() as f64;
        let excess = (count / self.capacity - 1.0).max(0.0);
        (self.capacity / count / (1.0 + self.congestion_loss * excess)).min(1.0)
    }

    fn advance(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.now) as f64;
        self.served += elapsed * self.rate();
        self.now = self.now.max(now);
        if self.transfers.is_empty() {
            // No transfer refers to the sum; floating-point precision is best near 0.
            self.served = 0.0;
        }
    }

    /// Changes the capacity at time `now`.
    pub(crate) fn set_capacity(&mut self, now: Micros, capacity: f64) {
        self.advance(now);
        self.capacity = capacity;
    }

    /// Begins a transfer; returns its key.
    pub(crate) fn begin(&mut self, now: Micros, id: u64, work: Work) -> TransferKey {
        self.advance(now);
        let end = self.served.ceil() as u64 + work.max(1);
        let key = TransferKey { end, id };
        self.transfers.insert(key);
        key
    }

    /// Cancels a transfer.
    pub(crate) fn cancel(&mut self, now: Micros, key: TransferKey) {
        self.advance(now);
        self.transfers.remove(&key);
    }

    /// Returns the time at which the next transfer ends at the present rate, microseconds.
    pub(crate) fn next_end(&self) -> Option<Micros> {
        let next = self.transfers.first()?;
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let remaining = (next.end as f64 - self.served).max(0.0) / rate;
        Some(self.now + remaining.ceil() as Micros)
    }

    /// Removes a transfer that has ended by `now`, and returns its id.
    pub(crate) fn pop_ended(&mut self, now: Micros) -> Option<u64> {
        self.advance(now);
        let first = self.transfers.first()?;
        // The sum is rounded: a transfer counts as ended within half a microsecond of its end.
        if first.end as f64 > self.served + 0.5 {
            return None;
        }
        self.transfers.pop_first().map(|ended| ended.id)
    }

    pub(crate) fn transfer_count(&self) -> usize {
        self.transfers.len()
    }

    /// Removes all transfers.
    pub(crate) fn clear(&mut self) {
        self.transfers.clear();
    }

    /// Returns the ratio of the number of transfers to the capacity.
    pub(crate) fn load(&self) -> f64 {
        self.transfers.len() as f64 / self.capacity.max(1e-9)
    }
}
