//! The trace of a run, grouped by requests, dispatchers, hosts and zones.
use crate::periods::{Periods, Span};
use crate::trace::{ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent};
use pointspindle::Micros;
use pointspindle_scenario::Scenario;
use std::collections::HashMap;

/// An attempt of a dispatcher, as observed at the host's socket.
#[derive(Clone, Debug)]
pub(crate) struct HostAttempt {
    pub host: String,
    pub dispatcher: usize,
    pub number: u32,
    pub arrived: Micros,
    /// Time of the attempt's end; `None` if no end was recorded.
    pub ended: Option<Micros>,
}

/// Outcome of a request for its client, with its time.
#[derive(Clone, Debug)]
pub(crate) struct RequestEnd {
    pub at: Micros,
    pub outcome: ClientOutcome,
}

/// An attempt of a client, with its outcomes and the dispatcher's attempts at hosts.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub id: ClientAttemptId,
    pub dispatcher: usize,
    pub class: usize,
    pub object_number: u64,
    pub group: u64,
    pub sent: Micros,
    pub deadline: Micros,
    /// Outcomes in the order of the trace; more than one violates the rule `answers`.
    pub ends: Vec<RequestEnd>,
    /// Attempts in the order of their arrival.
    pub attempts: Vec<HostAttempt>,
}

impl ClientRequest {
    /// Returns the time at which the client cancelled the request, if it did.
    pub fn cancelled_at(&self) -> Option<Micros> {
        self.ends
            .iter()
            .find(|end| end.outcome == ClientOutcome::Cancelled)
            .map(|end| end.at)
    }
}

/// The events of a run, grouped by requests, dispatchers, hosts and zones.
pub(crate) struct Evidence<'a> {
    pub scenario: &'a Scenario,
    pub trace: &'a [TraceEntry],
    pub requests: Vec<ClientRequest>,
    /// Maximum error of the difference between two measured times, in microseconds.
    pub tolerance: Micros,
    /// Time of the last event.
    pub run_end: Micros,
    index: HashMap<ClientAttemptId, usize>,
    dispatchers_down: Periods<usize>,
    /// Periods from the start of a graceful shutdown to the next start. Requests accepted before are still answered.
    dispatchers_stopping: Periods<usize>,
    /// Periods of pauses. A dispatcher that resumes acts on the state that it had before the pause.
    dispatchers_paused: Periods<usize>,
    /// Periods of partitions. No cancellation reaches a partitioned host.
    hosts_partitioned: Periods<String>,
    zones_partitioned: Periods<usize>,
    zone_of_host: HashMap<String, usize>,
}

impl<'a> Evidence<'a> {
    /// Groups the events of a run.
    pub fn new(scenario: &'a Scenario, trace: &'a [TraceEntry]) -> Self {
        let mut evidence = Self {
            scenario,
            trace,
            requests: Vec::new(),
            tolerance: scenario.limits.rules.timing_tolerance,
            run_end: trace.last().map_or(0, |entry| entry.at),
            index: HashMap::new(),
            dispatchers_down: Periods::default(),
            dispatchers_stopping: Periods::default(),
            dispatchers_paused: Periods::default(),
            hosts_partitioned: Periods::default(),
            zones_partitioned: Periods::default(),
            zone_of_host: HashMap::new(),
        };
        for entry in trace {
            evidence.add_request_event(entry);
            evidence.add_fleet_event(entry);
        }
        evidence.end_open_periods();
        evidence
    }

    fn add_request_event(&mut self, entry: &TraceEntry) {
        match &entry.event {
            TraceEvent::RequestSent {
                id,
                dispatcher,
                class,
                object_number,
                group,
                deadline,
                ..
            } => {
                self.index.insert(*id, self.requests.len());
                self.requests.push(ClientRequest {
                    id: *id,
                    dispatcher: *dispatcher,
                    class: *class,
                    object_number: *object_number,
                    group: *group,
                    sent: entry.at,
                    deadline: *deadline,
                    ends: Vec::new(),
                    attempts: Vec::new(),
                });
            }
            TraceEvent::RequestEnded { id, outcome } => {
                self.request_ended(entry.at, id, outcome);
            }
            TraceEvent::AttemptArrived {
                host,
                dispatcher: Some(dispatcher),
                id: Some(id),
                attempt,
                ..
            } => self.attempt_arrived(entry.at, id, host, *dispatcher, *attempt),
            TraceEvent::AttemptEnded {
                host,
                id: Some(id),
                attempt,
                dispatcher: Some(_),
                ..
            } => self.attempt_ended(entry.at, id, host, *attempt),
            _ => {}
        }
    }

    fn request(&mut self, id: &ClientAttemptId) -> Option<&mut ClientRequest> {
        self.index.get(id).map(|index| &mut self.requests[*index])
    }

