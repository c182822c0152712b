//! A live view of a run: it consumes the run's events one by one and can be drawn at any time.
//!
//! The view holds a tally for each second, the work that arrived at each host within the last second, and the latest
//! messages. Events may arrive slightly out of order, as they do in runs on sockets.
pub use crate::outcome_tally::OutcomeTally;
use pointspindle::Micros;
use pointspindle_audit::class_work::ClassWork;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent};
use pointspindle_cache_model::Role;
use pointspindle_scenario::Scenario;
use std::collections::{HashMap, VecDeque};

/// Window over which the load of a host is averaged, in microseconds.
const LOAD_WINDOW_US: Micros = 1_000_000;
/// Number of messages after which the oldest is dropped.
const MAX_MESSAGES: usize = 200;

/// The displayed state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// The host takes requests.
    Up,
    /// The host is draining or removed, according to the endpoint list.
    NotReady,
    /// The host has been warming up since this time, in microseconds since the start of the run.
    WarmingUp(Micros),
    /// The host's process is not running.
    Down,
}

/// The view of a host.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Name of the host's role.
    pub role: &'static str,
    /// Name of the host's zone.
    pub zone: String,
    /// State of the host.
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
    /// Returns the work that arrived in the last second, relative to the capacity of the host's link.
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
        if let HostState::WarmingUp(since) = self.state {
            if now >= since + self.warm_up_duration {
                self.state = HostState::Up;
            }
        }
    }
}

/// A message about an event of the run, for display.
#[derive(Clone, Debug)]
pub struct Message {
    /// Time of the event, in microseconds since the start of the run.
    pub at: Micros,
    /// Text of the message.
    pub text: String,
}

/// Parameters of the scenario that the view needs.
#[derive(Debug)]
struct ScenarioParameters {
    class_work: ClassWork,
    zone_names: Vec<String>,
    cache_warm_up: Micros,
    parent_warm_up: Micros,
}

impl ScenarioParameters {
    fn of(scenario: &Scenario) -> Self {
        Self {
            class_work: ClassWork::of(scenario),
            zone_names: scenario.zones(),
            cache_warm_up: scenario.warm_up_spec(Role::Cache).duration,
            parent_warm_up: scenario.warm_up_spec(Role::Parent).duration,
        }
    }
}

/// The live view of a run.
#[derive(Debug)]
pub struct LiveView {
    /// Name, description and seed of the run.
    pub title: String,
    /// Duration of the run, in seconds.
    pub duration_s: f64,
    /// Current time of the run, in microseconds since its start.
    pub now: Micros,
    /// Number of requests by outcome, for each second in which they ended.
    pub tallies: Vec<OutcomeTally>,
    /// Hosts, in the order of their declaration.
    pub hosts: Vec<HostView>,
    /// Latest messages, the newest last.
    pub messages: VecDeque<Message>,
    /// Number of dispatchers that are down.
    pub dispatchers_down: usize,
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Number of host crashes by overload during warm-up.
    pub cold_crashes: usize,
    parameters: ScenarioParameters,
    index_of_host: HashMap<String, usize>,
    open_requests: HashMap<ClientAttemptId, Micros>,
}

impl LiveView {
    /// Creates the view of a run before its first event.
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
            parameters: ScenarioParameters::of(scenario),
            index_of_host: HashMap::new(),
            open_requests: HashMap::new(),
        }
    }

    /// Advances the view's clock to `now`, in microseconds since the start of the run, independently of events.
    pub fn advance_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
        for host in &mut self.hosts {
            host.advance_to(self.now);
        }
    }

    /// Updates the view with an event of the run.
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
                    HostState::WarmingUp(at)
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
                self.add_message(at, format!("dispatcher {dispatcher} was killed"));
            }
            TraceEvent::DispatcherStarted { dispatcher } => {
                self.dispatchers_down = self.dispatchers_down.saturating_sub(1);
                self.add_message(at, format!("dispatcher {dispatcher} started again"));
            }
            TraceEvent::ScriptNote { text } => self.add_message(at, text.clone()),
            _ => {}
        }
    }

    fn host_declared(&mut self, address: &str, role: Role, zone: usize, weight: f64) {
        let warm_up_duration = if role == Role::Parent {
            self.parameters.parent_warm_up
        } else {
            self.parameters.cache_warm_up
        };
        self.index_of_host
            .insert(address.to_owned(), self.hosts.len());
        self.hosts.push(HostView {
            role: role.name(),
            zone: self
                .parameters
                .zone_names
                .get(zone)
                .cloned()
                .unwrap_or_default(),
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
        let work_s = self.parameters.class_work.seconds(class);
        if let Some(host) = self.host(address) {
            host.arrivals.push_back(Arrival { at, work_s });
        }
    }

    fn host_crashed(&mut self, at: Micros, address: &str, reason: &str) {
        // Other crashes are caused by the script, which writes a note of its own.
        if reason.contains("cold") {
            self.cold_crashes += 1;
            self.add_message(at, format!("{address} crashed: {reason}"));
        }
        self.set_state(address, HostState::Down);
    }

    fn hosts_not_ready(&mut self, addresses: &[String]) {
        for address in addresses {
            if let Some(host) = self.host(address) {
                if host.state == HostState::Up {
                    host.state = HostState::NotReady;
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

    /// Returns the number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    /// Returns the number of requests that have ended so far, by outcome.
    pub fn total(&self) -> OutcomeTally {
        let mut total = OutcomeTally::default();
        for tally in &self.tallies {
            total.add(tally);
        }
        total
    }
}
