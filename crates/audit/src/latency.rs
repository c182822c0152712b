//! Histograms of latencies.
use hdrhistogram::Histogram;
use pointspindle::Micros;

/// Highest latency that a histogram holds, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Number of significant decimal digits of the recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// A histogram of latencies from 1 µs to 10 minutes.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            histogram: histogram.expect("histogram bounds are valid constants"),
        }
    }
}

impl LatencyHistogram {
    /// Records a latency, in microseconds. A latency beyond the bounds of the histogram is ignored.
    pub fn record(&mut self, latency: Micros) {
        let _ = self.histogram.record(latency.max(1));
    }

    /// Returns the latency, in milliseconds, that the given share of the recorded latencies does not exceed.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1e3
    }
}
