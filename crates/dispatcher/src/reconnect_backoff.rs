//! When an address is connected to again: a decision without I/O.
//!
//! After a mass restart, or a switch that comes back, thousands of dispatchers lost the same connections in the same
//! moment. Each waits a moment of its own before it connects again, and longer after each failure, so that a member that
//! starts is not met by all of them at once, time after time. While an address may not be dialled an attempt at it ends at
//! once as not connected: the router goes elsewhere.
use pointspindle::Micros;

/// A connection that broke is made again after up to this.
const BROKE: Micros = 10_000;
/// After the first failure, and doubled with each.
const FIRST: Micros = 10_000;
const MOST: Micros = 400_000;
/// Forgotten so long after the last word.
const KEPT: Micros = 60_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectDecision {
    Now,
    /// After this; whoever wants it waits.
    After(Micros),
    /// Not for this long; whoever wants it goes elsewhere.
    RejectFor(Micros),
}

/// What is kept of an address that broke or failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
    not_before: Micros,
    said: Micros,
}

impl ReconnectBackoff {
    /// The connection ended without a word. `dice`: from 0 to 1, drawn anew.
    pub fn connection_lost(&mut self, now: Micros, dice: f64) {
        self.failures = 0;
        self.wait(now, BROKE as f64 * dice);
    }

    /// It could not be made.
    pub fn connect_failed(&mut self, now: Micros, dice: f64) {
        let pause = (FIRST << self.failures.min(16)).min(MOST);
        self.failures += 1;
        self.wait(now, pause as f64 * (0.5 + dice));
    }

    fn wait(&mut self, now: Micros, pause: f64) {
        (self.said, self.not_before) = (now, now + pause as Micros);
    }

    pub fn decide(&self, now: Micros) -> ConnectDecision {
        match (self.not_before.saturating_sub(now), self.failures) {
            (0, _) => ConnectDecision::Now,
            (wait, 0) => ConnectDecision::After(wait),
            (wait, _) => ConnectDecision::RejectFor(wait),
        }
    }

    /// Nothing of it matters any more.
    pub fn is_old(&self, now: Micros) -> bool {
        now >= self.said + KEPT
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn failures_wait_longer_each_and_never_beyond_the_most() {
        let mut r = ReconnectBackoff::default();
        assert_eq!(r.decide(0), ConnectDecision::Now);
        let mut waits = vec![];
        for _ in 0..40 {
            r.connect_failed(1_000, 0.5);
            let ConnectDecision::RejectFor(wait) = r.decide(1_000) else {
                panic!("{:?}", r.decide(1_000))
            };
            assert_eq!(r.decide(1_000 + wait), ConnectDecision::Now);
            waits.push(wait);
        }
        assert_eq!(waits[..4], [FIRST, 2 * FIRST, 4 * FIRST, 8 * FIRST]);
        assert_eq!(*waits.last().unwrap(), MOST);
    }

    /// A thousand dispatchers that lose a member in one moment do not come back in one.
    #[test]
    fn those_that_broke_together_come_back_apart() {
        let at = |dice: f64| {
            let mut r = ReconnectBackoff::default();
            r.connection_lost(0, dice);
            match r.decide(0) {
                ConnectDecision::After(wait) => wait,
                ConnectDecision::Now => 0,
                other => panic!("{other:?}: a break is no failure"),
            }
        };
        let times: Vec<Micros> = (0..1_000).map(|n| at(n as f64 / 1_000.0)).collect();
        let most = (0..10)
            .map(|ms| times.iter().filter(|t| **t / 1_000 == ms).count())
            .max();
        assert_eq!(most, Some(100), "in any one millisecond");
    }

    #[test]
    fn a_connection_made_in_between_forgives_the_failures() {
        let mut r = ReconnectBackoff::default();
        (0..5).for_each(|_| r.connect_failed(0, 1.0));
        r.connection_lost(10, 0.0);
        assert_eq!(r.decide(10), ConnectDecision::Now);
        r.connect_failed(20, 0.5);
        assert_eq!(r.decide(20), ConnectDecision::RejectFor(FIRST));
        assert!(!r.is_old(20 + KEPT - 1) && r.is_old(20 + KEPT));
    }
}
