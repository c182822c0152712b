//! The value of requests by the scenario's priority weights: what was requested, and what was earned.
use serde::{Deserialize, Serialize};

/// Value requested and value earned; written as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ValueSum {
    /// Value of every request.
    pub requested: f64,
    /// Value of what was served, less what lateness and staleness cost.
    pub earned: f64,
}

impl ValueSum {
    /// Earned over requested; 1 where nothing was requested.
    pub fn ratio(self) -> f64 {
        if self.requested > 0.0 {
            self.earned / self.requested
        } else {
            1.0
        }
    }

    /// Adds the value of a request.
    pub(crate) fn add(&mut self, requested: f64, earned: f64) {
        self.requested += requested;
        self.earned += earned;
    }

    /// The sum of several sums, added in order.
    pub(crate) fn total(sums: &[Self]) -> Self {
        let mut total = Self::default();
        for sum in sums {
            total.add(sum.requested, sum.earned);
        }
        total
    }
}

impl From<(f64, f64)> for ValueSum {
    fn from((requested, earned): (f64, f64)) -> Self {
        Self { requested, earned }
    }
}

impl From<ValueSum> for (f64, f64) {
    fn from(sum: ValueSum) -> Self {
        (sum.requested, sum.earned)
    }
}
