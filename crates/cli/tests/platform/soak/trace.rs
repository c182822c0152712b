//! Traces of requests, for finding the cause of a violation.
use super::observations::{Change, Observations};
use tokio::time::Instant;

/// Returns all observations of a request, one per line, with times in seconds since `start`.
pub fn trace(observations: &Observations, transaction: &str, start: Instant) -> String {
    let seconds = |at: Instant| format!("{:.3}", at.saturating_duration_since(start).as_secs_f64());
    let mut lines = Vec::new();
    let attempts: Vec<_> = observations
        .attempts
        .iter()
        .filter(|attempt| attempt.transaction == transaction)
        .collect();
    if let Some(request) = observations.requests.get(transaction) {
        lines.push(format!("{} sent: {request:?}", seconds(request.sent_at)));
        for announcement in &observations.announcements {
            let concerns_request = match announcement.change {
                Change::Purged { object, .. } => object == request.object,
                Change::Drained { host } => attempts.iter().any(|attempt| attempt.host == host),
            };
            if concerns_request {
                let at = seconds(announcement.at);
                lines.push(format!("{at} announced: {:?}", announcement.change));
            }
        }
        for end in &observations.process_ends {
            if end.dispatcher == request.dispatcher {
                lines.push(format!("{} killed: {end:?}", seconds(end.killed_at)));
            }
        }
    }
    for attempt in attempts {
        let at = seconds(attempt.received_at);
        lines.push(format!("{at} attempt: {attempt:?}"));
    }
    lines.join("\n    ")
}
