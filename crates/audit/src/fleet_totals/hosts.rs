//! The load of hosts from all dispatchers together.
use crate::trace::{TraceEntry, TraceEvent};
use pointspindle::Micros;
use pointspindle_cache_model::Role;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Interval over which attempts are counted, and time after a host's start for which it counts as just restarted.
const SECOND_US: Micros = 1_000_000;

/// The highest load of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Peak {
    /// Address of the host.
    pub host: String,
    /// Time of the highest load, in seconds since the start of the run.
    pub at_s: f64,
    /// Number of attempts in flight, or of attempts within a second.
    pub count: u64,
    /// The count per unit of the host's weight.
    pub by_weight: f64,
    /// Number of dispatchers that sent a part of the load.
    pub dispatchers: u64,
}

impl Peak {
    fn update(&mut self, host: Host, at: Micros, by_dispatcher: &HashMap<usize, u64>) {
        let count: u64 = by_dispatcher.values().sum();
        let by_weight = count as f64 / host.weight.max(1e-9);
        if by_weight > self.by_weight {
            *self = Self {
                host: host.address.to_owned(),
                at_s: at as f64 / 1e6,
                count,
                by_weight,
                dispatchers: by_dispatcher.values().filter(|n| **n > 0).count() as u64,
            };
        }
    }
}

/// The highest loads among the hosts of a role.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleTotals {
    /// Name of the role.
    pub role: String,
    /// Highest number of attempts in flight at one host.
    #[serde(rename = "under_way")]
    pub in_flight: Peak,
    /// Highest number of attempts at one host within a second.
    pub attempts: Peak,
    /// Highest number of attempts at one host within the first second after its restart.
    #[serde(rename = "returned")]
    pub after_restart: Peak,
}

/// A host as declared in the trace.
#[derive(Clone, Copy)]
struct Host<'a> {
    address: &'a str,
    role: Role,
    weight: f64,
}

/// The load of a host, by dispatcher.
#[derive(Default)]
struct HostLoad {
    in_flight: HashMap<usize, u64>,
    second_start: Micros,
    arrived_in_second: HashMap<usize, u64>,
    restarted: Option<Micros>,
}

impl HostLoad {
    fn arrived(&mut self, at: Micros, dispatcher: usize) {
        *self.in_flight.entry(dispatcher).or_default() += 1;
        if at >= self.second_start + SECOND_US {
            self.second_start = at;
            self.arrived_in_second.clear();
        }
        *self.arrived_in_second.entry(dispatcher).or_default() += 1;
    }

    fn ended(&mut self, dispatcher: usize) {
        if let Some(count) = self.in_flight.get_mut(&dispatcher) {
            *count = count.saturating_sub(1);
        }
    }

    fn has_just_restarted(&self, at: Micros) -> bool {
        self.restarted
            .is_some_and(|restarted| at < restarted + SECOND_US)
    }
}

#[derive(Default)]
struct LoadMeasurement<'a> {
    hosts: HashMap<&'a str, Host<'a>>,
    loads: HashMap<&'a str, HostLoad>,
    roles: BTreeMap<&'a str, RoleTotals>,
}

/// Measures the highest loads by role, in the order of the roles' names.
pub(super) fn measure(trace: &[TraceEntry]) -> Vec<RoleTotals> {
    let mut measurement = LoadMeasurement::default();
    for entry in trace {
        measurement.event(entry.at, &entry.event);
    }
    let named = |(role, totals): (&str, RoleTotals)| RoleTotals {
        role: role.into(),
        ..totals
    };
    measurement.roles.into_iter().map(named).collect()
}

impl<'a> LoadMeasurement<'a> {
    fn event(&mut self, at: Micros, event: &'a TraceEvent) {
        match event {
            TraceEvent::HostDeclared {
                host, role, weight, ..
            } => {
                let declared = Host {
                    address: host,
                    role: *role,
                    weight: *weight,
                };
                self.hosts.insert(host, declared);
            }
            TraceEvent::HostStarted {
                host, cold: true, ..
            } => {
                let load = HostLoad {
                    restarted: Some(at),
                    ..HostLoad::default()
                };
                self.loads.insert(host, load);
            }
            TraceEvent::AttemptArrived {
                host,
                dispatcher: Some(dispatcher),
                ..
            } => self.attempt_arrived(at, host, *dispatcher),
            TraceEvent::AttemptEnded {
                host,
                dispatcher: Some(dispatcher),
                ..
            } => {
                if let Some(load) = self.loads.get_mut(host.as_str()) {
                    load.ended(*dispatcher);
                }
            }
            _ => {}
        }
    }

    fn attempt_arrived(&mut self, at: Micros, address: &'a str, dispatcher: usize) {
        let Some(host) = self.hosts.get(address).copied() else {
            return;
        };
        let load = self.loads.entry(address).or_default();
        load.arrived(at, dispatcher);
        let totals = self.roles.entry(host.role.name()).or_default();
        totals.in_flight.update(host, at, &load.in_flight);
        totals.attempts.update(host, at, &load.arrived_in_second);
        if load.has_just_restarted(at) {
            totals
                .after_restart
                .update(host, at, &load.arrived_in_second);
        }
    }
}
