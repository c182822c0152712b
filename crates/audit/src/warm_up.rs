//! Rule `cold`: all dispatchers together do not overload a host that is warming up. The load is computed from the
//! attempts and fills that arrived at the host's socket.
//!
//! A dispatcher can only avoid an overload if it knows of the host's start. The rule is violated if at least two thirds
//! of a window's work came from dispatchers that knew; a fill counts as work of its request's dispatcher. Other
//! overloads are reported as undetectable, because they cost service as well.
use crate::class_work::ClassWork;
use crate::evidence::Evidence;
use crate::trace::{ClientAttemptId, TraceEvent};
use crate::verdict::{RuleVerdict, Violation};
use pointspindle::Micros;
use pointspindle_cache_model::warm_up::{WarmUpSpec, OVERLOAD_THRESHOLD};
use pointspindle_cache_model::Role;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Minimum share of a window's work from dispatchers that knew of the start, for an overload to violate the rule.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;

/// The highest load of a warming host within a window, from all dispatchers together, in requests of mean work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmUpPeak {
    /// Address of the host.
    pub host: String,
    /// Time of the highest load, in seconds since the start of the run.
    pub at_s: f64,
    /// Number of requests that arrived within the window.
    pub requests: f64,
    /// Number of requests that the host's settings allow in a window: N. Above it, the host crashes and the rule is
    /// violated.
    pub allowed: f64,
    /// The operators' bound on the number of requests: N + 2√N + 2.
    #[serde(rename = "most")]
    pub bound: f64,
    /// Share of the load from dispatchers that knew of the start.
    #[serde(rename = "knew")]
    pub informed_share: f64,
    /// Number of dispatchers that sent a part of the load.
    pub dispatchers: u64,
}

impl WarmUpPeak {
    /// Whether this load is closer to its bound, or further above it, than `other`.
    fn is_worse_than(&self, other: &Self) -> bool {
        self.requests * other.bound > other.requests * self.bound || other.bound == 0.0
    }
}

/// Verdict on the rule, and peak loads of hosts during warm-up.
pub(super) struct WarmUpFindings {
    pub rule: RuleVerdict,
    /// The worst peak with at least [`MIN_INFORMED_SHARE`] of its work from dispatchers that knew of the start.
    pub informed: WarmUpPeak,
    /// The worst of the other peaks.
    pub uninformed: WarmUpPeak,
}

/// Judges the rule over a run.
pub(super) fn judge(evidence: &Evidence) -> RuleVerdict {
    measure(evidence).rule
}

/// Judges the rule, and measures the peak loads of warming hosts.
pub(super) fn measure(evidence: &Evidence) -> WarmUpFindings {
    let mut audit = WarmUpAudit::new(evidence);
    for entry in evidence.trace {
        audit.event(entry.at, &entry.event);
    }
    audit.findings
}

/// Work that arrived at a warming host.
struct Arrival {
    at: Micros,
    dispatcher: Option<usize>,
    work_s: f64,
    /// Whether the dispatcher knew of the start.
    informed: bool,
}

/// An event [`TraceEvent::AttemptArrived`] of the trace.
struct ArrivalEvent<'a> {
    at: Micros,
    host: &'a str,
    class: usize,
    id: Option<ClientAttemptId>,
    dispatcher: Option<usize>,
}

struct WarmingHost {
    started: Micros,
    incarnation: u64,
    /// Arrivals of the current window.
    arrivals: Vec<Arrival>,
    /// Time since which each dispatcher knows of this incarnation.
    informed_at: HashMap<usize, Micros>,
    /// Whether an overload of this incarnation has been reported; only the first one is.
    overload_reported: bool,
}

impl WarmingHost {
    fn work_s(&self) -> f64 {
        self.arrivals.iter().map(|arrival| arrival.work_s).sum()
    }

