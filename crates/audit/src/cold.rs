//! Rule: a cold member is not pushed over, by all dispatchers together. Counted anew from what reached its socket.
//!
//! A dispatcher that has not been told of the start cannot be held to it: the rule is broken where two thirds of a
//! window's work came from dispatchers that had been told, a fill counting as its dispatcher's. Hosts that fell over
//! before that are counted beside it (`unknowing`): their service is lost all the same.
use super::{Evidence, RuleVerdict, Violation};
use crate::trace::TraceEvent;
use pointspindle::Micros;
use pointspindle_cache_model::cold::ROUNDING_TOLERANCE;
use pointspindle_cache_model::Role;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Share of a window's work from dispatchers that knew, at which it is theirs.
const KNEW: f64 = 2.0 / 3.0;

/// The most that a cold member was sent by all together, in requests of mean work: N are what its settings allow in a window. It
/// falls over, and the rule is judged, right there; operators let the sum of all come to N + 2 x root of N + 2 (`most`).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdPeak {
    pub host: String,
    pub at_s: f64,
    /// In requests of mean work.
    pub requests: f64,
    pub allowed: f64,
    pub most: f64,
    /// Share of it from dispatchers that had been told of the start, and how many had a part in it.
    pub knew: f64,
    pub dispatchers: u64,
}

impl ColdPeak {
    /// Nearer to its bound than the other.
    fn worse(&self, other: &Self) -> bool {
        self.requests * other.most > other.requests * self.most || other.most == 0.0
    }
}

struct Sent {
    at: Micros,
    by: Option<usize>,
    work: f64,
    knew: bool,
}

struct Cold {
    started: Micros,
    /// Which start of the member it is.
    start: u64,
    /// A window's worth.
    sent: Vec<Sent>,
    /// Dispatchers that were told of this start, and when.
    told: HashMap<usize, Micros>,
    over: bool,
}

impl Cold {
    fn knew(&self) -> f64 {
        let all: f64 = self.sent.iter().map(|s| s.work).sum();
        let knew: f64 = self.sent.iter().filter(|s| s.knew).map(|s| s.work).sum();
        knew / all.max(1e-9)
    }
}

pub(super) fn judge(e: &Evidence) -> RuleVerdict {
    look(e).0
}

/// The rule, and the worst sum of each kind: by whom it was known of, and else.
pub(super) fn look(e: &Evidence) -> (RuleVerdict, ColdPeak, ColdPeak) {
    let (mut knowing, mut unknowing) = (ColdPeak::default(), ColdPeak::default());
    let mean = e.scenario.mean_work();
    let mut rule = RuleVerdict::new(
        "cold",
        "no cold member is sent more than it bears, by all together",
    );
    let models = e.scenario.class_models();
    let hosts = e.hosts();
    let asked: HashMap<_, _> = e.tries.iter().map(|t| (t.id, t.dispatcher)).collect();
    let mut cold: HashMap<String, Cold> = HashMap::new();
    for sight in e.sights {
        match &sight.event {
            TraceEvent::HostStarted {
                host,
                cold: true,
                incarnation: start,
            } => {
                let (sent, told) = Default::default();
                let (started, start) = (sight.at, *start);
                cold.insert(
                    host.clone(),
                    Cold {
                        started,
                        start,
                        sent,
                        told,
                        over: false,
                    },
                );
            }
            TraceEvent::EndpointListDelivered {
                dispatcher,
                ready,
                incarnations: starts,
                ..
            } => {
                for (host, start) in ready.iter().zip(starts) {
                    // Word of the start before this one, come late, tells nothing of this one.
                    if let Some(member) = cold.get_mut(host).filter(|m| *start >= m.start) {
                        member
                            .told
                            .entry(*dispatcher)
                            .or_insert(e.awake(*dispatcher, sight.at));
                    }
                }
            }
            TraceEvent::DispatcherKilled { dispatcher } => {
                for member in cold.values_mut() {
                    member.told.remove(dispatcher);
                }
            }
            TraceEvent::HostCrashed { host, reason: why } => {
                let Some(member) = cold.remove(host) else {
                    continue;
                };
                if why.contains("cold") {
                    let detail = format!("{host} fell over: {why}");
                    file(
                        &mut rule,
                        &member,
                        Violation::new("cold", sight.at, None, detail),
                    );
                }
            }
            TraceEvent::AttemptArrived {
                host,
                class,
                id,
                dispatcher: by,
                ..
            } => {
                let (Some(member), Some((role, weight))) = (cold.get_mut(host), hosts.get(host))
                else {
                    continue;
                };
                let spec = e.scenario.warm_up_spec(*role);
                if sight.at > member.started + spec.total_duration() {
                    continue;
                }
                rule.cases += 1;
                let work = models
                    .get(*class)
                    .map_or(0.0, |c| c.mean_transfer_time as f64 / 1e6);
                let by = by.or_else(|| id.and_then(|id| asked.get(&id).copied()));
                let told = by.and_then(|by| member.told.get(&by));
                let knew = told.is_some_and(|told| sight.at >= told + e.slack);
                member.sent.push(Sent {
                    at: sight.at,
                    by,
                    work,
                    knew,
                });
                let from = sight.at.saturating_sub(spec.overload_window);
                member.sent.retain(|s| s.at > from);
                let sum: f64 = member.sent.iter().map(|s| s.work).sum();
                let share = spec.share_after(from.saturating_sub(member.started));
                let budget =
                    spec.overload_factor * share * weight * spec.overload_window as f64 / 1e6;
                let allowed = budget / mean;
                let peak = ColdPeak {
                    host: host.clone(),
                    at_s: sight.at as f64 / 1e6,
                    requests: sum / mean,
                    allowed,
                    most: allowed + 2.0 * allowed.sqrt() + 2.0,
                    knew: member.knew(),
                    dispatchers: 0,
                };
                let of = if peak.knew >= KNEW {
                    &mut knowing
                } else {
                    &mut unknowing
                };
                if peak.worse(of) {
                    let by: HashSet<_> = member.sent.iter().filter_map(|s| s.by).collect();
                    *of = ColdPeak {
                        dispatchers: by.len() as u64,
                        ..peak
                    };
                }
                if sum > budget * ROUNDING_TOLERANCE && !member.over {
                    member.over = true;
                    let detail = format!(
                        "{host} was sent {sum:.2} s of work in a window for {budget:.2} s, {:.0}% of it by dispatchers told of its start",
                        100.0 * member.knew()
                    );
                    file(
                        &mut rule,
                        member,
                        Violation::new("cold", sight.at, *id, detail),
                    );
                }
            }
            _ => {}
        }
    }
    (rule, knowing, unknowing)
}

fn file(rule: &mut RuleVerdict, member: &Cold, breach: Violation) {
    if member.knew() >= KNEW {
        rule.violations.push(breach);
    } else {
        rule.undetectable.push(breach);
    }
}

impl Evidence<'_> {
    /// Role and weight of every member by address, from the scenario and the run's own list of addresses.
    fn hosts(&self) -> HashMap<String, (Role, f64)> {
        self.sights
            .iter()
            .filter_map(|s| match &s.event {
                TraceEvent::HostDeclared {
                    host, role, weight, ..
                } => Some((host.clone(), (*role, *weight))),
                _ => None,
            })
            .collect()
    }
}
