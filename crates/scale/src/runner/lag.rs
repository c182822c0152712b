//! Quantiles of lags and other times over all dispatchers.
use crate::messages::LagCount;
use crate::results::Lag;
use std::collections::BTreeMap;

const MICROS_PER_MS: f64 = 1e3;

/// Number of times that each lag was recorded, by the lag in microseconds.
struct Distribution(BTreeMap<u64, u64>);

impl Distribution {
    fn new<'a>(counts: impl Iterator<Item = &'a LagCount>) -> Self {
        let mut sum: BTreeMap<u64, u64> = BTreeMap::new();
        for lag in counts {
            *sum.entry(lag.micros).or_default() += lag.count;
        }
        Self(sum)
    }

    fn count(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the lag at a quantile in milliseconds, or 0 if no lag was recorded.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let rank = (quantile * self.count() as f64).ceil() as u64;
        let mut cumulative = 0;
        let at_rank = self.0.iter().find(|(_, count)| {
            cumulative += **count;
            cumulative >= rank
        });
        let longest = self.0.iter().next_back();
        let found = at_rank.or(longest);
        found.map_or(0.0, |(micros, _)| *micros as f64 / MICROS_PER_MS)
    }
}

/// Returns the lags of `written` updates, each of which is expected at all `dispatchers`.
pub(super) fn lag<'a>(
    written: u64,
    dispatchers: u64,
    counts: impl Iterator<Item = &'a LagCount>,
) -> Lag {
    let lags = Distribution::new(counts);
    let received = lags.count();
    Lag {
        written,
        received,
        missing: (written * dispatchers).saturating_sub(received),
        p50_ms: lags.quantile_ms(0.5),
        p99_ms: lags.quantile_ms(0.99),
        longest_ms: lags.quantile_ms(1.0),
    }
}

/// Returns the median, the 90th percentile and the largest of the values; 0 for each if there are none.
pub(super) fn p50_p90_longest(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    let quantile = |quantile: f64| {
        let rank = (quantile * values.len() as f64).ceil() as usize;
        let value = values.get(rank.saturating_sub(1));
        value.copied().unwrap_or(0.0)
    };
    [quantile(0.5), quantile(0.9), quantile(1.0)]
}
