//! What can be seen of a day while it goes: fed sight by sight, looked at at any time.
//!
//! Kept: a line for each second and each member of the day, a window's work for each member, and the last words of the
//! script. Sights may come a little out of order, as they do from sockets.
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent};
use pointspindle_scenario::Scenario;
use std::collections::{HashMap, VecDeque};

/// Loads are means over this.
const WINDOW: Micros = 1_000_000;
/// Words of the script that are kept.
const WORDS: usize = 200;

/// How tries that ended in a second did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub served: u64,
    pub old: u64,
    pub refused: u64,
    pub failed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Up,
    /// Lists say that it drains or has gone.
    Out,
    /// Since then it warms up.
    Cold(Micros),
    Down,
}

#[derive(Clone, Debug)]
pub struct HostView {
    pub address: String,
    pub role: &'static str,
    pub zone: String,
    pub state: HostState,
    weight: f64,
    warm_within: Micros,
    sent: VecDeque<(Micros, f64)>,
}

impl HostView {
    /// Work that reached it in the last second, over what its link carries.
    pub fn load(&self) -> f64 {
        let sum: f64 = self.sent.iter().map(|s| s.1).sum();
        sum / self.weight.max(1e-6) / (WINDOW as f64 / 1e6)
    }
}

#[derive(Debug)]
pub struct View {
    pub title: String,
    pub seconds: f64,
    pub now: Micros,
    pub tallies: Vec<Tally>,
    pub hosts: Vec<HostView>,
    pub words: VecDeque<(Micros, String)>,
    pub dispatchers_down: usize,
    pub dispatchers: usize,
    /// Members that fell over by themselves.
    pub fallen: usize,
    pub open: usize,
    work: Vec<f64>,
    zones: Vec<String>,
    warm: (Micros, Micros),
    places: HashMap<String, usize>,
    asked: HashMap<ClientAttemptId, Micros>,
}

impl View {
    pub fn new(scenario: &Scenario) -> Self {
        let warm = |role| scenario.warm_up_spec(role).duration;
        Self {
            title: format!(
                "{}: {} (seed {})",
                scenario.name, scenario.description, scenario.seed
            ),
            seconds: scenario.duration_s,
            now: 0,
            tallies: vec![Tally::default(); scenario.duration_s.ceil() as usize + 1],
            hosts: Vec::new(),
            words: VecDeque::new(),
            dispatchers_down: 0,
            dispatchers: scenario.dispatcher_count(),
            fallen: 0,
            open: 0,
            work: scenario
                .class_models()
                .iter()
                .map(|c| c.mean_transfer_time as f64 / 1e6)
                .collect(),
            zones: scenario.zones(),
            warm: (
                warm(pointspindle_cache_model::Role::Cache),
                warm(pointspindle_cache_model::Role::Parent),
            ),
            places: HashMap::new(),
            asked: HashMap::new(),
        }
    }

    /// The day has come so far, whether anything was seen or not.
    pub fn to(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let now = self.now;
        for host in &mut self.hosts {
            while host.sent.front().is_some_and(|s| s.0 + WINDOW < now) {
                host.sent.pop_front();
            }
            if matches!(host.state, HostState::Cold(since) if now >= since + host.warm_within) {
                host.state = HostState::Up;
            }
        }
    }

    pub fn take(&mut self, sight: &TraceEntry) {
        let at = sight.at;
        self.now = self.now.max(at);
        match &sight.event {
            TraceEvent::HostDeclared {
                host,
                role,
                zone,
                weight,
            } => {
                let warm_within = if *role == pointspindle_cache_model::Role::Parent {
                    self.warm.1
                } else {
                    self.warm.0
                };
                self.places.insert(host.clone(), self.hosts.len());
                self.hosts.push(HostView {
                    address: host.clone(),
                    role: role.name(),
                    zone: self.zones.get(*zone).cloned().unwrap_or_default(),
                    state: HostState::Up,
                    weight: *weight,
                    warm_within,
                    sent: VecDeque::new(),
                });
            }
            TraceEvent::RequestSent { id, .. } => {
                self.asked.insert(*id, at);
                self.open = self.asked.len();
            }
            TraceEvent::RequestEnded { id, outcome: end } => {
                if self.asked.remove(id).is_none() {
                    return;
                }
                self.open = self.asked.len();
                let Some(tally) = self.tallies.get_mut((at / 1_000_000) as usize) else {
                    return;
                };
                match end {
                    ClientOutcome::Served {
                        version: Some(_),
                        stale: old,
                        ..
                    } => {
                        tally.served += 1;
                        tally.old += u64::from(*old);
                    }
                    ClientOutcome::Rejected { .. } => tally.refused += 1,
                    ClientOutcome::Cancelled => {}
                    _ => tally.failed += 1,
                }
            }
            TraceEvent::AttemptArrived { host, class, .. } => {
                let work = self.work.get(*class).copied().unwrap_or(0.0);
                if let Some(host) = self.host(host) {
                    host.sent.push_back((at, work));
                }
            }
            TraceEvent::HostCrashed { host, reason: why } => {
                // The script's own words tell of the others.
                if why.contains("cold") {
                    self.fallen += 1;
                    self.say(at, format!("{host} fell over: {why}"));
                }
                self.state(host, HostState::Down);
            }
            TraceEvent::HostStarted { host, cold, .. } => {
                self.state(
                    host,
                    if *cold {
                        HostState::Cold(at)
                    } else {
                        HostState::Up
                    },
                );
            }
            TraceEvent::EndpointListDelivered {
                not_ready: out,
                full: false,
                ..
            } => {
                for host in out {
                    if self.host(host).is_some_and(|h| h.state == HostState::Up) {
                        self.state(host, HostState::Out);
                    }
                }
            }
            TraceEvent::DispatcherKilled { dispatcher } => {
                self.dispatchers_down += 1;
                self.say(at, format!("dispatcher {dispatcher} is killed"));
            }
            TraceEvent::DispatcherStarted { dispatcher } => {
                self.dispatchers_down = self.dispatchers_down.saturating_sub(1);
                self.say(at, format!("dispatcher {dispatcher} is back"));
            }
            TraceEvent::ScriptNote { text } => self.say(at, text.clone()),
            _ => {}
        }
    }

    fn host(&mut self, address: &str) -> Option<&mut HostView> {
        self.places
            .get(address)
            .and_then(|place| self.hosts.get_mut(*place))
    }

    fn state(&mut self, address: &str, state: HostState) {
        if let Some(host) = self.host(address) {
            host.state = state;
        }
    }

    fn say(&mut self, at: Micros, text: String) {
        self.words.push_back((at, text));
        while self.words.len() > WORDS {
            self.words.pop_front();
        }
    }

    /// Of all tries that ended so far.
    pub fn sum(&self) -> Tally {
        self.tallies.iter().fold(Tally::default(), |a, b| Tally {
            served: a.served + b.served,
            old: a.old + b.old,
            refused: a.refused + b.refused,
            failed: a.failed + b.failed,
        })
    }
}
