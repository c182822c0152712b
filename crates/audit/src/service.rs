//! Service to a run's clients: earned value divided by requested value.
use crate::evidence::{ClientRequest, Evidence};
use crate::latency::LatencyHistogram;
use crate::trace::{ClientOutcome, TraceEntry};
pub use crate::value::ValueSum;
use pointspindle::Micros;
use pointspindle_scenario::{PlannedCall, RequestClass, Scenario, Traffic};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Length of the period over which the worst service is measured, in seconds.
const WORST_PERIOD_S: usize = 10;
/// Minimum number of calls of a class for its largest group to be a tenth of them; with fewer calls it is a quarter.
const CALLS_FOR_LARGEST_TENTH: usize = 400;

/// The service of one class of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassService {
    /// Name of the class.
    pub name: String,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that were served, in time or late.
    pub served: u64,
    /// Number of calls that were served after their latency objective.
    pub late: u64,
    /// Number of calls that ended with a rejection.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of calls that failed in another way.
    pub failed: u64,
    /// Number of calls that their clients cancelled.
    #[serde(rename = "left")]
    pub cancelled: u64,
    /// Earned value divided by requested value.
    pub service: f64,
    /// Median latency of served calls, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of served calls, in milliseconds.
    pub p99_ms: f64,
    /// The largest tenth of the calls by size; the largest quarter if there are fewer than 400 calls.
    #[serde(default)]
    pub largest: SizeGroup,
    /// The next fifth of the calls by size.
    #[serde(default)]
    pub next_largest: SizeGroup,
}

/// Calls of similar size that were not cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SizeGroup {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that were served, in time or late.
    #[serde(rename = "answered")]
    pub served: u64,
}

impl SizeGroup {
    /// Returns the share of the calls that were served; 1 if there are no calls.
    pub fn share(self) -> f64 {
        if self.calls == 0 {
            return 1.0;
        }
        self.served as f64 / self.calls as f64
    }

    fn of(calls: &[SizedCall]) -> Self {
        let served = calls.iter().filter(|call| call.served).count();
        Self {
            calls: calls.len() as u64,
            served: served as u64,
        }
    }
}

/// A call that was not cancelled. Sorts by size, then by whether it was served.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SizedCall {
    bytes: u64,
    served: bool,
}

impl ClassService {
    /// Returns all calls of the class that were not cancelled.
    pub fn all(&self) -> SizeGroup {
        SizeGroup {
            calls: self.calls - self.cancelled,
            served: self.served,
        }
    }

    fn set_size_groups(&mut self, mut calls: Vec<SizedCall>) {
        calls.sort_by(|a, b| b.cmp(a));
        let count = calls.len();
        let largest = if count < CALLS_FOR_LARGEST_TENTH {
            count / 4
        } else {
            count / 10
        };
        let next = (largest + count / 5).min(count);
        self.largest = SizeGroup::of(&calls[..largest]);
        self.next_largest = SizeGroup::of(&calls[largest..next]);
    }
}

/// The service of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Earned value divided by requested value, over calls after the warm-up. Latencies include retries.
    pub service: f64,
    /// Service over the worst 10 s, or over the whole run after the warm-up if that is shorter.
    pub worst_10s: f64,
    /// Start of the worst 10 s, in seconds since the start of the run.
    #[serde(rename = "worst_from_s")]
    pub worst_10s_from_s: f64,
    /// Mean of the service of the run, of its worst 10 s and of its worst class, with the weights of the scenario.
    #[serde(rename = "goal")]
    pub objective_score: f64,
    /// Service of each class, in the scenario's order.
    pub classes: Vec<ClassService>,
    /// Value by the second in which the calls started.
    pub by_second: Vec<ValueSum>,
    /// Value by branch of the clients, and by second.
    #[serde(default)]
    pub by_branch: Vec<Vec<ValueSum>>,
    /// Number of requests that clients sent, retries included.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// Number of attempts of dispatchers that arrived at a host.
    pub attempts: u64,
}

/// Measures the service of a run from its trace.
pub fn measure_service(scenario: &Scenario, traffic: &Traffic, trace: &[TraceEntry]) -> Service {
    let evidence = Evidence::new(scenario, trace);
    let mut requests_of_call: HashMap<u64, Vec<&ClientRequest>> = HashMap::new();
    for request in &evidence.requests {
        requests_of_call
            .entry(request.id.call)
            .or_default()
            .push(request);
    }
    let mut measurement = Measurement::new(scenario);
    for (n, call) in traffic.calls.iter().enumerate() {
        if call.at >= scenario.workload.warm_up {
            let requests = requests_of_call.get(&(n as u64));
            measurement.add_call(call, requests.map_or(&[], Vec::as_slice));
        }
    }
    measurement.finish(&evidence)
}

/// A served response, as observed by the client.
#[derive(Clone, Copy)]
struct ServedResponse {
    at: Micros,
    stale: bool,
}

/// Outcome of a call for its client, retries included.
enum CallOutcome {
    Served(ServedResponse),
    Cancelled,
    Rejected,
    Failed,
}

impl CallOutcome {
    fn of(requests: &[&ClientRequest]) -> Self {
        let outcomes = || requests.iter().filter_map(|request| request.ends.first());
        for end in outcomes() {
            if let ClientOutcome::Served {
                version: Some(_),
                stale,
                ..
            } = end.outcome
            {
                return Self::Served(ServedResponse { at: end.at, stale });
            }
        }
        if outcomes().any(|end| end.outcome == ClientOutcome::Cancelled) {
            return Self::Cancelled;
        }
        match outcomes().next_back().map(|end| &end.outcome) {
            Some(ClientOutcome::Rejected { .. }) => Self::Rejected,
            _ => Self::Failed,
        }
    }
}

