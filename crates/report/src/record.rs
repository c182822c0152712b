//! What is kept of a run: figures, time series by second, the script's bands. No times of the machine, so that the same
//! seed gives the same bytes.
use hdrhistogram::Histogram;
use pointspindle::Micros;
use pointspindle_audit::service::Service;
use pointspindle_audit::trace::{ClientOutcome, TraceEntry, TraceEvent};
use pointspindle_audit::{count_cold_crashes, RuleVerdict};
use pointspindle_scenario::script::{FaultKind, FaultSpec};
use pointspindle_scenario::{Scenario, SettingOverride};
use pointspindle_simulator as simulator;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Form of a run's file; another number: another form.
pub const FORM: u32 = 1;

/// Seconds in which the retries of a restart's broken requests are a load on others.
const AFTERMATH: f64 = 5.0;

/// A trouble of the script, for bands in plots. Seconds from the day's start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Band {
    pub name: String,
    pub kind: String,
    pub from_s: f64,
    pub to_s: f64,
}

/// A member's load: work that reached it in each second, over what its link carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    pub address: String,
    pub role: String,
    pub zone: String,
    pub load: Vec<f32>,
    /// Seconds at which its process ended or began.
    pub fell: Vec<f64>,
    pub started: Vec<f64>,
}

/// How tries ended in a second, and how long the served ones took.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    pub served: u64,
    pub old: u64,
    pub refused: u64,
    pub failed: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    pub form: u32,
    pub scenario: String,
    pub about: String,
    pub seed: u64,
    pub seconds: f64,
    pub warm_s: f64,
    pub sets: Vec<SettingOverride>,
    /// In virtual time, or on sockets.
    pub in_virtual_time: bool,
    pub service: Service,
    pub rules: Vec<RuleVerdict>,
    /// Members that were pushed over while cold, whoever knew of their start.
    pub fallen: usize,
    pub bands: Vec<Band>,
    pub by_second: Vec<Second>,
    pub hosts: Vec<Host>,
}

impl Run {
    /// Plays a day in virtual time and keeps what it came to.
    pub fn play(
        scenario: &Scenario,
        sets: &[SettingOverride],
    ) -> Result<(Self, simulator::Outcome), String> {
        let outcome = simulator::run(scenario, None)?;
        Ok((
            Self::new(
                scenario,
                sets,
                true,
                &outcome.service,
                &outcome.rules,
                &outcome.trace,
            ),
            outcome,
        ))
    }

    pub fn new(
        scenario: &Scenario,
        sets: &[SettingOverride],
        in_virtual_time: bool,
        service: &Service,
        rules: &[RuleVerdict],
        sights: &[TraceEntry],
    ) -> Self {
        let band = |t: &FaultSpec| Band {
            name: t.name.clone(),
            kind: t.kind.name().into(),
            from_s: t.at as f64 / 1e6,
            to_s: (t.at + span(t)) as f64 / 1e6,
        };
        Self {
            form: FORM,
            scenario: scenario.name.clone(),
            about: scenario.description.clone(),
            seed: scenario.seed,
            seconds: scenario.duration_s,
            warm_s: scenario.workload.warm_up as f64 / 1e6,
            sets: sets.to_vec(),
            in_virtual_time,
            service: service.clone(),
            rules: rules.to_vec(),
            fallen: count_cold_crashes(sights),
            bands: scenario.faults.iter().map(band).collect(),
            by_second: seconds(scenario, sights),
            hosts: hosts(scenario, sights),
        }
    }

    /// What restarts put on others: the highest load in any second of the [`AFTERMATH`] after a cold start, of caches that
    /// have long been warm and of parents.
    pub fn aftermath(&self) -> (f64, f64) {
        let starts: Vec<f64> = self
            .hosts
            .iter()
            .flat_map(|h| h.started.iter().copied())
            .collect();
        let near = |second: f64| {
            starts
                .iter()
                .any(|at| second + 1.0 > *at && second < at + AFTERMATH)
        };
        let warm = |h: &Host, second: f64| {
            !h.started
                .iter()
                .any(|at| second >= *at && second < at + 2.0 * AFTERMATH)
        };
        let highest = |role: &str| {
            let of = |h: &Host| {
                let load = h
                    .load
                    .iter()
                    .enumerate()
                    .map(|(n, load)| (n as f64, *load as f64));
                let counts = load.filter(|(second, _)| near(*second) && warm(h, *second));
                counts.map(|(_, load)| load).fold(0.0, f64::max)
            };
            self.hosts
                .iter()
                .filter(|h| h.role == role)
                .map(of)
                .fold(0.0, f64::max)
        };
        (highest("cache"), highest("parent"))
    }

