//! Request classes, their objects and the sizes of the objects.
use crate::Scenario;
use pointspindle::Micros;
use pointspindle_cache_model::{ModelRequest, SizeCatalogue};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};

/// Whether requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    Idempotent,
    /// The origin deduplicates requests by their idempotency key.
    Keyed,
    /// A request must not be executed more than once.
    NotIdempotent,
}

/// The objects that a class requests, and their popularity.
#[derive(Clone, Copy, Debug)]
pub struct ObjectCatalogue {
    /// Number of distinct objects.
    pub objects: u64,
    /// Number of parts of each object.
    pub parts: u64,
    /// Interval at which the parts of an object are requested in sequence, microseconds. If 0, each request is for a
    /// random part.
    pub part_interval: Micros,
    /// Exponent of the Zipf distribution of object popularity.
    pub zipf: f64,
    /// Share of requests for objects that are requested only once.
    pub once_share: f64,
    /// Share of requests for objects that only one branch requests.
    pub local_share: f64,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Relative share of the calls; the shares of all classes need not add up to 1.
    pub share: f64,
    /// Mean size of a part of an object, bytes.
    pub mean_bytes: f64,
    /// Standard deviation of the natural logarithm of the size.
    pub sigma: f64,
    /// Factor applied to sizes so that their mean over the planned calls is `mean_bytes`.
    pub size_scale: f64,
    /// The requested objects and their popularity.
    pub catalogue: ObjectCatalogue,
    /// Latency objective of a response without its transfer time, microseconds.
    pub latency_objective: Micros,
    /// Additional latency objective, as a multiple of the transfer time.
    pub latency_objective_stretch: f64,
    /// Deadline of a call, microseconds.
    pub deadline: Micros,
    /// Weight of a call in the service metrics.
    pub priority_weight: f64,
    /// Share of the weight that a response after the latency objective counts for.
    pub late_value: f64,
    /// Share of the weight that a stale response counts for.
    pub stale_value: f64,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether responses are never cached.
    pub uncacheable: bool,
    /// Freshness lifetime of a cached copy, microseconds. If 0, copies do not become stale.
    pub freshness_lifetime: Micros,
    /// Time after the freshness lifetime in which a stale copy may be served if its revalidation fails, microseconds.
    pub stale_if_error: Micros,
}

/// The requests of clients and the rate of purges.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Mean rate of calls of all branches together, calls per second.
    pub calls_per_s: f64,
    /// Time at the start of the run in which caches fill and service is not evaluated, microseconds.
    pub warm_up: Micros,
    /// Relative amplitude of the sine wave that the rate follows. If 0, the rate is constant.
    pub wave_depth: f64,
    /// Period of the wave, microseconds.
    pub wave_period: Micros,
    /// Rate of purges of single objects, in addition to those of purge faults; purges per second.
    pub purges_per_s: f64,
    /// Number of purge groups of each class.
    pub groups: u64,
    /// The request classes.
    pub classes: Vec<RequestClass>,
}

impl Scenario {
    /// Returns a function that computes the size of a part of an object, bytes. Sizes are derived from the object's
    /// name and the seed, so that all components compute the same size.
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

/// Minimum size of a response part, in bytes: one line of the content that the testbed generates. The first line is a header that
/// names object, part and version.
const MIN_SIZE_BYTES: f64 = 64.0;

/// Maximum size as a multiple of the mean size of the class, so that no single object fills a store.
const MAX_SIZE_MULTIPLE: f64 = 30.0;

/// Returns the size of a part of an object, bytes. If the object's name ends in `~N`, its size is multiplied by N.
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

/// Returns the number N of an object name that ends in `~N`, or 1 if there is none.
fn size_multiple(object: &str) -> f64 {
    object
        .rsplit_once('~')
        .and_then(|(_, multiple)| multiple.parse().ok())
        .unwrap_or(1.0)
}
