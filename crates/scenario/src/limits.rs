//! Limits that a run is checked against, and the weights of its objective.
use pointspindle::Micros;

/// Minimum and maximum of a random delay, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayRange {
    /// Minimum delay, microseconds.
    pub min: Micros,
    /// Maximum delay, microseconds; not less than `min`.
    pub max: Micros,
}

impl DelayRange {
    /// Draws a delay from the range, which includes both bounds.
    pub fn sample(self, rng: &mut impl rand::Rng) -> Micros {
        rng.gen_range(self.min..=self.max)
    }
}

/// Time limits of the five rules, microseconds.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Time after the drain notice in which a host may still receive new attempts, microseconds.
    pub drain_grace: Micros,
    /// Time after the notification of a purge in which an older copy may still be served, microseconds.
    pub purge_grace: Micros,
    /// Time after a purge by which no host may have a copy older than the purge, microseconds.
    pub purge_deadline: Micros,
    /// Delay with which a dispatcher is notified of a purge.
    pub purge_delay: DelayRange,
    /// Delay with which a dispatcher is notified of an endpoint list update.
    pub endpoint_update_delay: DelayRange,
    /// Tolerated scheduling delay of the test bed itself, microseconds. A run that exceeds it is not evaluated.
    pub timing_tolerance: Micros,
}

/// Limits on all dispatchers together. A limit of 0 is not checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLimits {
    /// Maximum number of requests in flight at a cache host, per unit of its weight.
    pub in_flight: f64,
    /// Maximum number of retries per first attempt, within any 2 s.
    pub retries: f64,
    /// Minimum of Jain's fairness index over the dispatchers' shares of served requests.
    pub fairness: f64,
    /// Minimum service of the unaffected sites, as a share of their service in the same run without site faults.
    pub unaffected_service: f64,
}

/// Weights of three service metrics in the objective.
#[derive(Clone, Copy, Debug)]
pub struct ObjectiveWeights {
    /// Weight of the service over the whole run.
    pub whole: f64,
    /// Weight of the service in the worst 10 s of the run.
    pub worst_10s: f64,
    /// Weight of the service of the worst class.
    pub worst_class: f64,
}

/// Limits that a run is checked against, and the weights of its objective.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time limits of the five rules.
    pub rules: RuleLimits,
    /// Weights of the service metrics in the objective.
    pub objective: ObjectiveWeights,
    /// Limits on all dispatchers together.
    pub fleet: FleetLimits,
}