    pub fn breaches(&self) -> usize {
        self.rules.iter().map(|r| r.violations.len()).sum()
    }

    /// Of one kind of rule.
    pub fn breaches_of(&self, rule: &str) -> usize {
        self.rules
            .iter()
            .filter(|r| r.name == rule)
            .map(|r| r.violations.len())
            .sum()
    }
}

/// How long a trouble strikes; some kinds have no length of their own.
fn span(t: &FaultSpec) -> Micros {
    match t.kind {
        FaultKind::Purge => 0,
        FaultKind::HubRestart => t.downtime,
        FaultKind::RollingRestart | FaultKind::KillDispatchers | FaultKind::Ageing => {
            t.duration + t.downtime
        }
        FaultKind::PauseDispatchers | FaultKind::StopDispatchers => t.duration + t.downtime,
        _ => t.duration,
    }
}

fn seconds(scenario: &Scenario, sights: &[TraceEntry]) -> Vec<Second> {
    let count = scenario.duration_s.ceil() as usize;
    let blank = || Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds");
    let mut out = vec![Second::default(); count];
    let mut times: Vec<Histogram<u64>> = (0..count).map(|_| blank()).collect();
    let mut asked = HashMap::new();
    for sight in sights {
        match &sight.event {
            TraceEvent::RequestSent { id, .. } => {
                asked.insert(*id, sight.at);
            }
            TraceEvent::RequestEnded { id, outcome: end } => {
                let Some(began) = asked.remove(id) else {
                    continue;
                };
                // By the second in which it was asked for: a late answer belongs to its cause.
                let Some(second) = out.get_mut((began / 1_000_000) as usize) else {
                    continue;
                };
                match end {
                    ClientOutcome::Served {
                        version: Some(_),
                        stale: old,
                        ..
                    } => {
                        second.served += 1;
                        second.old += *old as u64;
                        let took = sight.at.saturating_sub(began).max(1);
                        let _ = times[(began / 1_000_000) as usize].record(took);
                    }
                    ClientOutcome::Rejected { .. } => second.refused += 1,
                    ClientOutcome::Cancelled => {}
                    _ => second.failed += 1,
                }
            }
            _ => {}
        }
    }
    for (second, times) in out.iter_mut().zip(&times) {
        second.p50_ms = times.value_at_quantile(0.5) as f64 / 1e3;
        second.p99_ms = times.value_at_quantile(0.99) as f64 / 1e3;
    }
    out
}

fn hosts(scenario: &Scenario, sights: &[TraceEntry]) -> Vec<Host> {
    let zones = scenario.zones();
    let models = scenario.class_models();
    let count = scenario.duration_s.ceil() as usize;
    let mut places: HashMap<&str, (usize, f64)> = HashMap::new();
    let mut out: Vec<Host> = Vec::new();
    for sight in sights {
        let at = sight.at as f64 / 1e6;
        match &sight.event {
            TraceEvent::HostDeclared {
                host,
                role,
                zone,
                weight,
            } => {
                places.insert(host, (out.len(), *weight));
                out.push(Host {
                    address: host.clone(),
                    role: role.name().into(),
                    zone: zones.get(*zone).cloned().unwrap_or_default(),
                    load: vec![0.0; count],
                    fell: Vec::new(),
                    started: Vec::new(),
                });
            }
            TraceEvent::AttemptArrived { host, class, .. } => {
                let Some((place, weight)) = places.get(host.as_str()) else {
                    continue;
                };
                let work = models
                    .get(*class)
                    .map_or(0.0, |c| c.mean_transfer_time as f64 / 1e6);
                if let Some(load) = out[*place].load.get_mut(at as usize) {
                    *load += (work / weight.max(1e-6)) as f32;
                }
            }
            TraceEvent::HostCrashed { host, .. } => {
                if let Some((place, _)) = places.get(host.as_str()) {
                    out[*place].fell.push(at);
                }
            }
            TraceEvent::HostStarted {
                host, cold: true, ..
            } => {
                if let Some((place, _)) = places.get(host.as_str()) {
                    out[*place].started.push(at);
                }
            }
            _ => {}
        }
    }
    out
}
