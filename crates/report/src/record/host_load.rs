//! Measures the load of each host by second.
use pointspindle_audit::class_work::ClassWork;
use pointspindle_audit::trace::{TraceEntry, TraceEvent};
use pointspindle_scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A host's load over a run. Times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostTimeline {
    /// Address of the host.
    pub address: String,
    /// Name of the host's role.
    pub role: String,
    /// Name of the host's zone.
    pub zone: String,
    /// Work that arrived in each second, relative to the capacity of the host's link.
    pub load: Vec<f32>,
    /// Times at which the host's process crashed.
    #[serde(rename = "fell")]
    pub crashed: Vec<f64>,
    /// Times at which the host's process was restarted.
    pub started: Vec<f64>,
}

impl HostTimeline {
    /// Whether the host restarted less than `within_s` seconds before `second`.
    pub(super) fn restarted_within(&self, second: f64, within_s: f64) -> bool {
        self.started
            .iter()
            .any(|at| second >= *at && second < at + within_s)
    }
}

/// Index of a host in the list of timelines, with the host's weight.
#[derive(Clone, Copy)]
struct HostIndex {
    index: usize,
    weight: f64,
}

struct LoadMeasurement<'a> {
    zone_names: Vec<String>,
    class_work: ClassWork,
    seconds: usize,
    indices: HashMap<&'a str, HostIndex>,
    hosts: Vec<HostTimeline>,
}

/// Returns the timeline of each host, in the order of their declaration.
pub(super) fn measure(scenario: &Scenario, trace: &[TraceEntry]) -> Vec<HostTimeline> {
    let mut measurement = LoadMeasurement {
        zone_names: scenario.zones(),
        class_work: ClassWork::of(scenario),
        seconds: scenario.duration_s.ceil() as usize,
        indices: HashMap::new(),
        hosts: Vec::new(),
    };
    for entry in trace {
        measurement.observe(entry.at as f64 / 1e6, &entry.event);
    }
    measurement.hosts
}

impl<'a> LoadMeasurement<'a> {
    fn observe(&mut self, at_s: f64, event: &'a TraceEvent) {
        match event {
            TraceEvent::HostDeclared {
                host,
                role,
                zone,
                weight,
            } => {
                let index = HostIndex {
                    index: self.hosts.len(),
                    weight: *weight,
                };
                self.indices.insert(host, index);
                self.hosts.push(HostTimeline {
                    address: host.clone(),
                    role: role.name().into(),
                    zone: self.zone_names.get(*zone).cloned().unwrap_or_default(),
                    load: vec![0.0; self.seconds],
                    crashed: Vec::new(),
                    started: Vec::new(),
                });
            }
            TraceEvent::AttemptArrived { host, class, .. } => {
                self.attempt_arrived(at_s, host, *class);
            }
            TraceEvent::HostCrashed { host, .. } => {
                if let Some(timeline) = self.timeline(host) {
                    timeline.crashed.push(at_s);
                }
            }
            TraceEvent::HostStarted {
                host, cold: true, ..
            } => {
                if let Some(timeline) = self.timeline(host) {
                    timeline.started.push(at_s);
                }
            }
            _ => {}
        }
    }

    fn timeline(&mut self, host: &str) -> Option<&mut HostTimeline> {
        let index = self.indices.get(host)?.index;
        self.hosts.get_mut(index)
    }

    fn attempt_arrived(&mut self, at_s: f64, host: &str, class: usize) {
        let Some(host) = self.indices.get(host).copied() else {
            return;
        };
        let work_s = self.class_work.seconds(class);
        if let Some(load) = self.hosts[host.index].load.get_mut(at_s as usize) {
            *load += (work_s / host.weight.max(1e-6)) as f32;
        }
    }
}
