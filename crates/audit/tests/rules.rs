//! The rules `answers`, `effects`, `drains` and `purges`, judged on synthetic traces.
mod common;

use common::{power_loss, served, Attempt, TraceBuilder, DEADLINE_US};
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientOutcome, TraceEntry, TraceEvent};
use pointspindle_audit::{judge, RuleVerdict};
use pointspindle_scenario::Scenario;

const CACHE: &str = "cache:1";
const OTHER_CACHE: &str = "cache:2";
const RUN_END_US: Micros = 30_000_000;

/// Returns the verdict on one rule over a trace that ends at [`RUN_END_US`].
fn verdict(scenario: &Scenario, rule: &str, mut trace: TraceBuilder) -> RuleVerdict {
    let text = "end of run".to_owned();
    trace.event(RUN_END_US, TraceEvent::ScriptNote { text });
    verdict_with_effects(scenario, rule, &trace.finish(), &[])
}

fn verdict_with_effects(
    scenario: &Scenario,
    rule: &str,
    trace: &[TraceEntry],
    effects: &[(String, u32)],
) -> RuleVerdict {
    let verdicts = judge(scenario, trace, effects);
    let verdict = verdicts.into_iter().find(|verdict| verdict.name == rule);
    verdict.unwrap()
}

/// Returns the kinds of the violations that break the rule, in the order in which they were found.
fn kinds(verdict: &RuleVerdict) -> Vec<&str> {
    verdict.violations.iter().map(|v| v.kind.as_str()).collect()
}

/// Returns the kinds of the violations that no dispatcher could have avoided.
fn undetectable_kinds(verdict: &RuleVerdict) -> Vec<&str> {
    let violations = verdict.undetectable.iter();
    violations.map(|v| v.kind.as_str()).collect()
}

fn attempt(number: u32, host: &str) -> Attempt<'_> {
    Attempt {
        call: 1,
        dispatcher: 0,
        number,
        host,
    }
}

/// Returns a trace with one request to dispatcher 0 in zone 0, and one cache in each of the zones 0 and 1.
fn one_request() -> TraceBuilder {
    let mut trace = TraceBuilder::default();
    trace.declare_cache(CACHE, 0, 1.0);
    trace.declare_cache(OTHER_CACHE, 1, 1.0);
    trace.request_sent(1_000_000, 1, 0);
    trace
}

fn partition_zone(trace: &mut TraceBuilder, zone: usize, from: Micros, to: Micros) {
    for (at, partitioned) in [(from, true), (to, false)] {
        trace.event(at, TraceEvent::ZonePartitioned { zone, partitioned });
    }
}

fn partition_host(trace: &mut TraceBuilder, host: &str, from: Micros, to: Micros) {
    for (at, partitioned) in [(from, true), (to, false)] {
        let host = host.to_owned();
        trace.event(at, TraceEvent::HostPartitioned { host, partitioned });
    }
}

fn pause_dispatcher(trace: &mut TraceBuilder, from: Micros, to: Micros) {
    let dispatcher = 0;
    for (at, paused) in [(from, true), (to, false)] {
        trace.event(at, TraceEvent::DispatcherPaused { dispatcher, paused });
    }
}

#[test]
fn request_without_response_is_silent() {
    let scenario = power_loss(&[]);
    let verdict = verdict(&scenario, "answers", one_request());
    assert_eq!((verdict.cases, kinds(&verdict)), (1, vec!["silent"]));
}

#[test]
fn request_whose_deadline_is_after_the_run_is_not_judged() {
    let scenario = power_loss(&[]);
    let verdict = verdict_with_effects(&scenario, "answers", &one_request().finish(), &[]);
    assert_eq!((verdict.cases, kinds(&verdict)), (0, vec![]));
}

#[test]
fn response_beyond_deadline_and_tolerance_is_late_unless_cancelled() {
    let scenario = power_loss(&[]);
    let last_in_time = DEADLINE_US + scenario.limits.rules.timing_tolerance;
    let verdict_for = |at, outcome| {
        let mut trace = one_request();
        trace.request_ended(at, 1, outcome);
        verdict(&scenario, "answers", trace)
    };
    assert_eq!(kinds(&verdict_for(last_in_time, served(Some(1)))), [""; 0]);
    assert_eq!(
        kinds(&verdict_for(last_in_time + 1, served(Some(1)))),
        ["late"]
    );
    let cancelled = verdict_for(last_in_time + 1, ClientOutcome::Cancelled);
    assert_eq!(kinds(&cancelled), [""; 0]);
}

#[test]
fn wrong_bytes_lost_connections_and_second_responses_are_violations() {
    let scenario = power_loss(&[]);
    let kinds_for = |outcomes: &[ClientOutcome]| {
        let mut trace = one_request();
        for outcome in outcomes {
            trace.request_ended(2_000_000, 1, outcome.clone());
        }
        let verdict = verdict(&scenario, "answers", trace);
        kinds(&verdict).join(" ")
    };
    assert_eq!(kinds_for(&[served(None)]), "wrong");
    assert_eq!(kinds_for(&[ClientOutcome::ConnectionLost]), "silent");
    assert_eq!(
        kinds_for(&[served(Some(1)), ClientOutcome::Failed]),
        "twice"
    );
}

