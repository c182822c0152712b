//! The outcome of a run.
use super::plan::RunPlan;
use crate::emulated_hosts::EmulatedHosts;
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::service::Service;
use pointspindle_audit::trace::{TraceEntry, TraceEvent};
use pointspindle_audit::{self as audit, RuleVerdict};

/// What a run measured, and the verdicts on it.
#[derive(Debug)]
pub struct Outcome {
    /// The quality of service that clients had.
    pub service: Service,
    /// The verdict of each rule.
    pub rules: Vec<RuleVerdict>,
    /// What was recorded, with times in microseconds since the run began.
    pub trace: Vec<TraceEntry>,
    /// The longest delay of one of the testbed's own timers, in milliseconds.
    pub testbed_lateness_ms: f64,
}

/// Judges what was recorded. `began`: when the run began on the recorder's clock.
pub(super) fn judge_run(
    plan: &RunPlan,
    hosts: &EmulatedHosts,
    recorder: &Recorder,
    began: Micros,
    testbed_lateness_ms: f64,
) -> Outcome {
    let trace = trace_since(recorder, began);
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

/// The trace with times since `began`; what happened before it is at 0.
fn trace_since(recorder: &Recorder, began: Micros) -> Vec<TraceEntry> {
    let mut trace = recorder.take_entries();
    for entry in &mut trace {
        entry.at = entry.at.saturating_sub(began);
        if let TraceEvent::RequestSent { deadline, .. } = &mut entry.event {
            *deadline = deadline.saturating_sub(began);
        }
    }
    trace
}

/// How often each piece of work had its effect at the hosts, by the name of the work.
fn effect_counts(hosts: &EmulatedHosts) -> Vec<(String, u32)> {
    let mut counts: Vec<(String, u32)> = hosts.with_model(|model| {
        let counts = model.effect_counts().iter();
        counts.map(|(work, n)| (work.to_string(), *n)).collect()
    });
    counts.sort();
    counts
}
