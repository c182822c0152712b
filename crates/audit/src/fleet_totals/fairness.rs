//! Fairness between dispatchers: how evenly their requests are served.
use crate::evidence::Evidence;
use crate::trace::ClientOutcome;
use std::collections::BTreeMap;

/// Distribution of the dispatchers' shares of requests served.
#[derive(Default)]
pub(super) struct Fairness {
    /// Jain's fairness index over the dispatchers' shares of requests served.
    pub jain_index: f64,
    pub lowest_share: f64,
    pub lowest_dispatcher: usize,
    pub mean_share: f64,
}

#[derive(Default)]
struct RequestCounts {
    served: f64,
    ended: f64,
}

struct DispatcherShare {
    dispatcher: usize,
    share: f64,
}

/// Measures the fairness between dispatchers.
pub(super) fn measure(evidence: &Evidence) -> Fairness {
    let shares = shares_served(evidence);
    let mut sum = 0.0;
    let mut sum_of_squares = 0.0;
    for DispatcherShare { share, .. } in &shares {
        sum += share;
        sum_of_squares += share * share;
    }
    let count = shares.len().max(1) as f64;
    let jain_index = if sum_of_squares > 0.0 {
        sum * sum / (count * sum_of_squares)
    } else {
        1.0
    };
    let lowest = shares.iter().min_by(|a, b| a.share.total_cmp(&b.share));
    Fairness {
        jain_index,
        lowest_share: lowest.map_or(0.0, |lowest| lowest.share),
        lowest_dispatcher: lowest.map_or(0, |lowest| lowest.dispatcher),
        mean_share: sum / count,
    }
}

/// Returns for each dispatcher the served share of its requests that ended and were not cancelled.
fn shares_served(evidence: &Evidence) -> Vec<DispatcherShare> {
    let mut counts: BTreeMap<usize, RequestCounts> = BTreeMap::new();
    for request in &evidence.requests {
        let Some(end) = request.ends.first() else {
            continue;
        };
        if end.outcome == ClientOutcome::Cancelled {
            continue;
        }
        let dispatcher_counts = counts.entry(request.dispatcher).or_default();
        dispatcher_counts.ended += 1.0;
        let served = end.outcome.is_served_correctly();
        dispatcher_counts.served += if served { 1.0 } else { 0.0 };
    }
    counts
        .into_iter()
        .map(|(dispatcher, counts)| DispatcherShare {
            dispatcher,
            share: counts.served / counts.ended,
        })
        .collect()
}
