//! What a day was worth to its clients: worth answered in time over worth asked for.
use super::Evidence;
use crate::trace::{ClientOutcome, TraceEntry};
use pointspindle::Micros;
use pointspindle_scenario::{Scenario, Traffic};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Seconds of the worst stretch.
const STRETCH: usize = 10;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassService {
    pub name: String,
    pub calls: u64,
    /// Calls by how they ended; `late` ones were served after their aim.
    pub served: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub service: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// By the size of what was asked for: the largest tenth (of under 400 calls the quarter), and the next fifth.
    #[serde(default)]
    pub largest: Group,
    #[serde(default)]
    pub next_largest: Group,
}

/// Calls of like size, those whose clients left apart: how many, and how many were answered, in time or late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    pub calls: u64,
    pub answered: u64,
}

impl Group {
    pub fn share(self) -> f64 {
        if self.calls == 0 {
            return 1.0;
        }
        self.answered as f64 / self.calls as f64
    }

    fn of(calls: &[(u64, bool)]) -> Self {
        let answered = calls.iter().filter(|(_, answered)| *answered).count();
        Self {
            calls: calls.len() as u64,
            answered: answered as u64,
        }
    }
}

impl ClassService {
    pub fn answered(&self) -> Group {
        Group {
            calls: self.calls - self.left,
            answered: self.served,
        }
    }

