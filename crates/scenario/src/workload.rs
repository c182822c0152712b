//! Request classes, their objects and the objects' sizes.
use crate::Scenario;
use pointspindle::Micros;
use pointspindle_cache_model::{ModelRequest, SizeCatalogue};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};

/// Whether attempts of a class may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running twice does no harm.
    Idempotent,
    /// The origin deduplicates by an idempotency key.
    Keyed,
    /// No attempt may run twice.
    NotIdempotent,
}

/// Which objects a class requests.
#[derive(Clone, Copy, Debug)]
pub struct ObjectCatalogue {
    /// Distinct objects.
    pub objects: u64,
    /// Parts of each object.
    pub parts: u64,
    /// Parts are requested in sequence at this interval, microseconds; 0: any part at any time.
    pub part_interval: Micros,
    /// Exponent of the objects' popularity (Zipf).
    pub zipf: f64,
    /// Share of requests for objects that are requested once only.
    pub once_share: f64,
    /// Share of requests for objects that one branch alone requests.
    pub local_share: f64,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Share of the calls, relative to the other classes' shares.
    pub share: f64,
    /// Mean size of an object's part, bytes.
    pub mean_bytes: f64,
    /// Standard deviation of the logarithm of the size.
    pub sigma: f64,
    /// Factor that brings the mean over the planned calls to `mean_bytes`.
    pub size_scale: f64,
    /// Objects and their popularity.
    pub catalogue: ObjectCatalogue,
    /// Latency objective of a response without its transfer, microseconds.
    pub latency_objective: Micros,
    /// Part of the objective that grows with the transfer, as a multiple of the transfer time.
    pub latency_objective_stretch: f64,
    /// Deadline of a call, microseconds.
    pub deadline: Micros,
    /// Weight of a call in the service figures.
    pub priority_weight: f64,
    /// Share of the weight of a response after the latency objective.
    pub late_value: f64,
    /// Share of the weight of a stale response.
    pub stale_value: f64,
    /// Whether attempts may run twice.
    pub idempotency: Idempotency,
    /// Responses are never stored.
    pub uncacheable: bool,
    /// Freshness lifetime of a cached copy, microseconds; 0: it stays fresh.
    pub freshness_lifetime: Micros,
    /// How long after that a stale copy may be served if its revalidation fails, microseconds.
    pub stale_if_error: Micros,
}

/// What clients request, and what is purged.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Calls a second, all branches together.
    pub calls_per_s: f64,
    /// Time at the start that is not judged, while caches fill; microseconds.
    pub warm_up: Micros,
    /// The rate follows a sine wave of this relative amplitude; 0: steady.
    pub wave_depth: f64,
    /// Period of the wave, microseconds.
    pub wave_period: Micros,
    /// Purges of single objects a second, on top of scripted ones.
    pub purges_per_s: f64,
    /// Purge groups of each class.
    pub groups: u64,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
}

impl Scenario {
    /// Sizes of objects' parts, bytes: derived from name and seed, so that every component computes the same.
    pub fn size_catalogue(&self) -> SizeCatalogue {
        let classes = self.workload.classes.clone();
        let seed = self.seed;
        Box::new(move |request: &ModelRequest| {
            let class = classes.get(request.class)?;
            let number = request.object_number;
            Some(size_of(class, seed, &request.object, number, request.part))
        })
    }
}

/// Bytes of a response at least: one line of content with its checksum.
const MIN_SIZE_BYTES: f64 = 64.0;

/// Largest size as a multiple of the class's mean: no single object fills a store.
const MAX_SIZE_MULTIPLE: f64 = 30.0;

/// The size of an object's part, bytes. An object whose name ends in `~N` is N times as large as otherwise.
pub fn size_of(class: &RequestClass, seed: u64, object: &str, number: u64, part: u64) -> u64 {
    let part_seed = seed ^ number.rotate_left(17) ^ part.wrapping_mul(0x9e37_79b9);
    let mut rng = StdRng::seed_from_u64(part_seed);
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    let mu = class.mean_bytes.max(1.0).ln() - class.sigma * class.sigma / 2.0;
    let bytes = LogNormal::new(mu, class.sigma).map_or(class.mean_bytes, |d| d.sample(&mut rng));
    let max_bytes = MAX_SIZE_MULTIPLE * class.mean_bytes;
    let bounded = (bytes * class.size_scale).clamp(MIN_SIZE_BYTES, max_bytes);
    (bounded * size_multiple(object)) as u64
}

/// The multiple that the end of an object's name states, or 1.
fn size_multiple(object: &str) -> f64 {
    object
        .rsplit_once('~')
        .and_then(|(_, multiple)| multiple.parse().ok())
        .unwrap_or(1.0)
}
