//! A link that transfers share evenly, each at its own pace at most (processor sharing with a cap).
//!
//! All transfers get the same rate, so one running sum of service tells when each is done: a transfer that
//! arrives at sum `v` with work `w` ends when the sum reaches `v + w`. Each event costs the logarithm of the
//! number of transfers.
use pointspindle::Micros;
use std::collections::BTreeSet;

/// Microseconds of transfer, ordered as integers so that ends have one order everywhere.
type Work = u64;

#[derive(Debug)]
pub struct SharedLink {
    /// Transfers at full pace that it carries now.
    capacity: f64,
    thrash: f64,
    served: f64,
    at: Micros,
    ends: BTreeSet<(Work, u64)>,
}

impl SharedLink {
    pub fn new(capacity: f64, thrash: f64) -> Self {
        Self {
            capacity,
            thrash,
            served: 0.0,
            at: 0,
            ends: BTreeSet::new(),
        }
    }

    /// Share of its own pace that each transfer gets: 1 while the link is not full. Crowding costs some of it.
    fn rate(&self) -> f64 {
        let n = self.ends.len() as f64;
        if n == 0.0 || self.capacity <= 0.0 {
            return if self.capacity <= 0.0 { 0.0 } else { 1.0 };
        }
        let over = (n / self.capacity - 1.0).max(0.0);
        (self.capacity / n / (1.0 + self.thrash * over)).min(1.0)
    }

    pub fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64;
        self.served += passed * self.rate();
        self.at = self.at.max(now);
        if self.ends.is_empty() {
            // Nothing refers to the sum: starting over keeps its steps fine for months.
            self.served = 0.0;
        }
    }

    /// Changes what the link carries, from now on.
    pub fn set_capacity(&mut self, now: Micros, capacity: f64) {
        self.advance(now);
        self.capacity = capacity;
    }

    /// Begins a transfer; the key that it ends under.
    pub fn begin(&mut self, now: Micros, id: u64, work: Work) -> (Work, u64) {
        self.advance(now);
        let key = (self.served.ceil() as u64 + work.max(1), id);
        self.ends.insert(key);
        key
    }

    /// Takes a transfer off before its end.
    pub fn leave(&mut self, now: Micros, key: (Work, u64)) {
        self.advance(now);
        self.ends.remove(&key);
    }

    /// When the next transfer ends if nothing changes.
    pub fn next(&self) -> Option<Micros> {
        let (end, _) = self.ends.first()?;
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let left = (*end as f64 - self.served).max(0.0) / rate;
        Some(self.at + left.ceil() as Micros)
    }

    /// A transfer that has ended by now.
    pub fn ended(&mut self, now: Micros) -> Option<u64> {
        self.advance(now);
        self.ends
            .first()
            .filter(|(end, _)| *end as f64 <= self.served + 0.5)?;
        self.ends.pop_first().map(|(_, id)| id)
    }

    pub fn transfers(&self) -> usize {
        self.ends.len()
    }

    pub fn clear(&mut self) {
        self.ends.clear();
    }

    /// How full it is.
    pub fn load(&self) -> f64 {
        self.ends.len() as f64 / self.capacity.max(1e-9)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Runs to the end of all transfers; when each ended.
    fn run(pipe: &mut SharedLink) -> Vec<(Micros, u64)> {
        let mut out = vec![];
        while let Some(at) = pipe.next() {
            while let Some(id) = pipe.ended(at) {
                out.push((at, id));
            }
        }
        out
    }

    #[test]
    fn transfers_share_a_full_link_and_run_at_their_own_pace_otherwise() {
        let mut pipe = SharedLink::new(2.0, 0.0);
        for id in 0..4 {
            pipe.begin(0, id, 100);
        }
        assert_eq!(
            run(&mut pipe),
            [(200, 0), (200, 1), (200, 2), (200, 3)],
            "four on a link for two"
        );
        let mut pipe = SharedLink::new(2.0, 0.0);
        pipe.begin(0, 1, 100);
        assert_eq!(
            run(&mut pipe),
            [(100, 1)],
            "one cannot use more than its own pace"
        );
        let mut pipe = SharedLink::new(1.0, 0.0);
        pipe.begin(0, 1, 100);
        pipe.begin(50, 2, 100);
        // 1 has 50 left and shares: ends at 150; 2 has then 50 left alone.
        assert_eq!(run(&mut pipe), [(150, 1), (200, 2)]);
    }

    #[test]
    fn a_stopped_link_ends_nothing_and_goes_on_where_it_was() {
        let mut pipe = SharedLink::new(1.0, 0.0);
        pipe.begin(0, 1, 100);
        pipe.set_capacity(40, 0.0);
        assert_eq!(pipe.next(), None);
        pipe.set_capacity(1_000, 1.0);
        assert_eq!(run(&mut pipe), [(1_060, 1)]);
    }

    #[test]
    fn crowding_costs_more_than_its_share() {
        let mut pipe = SharedLink::new(1.0, 0.5);
        pipe.begin(0, 1, 100);
        pipe.begin(0, 2, 100);
        assert_eq!(
            run(&mut pipe)[0].0,
            300,
            "twice the load costs twice and half again"
        );
    }
}
