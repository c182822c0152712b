//! Judges a run by the five rules, from what crossed the sockets ([`trace::TraceEvent`]s) and nothing else.
//!
//! What a dispatcher says of itself is no evidence. Each rule says how many cases it checked, so that a rule that was
//! never exercised shows, and each violation names its kind, the client's attempt and the time.
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

/// Number of hosts that crashed by overload during their warm-up, whether or not a dispatcher knew of their start.
pub fn count_cold_crashes(trace: &[TraceEntry]) -> usize {
    let is_cold_crash = |entry: &&TraceEntry| match &entry.event {
        TraceEvent::HostCrashed { reason, .. } => reason.contains("cold"),
        _ => false,
    };
    trace.iter().filter(is_cold_crash).count()
}

/// Judges a run by all five rules. `effects`: how often the origin ran each piece of work.
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