/// Measurements of a class while calls are added.
struct ClassMeasurement {
    service: ClassService,
    value: ValueSum,
    latencies: LatencyHistogram,
    calls: Vec<SizedCall>,
}

impl ClassMeasurement {
    fn new(class: &RequestClass) -> Self {
        Self {
            service: ClassService {
                name: class.name.clone(),
                ..ClassService::default()
            },
            value: ValueSum::default(),
            latencies: LatencyHistogram::default(),
            calls: Vec::new(),
        }
    }

    fn finish(self) -> ClassService {
        let mut service = self.service;
        service.service = self.value.ratio();
        service.p50_ms = self.latencies.quantile_ms(0.5);
        service.p99_ms = self.latencies.quantile_ms(0.99);
        service.set_size_groups(self.calls);
        service
    }
}

struct Measurement<'a> {
    scenario: &'a Scenario,
    classes: Vec<ClassMeasurement>,
    by_second: Vec<ValueSum>,
    by_branch: Vec<Vec<ValueSum>>,
}

impl<'a> Measurement<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let by_second = vec![ValueSum::default(); scenario.duration_s.ceil() as usize];
        let classes = scenario.workload.classes.iter();
        Self {
            scenario,
            classes: classes.map(ClassMeasurement::new).collect(),
            by_branch: vec![by_second.clone(); scenario.fleet.branches],
            by_second,
        }
    }

    fn add_call(&mut self, call: &PlannedCall, requests: &[&ClientRequest]) {
        let spec = &self.scenario.workload.classes[call.class];
        let class = &mut self.classes[call.class];
        class.service.calls += 1;
        let outcome = CallOutcome::of(requests);
        let mut earned = 0.0;
        match outcome {
            CallOutcome::Cancelled => {
                // A cancelled call does not affect the service.
                class.service.cancelled += 1;
                return;
            }
            CallOutcome::Served(response) => {
                let latency = response.at.saturating_sub(call.at);
                let in_time = latency as f64 <= objective_us(self.scenario, spec, call.size);
                earned = earned_value(spec, in_time, response.stale);
                class.service.served += 1;
                class.service.late += u64::from(!in_time);
                class.latencies.record(latency);
            }
            CallOutcome::Rejected => class.service.rejected += 1,
            CallOutcome::Failed => class.service.failed += 1,
        }
        class.calls.push(SizedCall {
            bytes: call.size,
            served: matches!(outcome, CallOutcome::Served(_)),
        });
        class.value.add(spec.priority_weight, earned);
        self.add_to_second(call, spec.priority_weight, earned);
    }

    fn add_to_second(&mut self, call: &PlannedCall, requested: f64, earned: f64) {
        let second = (call.at / 1_000_000) as usize;
        if let Some(sum) = self.by_second.get_mut(second) {
            sum.add(requested, earned);
        }
        let branch = self.by_branch.get_mut(call.branch);
        if let Some(sum) = branch.and_then(|seconds| seconds.get_mut(second)) {
            sum.add(requested, earned);
        }
    }

    fn finish(self, evidence: &Evidence) -> Service {
        let values: Vec<ValueSum> = self.classes.iter().map(|class| class.value).collect();
        let service = ValueSum::total(&values).ratio();
        let first_second = (self.scenario.workload.warm_up / 1_000_000) as usize;
        let worst = WorstPeriod::find(&self.by_second, first_second);
        let classes: Vec<ClassService> = self
            .classes
            .into_iter()
            .map(ClassMeasurement::finish)
            .collect();
        Service {
            service,
            worst_10s: worst.service,
            worst_10s_from_s: worst.from_s as f64,
            objective_score: objective_score(self.scenario, service, worst.service, &classes),
            classes,
            by_second: self.by_second,
            by_branch: self.by_branch,
            requests: evidence.requests.len() as u64,
            attempts: evidence
                .requests
                .iter()
                .map(|request| request.attempts.len() as u64)
                .sum(),
        }
    }
}

/// Returns the latency objective of a response of `bytes` bytes, in microseconds.
fn objective_us(scenario: &Scenario, class: &RequestClass, bytes: u64) -> f64 {
    let transfer_us = bytes as f64 / scenario.network.bytes_per_s * 1e6;
    class.latency_objective as f64 + class.latency_objective_stretch * transfer_us
}

fn earned_value(class: &RequestClass, in_time: bool, stale: bool) -> f64 {
    let timeliness = if in_time { 1.0 } else { class.late_value };
    let value = class.priority_weight * timeliness;
    if stale {
        value * class.stale_value
    } else {
        value
    }
}

struct WorstPeriod {
    service: f64,
    from_s: usize,
}

impl WorstPeriod {
    fn find(by_second: &[ValueSum], first_second: usize) -> Self {
        let counted = &by_second[first_second.min(by_second.len())..];
        let length = WORST_PERIOD_S.min(counted.len().max(1));
        let worst = counted
            .windows(length)
            .map(|seconds| ValueSum::total(seconds).ratio())
            .enumerate()
            .min_by(|(_, a), (_, b)| a.total_cmp(b));
        let (offset, service) = worst.unwrap_or((0, 1.0));
        Self {
            service,
            from_s: first_second + offset,
        }
    }
}

fn objective_score(
    scenario: &Scenario,
    service: f64,
    worst_10s: f64,
    classes: &[ClassService],
) -> f64 {
    let worst_class = classes
        .iter()
        .filter(|class| class.calls > class.cancelled)
        .map(|class| class.service)
        .fold(1.0, f64::min);
    let weights = scenario.limits.objective;
    let weighted =
        weights.whole * service + weights.worst_10s * worst_10s + weights.worst_class * worst_class;
    let total_weight = weights.whole + weights.worst_10s + weights.worst_class;
    weighted / total_weight.max(1e-9)
}
