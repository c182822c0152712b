//! Output of the verdict on a run: service, rules and trace.
use pointspindle_audit::service::ClassService;
use pointspindle_audit::trace::TraceEntry;
use pointspindle_audit::{count_warm_up_crashes, RuleVerdict};
use pointspindle_report::record::Run;
use pointspindle_scenario::Scenario;
use pointspindle_testbed::fleet_run::Outcome;
use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::io::Write;

/// Maximum number of violations that are printed for a rule, in JSON and in text.
const MAX_VIOLATIONS_JSON: usize = 5;
const MAX_VIOLATIONS_TEXT: usize = 3;

/// Returns whether a rule was violated.
pub fn has_violations(rules: &[RuleVerdict]) -> bool {
    rules.iter().any(|rule| !rule.violations.is_empty())
}

/// Returns a rule's verdict as JSON.
pub fn rule_json(rule: &RuleVerdict) -> serde_json::Value {
    let first: Vec<_> = rule.violations.iter().take(MAX_VIOLATIONS_JSON).collect();
    let kinds: BTreeMap<_, _> = rule.violation_counts().into_iter().collect();
    serde_json::json!({
        "name": rule.name,
        "checked": rule.cases,
        "breaches": rule.violations.len(),
        "kinds": kinds,
        "first": first,
        "unknowing": rule.undetectable.len(),
    })
}

/// Returns the verdict on a run as JSON.
pub fn outcome_json(scenario: &Scenario, outcome: &Outcome) -> serde_json::Value {
    let service = &outcome.service;
    let run = Run::new(scenario, &[], true, service, &outcome.rules, &outcome.trace);
    let (neighbours, parents) = run.peak_loads_after_restarts();
    let rules: Vec<_> = outcome.rules.iter().map(rule_json).collect();
    serde_json::json!({
        "scenario": scenario.name,
        "seed": scenario.seed,
        "seconds": scenario.duration_s,
        "service": service.service,
        "worst_10s": service.worst_10s,
        "goal": service.objective_score,
        "classes": service.classes,
        "tries": service.requests,
        "attempts": service.attempts,
        "fallen": count_warm_up_crashes(&outcome.trace),
        "neighbours": neighbours,
        "parents": parents,
        "rig_late_ms": outcome.testbed_lateness_ms,
        "rules": rules,
    })
}

/// Prints the verdict on a run.
pub fn print_outcome(outcome: &Outcome) {
    let service = &outcome.service;
    println!(
        "service {:.3} (worst 10 s {:.3}, from {:.0} s; goal {:.3}), {} requests, {} attempts, testbed at most {:.0} ms late",
        service.service,
        service.worst_10s,
        service.worst_10s_from_s,
        service.objective_score,
        service.requests,
        service.attempts,
        outcome.testbed_lateness_ms
    );
    service.classes.iter().for_each(print_class);
    outcome.rules.iter().for_each(print_rule);
}

fn print_class(class: &ClassService) {
    println!(
        "  {:<14} service {:.3}, calls {}: served {} (late {}), rejected {}, failed {}, cancelled {}; p50 {:.0} ms, p99 {:.0} ms",
        class.name,
        class.service,
        class.calls,
        class.served,
        class.late,
        class.rejected,
        class.failed,
        class.cancelled,
        class.p50_ms,
        class.p99_ms
    );
    println!(
        "  {:<14} answered {:.3}; largest {} calls {:.3}, next {} calls {:.3}",
        "",
        class.all().share(),
        class.largest.calls,
        class.largest.share(),
        class.next_largest.calls,
        class.next_largest.share()
    );
}

/// Prints a rule's verdict.
pub fn print_rule(rule: &RuleVerdict) {
    let kinds: Vec<String> = rule
        .violation_counts()
        .iter()
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    let verdict = if kinds.is_empty() {
        "kept".into()
    } else {
        format!("VIOLATED ({})", kinds.join(", "))
    };
    println!(
        "  rule {:<8} {verdict}; {} checked: {}",
        rule.name, rule.cases, rule.description
    );
    if let Some(first) = rule.undetectable.first() {
        println!(
            "    {} times by dispatchers that had not been informed; first {}",
            rule.undetectable.len(),
            first.detail
        );
    }
    for violation in rule.violations.iter().take(MAX_VIOLATIONS_TEXT) {
        let request = violation.request.as_deref().unwrap_or("-");
        println!(
            "    at {:.0} ms, {request}: {}",
            violation.at_ms, violation.detail
        );
    }
}

/// Prints the counts of a rule's verdict in one line.
pub fn print_rule_counts(rule: &RuleVerdict) {
    println!(
        "{}: {} cases, {} violations",
        rule.name,
        rule.cases,
        rule.violations.len()
    );
}

/// Prints entries of a run's trace.
pub fn print_trace<T: Borrow<TraceEntry>>(entries: impl IntoIterator<Item = T>) {
    let mut out = std::io::stdout().lock();
    for entry in entries {
        let entry = entry.borrow();
        let written = writeln!(out, "{:>10.1} ms  {:?}", entry.at as f64 / 1e3, entry.event);
        // A reader that closes the pipe early (a pager, head) is not a failure.
        if written.is_err() {
            break;
        }
    }
}