    fn informed_share(&self) -> f64 {
        let informed: f64 = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.informed)
            .map(|arrival| arrival.work_s)
            .sum();
        informed / self.work_s().max(1e-9)
    }

    fn dispatcher_count(&self) -> u64 {
        let dispatchers: HashSet<usize> = self
            .arrivals
            .iter()
            .filter_map(|arrival| arrival.dispatcher)
            .collect();
        dispatchers.len() as u64
    }
}

/// A host's role and weight, as declared in the trace.
#[derive(Clone, Copy)]
struct HostCapacity {
    role: Role,
    weight: f64,
}

struct WarmUpAudit<'a> {
    evidence: &'a Evidence<'a>,
    capacities: HashMap<&'a str, HostCapacity>,
    dispatcher_of: HashMap<ClientAttemptId, usize>,
    class_work: ClassWork,
    mean_work_s: f64,
    warming: HashMap<String, WarmingHost>,
    findings: WarmUpFindings,
}

impl<'a> WarmUpAudit<'a> {
    fn new(evidence: &'a Evidence<'a>) -> Self {
        let scenario = evidence.scenario;
        Self {
            evidence,
            capacities: declared_capacities(evidence),
            dispatcher_of: evidence
                .requests
                .iter()
                .map(|request| (request.id, request.dispatcher))
                .collect(),
            class_work: ClassWork::of(scenario),
            mean_work_s: scenario.mean_work(),
            warming: HashMap::new(),
            findings: WarmUpFindings {
                rule: RuleVerdict::new(
                    "cold",
                    "no cold member is sent more than it bears, by all together",
                ),
                informed: WarmUpPeak::default(),
                uninformed: WarmUpPeak::default(),
            },
        }
    }

    fn event(&mut self, at: Micros, event: &TraceEvent) {
        match event {
            TraceEvent::HostStarted {
                host,
                cold: true,
                incarnation,
            } => self.host_started(at, host, *incarnation),
            TraceEvent::HostCrashed { host, reason } => self.host_crashed(at, host, reason),
            TraceEvent::EndpointListDelivered {
                dispatcher,
                ready,
                incarnations,
                ..
            } => self.list_delivered(at, *dispatcher, ready, incarnations),
            TraceEvent::DispatcherKilled { dispatcher } => {
                for host in self.warming.values_mut() {
                    host.informed_at.remove(dispatcher);
                }
            }
            TraceEvent::AttemptArrived {
                host,
                class,
                id,
                dispatcher,
                ..
            } => self.attempt_arrived(&ArrivalEvent {
                at,
                host,
                class: *class,
                id: *id,
                dispatcher: *dispatcher,
            }),
            _ => {}
        }
    }

    fn host_started(&mut self, at: Micros, host: &str, incarnation: u64) {
        let warming = WarmingHost {
            started: at,
            incarnation,
            arrivals: Vec::new(),
            informed_at: HashMap::new(),
            overload_reported: false,
        };
        self.warming.insert(host.to_owned(), warming);
    }

    fn host_crashed(&mut self, at: Micros, host: &str, reason: &str) {
        let Some(warming) = self.warming.remove(host) else {
            return;
        };
        if reason.contains("cold") {
            let detail = format!("{host} fell over: {reason}");
            let violation = Violation::new("cold", at, None, detail);
            let detectable = warming.informed_share() >= MIN_INFORMED_SHARE;
            self.findings.rule.add_classified(violation, detectable);
        }
    }

    fn list_delivered(
        &mut self,
        at: Micros,
        dispatcher: usize,
        ready: &[String],
        incarnations: &[u64],
    ) {
        for (host, incarnation) in ready.iter().zip(incarnations) {
            let Some(warming) = self.warming.get_mut(host) else {
                continue;
            };
            // A delayed update about an earlier incarnation does not announce this one.
            if *incarnation >= warming.incarnation {
                warming
                    .informed_at
                    .entry(dispatcher)
                    .or_insert(self.evidence.readable_at(dispatcher, at));
            }
        }
    }

