//! The totals over the fleet, measured from traces made by hand.
use pointspindle_audit::fleet_totals::{judge, measure_totals};
use pointspindle_audit::trace::{
    AttemptOutcome, ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent,
};
use pointspindle_cache_model::Role;
use pointspindle_scenario::{load_with, Scenario, SettingOverride};
use std::path::Path;

/// The scenario of a lost site with the loss of power as its only fault.
fn power_loss(overrides: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/site-loss.ini");
    let overrides: Vec<SettingOverride> = overrides.iter().map(|o| o.parse().unwrap()).collect();
    let mut scenario =
        load_with(&file, Some(1), &overrides).unwrap_or_else(|errors| panic!("{errors}"));
    scenario.faults.retain(|fault| fault.name == "power");
    assert_eq!(scenario.faults.len(), 1);
    scenario
}

/// Two dispatchers send attempts to one host; one of them is served, the other is not.
#[test]
fn fleet_totals_of_a_handmade_trace_count_arrivals_at_hosts() {
    let scenario = power_loss(&["trouble power.at_s=20"]);
    let id = |call| ClientAttemptId { call, attempt: 0 };
    let host = || "a:1".to_owned();
    let mut trace = Vec::new();
    let mut record = |at, event| trace.push(TraceEntry { at, event });
    record(
        0,
        TraceEvent::HostDeclared {
            host: host(),
            role: Role::Cache,
            zone: 0,
            weight: 2.0,
        },
    );
    let sent = |call, dispatcher| TraceEvent::RequestSent {
        id: id(call),
        dispatcher,
        class: 0,
        object_number: 0,
        group: 0,
        part: 0,
        deadline: 9_000_000,
    };
    let arrived = |call, by, attempt| TraceEvent::AttemptArrived {
        host: host(),
        dispatcher: Some(by),
        id: Some(id(call)),
        attempt,
        source: None,
        class: 0,
    };
    let ended = |call, by| TraceEvent::AttemptEnded {
        host: host(),
        id: Some(id(call)),
        attempt: 0,
        dispatcher: Some(by),
        outcome: AttemptOutcome::Completed,
    };
    for call in 0..40 {
        record(1_000_000 + call, sent(call, (call % 4 == 0) as usize));
        record(1_100_000 + call, arrived(call, (call % 4 == 0) as usize, 0));
        if call < 10 {
            record(1_200_000 + call, arrived(call, (call % 4 == 0) as usize, 1));
        }
    }
    for call in 0..40 {
        record(2_300_000 + call, ended(call, (call % 4 == 0) as usize));
        let end = match call % 4 {
            0 => ClientOutcome::Rejected { retry_after: None },
            _ => ClientOutcome::Served {
                version: Some(1),
                bytes: 1,
                stale: false,
            },
        };
        record(
            2_300_000 + call,
            TraceEvent::RequestEnded {
                id: id(call),
                outcome: end,
            },
        );
    }
    trace.sort_by_key(|s| s.at);
    let totals = measure_totals(&scenario, &Default::default(), &trace);
    let cache = &totals.roles[0];
    assert_eq!(
        (cache.under_way.count, cache.under_way.dispatchers),
        (50, 2)
    );
    assert_eq!(
        (cache.under_way.by_weight, cache.attempts.count),
        (25.0, 50)
    );
    assert_eq!(
        (totals.second_attempts, totals.second_attempts_worst),
        (0.25, 0.25)
    );
    // One dispatcher served all of its requests, the other none: half of 1.
    assert_eq!(
        (
            totals.fairness,
            totals.least_dispatcher,
            totals.least_served
        ),
        (0.5, 1, 0.0)
    );
}

/// An attempt that arrives after its client has cancelled is counted; beyond 0.1 s and the tolerance it is a violation.
#[test]
fn attempt_after_cancellation_beyond_the_grace_is_a_violation() {
    let scenario = power_loss(&[]);
    let tolerance = scenario.limits.rules.timing_tolerance;
    for (after, violations) in [(50_000, 0), (100_000 + tolerance + 1_000, 1)] {
        let id = ClientAttemptId {
            call: 1,
            attempt: 0,
        };
        let sent = TraceEvent::RequestSent {
            id,
            dispatcher: 0,
            class: 0,
            object_number: 0,
            group: 0,
            part: 0,
            deadline: 9_000_000,
        };
        let arrived = TraceEvent::AttemptArrived {
            host: "a:1".into(),
            dispatcher: Some(0),
            id: Some(id),
            attempt: 0,
            source: None,
            class: 0,
        };
        let trace = [
            TraceEntry {
                at: 1_000_000,
                event: sent,
            },
            TraceEntry {
                at: 2_000_000,
                event: TraceEvent::RequestEnded {
                    id,
                    outcome: ClientOutcome::Cancelled,
                },
            },
            TraceEntry {
                at: 2_000_000 + after,
                event: arrived,
            },
        ];
        let totals = measure_totals(&scenario, &Default::default(), &trace);
        let cancellations = &totals.left;
        assert_eq!(
            (
                cancellations.clients,
                cancellations.unsent,
                cancellations.attempts
            ),
            (1, 1, 1)
        );
        assert_eq!(cancellations.longest_ms, after as f64 / 1e3);
        let kinds = judge(&scenario, &totals, None).kinds();
        assert_eq!(
            kinds.iter().filter(|(kind, _)| kind == "left").count(),
            violations,
            "{kinds:?}"
        );
    }
}
