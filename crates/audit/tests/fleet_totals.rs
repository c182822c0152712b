//! Totals over the fleet, measured from synthetic traces.
mod common;

use common::{power_loss, served, Attempt, TraceBuilder};
use pointspindle_audit::fleet_totals::{judge_totals, measure_totals};
use pointspindle_audit::trace::{ClientOutcome, TraceEntry};

const HOST: &str = "a:1";

/// Returns a trace of 40 requests to two dispatchers, every fourth one to dispatcher 1. The first ten requests have a
/// second attempt. Dispatcher 0 serves all of its requests; dispatcher 1 rejects all of its requests.
fn trace_of_two_dispatchers() -> Vec<TraceEntry> {
    let mut trace = TraceBuilder::default();
    trace.declare_cache(HOST, 0, 2.0);
    for call in 0..40 {
        let dispatcher = usize::from(call % 4 == 0);
        let attempt = |number| Attempt {
            call,
            dispatcher,
            number,
            host: HOST,
        };
        trace.request_sent(1_000_000 + call, call, dispatcher);
        trace.attempt_arrived(1_100_000 + call, attempt(0));
        if call < 10 {
            trace.attempt_arrived(1_200_000 + call, attempt(1));
        }
        trace.attempt_ended(2_300_000 + call, attempt(0));
        let outcome = match dispatcher {
            1 => ClientOutcome::Rejected { retry_after: None },
            _ => served(Some(1)),
        };
        trace.request_ended(2_300_000 + call, call, outcome);
    }
    trace.finish()
}

#[test]
fn fleet_totals_count_arrivals_at_hosts() {
    let scenario = power_loss(&["trouble power.at_s=20"]);
    let trace = trace_of_two_dispatchers();
    let totals = measure_totals(&scenario, &Default::default(), &trace);
    let cache = &totals.roles[0];
    assert_eq!(
        (cache.in_flight.count, cache.in_flight.dispatchers),
        (50, 2)
    );
    assert_eq!(
        (cache.in_flight.by_weight, cache.attempts.count),
        (25.0, 50)
    );
    assert_eq!(
        (totals.retries_per_request, totals.worst_retries_per_request),
        (0.25, 0.25)
    );
    // Dispatcher 0 served all of its requests and dispatcher 1 none, so Jain's index is 0.5.
    assert_eq!(
        (
            totals.fairness,
            totals.lowest_served_dispatcher,
            totals.lowest_served_share
        ),
        (0.5, 1, 0.0)
    );
}

/// An attempt that arrives after its client has cancelled is counted. It is a violation after 0.1 s and the tolerance.
#[test]
fn attempt_after_cancellation_beyond_the_grace_is_a_violation() {
    let scenario = power_loss(&[]);
    let tolerance = scenario.limits.rules.timing_tolerance;
    for (after, violations) in [(50_000, 0), (100_000 + tolerance + 1_000, 1)] {
        let mut trace = TraceBuilder::default();
        trace.request_sent(1_000_000, 1, 0);
        trace.request_ended(2_000_000, 1, ClientOutcome::Cancelled);
        let attempt = Attempt {
            call: 1,
            dispatcher: 0,
            number: 0,
            host: HOST,
        };
        trace.attempt_arrived(2_000_000 + after, attempt);
        let trace = trace.finish();
        let totals = measure_totals(&scenario, &Default::default(), &trace);
        let cancellations = &totals.cancellations;
        assert_eq!(
            (
                cancellations.clients,
                cancellations.unsent,
                cancellations.attempts
            ),
            (1, 1, 1)
        );
        assert_eq!(cancellations.longest_ms, after as f64 / 1e3);
        let kinds = judge_totals(&scenario, &totals, None).violation_counts();
        assert_eq!(
            kinds.iter().filter(|(kind, _)| kind == "left").count(),
            violations,
            "{kinds:?}"
        );
    }
}
