//! Builds synthetic traces.
#![allow(dead_code)] // each test file uses only a part of this module

use pointspindle::Micros;
use pointspindle_audit::trace::{
    AttemptOutcome, ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent,
};
use pointspindle_cache_model::Role;
use pointspindle_scenario::{load_with, Scenario, SettingOverride};
use std::path::Path;

/// Deadline of every request, in microseconds since the start of the run.
pub const DEADLINE_US: Micros = 9_000_000;

/// Loads the scenario `site-loss` with its power loss as the only fault: three sites with four dispatchers each.
pub fn power_loss(overrides: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/site-loss.ini");
    let overrides: Vec<SettingOverride> = overrides.iter().map(|o| o.parse().unwrap()).collect();
    let mut scenario =
        load_with(&file, Some(1), &overrides).unwrap_or_else(|errors| panic!("{errors}"));
    scenario.faults.retain(|fault| fault.name == "power");
    assert_eq!(scenario.faults.len(), 1);
    scenario
}

/// Returns the identifier of a call's first attempt.
pub fn first_attempt(call: u64) -> ClientAttemptId {
    ClientAttemptId { call, attempt: 0 }
}

/// Returns the outcome for a complete response of a version; `None`: its bytes are wrong.
pub fn served(version: Option<u64>) -> ClientOutcome {
    ClientOutcome::Served {
        version,
        bytes: 1,
        stale: false,
    }
}

/// An attempt of a dispatcher at a host.
#[derive(Clone, Copy)]
pub struct Attempt<'a> {
    pub call: u64,
    pub dispatcher: usize,
    pub number: u32,
    pub host: &'a str,
}

/// Builds a trace from events added in any order.
#[derive(Default)]
pub struct TraceBuilder {
    entries: Vec<TraceEntry>,
}

impl TraceBuilder {
    pub fn event(&mut self, at: Micros, event: TraceEvent) {
        self.entries.push(TraceEntry { at, event });
    }

    pub fn declare_cache(&mut self, host: &str, zone: usize, weight: f64) {
        let declared = TraceEvent::HostDeclared {
            host: host.into(),
            role: Role::Cache,
            zone,
            weight,
        };
        self.event(0, declared);
    }

    pub fn request_sent(&mut self, at: Micros, call: u64, dispatcher: usize) {
        let sent = TraceEvent::RequestSent {
            id: first_attempt(call),
            dispatcher,
            class: 0,
            object_number: 0,
            group: 0,
            part: 0,
            deadline: DEADLINE_US,
        };
        self.event(at, sent);
    }

    pub fn request_ended(&mut self, at: Micros, call: u64, outcome: ClientOutcome) {
        let id = first_attempt(call);
        self.event(at, TraceEvent::RequestEnded { id, outcome });
    }

    pub fn attempt_arrived(&mut self, at: Micros, attempt: Attempt) {
        let arrived = TraceEvent::AttemptArrived {
            host: attempt.host.into(),
            dispatcher: Some(attempt.dispatcher),
            id: Some(first_attempt(attempt.call)),
            attempt: attempt.number,
            source: None,
            class: 0,
        };
        self.event(at, arrived);
    }

    pub fn attempt_ended(&mut self, at: Micros, attempt: Attempt) {
        let ended = TraceEvent::AttemptEnded {
            host: attempt.host.into(),
            id: Some(first_attempt(attempt.call)),
            attempt: attempt.number,
            dispatcher: Some(attempt.dispatcher),
            outcome: AttemptOutcome::Completed,
        };
        self.event(at, ended);
    }

    /// Returns the trace, sorted by time.
    pub fn finish(mut self) -> Vec<TraceEntry> {
        self.entries.sort_by_key(|entry| entry.at);
        self.entries
    }
}