    fn attempt_arrived(&mut self, arrived: &ArrivalEvent) {
        let Some(warming) = self.warming.get_mut(arrived.host) else {
            return;
        };
        let Some(capacity) = self.capacities.get(arrived.host).copied() else {
            return;
        };
        let spec = self.evidence.scenario.warm_up_spec(capacity.role);
        if arrived.at > warming.started + spec.total_duration() {
            return;
        }
        self.findings.rule.cases += 1;
        let request_dispatcher = || {
            arrived
                .id
                .and_then(|id| self.dispatcher_of.get(&id).copied())
        };
        let dispatcher = arrived.dispatcher.or_else(request_dispatcher);
        let informed_at = dispatcher.and_then(|dispatcher| warming.informed_at.get(&dispatcher));
        let informed = informed_at.is_some_and(|at| arrived.at >= at + self.evidence.tolerance);
        warming.arrivals.push(Arrival {
            at: arrived.at,
            dispatcher,
            work_s: self.class_work.seconds(arrived.class),
            informed,
        });
        let window_start = arrived.at.saturating_sub(spec.overload_window);
        warming.arrivals.retain(|arrival| arrival.at > window_start);
        let budget_s = window_budget_s(&spec, window_start, warming.started, capacity.weight);
        self.findings
            .update_peak(arrived, warming, budget_s, self.mean_work_s);
        self.findings.judge_overload(arrived, warming, budget_s);
    }
}

/// Returns the seconds of work that the settings allow in a window that begins at `window_start`.
fn window_budget_s(spec: &WarmUpSpec, window_start: Micros, started: Micros, weight: f64) -> f64 {
    let share = spec.share_after(window_start.saturating_sub(started));
    spec.overload_factor * share * weight * spec.overload_window as f64 / 1e6
}

impl WarmUpFindings {
    fn update_peak(
        &mut self,
        arrived: &ArrivalEvent,
        warming: &WarmingHost,
        budget_s: f64,
        mean_work_s: f64,
    ) {
        let allowed = budget_s / mean_work_s;
        let candidate = WarmUpPeak {
            host: arrived.host.to_owned(),
            at_s: arrived.at as f64 / 1e6,
            requests: warming.work_s() / mean_work_s,
            allowed,
            bound: allowed + 2.0 * allowed.sqrt() + 2.0,
            informed_share: warming.informed_share(),
            dispatchers: 0,
        };
        let peak = if candidate.informed_share >= MIN_INFORMED_SHARE {
            &mut self.informed
        } else {
            &mut self.uninformed
        };
        if candidate.is_worse_than(peak) {
            *peak = WarmUpPeak {
                dispatchers: warming.dispatcher_count(),
                ..candidate
            };
        }
    }

    fn judge_overload(&mut self, arrived: &ArrivalEvent, warming: &mut WarmingHost, budget_s: f64) {
        let work_s = warming.work_s();
        if work_s <= budget_s * OVERLOAD_THRESHOLD || warming.overload_reported {
            return;
        }
        warming.overload_reported = true;
        let informed_share = warming.informed_share();
        let detail = format!(
            "{} was sent {work_s:.2} s of work in a window for {budget_s:.2} s, \
             {:.0}% of it by dispatchers told of its start",
            arrived.host,
            100.0 * informed_share
        );
        let violation = Violation::new("cold", arrived.at, arrived.id, detail);
        self.rule
            .add_classified(violation, informed_share >= MIN_INFORMED_SHARE);
    }
}

/// Returns the role and weight of every host by address, as declared in the trace.
fn declared_capacities<'a>(evidence: &Evidence<'a>) -> HashMap<&'a str, HostCapacity> {
    let mut capacities = HashMap::new();
    for entry in evidence.trace {
        if let TraceEvent::HostDeclared {
            host, role, weight, ..
        } = &entry.event
        {
            let capacity = HostCapacity {
                role: *role,
                weight: *weight,
            };
            capacities.insert(host.as_str(), capacity);
        }
    }
    capacities
}