    /// `calls`: size, and whether it was answered.
    fn by_size(&mut self, calls: &mut [(u64, bool)]) {
        calls.sort_by(|a, b| b.cmp(a));
        let count = calls.len();
        let largest = if count < 400 { count / 4 } else { count / 10 };
        let next = (largest + count / 5).min(count);
        (self.largest, self.next_largest) = (
            Group::of(&calls[..largest]),
            Group::of(&calls[largest..next]),
        );
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Worth in time over worth asked for, by calls from their first try on.
    pub service: f64,
    /// The same over the worst 10 s (of the run's length, if it is shorter), and when it began.
    pub worst_10s: f64,
    pub worst_from_s: f64,
    /// The day, its worst 10 s and its worst class by the scenario's weights. No prices.
    pub goal: f64,
    pub classes: Vec<ClassService>,
    /// Asked and earned by second, for plots.
    pub by_second: Vec<(f64, f64)>,
    /// ... by the branch that clients belong to.
    #[serde(default)]
    pub by_branch: Vec<Vec<(f64, f64)>>,
    pub tries: u64,
    pub attempts: u64,
}

/// Earned by a call: its first served try, judged from its first one on.
fn earned(scenario: &Scenario, class: usize, size: u64, took: Micros, old: bool) -> (f64, bool) {
    let c = &scenario.workload.classes[class];
    let own = size as f64 / scenario.network.bytes_per_s * 1e6;
    let aim = c.latency_objective as f64 + c.latency_objective_stretch * own;
    let in_time = took as f64 <= aim;
    let mut worth = c.priority_weight * if in_time { 1.0 } else { c.late_value };
    if old {
        worth *= c.stale_value;
    }
    (worth, in_time)
}

pub fn service(scenario: &Scenario, traffic: &Traffic, sights: &[TraceEntry]) -> Service {
    let evidence = Evidence::new(scenario, sights);
    let mut tries: HashMap<u64, Vec<usize>> = HashMap::new();
    for (n, t) in evidence.tries.iter().enumerate() {
        tries.entry(t.id.call).or_default().push(n);
    }
    let blank = |c: &pointspindle_scenario::RequestClass| ClassService {
        name: c.name.clone(),
        ..Default::default()
    };
    let mut classes: Vec<ClassService> = scenario.workload.classes.iter().map(blank).collect();
    let mut sums = vec![(0.0, 0.0); classes.len()];
    let new_histogram = || hdrhistogram::Histogram::<u64>::new_with_bounds(1, 600_000_000, 3);
    let mut times: Vec<_> = classes
        .iter()
        .map(|_| new_histogram().expect("fixed bounds"))
        .collect();
    let mut sizes = vec![Vec::new(); classes.len()];
    let mut by_second = vec![(0.0, 0.0); scenario.duration_s.ceil() as usize];
    let mut by_branch = vec![by_second.clone(); scenario.fleet.branches];
    for (n, call) in traffic
        .calls
        .iter()
        .enumerate()
        .filter(|(_, c)| c.at >= scenario.workload.warm_up)
    {
        let class = &mut classes[call.class];
        class.calls += 1;
        let worth = scenario.workload.classes[call.class].priority_weight;
        let mine = tries.get(&(n as u64)).map_or(&[][..], |t| t.as_slice());
        let ends: Vec<_> = mine
            .iter()
            .flat_map(|n| evidence.tries[*n].ends.first())
            .collect();
        let served = ends.iter().find_map(|(at, end)| match end {
            ClientOutcome::Served {
                version: Some(_),
                stale: old,
                ..
            } => Some((*at, *old)),
            _ => None,
        });
        let mut got = 0.0;
        if ends.iter().any(|(_, end)| *end == ClientOutcome::Cancelled) && served.is_none() {
            // Asked for and not wanted any more: neither for nor against.
            class.left += 1;
            continue;
        }
        sizes[call.class].push((call.size, served.is_some()));
        match served {
            Some((at, old)) => {
                let took = at.saturating_sub(call.at);
                let (worth, in_time) = earned(scenario, call.class, call.size, took, old);
                got = worth;
                class.served += 1;
                class.late += !in_time as u64;
                let _ = times[call.class].record(took.max(1));
            }
            None if ends
                .last()
                .is_some_and(|(_, end)| matches!(end, ClientOutcome::Rejected { .. })) =>
            {
                class.refused += 1
            }
            None => class.failed += 1,
        }
        sums[call.class].0 += worth;
        sums[call.class].1 += got;
        let second = (call.at / 1_000_000) as usize;
        for seconds in [&mut by_second]
            .into_iter()
            .chain(by_branch.get_mut(call.branch))
        {
            if let Some(second) = seconds.get_mut(second) {
                second.0 += worth;
                second.1 += got;
            }
        }
    }
    let ratio = |(asked, got): (f64, f64)| if asked > 0.0 { got / asked } else { 1.0 };
    for (n, class) in classes.iter_mut().enumerate() {
        class.service = ratio(sums[n]);
        class.by_size(&mut sizes[n]);
        class.p50_ms = times[n].value_at_quantile(0.5) as f64 / 1e3;
        class.p99_ms = times[n].value_at_quantile(0.99) as f64 / 1e3;
    }
    let all = sums.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
    let first = (scenario.workload.warm_up / 1_000_000) as usize;
    let counted = &by_second[first.min(by_second.len())..];
    let width = STRETCH.min(counted.len().max(1));
    let stretches = counted.windows(width).enumerate();
    let sum = |w: &[(f64, f64)]| w.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
    let worst = stretches
        .map(|(n, w)| (ratio(sum(w)), n))
        .min_by(|a, b| a.0.total_cmp(&b.0));
    let (worst_10s, from) = worst.unwrap_or((1.0, 0));
    let worst_class = classes
        .iter()
        .filter(|c| c.calls > c.left)
        .map(|c| c.service)
        .fold(1.0, f64::min);
    let weights = scenario.limits.objective;
    let weighted = weights.whole * ratio(all)
        + weights.worst_10s * worst_10s
        + weights.worst_class * worst_class;
    let total_weight = weights.whole + weights.worst_10s + weights.worst_class;
    let goal = weighted / total_weight.max(1e-9);
    Service {
        service: ratio(all),
        worst_10s,
        worst_from_s: (first + from) as f64,
        goal,
        classes,
        by_second,
        by_branch,
        tries: evidence.tries.len() as u64,
        attempts: evidence.tries.iter().map(|t| t.attempts.len() as u64).sum(),
    }
}
