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

use crate::trace::{Saw, Sight, TryId};
use pointspindle_scenario::Scenario;
use pointspindle::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A broken rule, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// What it is called: `silent`, `late`, `twice`, `after`, `wrong`, `double`, `repeat`, `drain`, `cold`, `purge`.
    pub kind: String,
    pub at_ms: f64,
    /// The try, where there is one.
    pub request: Option<String>,
    pub detail: String,
}

impl Breach {
    fn new(kind: &str, at: Micros, id: Option<TryId>, detail: String) -> Self {
        let request = id.map(TryId::trace);
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
pub struct Rule {
    pub name: String,
    pub about: String,
    /// Cases that could have broken it.
    pub checked: u64,
    pub breaches: Vec<Breach>,
    /// What went wrong by nobody's breach of the rule: service was lost, and no dispatcher could have known.
    #[serde(default)]
    pub unknowing: Vec<Breach>,
}

impl Rule {
    fn new(name: &str, about: &str) -> Self {
        Self {
            name: name.into(),
            about: about.into(),
            checked: 0,
            breaches: Vec::new(),
            unknowing: Vec::new(),
        }
    }

    fn breach(&mut self, kind: &str, at: Micros, id: Option<TryId>, detail: String) {
        self.breaches.push(Breach::new(kind, at, id, detail));
    }

    /// How many breaches of each kind.
    pub fn kinds(&self) -> Vec<(String, usize)> {
        let mut counts: std::collections::BTreeMap<String, usize> = Default::default();
        for breach in &self.breaches {
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
    pub id: TryId,
    pub dispatcher: usize,
    pub class: usize,
    pub number: u64,
    pub group: u64,
    pub asked: Micros,
    pub deadline: Micros,
    pub ends: Vec<(Micros, crate::trace::End)>,
    pub attempts: Vec<Attempt>,
}

/// The sights sorted by what they are about.
pub(crate) struct Evidence<'a> {
    pub scenario: &'a Scenario,
    pub sights: &'a [Sight],
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
    fn new(scenario: &'a Scenario, sights: &'a [Sight]) -> Self {
        let mut tries: Vec<Try> = Vec::new();
        let mut places: HashMap<TryId, usize> = HashMap::new();
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
            let place = |id: &TryId| places.get(id).copied();
            match &sight.saw {
                Saw::Asked {
                    id,
                    dispatcher,
                    class,
                    number,
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
                Saw::Ended { id, end } => {
                    if let Some(n) = place(id) {
                        tries[n].ends.push((at, end.clone()));
                    }
                }
                Saw::Reached {
                    host,
                    by: Some(by),
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
                Saw::Gone {
                    host,
                    id: Some(id),
                    attempt,
                    by: Some(_),
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
                Saw::Parted { host, parted: true } => {
                    parting.insert(host.clone(), at);
                }
                Saw::Parted {
                    host,
                    parted: false,
                } => {
                    if let Some(from) = parting.remove(host) {
                        parted.push((host.clone(), from, at));
                    }
                }
                Saw::Killed { dispatcher } => {
                    killed.entry(*dispatcher).or_insert(at);
                    hung.extend(
                        hanging
                            .remove(dispatcher)
                            .map(|from| (*dispatcher, from, at)),
                    );
                }
                Saw::Born { dispatcher } => {
                    if let Some(from) = killed.remove(dispatcher) {
                        down.push((*dispatcher, from, at));
                    }
                    if let Some(from) = stopped.remove(dispatcher) {
                        stopping.push((*dispatcher, from, at));
                    }
                }
                Saw::Member { host, zone, .. } => _ = zones.insert(host.clone(), *zone),
                Saw::Stopping { dispatcher } => _ = stopped.insert(*dispatcher, at),
                Saw::Hung {
                    dispatcher,
                    hung: true,
                } => _ = hanging.insert(*dispatcher, at),
                Saw::Hung {
                    dispatcher,
                    hung: false,
                } => {
                    hung.extend(
                        hanging
                            .remove(dispatcher)
                            .map(|from| (*dispatcher, from, at)),
                    );
                }
                Saw::Walled { zone, walled: true } => _ = walling.insert(*zone, at),
                Saw::Walled {
                    zone,
                    walled: false,
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
        let slack = scenario.rules.slack;
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
pub fn fallen(sights: &[Sight]) -> usize {
    let cold = |s: &&Sight| matches!(&s.saw, Saw::Fell { why, .. } if why.contains("cold"));
    sights.iter().filter(cold).count()
}

/// All five rules over a run. `effects` says how often each piece of work has run, as the origin counted.
pub fn judge(scenario: &Scenario, sights: &[Sight], effects: &[(String, u32)]) -> Vec<Rule> {
    let evidence = Evidence::new(scenario, sights);
    vec![
        answers::judge(&evidence),
        effects::judge(&evidence, effects),
        drains::judge(&evidence),
        cold::judge(&evidence),
        purges::judge(&evidence),
    ]
}
