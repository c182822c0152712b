//! The outcome of a run.
use super::plan::RunPlan;
use crate::emulated_hosts::EmulatedHosts;
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::service::Service;
use pointspindle_audit::trace::{TraceEntry, TraceEvent};
use pointspindle_audit::{self as audit, RuleVerdict};

/// The measurements of a run and the verdicts on it.
#[derive(Debug)]
pub struct Outcome {
    /// The quality of service that clients observed.
    pub service: Service,
    /// The verdict of each rule.
    pub rules: Vec<RuleVerdict>,
    /// The recorded events, with times in microseconds since the start of the run.
    pub trace: Vec<TraceEntry>,
    /// The longest delay of one of the testbed's own timers, in milliseconds.
    pub testbed_lateness_ms: f64,
}

/// Judges the recorded trace. `run_start` is the start of the run on the recorder's clock.
pub(super) fn judge_run(
    plan: &RunPlan,
    hosts: &EmulatedHosts,
    recorder: &Recorder,
    run_start: Micros,
    testbed_lateness_ms: f64,
) -> Outcome {
    let trace = trace_since(recorder, run_start);
    let effect_counts = effect_counts(hosts);
    let mut rules = audit::judge(&plan.scenario, &trace, &effect_counts);
    let service = audit::service::measure_service(&plan.scenario, &plan.traffic, &trace);
    rules.push(audit::sizes::judge(&plan.scenario, &service));
    Outcome {
        service,
        rules,
        trace,
        testbed_lateness_ms,
    }
}

/// Returns the trace with times since `run_start`; earlier events have the time 0.
fn trace_since(recorder: &Recorder, run_start: Micros) -> Vec<TraceEntry> {
    let mut trace = recorder.take_entries();
    for entry in &mut trace {
        entry.at = entry.at.saturating_sub(run_start);
        if let TraceEvent::RequestSent { deadline, .. } = &mut entry.event {
            *deadline = deadline.saturating_sub(run_start);
        }
    }
    trace
}

/// Returns how often the origin has run the work of each idempotency key, sorted by key.
fn effect_counts(hosts: &EmulatedHosts) -> Vec<(String, u32)> {
    let mut counts: Vec<(String, u32)> = hosts.with_model(|model| {
        let counts = model.effect_counts().iter();
        counts.map(|(work, n)| (work.to_string(), *n)).collect()
    });
    counts.sort();
    counts
}
