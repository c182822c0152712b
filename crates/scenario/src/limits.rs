//! What a run is judged by.
use pointspindle::Micros;

/// The least and the most of a random delay, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayRange {
    /// Least delay, microseconds.
    pub min: Micros,
    /// Most delay, microseconds; not below `min`.
    pub max: Micros,
}

impl DelayRange {
    /// Draws a delay, both ends included.
    pub fn sample(self, rng: &mut impl rand::Rng) -> Micros {
        rng.gen_range(self.min..=self.max)
    }
}

/// Times that the five rules allow, microseconds.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// How long after its drain notice a host may still receive new attempts.
    pub drain_grace: Micros,
    /// How long after a purge's notification an older copy may still be served.
    pub purge_grace: Micros,
    /// After this no copy older than a purge is left anywhere.
    pub purge_deadline: Micros,
    /// Delay of a purge's notification to a dispatcher.
    pub purge_delay: DelayRange,
    /// Delay of an endpoint list update's notification to a dispatcher.
    pub endpoint_update_delay: DelayRange,
    /// Scheduling delay of the test bed itself; a run that exceeds it is not judged.
    pub timing_tolerance: Micros,
}

/// Limits on what all dispatchers do together; 0: not judged.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLimits {
    /// Requests in flight at a cache host for each unit of its weight.
    pub in_flight: f64,
    /// Retries for each first attempt, within any 2 s.
    pub retries: f64,
    /// Jain's fairness index over the dispatchers' shares of served requests.
    pub fairness: f64,
    /// Service of the unaffected sites, as a share of their service in the same run without site faults.
    pub unaffected_service: f64,
}

/// Weights of three figures of service in the objective.
#[derive(Clone, Copy, Debug)]
pub struct ObjectiveWeights {
    /// Service of the whole run.
    pub whole: f64,
    /// Service of its worst 10 s.
    pub worst_10s: f64,
    /// Service of its worst class.
    pub worst_class: f64,
}

/// What a run is judged by.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Times that the five rules allow.
    pub rules: RuleLimits,
    /// Weights of the objective.
    pub objective: ObjectiveWeights,
    /// Limits on what all dispatchers do together.
    pub fleet: FleetLimits,
}
