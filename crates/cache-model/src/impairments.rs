//! The faults that impair a running host.
use pointspindle::Micros;
use rand::Rng;

/// A fault that affects each request with a probability of `share` until a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RandomFault {
    pub(crate) share: f64,
    pub(crate) until: Micros,
}

impl RandomFault {
    /// Draws whether the fault affects a request; uses no random number once the fault has ended.
    pub(crate) fn affects(self, now: Micros, rng: &mut impl Rng) -> bool {
        now < self.until && rng.gen::<f64>() < self.share
    }
}

/// A slower link and a longer service time until a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowDown {
    pub(crate) factor: f64,
    pub(crate) until: Micros,
}

impl SlowDown {
    /// Returns the factor at a time; 1 once the fault has ended.
    pub(crate) fn factor_at(self, now: Micros) -> f64 {
        if now < self.until {
            self.factor
        } else {
            1.0
        }
    }
}

/// The faults of a host, each with its own end.
#[derive(Debug, Default)]
pub(crate) struct Impairments {
    pub(crate) hang_until: Micros,
    pub(crate) reject_until: Micros,
    pub(crate) drop_responses: RandomFault,
    pub(crate) truncate_responses: RandomFault,
    pub(crate) fail_requests: RandomFault,
    pub(crate) slow_down: SlowDown,
}
