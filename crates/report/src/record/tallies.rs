//! How requests ended, by second.
use hdrhistogram::Histogram;
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientOutcome, TraceEntry, TraceEvent};
use pointspindle_scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Highest latency that a histogram holds, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of the latency histograms.
const LATENCY_DIGITS: u8 = 3;

/// How the requests that were sent in a second ended, and the latency of those that were served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondTally {
    /// Served, stale responses included.
    pub served: u64,
    /// Served with a stale response.
    #[serde(rename = "old")]
    pub stale: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed otherwise.
    pub failed: u64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
}

/// A second while requests are added to it.
struct SecondMeasurement {
    tally: SecondTally,
    latencies_us: Histogram<u64>,
}

impl SecondMeasurement {
    fn new() -> Self {
        let latencies_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            tally: SecondTally::default(),
            latencies_us: latencies_us.expect("constant bounds"),
        }
    }

    fn request_ended(&mut self, outcome: &ClientOutcome, latency: Micros) {
        match outcome {
            ClientOutcome::Served {
                version: Some(_),
                stale,
                ..
            } => {
                self.tally.served += 1;
                self.tally.stale += u64::from(*stale);
                // A latency beyond the histogram's bounds is left out of the percentiles.
                let _ = self.latencies_us.record(latency.max(1));
            }
            ClientOutcome::Rejected { .. } => self.tally.rejected += 1,
            ClientOutcome::Cancelled => {}
            _ => self.tally.failed += 1,
        }
    }

    fn finish(self) -> SecondTally {
        SecondTally {
            p50_ms: self.latencies_us.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: self.latencies_us.value_at_quantile(0.99) as f64 / 1e3,
            ..self.tally
        }
    }
}

/// Counts requests by the second in which they were sent: a late response belongs to its cause.
pub(super) fn measure(scenario: &Scenario, trace: &[TraceEntry]) -> Vec<SecondTally> {
    let count = scenario.duration_s.ceil() as usize;
    let mut seconds: Vec<SecondMeasurement> =
        (0..count).map(|_| SecondMeasurement::new()).collect();
    let mut sent_at = HashMap::new();
    for entry in trace {
        match &entry.event {
            TraceEvent::RequestSent { id, .. } => _ = sent_at.insert(*id, entry.at),
            TraceEvent::RequestEnded { id, outcome } => {
                let Some(sent) = sent_at.remove(id) else {
                    continue;
                };
                if let Some(second) = seconds.get_mut((sent / 1_000_000) as usize) {
                    second.request_ended(outcome, entry.at.saturating_sub(sent));
                }
            }
            _ => {}
        }
    }
    seconds.into_iter().map(SecondMeasurement::finish).collect()
}
