//! Measures the outcomes and latencies of requests by second.
use crate::outcome_tally::OutcomeTally;
use pointspindle::Micros;
use pointspindle_audit::latency::LatencyHistogram;
use pointspindle_audit::trace::{ClientOutcome, TraceEntry, TraceEvent};
use pointspindle_scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Outcomes of the requests that were sent in one second, and the latency of those that were served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondTally {
    /// Number of requests by outcome.
    #[serde(flatten)]
    pub outcomes: OutcomeTally,
    /// Median latency of served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of served requests, in milliseconds.
    pub p99_ms: f64,
}

/// Accumulates the requests of one second.
#[derive(Clone, Default)]
struct SecondMeasurement {
    outcomes: OutcomeTally,
    latencies: LatencyHistogram,
}

impl SecondMeasurement {
    fn request_ended(&mut self, outcome: &ClientOutcome, latency: Micros) {
        self.outcomes.count(outcome);
        if outcome.is_served_correctly() {
            self.latencies.record(latency);
        }
    }

    fn finish(self) -> SecondTally {
        SecondTally {
            outcomes: self.outcomes,
            p50_ms: self.latencies.quantile_ms(0.5),
            p99_ms: self.latencies.quantile_ms(0.99),
        }
    }
}

/// Counts requests by the second in which they were sent, so that a late response counts towards the second that caused
/// the delay.
pub(super) fn measure(scenario: &Scenario, trace: &[TraceEntry]) -> Vec<SecondTally> {
    let count = scenario.duration_s.ceil() as usize;
    let mut seconds = vec![SecondMeasurement::default(); count];
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
