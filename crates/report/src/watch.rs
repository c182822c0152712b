//! What can be seen of a run while it goes on: it takes event by event and can be shown at any time.
//!
//! It keeps a tally for each second, the last second's work for each host, and the latest messages. Events may come a
//! little out of order, as they do from sockets.
pub use crate::outcome_tally::OutcomeTally;
use pointspindle::Micros;
use pointspindle_audit::class_work::ClassWork;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent};
use pointspindle_cache_model::Role;
use pointspindle_scenario::Scenario;
use std::collections::{HashMap, VecDeque};

/// Loads are means over this time, in microseconds.
const LOAD_WINDOW_US: Micros = 1_000_000;
/// Number of messages that are kept.
const MAX_MESSAGES: usize = 200;

/// The state of a host as far as it shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// Takes requests.
    Up,
    /// Draining or removed, by the endpoint list.
    Out,
    /// Warming up since this time.
    Cold(Micros),
    /// Its process is not running.
    Down,
}

/// A host on the screen.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Name of its role.
    pub role: &'static str,
    /// Name of its zone.
    pub zone: String,
    /// Its state.
    pub state: HostState,
    weight: f64,
    warm_up_duration: Micros,
    arrivals: VecDeque<Arrival>,
}

/// Work that arrived at a host.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Micros,
    work_s: f64,
}

impl HostView {
    /// Work that arrived in the last second, relative to what the host's link carries.
    pub fn load(&self) -> f64 {
        let work_s: f64 = self.arrivals.iter().map(|arrival| arrival.work_s).sum();
        work_s / self.weight.max(1e-6) / (LOAD_WINDOW_US as f64 / 1e6)
    }

    fn advance_to(&mut self, now: Micros) {
        while let Some(first) = self.arrivals.front() {
            if first.at + LOAD_WINDOW_US >= now {
                break;
            }
            self.arrivals.pop_front();
        }
        if let HostState::Cold(since) = self.state {
            if now >= since + self.warm_up_duration {
                self.state = HostState::Up;
            }
        }
    }
}

/// Something that happened, for people.
#[derive(Clone, Debug)]
pub struct Message {
    /// When it happened, in microseconds since the start of the run.
    pub at: Micros,
    /// What happened.
    pub text: String,
}

/// What a scenario says of its hosts and classes.
#[derive(Debug)]
struct ScenarioFacts {
    class_work: ClassWork,
    zone_names: Vec<String>,
    cache_warm_up: Micros,
    parent_warm_up: Micros,
}

impl ScenarioFacts {
    fn of(scenario: &Scenario) -> Self {
        Self {
            class_work: ClassWork::of(scenario),
            zone_names: scenario.zones(),
            cache_warm_up: scenario.warm_up_spec(Role::Cache).duration,
            parent_warm_up: scenario.warm_up_spec(Role::Parent).duration,
        }
    }
}

/// A run while it goes on.
#[derive(Debug)]
pub struct LiveView {
    /// Name, description and seed of the run.
    pub title: String,
    /// Length of the run, in seconds.
    pub duration_s: f64,
    /// How far the run has come, in microseconds.
    pub now: Micros,
    /// By the second in which requests ended.
    pub tallies: Vec<OutcomeTally>,
    /// The hosts, in the order of their declaration.
    pub hosts: Vec<HostView>,
    /// The latest messages, the newest last.
    pub messages: VecDeque<Message>,
    /// Number of dispatchers that are down.
    pub dispatchers_down: usize,
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Hosts that crashed by overload during their warm-up.
    pub cold_crashes: usize,
    facts: ScenarioFacts,
    index_of_host: HashMap<String, usize>,
    open_requests: HashMap<ClientAttemptId, Micros>,
}

impl LiveView {
    /// The run before its first event.
    pub fn new(scenario: &Scenario) -> Self {
        let seconds = scenario.duration_s.ceil() as usize + 1;
        Self {
            title: format!(
                "{}: {} (seed {})",
                scenario.name, scenario.description, scenario.seed
            ),
            duration_s: scenario.duration_s,
            now: 0,
            tallies: vec![OutcomeTally::default(); seconds],
            hosts: Vec::new(),
            messages: VecDeque::new(),
            dispatchers_down: 0,
            dispatchers: scenario.dispatcher_count(),
            cold_crashes: 0,
            facts: ScenarioFacts::of(scenario),
            index_of_host: HashMap::new(),
            open_requests: HashMap::new(),
        }
    }

