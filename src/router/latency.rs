//! Learned transfer times, latency objective, and relative slowness of caches.
use crate::event::AttemptStatus;
use crate::ids::Micros;
use crate::settings::{RequestClass, RouterSettings};

/// Weight of one sample in a running mean over all requests.
pub(super) const MEAN_STEP: f64 = 0.02;
/// Number of samples that the initial mean of a class, its latency objective, counts for.
const INITIAL_MEAN_SAMPLES: f64 = 5.0;
/// Factor on the charges to warm-up budgets where sizes are unknown: the mean is then learned from fast responses
/// only and is too low.
const UNKNOWN_SIZE_COST_FACTOR: f64 = 1.5;
/// Share of the mean transfer time that lateness is measured against where the size is unknown: most objects are
/// smaller than the mean.
const UNKNOWN_SIZE_SHARE: f64 = 0.5;
/// Weight of one response in the mean slowness of a cache.
const CACHE_SLOWNESS_STEP: f64 = 0.1;
/// Factor by which a cache may be slower than its zone before it loses placement weight.
const TOLERATED_SLOWNESS: f64 = 2.0;

/// Mean transfer time of each request class, in seconds.
///
/// Invariant: there is one mean and one sample count for each class. Means are never reset; older samples lose weight
/// exponentially.
#[derive(Debug)]
pub(super) struct TransferTimes {
    mean_s: Vec<f64>,
    samples: Vec<u32>,
    sizes_reported: bool,
    stream_kb_per_s: f64,
}

impl TransferTimes {
    pub(super) fn new(settings: &RouterSettings) -> Self {
        let mean_s: Vec<f64> = settings
            .classes
            .iter()
            .map(|class| class.latency_objective as f64 / 1e6)
            .collect();
        Self {
            samples: vec![0; mean_s.len()],
            mean_s,
            sizes_reported: false,
            stream_kb_per_s: settings.stream_kb_per_s,
        }
    }

    /// Returns the size if a transfer time can be computed from it.
    pub(super) fn usable_size(&self, size_kb: Option<f64>) -> Option<f64> {
        size_kb.filter(|_| self.stream_kb_per_s > 0.0)
    }

    /// Returns the transfer time of a response in seconds: from its size where known, else the mean of its class.
    pub(super) fn seconds(&self, class: usize, size_kb: Option<f64>) -> f64 {
        self.usable_size(size_kb)
            .map_or(self.mean_s[class], |kb| kb / self.stream_kb_per_s)
    }

    /// Returns the charge of a request of the class to a warm-up budget, in seconds of transfer time.
    pub(super) fn budget_cost(&self, class: usize) -> f64 {
        let factor = if self.sizes_reported {
            1.0
        } else {
            UNKNOWN_SIZE_COST_FACTOR
        };
        self.mean_s[class] * factor
    }

    pub(super) fn highest_budget_cost(&self) -> f64 {
        (0..self.mean_s.len())
            .map(|class| self.budget_cost(class))
            .fold(0.0, f64::max)
    }

    pub(super) fn mean_over_classes(&self) -> f64 {
        self.mean_s.iter().sum::<f64>() / self.mean_s.len() as f64
    }

    pub(super) fn sizes_reported(&self) -> bool {
        self.sizes_reported
    }

    /// Updates the mean of a class from the size given with a request, if any.
    pub(super) fn learn_from_request(&mut self, class: usize, size_kb: Option<f64>) {
        if let Some(kb) = self.usable_size(size_kb) {
            self.sizes_reported = true;
            self.learn(class, kb / self.stream_kb_per_s);
        }
    }

    pub(super) fn learn(&mut self, class: usize, seconds: f64) {
        self.samples[class] += 1;
        let step = MEAN_STEP.max(1.0 / (INITIAL_MEAN_SAMPLES + self.samples[class] as f64));
        self.mean_s[class] += step * (seconds - self.mean_s[class]);
    }
}

/// Response time and transfer time of a response.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponseTiming {
    pub(super) elapsed: Micros,
    /// Transfer time in seconds, from the size of the response if known, else the mean of its class.
    pub(super) transfer_s: f64,
    pub(super) size_known: bool,
}

impl ResponseTiming {
    /// Whether the response missed the latency objective of its class. A rejection always counts as late.
    pub(super) fn is_late(&self, class: &RequestClass, status: AttemptStatus) -> bool {
        let share = if self.size_known {
            1.0
        } else {
            UNKNOWN_SIZE_SHARE
        };
        let transfer_s = self.transfer_s * share;
        let objective = class.latency_objective as f64 + class.objective_stretch * 1e6 * transfer_s;
        self.elapsed as f64 > objective || status == AttemptStatus::Rejected
    }

    /// Returns the logarithm of the ratio of response time to transfer time.
    pub(super) fn log_slowness(&self) -> f64 {
        (self.elapsed.max(1) as f64 / 1e6 / self.transfer_s.max(1e-6)).ln()
    }
}

/// Exponential moving average of [`ResponseTiming::log_slowness`], for one cache or for all caches of the zone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Slowness {
    mean_log: f64,
}

impl Slowness {
    pub(super) fn observe_in_zone(&mut self, log_slowness: f64) {
        self.mean_log += MEAN_STEP * (log_slowness - self.mean_log);
    }

    pub(super) fn observe_at_cache(&mut self, log_slowness: f64) {
        self.mean_log += CACHE_SLOWNESS_STEP * (log_slowness - self.mean_log);
    }

    /// Returns the factor on the placement weight of a cache: 1 unless the cache is much slower than its zone.
    pub(super) fn weight_factor(&self, zone: Slowness) -> f64 {
        ((zone.mean_log - self.mean_log).exp() * TOLERATED_SLOWNESS).min(1.0)
    }
}
