//! Judges a run by the five rules, from what crossed the sockets ([`Sight`]s) and nothing else.
//!
//! A dispatcher's own word counts for nothing here. Each rule tells how many cases it looked at, so that one that
//! was never exercised shows, and each breach names its kind, the try and the moment.
#![forbid(unsafe_code)]

mod answers;
pub mod cold;
mod drains;
mod effects;
mod purges;
pub mod service;
pub mod sizes;
pub mod sums;
pub mod trace;

use crate::trace::{ClientAttemptId, TraceEntry, TraceEvent};
use pointspindle::Micros;
use pointspindle_scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A broken rule, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// What it is called: `silent`, `late`, `twice`, `after`, `wrong`, `double`, `repeat`, `drain`, `cold`, `purge`.
    pub kind: String,
    pub at_ms: f64,
    /// The try, where there is one.
    pub request: Option<String>,
    pub detail: String,
}

impl Violation {
    fn new(kind: &str, at: Micros, id: Option<ClientAttemptId>, detail: String) -> Self {
        let request = id.map(ClientAttemptId::trace);
        Self {
            kind: kind.into(),
            at_ms: at as f64 / 1e3,
            request,
            detail,
        }
    }
}

/// One rule's verdict.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleVerdict {
    pub name: String,
    #[serde(rename = "about")]
    pub description: String,
    /// Cases that could have broken it.
    #[serde(rename = "checked")]
    pub cases: u64,
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// What went wrong by nobody's breach of the rule: service was lost, and no dispatcher could have known.
    #[serde(default)]
    #[serde(rename = "unknowing")]
    pub undetectable: Vec<Violation>,
}

impl RuleVerdict {
    fn new(name: &str, about: &str) -> Self {
        Self {
            name: name.into(),
            description: about.into(),
            cases: 0,
            violations: Vec::new(),
            undetectable: Vec::new(),
        }
    }

    fn breach(&mut self, kind: &str, at: Micros, id: Option<ClientAttemptId>, detail: String) {
        self.violations.push(Violation::new(kind, at, id, detail));
    }

    /// How many breaches of each kind.
    pub fn kinds(&self) -> Vec<(String, usize)> {
        let mut counts: std::collections::BTreeMap<String, usize> = Default::default();
        for breach in &self.violations {
            *counts.entry(breach.kind.clone()).or_default() += 1;
        }
        counts.into_iter().collect()
    }
}

/// One attempt at a member, as its socket saw it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub host: String,
    pub by: usize,
    pub number: u32,
    pub from: Micros,
    /// None: never seen to end.
    pub to: Option<Micros>,
}

/// A try of a client with all that belongs to it.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    pub id: ClientAttemptId,
    pub dispatcher: usize,
    pub class: usize,
    pub number: u64,
    pub group: u64,
    pub asked: Micros,
    pub deadline: Micros,
    pub ends: Vec<(Micros, crate::trace::ClientOutcome)>,
    pub attempts: Vec<Attempt>,
}

/// The sights sorted by what they are about.
pub(crate) struct Evidence<'a> {
    pub scenario: &'a Scenario,
    pub sights: &'a [TraceEntry],
    pub tries: Vec<Try>,
    /// When each dispatcher was down.
    pub down: Vec<(usize, Micros, Micros)>,
    /// When each was told to stop, until it was gone: it answers what it had taken.
    pub stopping: Vec<(usize, Micros, Micros)>,
    /// When each stood still, and acted on what it had known before.
    pub hung: Vec<(usize, Micros, Micros)>,
    /// When each member was cut off in silence: no cancel reached it.
    pub parted: Vec<(String, Micros, Micros)>,
    /// When each zone was cut off from the others, and where members are.
    pub walled: Vec<(usize, Micros, Micros)>,
    pub zones: HashMap<String, usize>,
    pub slack: Micros,
    /// When the run was over.
    pub over: Micros,
}

