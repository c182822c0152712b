//! Selects the part of a trace that concerns one call.
use crate::trace::{TraceEntry, TraceEvent};
use pointspindle::Micros;
use std::collections::BTreeSet;

/// Time before the first event of a call from which on events of hosts, dispatchers and the script are included.
const CONTEXT_BEFORE_US: Micros = 2_000_000;
/// Time after the last event of a call until which events of hosts, dispatchers and the script are included.
const CONTEXT_AFTER_US: Micros = 500_000;

/// Returns every event of a call in order, with those events around it that concern the hosts reached by its attempts,
/// the dispatchers or the script.
pub fn request_history(trace: &[TraceEntry], call: u64) -> Vec<&TraceEntry> {
    let times = || {
        trace
            .iter()
            .filter(|entry| is_of_call(entry, call))
            .map(|entry| entry.at)
    };
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let hosts = hosts_reached(trace, call);
    let is_near = |entry: &TraceEntry| {
        entry.at + CONTEXT_BEFORE_US >= first && entry.at <= last + CONTEXT_AFTER_US
    };
    trace
        .iter()
        .filter(|entry| {
            is_of_call(entry, call) || (is_near(entry) && is_context(&entry.event, &hosts))
        })
        .collect()
}

fn is_of_call(entry: &TraceEntry, call: u64) -> bool {
    entry.event.attempt_id().is_some_and(|id| id.call == call)
}

fn hosts_reached(trace: &[TraceEntry], call: u64) -> BTreeSet<&str> {
    trace
        .iter()
        .filter(|entry| is_of_call(entry, call))
        .filter_map(|entry| match &entry.event {
            TraceEvent::AttemptArrived { host, .. } => Some(host.as_str()),
            _ => None,
        })
        .collect()
}

/// Whether an event that belongs to no call may explain the outcome of a call that reached `hosts`.
fn is_context(event: &TraceEvent, hosts: &BTreeSet<&str>) -> bool {
    match event {
        TraceEvent::HostCrashed { host, .. } | TraceEvent::HostStarted { host, .. } => {
            hosts.contains(host.as_str())
        }
        TraceEvent::EndpointListDelivered {
            ready,
            not_ready,
            full: false,
            ..
        } => ready
            .iter()
            .chain(not_ready)
            .any(|host| hosts.contains(host.as_str())),
        TraceEvent::DispatcherKilled { .. }
        | TraceEvent::DispatcherStarted { .. }
        | TraceEvent::DispatcherPaused { .. }
        | TraceEvent::DispatcherStopping { .. }
        | TraceEvent::ZonePartitioned { .. }
        | TraceEvent::ScriptNote { .. } => true,
        _ => false,
    }
}
