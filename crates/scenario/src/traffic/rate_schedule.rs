//! Request rates that vary: waves and bursts.
use crate::script::FaultKind;
use crate::Scenario;
use pointspindle::Micros;

/// Least factor of the rate: at 0 no further call would come.
const MIN_RATE_FACTOR: f64 = 1e-3;

/// Longest step of the integration, microseconds.
const MAX_STEP_US: f64 = 1_000.0;

/// Maps arrival times at a steady rate to those at the scenario's varying rate. The random numbers stay those of the
/// steady rate.
pub(super) struct RateSchedule<'a> {
    scenario: &'a Scenario,
    /// Time reached at the varying rate, microseconds.
    time: f64,
    /// The same at the steady rate, microseconds.
    steady_time: f64,
}

impl<'a> RateSchedule<'a> {
    pub(super) fn new(scenario: &'a Scenario) -> Self {
        Self {
            scenario,
            time: 0.0,
            steady_time: 0.0,
        }
    }

    /// The rate at a time as a multiple of the steady rate.
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

    fn is_steady(&self) -> bool {
        let faults = &self.scenario.faults;
        self.scenario.workload.wave_depth == 0.0
            && faults.iter().all(|fault| fault.kind != FaultKind::Burst)
    }

    /// The time at the varying rate for a time at the steady rate, which must not decrease; microseconds.
    pub(super) fn time_of(&mut self, steady_time: f64) -> f64 {
        if self.is_steady() {
            return steady_time;
        }
        while self.steady_time < steady_time && self.time < self.scenario.duration() as f64 {
            let factor = self.rate_factor(self.time);
            let step = ((steady_time - self.steady_time) / factor).min(MAX_STEP_US);
            self.time += step;
            self.steady_time += step * factor;
        }
        self.time
    }
}
