//! Who asks for what and when: drawn ahead from the day's seed, whatever becomes of the answers.
use super::script::FaultKind;
use super::{derive_seed, size_of, Idempotency, Scenario};
use pointspindle::{Micros, ObjectId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use std::collections::{HashMap, VecDeque};

/// A client's wish: one call, tried again by its client when it is refused or fails.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    pub at: Micros,
    pub branch: usize,
    pub class: usize,
    pub object: String,
    pub object_number: u64,
    pub group: u64,
    pub part: u64,
    pub size: u64,
    pub uses_http: bool,
    /// Its client leaves after this long.
    pub cancel_after: Option<Micros>,
    pub honours_retry_after: bool,
    /// Spreads its retries.
    pub jitter: f64,
}

#[derive(Clone, Debug)]
pub struct Traffic {
    pub calls: Vec<PlannedCall>,
}

/// The group of a class's objects, by number; also the purge group of their paths.
pub fn group_path(class: &str, group: u64) -> String {
    format!("/{class}/g{group}")
}

pub fn group_number(class: &str, group: u64) -> u64 {
    ObjectId::named(&group_path(class, group)).0
}

impl Traffic {
    pub fn generate(scenario: &Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(derive_seed(scenario.seed, "traffic"));
        let total: f64 = scenario.workload.classes.iter().map(|c| c.share).sum();
        let zipfs: Vec<Zipf<f64>> = scenario
            .workload
            .classes
            .iter()
            .map(|c| Zipf::new(c.objects.max(1), c.zipf).expect("checked by the reader"))
            .collect();
        let gaps = Exp::new(scenario.workload.calls_per_s / 1e6).expect("the rate is above 0");
        let mut calls = Vec::new();
        let mut even = 0.0;
        let mut tide = Tide {
            scenario,
            at: 0.0,
            even: 0.0,
        };
        let mut viewers = Viewers::default();
        let mut once = 0_u64;
        loop {
            even += gaps.sample(&mut rng);
            let now = tide.at(even) as Micros;
            if now >= scenario.duration() {
                break;
            }
            let branch = rng.gen_range(0..scenario.fleet.branches);
            let mut pick = rng.gen::<f64>() * total;
            let mut class = scenario.workload.classes.len() - 1;
            for (n, c) in scenario.workload.classes.iter().enumerate() {
                if pick < c.share {
                    class = n;
                    break;
                }
                pick -= c.share;
            }
            let c = &scenario.workload.classes[class];
            let rank = zipfs[class].sample(&mut rng) as u64;
            let (dice, local, special) = (rng.gen::<f64>(), rng.gen::<f64>(), rng.gen::<f64>());
            let part = rng.gen_range(0..c.parts);
            let group = rank % scenario.workload.groups;
            once += 1;
            let plain = if local < c.local_share {
                format!("b{branch}-o{rank}")
            } else {
                format!("o{rank}")
            };
            let file = match unusual(scenario, now, class, special, once) {
                Some(file) => file,
                None if dice < c.once_share => format!("once{once}"),
                None => plain,
            };
            let (file, group, part) = if c.part_interval > 0 && c.parts > 1 {
                viewers.next(now, (class, branch), c, (file, group))
            } else {
                (file, group, part)
            };
            let object = format!("{}/{file}", group_path(&c.name, group));
            let number = ObjectId::named(&object).0;
            let hang_up = rng.gen::<f64>() < scenario.clients.cancel_share;
            let leaves = rng.gen::<f64>() * c.latency_objective as f64;
            calls.push(PlannedCall {
                at: now,
                branch,
                class,
                size: size_of(c, scenario.seed, &object, number, part),
                object,
                object_number: number,
                group: group_number(&c.name, group),
                part,
                uses_http: rng.gen::<f64>() < scenario.clients.http_share
                    && c.idempotency == Idempotency::Idempotent,
                cancel_after: (hang_up && c.idempotency == Idempotency::Idempotent)
                    .then_some(leaves as Micros),
                honours_retry_after: rng.gen::<f64>() < scenario.clients.retry_after_share,
                jitter: rng.gen::<f64>(),
            });
        }
        Self { calls }
    }
}

/// Turns the time of an even day into that of one whose rate swells and ebbs. The draws stay those of the even day.
struct Tide<'a> {
    scenario: &'a Scenario,
    /// How far the day has come, and the even one.
    at: f64,
    even: f64,
}

impl Tide<'_> {
    /// The rate's factor at a moment.
    fn factor(&self, at: f64) -> f64 {
        let s = self.scenario;
        let turn = at / s.workload.wave_period as f64 * std::f64::consts::TAU;
        let now = at as Micros;
        let on = |t: &&super::script::FaultSpec| {
            t.kind == FaultKind::Burst && now >= t.at && now < t.at + t.duration
        };
        let bursts: f64 = s.faults.iter().filter(on).map(|t| t.severity).product();
        // Never quite 0: the day would not go on.
        ((1.0 + s.workload.wave_depth * turn.sin()) * bursts).max(1e-3)
    }

    fn at(&mut self, even: f64) -> f64 {
        let s = self.scenario;
        if s.workload.wave_depth == 0.0 && s.faults.iter().all(|t| t.kind != FaultKind::Burst) {
            return even;
        }
        while self.even < even && self.at < s.duration() as f64 {
            let factor = self.factor(self.at);
            let step = ((even - self.even) / factor).min(1_000.0);
            (self.at, self.even) = (self.at + step, self.even + step * factor);
        }
        self.at
    }
}

/// A file and its group that somebody goes on with, when, and at which part.
type Viewer = (Micros, String, u64, u64);

/// Who is in the middle of what, by class and branch.
#[derive(Default)]
struct Viewers {
    open: HashMap<(usize, usize), VecDeque<Viewer>>,
}

impl Viewers {
    /// The next part of who has waited longest; if nobody is due, the first part of what was drawn.
    fn next(
        &mut self,
        now: Micros,
        place: (usize, usize),
        class: &super::RequestClass,
        (file, group): (String, u64),
    ) -> (String, u64, u64) {
        let open = self.open.entry(place).or_default();
        let due = open
            .front()
            .is_some_and(|v| v.0 <= now)
            .then(|| open.pop_front())
            .flatten();
        let (_, file, group, part) = due.unwrap_or((now, file, group, 0));
        if part + 1 < class.parts {
            open.push_back((now + class.part_interval, file.clone(), group, part + 1));
        }
        (file, group, part)
    }
}

/// Troubles that lie in the traffic: hot, oversized and one-off objects. `hard` is the share of requests (hot,
/// one-off: of all; oversized: of the class's), the size's multiple stands in the name.
fn unusual(scenario: &Scenario, now: Micros, class: usize, dice: f64, once: u64) -> Option<String> {
    let mut left = dice;
    for trouble in &scenario.faults {
        if now < trouble.at || now >= trouble.at + trouble.duration {
            continue;
        }
        let file = match trouble.kind {
            FaultKind::Hot if class == 0 => format!("hot-{}", trouble.name),
            FaultKind::Oversized if class == 0 => {
                format!("big{once}~{}", trouble.severity.max(1.0))
            }
            FaultKind::OneOff
                if scenario.workload.classes[class].idempotency == Idempotency::Idempotent =>
            {
                format!("scan{once}")
            }
            _ => continue,
        };
        if left < trouble.target.share {
            return Some(file);
        }
        left -= trouble.target.share;
    }
    None
}