impl<'a> Evidence<'a> {
    fn new(scenario: &'a Scenario, sights: &'a [TraceEntry]) -> Self {
        let mut tries: Vec<Try> = Vec::new();
        let mut places: HashMap<ClientAttemptId, usize> = HashMap::new();
        let mut down = Vec::new();
        let mut killed: HashMap<usize, Micros> = HashMap::new();
        let mut parted = Vec::new();
        let mut parting: HashMap<String, Micros> = HashMap::new();
        let (mut hung, mut hanging) = (Vec::new(), HashMap::new());
        let (mut stopping, mut stopped) = (Vec::new(), HashMap::new());
        let (mut walled, mut walling) = (Vec::new(), HashMap::new());
        let mut zones = HashMap::new();
        for sight in sights {
            let at = sight.at;
            let place = |id: &ClientAttemptId| places.get(id).copied();
            match &sight.event {
                TraceEvent::RequestSent {
                    id,
                    dispatcher,
                    class,
                    object_number: number,
                    group,
                    deadline,
                    ..
                } => {
                    places.insert(*id, tries.len());
                    tries.push(Try {
                        id: *id,
                        dispatcher: *dispatcher,
                        class: *class,
                        number: *number,
                        group: *group,
                        asked: at,
                        deadline: *deadline,
                        ends: vec![],
                        attempts: vec![],
                    });
                }
                TraceEvent::RequestEnded { id, outcome: end } => {
                    if let Some(n) = place(id) {
                        tries[n].ends.push((at, end.clone()));
                    }
                }
                TraceEvent::AttemptArrived {
                    host,
                    dispatcher: Some(by),
                    id: Some(id),
                    attempt,
                    ..
                } => {
                    if let Some(n) = place(id) {
                        let (host, by, number) = (host.clone(), *by, *attempt);
                        let attempt = Attempt {
                            host,
                            by,
                            number,
                            from: at,
                            to: None,
                        };
                        tries[n].attempts.push(attempt);
                    }
                }
                TraceEvent::AttemptEnded {
                    host,
                    id: Some(id),
                    attempt,
                    dispatcher: Some(_),
                    ..
                } => {
                    let Some(n) = place(id) else { continue };
                    let open = |a: &&mut Attempt| {
                        a.to.is_none() && a.host == *host && a.number == *attempt
                    };
                    if let Some(attempt) = tries[n].attempts.iter_mut().find(open) {
                        attempt.to = Some(at);
                    }
                }
                TraceEvent::HostPartitioned {
                    host,
                    partitioned: true,
                } => {
                    parting.insert(host.clone(), at);
                }
                TraceEvent::HostPartitioned {
                    host,
                    partitioned: false,
                } => {
                    if let Some(from) = parting.remove(host) {
                        parted.push((host.clone(), from, at));
                    }
                }
                TraceEvent::DispatcherKilled { dispatcher } => {
                    killed.entry(*dispatcher).or_insert(at);
                    hung.extend(
                        hanging
                            .remove(dispatcher)
                            .map(|from| (*dispatcher, from, at)),
                    );
                }
                TraceEvent::DispatcherStarted { dispatcher } => {
                    if let Some(from) = killed.remove(dispatcher) {
                        down.push((*dispatcher, from, at));
                    }
                    if let Some(from) = stopped.remove(dispatcher) {
                        stopping.push((*dispatcher, from, at));
                    }
                }
                TraceEvent::HostDeclared { host, zone, .. } => {
                    _ = zones.insert(host.clone(), *zone)
                }
                TraceEvent::DispatcherStopping { dispatcher } => {
                    _ = stopped.insert(*dispatcher, at)
                }
                TraceEvent::DispatcherPaused {
                    dispatcher,
                    paused: true,
                } => _ = hanging.insert(*dispatcher, at),
                TraceEvent::DispatcherPaused {
                    dispatcher,
                    paused: false,
                } => {
                    hung.extend(
                        hanging
                            .remove(dispatcher)
                            .map(|from| (*dispatcher, from, at)),
                    );
                }
                TraceEvent::ZonePartitioned {
                    zone,
                    partitioned: true,
                } => _ = walling.insert(*zone, at),
                TraceEvent::ZonePartitioned {
                    zone,
                    partitioned: false,
                } => {
                    walled.extend(walling.remove(zone).map(|from| (*zone, from, at)));
                }
                _ => {}
            }
        }
        let over = sights.last().map_or(0, |s| s.at);
        down.extend(
            killed
                .into_iter()
                .map(|(dispatcher, from)| (dispatcher, from, over)),
        );
        parted.extend(parting.into_iter().map(|(host, from)| (host, from, over)));
        hung.extend(
            hanging
                .into_iter()
                .map(|(dispatcher, from)| (dispatcher, from, over)),
        );
        stopping.extend(
            stopped
                .into_iter()
                .map(|(dispatcher, from)| (dispatcher, from, over)),
        );
        walled.extend(walling.into_iter().map(|(zone, from)| (zone, from, over)));
        let slack = scenario.limits.rules.timing_tolerance;
        #[rustfmt::skip]
        return Self {
            scenario, sights, tries, down, stopping, hung, parted, walled, zones, slack, over,
        };
    }

