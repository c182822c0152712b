//! Requested and earned value of requests, by the scenario's priority weights.
use serde::{Deserialize, Serialize};

/// Requested and earned value; serialised as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ValueSum {
    /// Total value of all requests.
    pub requested: f64,
    /// Total value of served responses, reduced for late and stale ones.
    pub earned: f64,
}

impl ValueSum {
    /// Returns the earned value divided by the requested value; 1 if the requested value is 0.
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

    /// Returns the total of several sums, added in order.
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
