//! Generates planned calls in the order of their arrival.
use super::part_sequence::{PartSequences, RequestedPart};
use super::rate_schedule::RateSchedule;
use super::special_objects::fault_file;
use super::{group_number, group_path, PlannedCall};
use crate::{derive_seed, size_of, Idempotency, RequestClass, Scenario};
use pointspindle::{Micros, ObjectId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};

/// Iterates over the calls of a scenario. The order in which random numbers are drawn for a call must not change:
/// otherwise a seed would stand for different traffic.
pub(super) struct CallGenerator<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    intervals: Exp<f64>,
    /// Distribution of the popularity of objects, by class.
    popularity: Vec<Zipf<f64>>,
    total_share: f64,
    /// Arrival time that the latest call would have at a constant rate, microseconds.
    constant_rate_time: f64,
    schedule: RateSchedule<'a>,
    sequences: PartSequences,
    /// Number of calls generated so far. It makes the names of objects that are requested only once unique.
    count: u64,
}

impl<'a> CallGenerator<'a> {
    pub(super) fn new(scenario: &'a Scenario) -> Self {
        let workload = &scenario.workload;
        let popularity = |class: &RequestClass| {
            Zipf::new(class.catalogue.objects.max(1), class.catalogue.zipf)
                .expect("the reader bounds the exponent")
        };
        Self {
            scenario,
            rng: StdRng::seed_from_u64(derive_seed(scenario.seed, "traffic")),
            intervals: Exp::new(workload.calls_per_s / 1e6).expect("the rate is above 0"),
            popularity: workload.classes.iter().map(popularity).collect(),
            total_share: workload.classes.iter().map(|class| class.share).sum(),
            constant_rate_time: 0.0,
            schedule: RateSchedule::new(scenario),
            sequences: PartSequences::default(),
            count: 0,
        }
    }

    /// Draws a class with a probability proportional to its share.
    fn draw_class(&mut self) -> usize {
        let classes = &self.scenario.workload.classes;
        let mut position = self.rng.gen::<f64>() * self.total_share;
        for (index, class) in classes.iter().enumerate() {
            if position < class.share {
                return index;
            }
            position -= class.share;
        }
        classes.len() - 1
    }

    /// Draws an object and its part, or returns the next part of a sequence in progress.
    fn draw_part(&mut self, now: Micros, branch: usize, class_index: usize) -> RequestedPart {
        let class = &self.scenario.workload.classes[class_index];
        let catalogue = &class.catalogue;
        let rank = self.popularity[class_index].sample(&mut self.rng) as u64;
        let once = self.rng.gen::<f64>() < catalogue.once_share;
        let local = self.rng.gen::<f64>() < catalogue.local_share;
        let fault_position = self.rng.gen::<f64>();
        let part = self.rng.gen_range(0..catalogue.parts);
        self.count += 1;
        let replacement = fault_file(self.scenario, now, class_index, fault_position, self.count);
        let file = match replacement {
            Some(file) => file,
            None if once => format!("once{}", self.count),
            None if local => format!("b{branch}-o{rank}"),
            None => format!("o{rank}"),
        };
        let drawn = RequestedPart {
            file,
            group: rank % self.scenario.workload.groups,
            part,
        };
        if catalogue.part_interval == 0 || catalogue.parts <= 1 {
            return drawn;
        }
        self.sequences
            .next(now, (class_index, branch), catalogue, drawn)
    }
}

impl Iterator for CallGenerator<'_> {
    type Item = PlannedCall;

    fn next(&mut self) -> Option<PlannedCall> {
        self.constant_rate_time += self.intervals.sample(&mut self.rng);
        let now = self.schedule.time_of(self.constant_rate_time) as Micros;
        if now >= self.scenario.duration() {
            return None;
        }
        let branch = self.rng.gen_range(0..self.scenario.fleet.branches);
        let class_index = self.draw_class();
        let requested = self.draw_part(now, branch, class_index);
        let class = &self.scenario.workload.classes[class_index];
        let client = ClientBehaviour::draw(self.scenario, class, &mut self.rng);
        let path = group_path(&class.name, requested.group);
        let object = format!("{path}/{}", requested.file);
        let object_number = ObjectId::named(&object).0;
        let part = requested.part;
        Some(PlannedCall {
            at: now,
            branch,
            class: class_index,
            size: size_of(class, self.scenario.seed, &object, object_number, part),
            object,
            object_number,
            group: group_number(&class.name, requested.group),
            part,
            uses_http: client.uses_http,
            cancel_after: client.cancel_after,
            honours_retry_after: client.honours_retry_after,
            jitter: client.jitter,
        })
    }
}

/// Behaviour of the client of a call.
struct ClientBehaviour {
    uses_http: bool,
    cancel_after: Option<Micros>,
    honours_retry_after: bool,
    jitter: f64,
}

impl ClientBehaviour {
    /// Draws the behaviour for a call. Only idempotent calls are cancelled or use HTTP. The same random numbers are
    /// drawn for the others, so that the class does not affect later draws.
    fn draw(scenario: &Scenario, class: &RequestClass, rng: &mut StdRng) -> Self {
        let settings = &scenario.clients;
        let idempotent = class.idempotency == Idempotency::Idempotent;
        let cancels = rng.gen::<f64>() < settings.cancel_share;
        let cancel_after = rng.gen::<f64>() * class.latency_objective as f64;
        let uses_http = rng.gen::<f64>() < settings.http_share;
        let honours_retry_after = rng.gen::<f64>() < settings.retry_after_share;
        Self {
            uses_http: uses_http && idempotent,
            cancel_after: (cancels && idempotent).then_some(cancel_after as Micros),
            honours_retry_after,
            jitter: rng.gen::<f64>(),
        }
    }
}
