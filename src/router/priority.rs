//! Priority weight: requests with a higher priority weight per second of transfer time are admitted first.
use super::latency::MEAN_STEP;

/// Bounds of the factor by which the concurrency limits are scaled for a request.
const MIN_LIMIT_FACTOR: f64 = 0.5;
const MAX_LIMIT_FACTOR: f64 = 2.0;

/// Exponential moving averages of the priority weight and the transfer time of recent requests.
#[derive(Debug, Default)]
pub(super) struct RecentDemand {
    priority_weight: f64,
    transfer_s: f64,
}

impl RecentDemand {
    pub(super) fn record(&mut self, priority_weight: f64, transfer_s: f64) {
        self.priority_weight += MEAN_STEP * (priority_weight - self.priority_weight);
        self.transfer_s += MEAN_STEP * (transfer_s - self.transfer_s);
    }

    pub(super) fn mean_transfer_s(&self) -> f64 {
        self.transfer_s
    }

    /// Returns the factor on the concurrency limits for a request: the square root of the ratio of its priority weight
    /// per second to the recent mean, within bounds.
    pub(super) fn limit_factor(&self, priority_weight: f64, transfer_s: f64) -> f64 {
        let mean_weight_per_s = self.priority_weight / self.transfer_s.max(1e-6);
        let weight_per_s = priority_weight / transfer_s.max(1e-6);
        let relative = weight_per_s / mean_weight_per_s.max(1e-6);
        relative.sqrt().clamp(MIN_LIMIT_FACTOR, MAX_LIMIT_FACTOR)
    }
}
