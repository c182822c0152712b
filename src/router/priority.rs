//! Priority weight: requests that are worth more for their transfer time are admitted first.
use super::latency::MEAN_STEP;

/// Bounds of the factor by which a request finds a concurrency limit stretched.
const MIN_STRETCH: f64 = 0.5;
const MAX_STRETCH: f64 = 2.0;

/// Priority weight and transfer time of recent requests, as running means. Older requests fade.
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

    /// Factor of the concurrency limits for a request, by its priority weight per second against the recent mean.
    pub(super) fn limit_stretch(&self, priority_weight: f64, transfer_s: f64) -> f64 {
        let usual = self.priority_weight / self.transfer_s.max(1e-6);
        let own = priority_weight / transfer_s.max(1e-6);
        let relative = own / usual.max(1e-6);
        relative.sqrt().clamp(MIN_STRETCH, MAX_STRETCH)
    }
}
