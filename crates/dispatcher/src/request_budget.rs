//! What may be begun while much is under way: a decision without I/O.
//!
//! Memory is bounded in three steps. Every stream has a window, so a slow reader stops its own stream. From
//! [`Budget::crowded`] bytes held over all connections on, windows shrink to a quarter: back-pressure reaches the members.
//! From [`Budget::full`] on, and with [`Budget::requests`] open, new requests are refused with a time to come back; what
//! was accepted goes on. Nothing is ever begun that could not be held: what is open can grow by its windows only.
use pointspindle::Micros;

/// Whoever is refused for want of room comes back after this, and up to twice as long, by its own dice.
const COME_BACK: Micros = 500_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestBudget {
    pub requests: usize,
    pub crowded: u64,
    pub full: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Take,
    Refuse { come_back: Micros },
}

impl RequestBudget {
    /// Half of the bytes that may be held is a crowd.
    pub fn new(requests: usize, full: u64) -> Self {
        Self {
            requests,
            crowded: full / 2,
            full,
        }
    }

    /// `dice`, from 0 to 1, is rolled for those who are refused only.
    pub fn judge(&self, open: usize, held: u64, dice: impl FnOnce() -> f64) -> Verdict {
        if open < self.requests && held < self.full {
            return Verdict::Take;
        }
        Verdict::Refuse {
            come_back: COME_BACK + (COME_BACK as f64 * dice().clamp(0.0, 1.0)) as Micros,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn either_bound_refuses_and_nobody_is_told_to_come_back_at_once_or_together() {
        let b = RequestBudget::new(10, 1_000);
        assert_eq!(b.judge(9, 999, || 0.9), Verdict::Take);
        for (open, held) in [(10, 0), (0, 1_000), (11, 2_000)] {
            let come_back = |dice| match b.judge(open, held, || dice) {
                Verdict::Refuse { come_back } => come_back,
                Verdict::Take => panic!("{open} open and {held} bytes held"),
            };
            assert_eq!((come_back(0.0), come_back(1.0)), (COME_BACK, 2 * COME_BACK));
        }
    }
}