#[test]
fn unexpected_response_is_a_violation() {
    let scenario = power_loss(&[]);
    let mut trace = TraceBuilder::default();
    trace.event(1, TraceEvent::UnexpectedResponse { dispatcher: 3 });
    assert_eq!(kinds(&verdict(&scenario, "answers", trace)), ["twice"]);
}

#[test]
fn request_to_paused_killed_or_stopping_dispatcher_is_not_judged() {
    let scenario = power_loss(&[]);
    let dispatcher = 0;
    let mut paused = one_request();
    pause_dispatcher(&mut paused, 5_000_000, 6_000_000);
    let mut killed = one_request();
    killed.event(5_000_000, TraceEvent::DispatcherKilled { dispatcher });
    let mut stopping = one_request();
    stopping.event(900_000, TraceEvent::DispatcherStopping { dispatcher });
    for trace in [paused, killed, stopping] {
        let verdict = verdict(&scenario, "answers", trace);
        assert_eq!((verdict.cases, kinds(&verdict)), (0, vec![]));
    }
    let mut paused_before = one_request();
    pause_dispatcher(&mut paused_before, 100_000, 200_000);
    assert_eq!(verdict(&scenario, "answers", paused_before).cases, 1);
}

/// Returns a trace with an attempt that arrives at `host` one second after the response.
fn attempt_after_response(host: &str) -> TraceBuilder {
    let mut trace = one_request();
    trace.request_ended(2_000_000, 1, served(Some(1)));
    trace.attempt_arrived(3_000_000, attempt(0, host));
    trace
}

#[test]
fn attempt_after_the_response_is_a_violation_unless_a_partition_delayed_it() {
    let scenario = power_loss(&[]);
    let unpartitioned = verdict(&scenario, "answers", attempt_after_response(CACHE));
    assert_eq!(kinds(&unpartitioned), ["after"]);
    assert_eq!(undetectable_kinds(&unpartitioned), [""; 0]);

    let mut partitioned = attempt_after_response(CACHE);
    partition_host(&mut partitioned, CACHE, 1_500_000, 2_900_000);
    let partitioned = verdict(&scenario, "answers", partitioned);
    assert_eq!(kinds(&partitioned), [""; 0]);
    assert_eq!(undetectable_kinds(&partitioned), ["after"]);
}

#[test]
fn zone_partition_excuses_only_attempts_that_cross_it() {
    let scenario = power_loss(&[]);
    let verdict_for = |host, zone| {
        let mut trace = attempt_after_response(host);
        partition_zone(&mut trace, zone, 1_500_000, 2_900_000);
        verdict(&scenario, "answers", trace)
    };
    assert_eq!(undetectable_kinds(&verdict_for(OTHER_CACHE, 1)), ["after"]);
    assert_eq!(undetectable_kinds(&verdict_for(OTHER_CACHE, 0)), ["after"]);
    assert_eq!(kinds(&verdict_for(OTHER_CACHE, 2)), ["after"]);
    assert_eq!(kinds(&verdict_for(CACHE, 0)), ["after"]);
}

/// Returns a trace with two attempts: the first ends at `first_end`, the second arrives at 2 s and ends at 4 s.
fn two_attempts(first_end: Micros) -> TraceBuilder {
    let mut trace = one_request();
    let first = attempt(0, CACHE);
    let second = attempt(1, OTHER_CACHE);
    trace.attempt_arrived(1_100_000, first);
    trace.attempt_arrived(2_000_000, second);
    trace.attempt_ended(first_end, first);
    trace.attempt_ended(4_000_000, second);
    trace
}

#[test]
fn overlapping_attempts_are_a_violation_unless_a_partition_lost_the_cancellation() {
    let scenario = power_loss(&[]);
    let tolerance = scenario.limits.rules.timing_tolerance;
    let verdict_for = |trace| verdict(&scenario, "effects", trace);
    assert_eq!(kinds(&verdict_for(two_attempts(3_000_000))), ["double"]);
    let within_tolerance = verdict_for(two_attempts(2_000_000 + tolerance));
    assert_eq!(kinds(&within_tolerance), [""; 0]);

    let mut partitioned = two_attempts(3_000_000);
    partition_host(&mut partitioned, CACHE, 1_900_000, 2_900_000);
    let partitioned = verdict_for(partitioned);
    assert_eq!(kinds(&partitioned), [""; 0]);
    assert_eq!(undetectable_kinds(&partitioned), ["double"]);
}