    /// Advances the view's clock, in microseconds since the start of the run, whether or not anything happened.
    pub fn advance_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
        for host in &mut self.hosts {
            host.advance_to(self.now);
        }
    }

    /// Takes an event of the run.
    pub fn observe(&mut self, entry: &TraceEntry) {
        let at = entry.at;
        self.now = self.now.max(at);
        match &entry.event {
            TraceEvent::HostDeclared {
                host,
                role,
                zone,
                weight,
            } => self.host_declared(host, *role, *zone, *weight),
            TraceEvent::RequestSent { id, .. } => _ = self.open_requests.insert(*id, at),
            TraceEvent::RequestEnded { id, outcome } => self.request_ended(at, id, outcome),
            TraceEvent::AttemptArrived { host, class, .. } => {
                self.attempt_arrived(at, host, *class);
            }
            TraceEvent::HostCrashed { host, reason } => self.host_crashed(at, host, reason),
            TraceEvent::HostStarted { host, cold, .. } => {
                let state = if *cold {
                    HostState::Cold(at)
                } else {
                    HostState::Up
                };
                self.set_state(host, state);
            }
            TraceEvent::EndpointListDelivered {
                not_ready,
                full: false,
                ..
            } => self.hosts_not_ready(not_ready),
            TraceEvent::DispatcherKilled { dispatcher } => {
                self.dispatchers_down += 1;
                self.add_message(at, format!("dispatcher {dispatcher} is killed"));
            }
            TraceEvent::DispatcherStarted { dispatcher } => {
                self.dispatchers_down = self.dispatchers_down.saturating_sub(1);
                self.add_message(at, format!("dispatcher {dispatcher} is back"));
            }
            TraceEvent::ScriptNote { text } => self.add_message(at, text.clone()),
            _ => {}
        }
    }

    fn host_declared(&mut self, address: &str, role: Role, zone: usize, weight: f64) {
        let warm_up_duration = if role == Role::Parent {
            self.facts.parent_warm_up
        } else {
            self.facts.cache_warm_up
        };
        self.index_of_host
            .insert(address.to_owned(), self.hosts.len());
        self.hosts.push(HostView {
            role: role.name(),
            zone: self.facts.zone_names.get(zone).cloned().unwrap_or_default(),
            state: HostState::Up,
            weight,
            warm_up_duration,
            arrivals: VecDeque::new(),
        });
    }

    fn request_ended(&mut self, at: Micros, id: &ClientAttemptId, outcome: &ClientOutcome) {
        if self.open_requests.remove(id).is_none() {
            return;
        }
        if let Some(tally) = self.tallies.get_mut((at / 1_000_000) as usize) {
            tally.count(outcome);
        }
    }

    fn attempt_arrived(&mut self, at: Micros, address: &str, class: usize) {
        let work_s = self.facts.class_work.seconds(class);
        if let Some(host) = self.host(address) {
            host.arrivals.push_back(Arrival { at, work_s });
        }
    }

    fn host_crashed(&mut self, at: Micros, address: &str, reason: &str) {
        // Other crashes are the script's, which has a note for them.
        if reason.contains("cold") {
            self.cold_crashes += 1;
            self.add_message(at, format!("{address} fell over: {reason}"));
        }
        self.set_state(address, HostState::Down);
    }

    fn hosts_not_ready(&mut self, addresses: &[String]) {
        for address in addresses {
            if let Some(host) = self.host(address) {
                if host.state == HostState::Up {
                    host.state = HostState::Out;
                }
            }
        }
    }

    fn host(&mut self, address: &str) -> Option<&mut HostView> {
        let index = self.index_of_host.get(address)?;
        self.hosts.get_mut(*index)
    }

    fn set_state(&mut self, address: &str, state: HostState) {
        if let Some(host) = self.host(address) {
            host.state = state;
        }
    }

    fn add_message(&mut self, at: Micros, text: String) {
        self.messages.push_back(Message { at, text });
        while self.messages.len() > MAX_MESSAGES {
            self.messages.pop_front();
        }
    }

    /// Number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    /// OutcomeTally of all requests that have ended so far.
    pub fn total(&self) -> OutcomeTally {
        let mut total = OutcomeTally::default();
        for tally in &self.tallies {
            total.add(tally);
        }
        total
    }
}
