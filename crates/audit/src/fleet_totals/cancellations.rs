//! Requests that their clients cancelled, and attempts for them that arrived at hosts afterwards.
use crate::evidence::Evidence;
use crate::periods::Span;
use serde::{Deserialize, Serialize};

/// Totals of requests that their clients cancelled.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancellationTotals {
    /// Number of cancelled requests.
    pub clients: u64,
    /// Number of requests that were cancelled before any attempt arrived at a host.
    pub unsent: u64,
    /// Number of attempts that arrived at a host after the cancellation.
    pub attempts: u64,
    /// The longest time from a cancellation to an attempt's arrival, in milliseconds.
    pub longest_ms: f64,
}

/// Counts cancelled requests.
pub(super) fn measure(evidence: &Evidence) -> CancellationTotals {
    let mut totals = CancellationTotals::default();
    for request in &evidence.requests {
        let Some(cancelled) = request.cancelled_at() else {
            continue;
        };
        totals.clients += 1;
        let none_arrived_before = request.attempts.iter().all(|a| a.arrived > cancelled);
        totals.unsent += u64::from(none_arrived_before);
        for attempt in request.attempts.iter().filter(|a| a.arrived > cancelled) {
            let since_cancelled = Span {
                from: cancelled,
                to: attempt.arrived,
            };
            // The attempt may have been sent before the cancellation and delayed by a partition.
            if evidence.was_partitioned(attempt.dispatcher, &attempt.host, since_cancelled) {
                continue;
            }
            totals.attempts += 1;
            let after_ms = (attempt.arrived - cancelled) as f64 / 1e3;
            totals.longest_ms = totals.longest_ms.max(after_ms);
        }
    }
    totals
}