#[test]
fn attempt_that_never_ends_overlaps_later_ones() {
    let scenario = power_loss(&[]);
    let mut trace = one_request();
    trace.attempt_arrived(1_100_000, attempt(0, CACHE));
    trace.attempt_arrived(2_000_000, attempt(1, OTHER_CACHE));
    assert_eq!(kinds(&verdict(&scenario, "effects", trace)), ["double"]);
}

#[test]
fn attempt_that_arrives_twice_is_a_violation() {
    let scenario = power_loss(&[]);
    let mut trace = one_request();
    trace.attempt_arrived(1_100_000, attempt(0, CACHE));
    trace.attempt_ended(1_200_000, attempt(0, CACHE));
    trace.attempt_arrived(2_000_000, attempt(0, OTHER_CACHE));
    assert_eq!(kinds(&verdict(&scenario, "effects", trace)), ["double"]);
}

#[test]
fn work_that_ran_twice_is_a_violation() {
    let scenario = power_loss(&[]);
    let effects = [("c1.0".to_owned(), 1), ("c2.0".to_owned(), 2)];
    let verdict = verdict_with_effects(&scenario, "effects", &[], &effects);
    assert_eq!((verdict.cases, kinds(&verdict)), (2, vec!["repeat"]));
}

fn list_delivered(at: Micros, full: bool, ready: &[&str], not_ready: &[&str]) -> TraceEntry {
    let owned = |hosts: &[&str]| hosts.iter().map(|host| (*host).to_owned()).collect();
    let event = TraceEvent::EndpointListDelivered {
        dispatcher: 0,
        full,
        ready: owned(ready),
        incarnations: vec![1; ready.len()],
        not_ready: owned(not_ready),
    };
    TraceEntry { at, event }
}

#[test]
fn attempt_to_draining_host_after_the_grace_is_a_violation() {
    let scenario = power_loss(&[]);
    let rules = scenario.limits.rules;
    let last_allowed = 2_000_000 + rules.drain_grace + rules.timing_tolerance;
    let violation_count = |lists: &[&TraceEntry], at| {
        let mut trace = one_request();
        for list in lists {
            trace.event(list.at, list.event.clone());
        }
        trace.attempt_arrived(at, attempt(0, CACHE));
        kinds(&verdict(&scenario, "drains", trace)).len()
    };
    let drains = list_delivered(2_000_000, false, &[], &[CACHE]);
    let again = list_delivered(2_100_000, false, &[], &[CACHE]);
    let ready = list_delivered(2_200_000, false, &[CACHE], &[]);
    let full = list_delivered(2_200_000, true, &[OTHER_CACHE], &[]);
    assert_eq!(violation_count(&[&drains], last_allowed), 0);
    assert_eq!(violation_count(&[&drains], last_allowed + 1), 1);
    assert_eq!(violation_count(&[&drains, &again], last_allowed + 1), 1);
    assert_eq!(violation_count(&[&drains, &ready], last_allowed + 1), 0);
    assert_eq!(violation_count(&[&drains, &full], last_allowed + 1), 0);
}

#[test]
fn drain_delivered_to_a_paused_dispatcher_counts_from_its_resumption() {
    let scenario = power_loss(&[]);
    let rules = scenario.limits.rules;
    let grace = rules.drain_grace + rules.timing_tolerance;
    let violation_count = |at| {
        let mut trace = one_request();
        pause_dispatcher(&mut trace, 1_900_000, 4_000_000);
        let drains = list_delivered(2_000_000, false, &[], &[CACHE]);
        trace.event(drains.at, drains.event);
        trace.attempt_arrived(at, attempt(0, CACHE));
        kinds(&verdict(&scenario, "drains", trace)).len()
    };
    assert_eq!(
        (
            violation_count(4_000_000 + grace),
            violation_count(4_000_001 + grace)
        ),
        (0, 1)
    );
}

#[test]
fn older_version_for_attempt_after_the_purge_grace_is_a_violation() {
    let scenario = power_loss(&[]);
    let rules = scenario.limits.rules;
    let last_allowed = 2_000_000 + rules.purge_grace + rules.timing_tolerance;
    let counts = |object, group, arrived, version| {
        let mut trace = one_request();
        let purge = TraceEvent::PurgeDelivered {
            dispatcher: 0,
            object,
            group,
            version_from: 5,
        };
        trace.event(2_000_000, purge);
        trace.attempt_arrived(arrived, attempt(0, CACHE));
        trace.request_ended(arrived + 10, 1, served(Some(version)));
        let verdict = verdict(&scenario, "purges", trace);
        (verdict.cases, kinds(&verdict).len())
    };
    for object in [None, Some(0)] {
        assert_eq!(counts(object, 0, last_allowed, 4), (0, 0));
        assert_eq!(counts(object, 0, last_allowed + 1, 4), (1, 1));
        assert_eq!(counts(object, 0, last_allowed + 1, 5), (1, 0));
    }
    assert_eq!(counts(None, 1, last_allowed + 1, 4), (0, 0));
    assert_eq!(counts(Some(1), 0, last_allowed + 1, 4), (0, 0));
}