    fn request_ended(&mut self, at: Micros, id: &ClientAttemptId, outcome: &ClientOutcome) {
        if let Some(request) = self.request(id) {
            let outcome = outcome.clone();
            request.ends.push(RequestEnd { at, outcome });
        }
    }

    fn attempt_arrived(
        &mut self,
        at: Micros,
        id: &ClientAttemptId,
        host: &str,
        dispatcher: usize,
        number: u32,
    ) {
        if let Some(request) = self.request(id) {
            request.attempts.push(HostAttempt {
                host: host.to_owned(),
                dispatcher,
                number,
                arrived: at,
                ended: None,
            });
        }
    }

    fn attempt_ended(&mut self, at: Micros, id: &ClientAttemptId, host: &str, number: u32) {
        let Some(request) = self.request(id) else {
            return;
        };
        let is_open = |attempt: &&mut HostAttempt| {
            attempt.ended.is_none() && attempt.host == host && attempt.number == number
        };
        if let Some(attempt) = request.attempts.iter_mut().find(is_open) {
            attempt.ended = Some(at);
        }
    }

    fn add_fleet_event(&mut self, entry: &TraceEntry) {
        let at = entry.at;
        match &entry.event {
            TraceEvent::HostDeclared { host, zone, .. } => {
                self.zone_of_host.insert(host.clone(), *zone);
            }
            TraceEvent::HostPartitioned { host, partitioned } if *partitioned => {
                self.hosts_partitioned.begin(host.clone(), at);
            }
            TraceEvent::HostPartitioned { host, .. } => self.hosts_partitioned.end(host, at),
            TraceEvent::ZonePartitioned { zone, partitioned } if *partitioned => {
                self.zones_partitioned.begin(*zone, at);
            }
            TraceEvent::ZonePartitioned { zone, .. } => self.zones_partitioned.end(zone, at),
            TraceEvent::DispatcherPaused { dispatcher, paused } if *paused => {
                self.dispatchers_paused.begin(*dispatcher, at);
            }
            TraceEvent::DispatcherPaused { dispatcher, .. } => {
                self.dispatchers_paused.end(dispatcher, at);
            }
            TraceEvent::DispatcherStopping { dispatcher } => {
                self.dispatchers_stopping.begin(*dispatcher, at);
            }
            TraceEvent::DispatcherKilled { dispatcher } => {
                self.dispatchers_down.begin_if_none(*dispatcher, at);
                self.dispatchers_paused.end(dispatcher, at);
            }
            TraceEvent::DispatcherStarted { dispatcher } => {
                self.dispatchers_down.end(dispatcher, at);
                self.dispatchers_stopping.end(dispatcher, at);
            }
            _ => {}
        }
    }

    fn end_open_periods(&mut self) {
        self.dispatchers_down.end_all(self.run_end);
        self.dispatchers_stopping.end_all(self.run_end);
        self.dispatchers_paused.end_all(self.run_end);
        self.hosts_partitioned.end_all(self.run_end);
        self.zones_partitioned.end_all(self.run_end);
    }

    /// Whether the host was partitioned from the dispatcher at some time within the span.
    pub fn was_partitioned(&self, dispatcher: usize, host: &str, span: Span) -> bool {
        let overlaps = |period: &Span| period.overlaps(span, self.tolerance);
        let dispatcher_zone = self.scenario.branch_of_dispatcher(dispatcher);
        let host_zone = self.zone_of_host.get(host).copied();
        let separates = |zone: usize| (zone == dispatcher_zone) != (Some(zone) == host_zone);
        self.hosts_partitioned.of(host).iter().any(overlaps)
            || self
                .zones_partitioned
                .iter()
                .any(|(zone, periods)| separates(*zone) && periods.iter().any(overlaps))
    }

    /// Whether the dispatcher was down or paused at some time within the span.
    pub fn was_unavailable(&self, dispatcher: usize, span: Span) -> bool {
        self.dispatchers_down
            .of(&dispatcher)
            .iter()
            .chain(self.dispatchers_paused.of(&dispatcher))
            .any(|period| period.overlaps(span, self.tolerance))
    }

    /// Whether the dispatcher was stopping at `at`: it may have exited before it read a request sent at that time.
    pub fn was_stopping(&self, dispatcher: usize, at: Micros) -> bool {
        self.dispatchers_stopping
            .of(&dispatcher)
            .iter()
            .any(|period| period.overlaps(Span::at(at), self.tolerance))
    }

    /// Returns the time at which a dispatcher could read a message delivered at `at`: not before the end of a pause.
    pub fn readable_at(&self, dispatcher: usize, at: Micros) -> Micros {
        self.dispatchers_paused
            .of(&dispatcher)
            .iter()
            .find(|pause| pause.from <= at + self.tolerance && at <= pause.to)
            .map_or(at, |pause| at.max(pause.to))
    }
}
