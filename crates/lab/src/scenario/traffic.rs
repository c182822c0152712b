//! Who asks for what and when: drawn ahead from the day's seed, whatever becomes of the answers.
use super::script::Kind;
use super::{size_of, stream, Effect, Scenario};
use pointspindle::{Micros, ObjectId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};

/// A client's wish: one call, tried again by its client when it is refused or fails.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Micros,
    pub branch: usize,
    pub class: usize,
    pub object: String,
    pub number: u64,
    pub group: u64,
    pub part: u64,
    pub size: u64,
    pub http: bool,
    /// Its client leaves after this long.
    pub leaves: Option<Micros>,
    pub honours: bool,
    /// Spreads its retries.
    pub dice: f64,
}

#[derive(Clone, Debug)]
pub struct Traffic {
    pub calls: Vec<Call>,
}

/// The group of a class's objects, by number; also the purge group of their paths.
pub fn group_path(class: &str, group: u64) -> String {
    format!("/{class}/g{group}")
}

pub fn group_number(class: &str, group: u64) -> u64 {
    ObjectId::named(&group_path(class, group)).0
}

impl Traffic {
    pub fn draw(scenario: &Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(stream(scenario.seed, "traffic"));
        let total: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let zipfs: Vec<Zipf<f64>> = scenario
            .classes
            .iter()
            .map(|c| Zipf::new(c.objects.max(1), c.zipf).expect("checked by the reader"))
            .collect();
        let gaps = Exp::new(scenario.rate / 1e6).expect("the rate is above 0");
        let mut calls = Vec::new();
        let mut at = 0.0;
        let mut once = 0_u64;
        loop {
            at += gaps.sample(&mut rng);
            let now = at as Micros;
            if now >= scenario.length() {
                break;
            }
            let branch = rng.gen_range(0..scenario.branches);
            let mut pick = rng.gen::<f64>() * total;
            let mut class = scenario.classes.len() - 1;
            for (n, c) in scenario.classes.iter().enumerate() {
                if pick < c.share {
                    class = n;
                    break;
                }
                pick -= c.share;
            }
            let c = &scenario.classes[class];
            let rank = zipfs[class].sample(&mut rng) as u64;
            let (dice, local, special) = (rng.gen::<f64>(), rng.gen::<f64>(), rng.gen::<f64>());
            let part = rng.gen_range(0..c.parts);
            let group = rank % scenario.groups;
            once += 1;
            let plain = if local < c.local { format!("b{branch}-o{rank}") } else { format!("o{rank}") };
            let file = match unusual(scenario, now, class, special, once) {
                Some(file) => file,
                None if dice < c.once => format!("once{once}"),
                None => plain,
            };
            let object = format!("{}/{file}", group_path(&c.name, group));
            let number = ObjectId::named(&object).0;
            let hang_up = rng.gen::<f64>() < scenario.clients.hang_up;
            let leaves = rng.gen::<f64>() * c.aim as f64;
            calls.push(Call {
                at: now,
                branch,
                class,
                size: size_of(c, scenario.seed, &object, number, part),
                object,
                number,
                group: group_number(&c.name, group),
                part,
                http: rng.gen::<f64>() < scenario.clients.http && c.effect == Effect::Safe,
                leaves: (hang_up && c.effect == Effect::Safe).then_some(leaves as Micros),
                honours: rng.gen::<f64>() < scenario.clients.honour,
                dice: rng.gen::<f64>(),
            });
        }
        Self { calls }
    }
}

/// Troubles that lie in the traffic: hot, oversized and one-off objects. `hard` is the share of requests (hot,
/// one-off: of all; oversized: of the class's), the size's multiple stands in the name.
fn unusual(scenario: &Scenario, now: Micros, class: usize, dice: f64, once: u64) -> Option<String> {
    let mut left = dice;
    for trouble in &scenario.troubles {
        if now < trouble.at || now >= trouble.at + trouble.length {
            continue;
        }
        let file = match trouble.kind {
            Kind::Hot if class == 0 => format!("hot-{}", trouble.name),
            Kind::Oversized if class == 0 => format!("big{once}~{}", trouble.hard.max(1.0)),
            Kind::OneOff if scenario.classes[class].effect == Effect::Safe => format!("scan{once}"),
            _ => continue,
        };
        if left < trouble.whom.share {
            return Some(file);
        }
        left -= trouble.whom.share;
    }
    None
}
