//! Retries: attempts beyond the first of a request.
use crate::evidence::Evidence;
use pointspindle::Micros;
use std::collections::BTreeMap;

/// Interval over which retries are counted; a second has too few first attempts.
const INTERVAL_US: Micros = 2_000_000;
/// Minimum number of first attempts in an interval that is compared with others.
const MIN_FIRST_ATTEMPTS: u64 = 20;

/// Retries over the run and over its worst interval.
#[derive(Default)]
pub(super) struct RetryTotals {
    /// Retries per first attempt.
    pub per_request: f64,
    /// Retries per first attempt over the worst interval.
    pub worst: f64,
    /// Start of the worst interval, in seconds since the start of the run.
    pub worst_at_s: f64,
}

#[derive(Clone, Copy, Default)]
struct AttemptCounts {
    first: u64,
    retries: u64,
}

impl AttemptCounts {
    fn retries_per_first(self) -> f64 {
        self.retries as f64 / self.first.max(1) as f64
    }
}

/// Counts retries per first attempt.
pub(super) fn measure(evidence: &Evidence) -> RetryTotals {
    let mut total = AttemptCounts::default();
    let mut intervals: BTreeMap<Micros, AttemptCounts> = BTreeMap::new();
    for request in &evidence.requests {
        for (n, attempt) in request.attempts.iter().enumerate() {
            let interval = intervals.entry(attempt.arrived / INTERVAL_US).or_default();
            for counts in [interval, &mut total] {
                if n == 0 {
                    counts.first += 1;
                } else {
                    counts.retries += 1;
                }
            }
        }
    }
    let worst = intervals
        .iter()
        .filter(|(_, counts)| counts.first >= MIN_FIRST_ATTEMPTS)
        .map(|(interval, counts)| (*interval, counts.retries_per_first()))
        .max_by(|(_, a), (_, b)| a.total_cmp(b));
    let (interval, worst) = worst.unwrap_or_default();
    RetryTotals {
        per_request: total.retries_per_first(),
        worst,
        worst_at_s: (interval * INTERVAL_US) as f64 / 1e6,
    }
}
