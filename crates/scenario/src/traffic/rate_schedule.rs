//! Variation of the request rate by waves and bursts.
use crate::script::FaultKind;
use crate::Scenario;
use pointspindle::Micros;

/// Minimum factor of the rate. At a factor of 0, time would not advance to the next call.
const MIN_RATE_FACTOR: f64 = 1e-3;

/// Maximum step of the integration, microseconds.
const MAX_STEP_US: f64 = 1_000.0;

/// Maps arrival times at a constant rate to arrival times at the scenario's varying rate. The random numbers drawn are
/// the same as at a constant rate.
pub(super) struct RateSchedule<'a> {
    scenario: &'a Scenario,
    /// Time reached on the scale of the varying rate, microseconds.
    time: f64,
    /// Time reached on the scale of the constant rate, microseconds.
    constant_rate_time: f64,
}

impl<'a> RateSchedule<'a> {
    pub(super) fn new(scenario: &'a Scenario) -> Self {
        Self {
            scenario,
            time: 0.0,
            constant_rate_time: 0.0,
        }
    }

    /// Returns the rate at a time, as a multiple of the constant rate.
    fn rate_factor(&self, time: f64) -> f64 {
        let workload = &self.scenario.workload;
        let phase = time / workload.wave_period as f64 * std::f64::consts::TAU;
        let burst_factor: f64 = self
            .scenario
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Burst && fault.is_active(time as Micros))
            .map(|fault| fault.severity)
            .product();
        ((1.0 + workload.wave_depth * phase.sin()) * burst_factor).max(MIN_RATE_FACTOR)
    }

    fn is_constant(&self) -> bool {
        let faults = &self.scenario.faults;
        self.scenario.workload.wave_depth == 0.0
            && faults.iter().all(|fault| fault.kind != FaultKind::Burst)
    }

    /// Returns the time at the varying rate that corresponds to a time at the constant rate, microseconds.
    /// `constant_rate_time` must not decrease from call to call.
    pub(super) fn time_of(&mut self, constant_rate_time: f64) -> f64 {
        if self.is_constant() {
            return constant_rate_time;
        }
        while self.constant_rate_time < constant_rate_time
            && self.time < self.scenario.duration() as f64
        {
            let factor = self.rate_factor(self.time);
            let step = ((constant_rate_time - self.constant_rate_time) / factor).min(MAX_STEP_US);
            self.time += step;
            self.constant_rate_time += step * factor;
        }
        self.time
    }
}
