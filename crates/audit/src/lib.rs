//! Judges a run by five rules, using only events observed at the sockets ([`trace::TraceEvent`]).
//!
//! Reports of a dispatcher about itself are not used as evidence. Each verdict contains the number of cases checked, so
//! that a rule that the run never exercised is visible; each violation has a kind, the client's attempt and the time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
pub mod class_work;
mod drains;
mod effects;
mod evidence;
pub mod fleet_totals;
pub mod history;
pub mod latency;
mod periods;
mod purges;
pub mod recorder;
pub mod service;
pub mod sizes;
pub mod trace;
mod value;
mod verdict;
mod warm_up;

pub use verdict::{RuleVerdict, Violation};

use crate::evidence::Evidence;
use crate::trace::{TraceEntry, TraceEvent};
use pointspindle_scenario::Scenario;

/// Returns the number of host crashes caused by overload during warm-up, whether or not a dispatcher knew of the start.
pub fn count_warm_up_crashes(trace: &[TraceEntry]) -> usize {
    let is_warm_up_crash = |entry: &&TraceEntry| match &entry.event {
        TraceEvent::HostCrashed { reason, .. } => reason.contains("cold"),
        _ => false,
    };
    trace.iter().filter(is_warm_up_crash).count()
}

/// Judges a run by the five rules. `effects` lists each piece of work with the number of its executions at the origin.
pub fn judge(
    scenario: &Scenario,
    trace: &[TraceEntry],
    effects: &[(String, u32)],
) -> Vec<RuleVerdict> {
    let evidence = Evidence::new(scenario, trace);
    vec![
        answers::judge(&evidence),
        effects::judge(&evidence, effects),
        drains::judge(&evidence),
        warm_up::judge(&evidence),
        purges::judge(&evidence),
    ]
}
