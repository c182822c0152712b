//! Whether a client takes its answer fast enough to be worth a cache host's place: a decision without I/O.
//!
//! Only time in which the client was what was waited for counts, and it counts over windows: a line that is slow and
//! honest, or stops for a moment, survives; a client that trickles does not.
use pointspindle::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceRule {
    /// Bytes a second; 0: any pace will do.
    pub least: u64,
    /// Time of waiting over which it is measured; the first one is the grace.
    pub window: Micros,
}

#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rule: PaceRule,
    /// Time waited for the client in this window, and what it took meanwhile.
    waited: Micros,
    taken: u64,
}

impl Pace {
    pub fn new(rule: PaceRule) -> Self {
        Self {
            rule,
            waited: 0,
            taken: 0,
        }
    }

    /// Longest wait before it is worth asking [`Pace::took`] again with what was taken.
    pub fn patience(&self) -> Option<Micros> {
        (self.rule.least > 0).then(|| self.rule.window.saturating_sub(self.waited).max(1))
    }

    /// The client took so much after such a wait. False: it is too slow.
    pub fn took(&mut self, bytes: u64, waited: Micros) -> bool {
        if self.rule.least == 0 {
            return true;
        }
        self.waited += waited;
        self.taken += bytes;
        if self.waited < self.rule.window {
            return true;
        }
        let wanted = self.rule.least as f64 * self.waited as f64 / 1e6;
        let enough = self.taken as f64 >= wanted;
        (self.waited, self.taken) = (0, 0);
        enough
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULE: PaceRule = PaceRule {
        least: 1_000,
        window: 2_000_000,
    };

    #[test]
    fn a_slow_and_honest_line_survives_and_a_trickle_does_not() {
        let mut honest = Pace::new(RULE);
        let mut trickle = Pace::new(RULE);
        let mut gone_at = None;
        for n in 0..100 {
            assert!(honest.took(150, 100_000), "1,500 bytes a second");
            if gone_at.is_none() && !trickle.took(10, 100_000) {
                gone_at = Some(n);
            }
        }
        assert_eq!(gone_at, Some(19), "when its first window is over");
    }

    /// A pause within a window is made up for by what came around it; a stop of a whole window is not.
    #[test]
    fn a_moment_without_anything_is_forgiven_and_a_window_is_not() {
        let mut p = Pace::new(RULE);
        assert!(p.took(10_000, 10_000) && p.took(0, 1_900_000) && p.took(500, 100_000));
        assert!(!p.took(0, 2_000_000));
    }

    /// The member's slowness is not the client's: no wait for the client, no time that counts.
    #[test]
    fn time_in_which_nobody_waited_for_the_client_does_not_count() {
        let mut p = Pace::new(RULE);
        assert!((0..10_000).all(|_| p.took(1, 0)));
        assert_eq!(p.patience(), Some(2_000_000));
        assert_eq!(Pace::new(PaceRule { least: 0, ..RULE }).patience(), None);
    }
}