    /// Whether the member was cut off in silence from this dispatcher at some time in a span.
    pub fn was_parted(&self, by: usize, host: &str, from: Micros, to: Micros) -> bool {
        let slack = self.slack;
        let within = |a: Micros, b: Micros| a <= to + slack && from <= b + slack;
        let (here, there) = (
            self.scenario.branch_of_dispatcher(by),
            self.zones.get(host).copied(),
        );
        let across = |zone: usize| (zone == here) != (Some(zone) == there);
        self.parted
            .iter()
            .any(|(h, a, b)| h == host && within(*a, *b))
            || self
                .walled
                .iter()
                .any(|(zone, a, b)| across(*zone) && within(*a, *b))
    }

    /// Whether the dispatcher was killed, away, or stood still, at some time in a span.
    pub fn was_down(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        let slack = self.slack;
        let mut spans = self.down.iter().chain(&self.hung);
        spans.any(|(d, a, b)| *d == dispatcher && *a <= to + slack && from <= *b + slack)
    }

    /// Whether it had been told to stop when it was asked: it may have been gone before it read that.
    pub fn was_stopping(&self, dispatcher: usize, asked: Micros) -> bool {
        let slack = self.slack;
        self.stopping
            .iter()
            .any(|(d, a, b)| *d == dispatcher && *a <= asked + slack && asked <= *b + slack)
    }

    /// When a dispatcher that was told something could read it: not while it stands still.
    pub fn awake(&self, dispatcher: usize, at: Micros) -> Micros {
        let asleep = self
            .hung
            .iter()
            .find(|(d, a, b)| *d == dispatcher && *a <= at + self.slack && at <= *b);
        asleep.map_or(at, |(_, _, until)| at.max(*until))
    }
}

/// Members that were pushed over while cold, whoever knew of their start.
pub fn count_cold_crashes(sights: &[TraceEntry]) -> usize {
    let cold = |s: &&TraceEntry| matches!(&s.event, TraceEvent::HostCrashed { reason: why, .. } if why.contains("cold"));
    sights.iter().filter(cold).count()
}

/// All five rules over a run. `effects` says how often each piece of work has run, as the origin counted.
pub fn judge(
    scenario: &Scenario,
    sights: &[TraceEntry],
    effects: &[(String, u32)],
) -> Vec<RuleVerdict> {
    let evidence = Evidence::new(scenario, sights);
    vec![
        answers::judge(&evidence),
        effects::judge(&evidence, effects),
        drains::judge(&evidence),
        cold::judge(&evidence),
        purges::judge(&evidence),
    ]
}
