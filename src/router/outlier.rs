//! Outlier detection: failure score, ejection and recovery.
use super::latency::Slowness;
use super::MS;
use crate::ids::Micros;

/// Weight of one outcome in the failure score.
pub(super) const SCORE_STEP: f64 = 0.2;
/// Weight of a failure that may be the fault of another endpoint or of the network.
const AMBIGUOUS_SCORE_STEP: f64 = 0.1;
/// Failure score at which an endpoint is ejected.
const EJECTION_SCORE: f64 = 0.4;
/// Lowest failure score of an endpoint after it was unreachable or silent.
const UNREACHABLE_SCORE: f64 = 0.5;
/// Failure score below which an endpoint is trusted again after an ejection.
const TRUSTED_SCORE: f64 = 0.3;
/// Mean duration of the first ejection. Each further ejection lasts twice as long, up to `LONGEST_EJECTION`.
const FIRST_EJECTION: Micros = 500 * MS;
const LONGEST_EJECTION: Micros = 4_000 * MS;

/// How strongly a failure counts against an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Severity {
    /// The failure may be the fault of another endpoint or of the network.
    Ambiguous,
    /// The endpoint failed a request.
    Ordinary,
    /// The endpoint did not complete a fill: it is ejected at once.
    Interrupted,
    /// The endpoint refused a connection or is silent: it is ejected at once, and repeated ejections last at least the
    /// probe interval.
    Unreachable,
}

impl Severity {
    fn step(self) -> f64 {
        match self {
            Self::Ambiguous => AMBIGUOUS_SCORE_STEP,
            Self::Ordinary | Self::Interrupted | Self::Unreachable => SCORE_STEP,
        }
    }

    /// Returns the lowest failure score after the failure.
    fn min_score(self) -> f64 {
        match self {
            Self::Ambiguous | Self::Ordinary => 0.0,
            Self::Interrupted => EJECTION_SCORE,
            Self::Unreachable => UNREACHABLE_SCORE,
        }
    }
}

/// Observed health of one incarnation of an endpoint.
///
/// Reset when a new incarnation starts; dropped with the endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    failure_score: f64,
    /// Number of ejections since the endpoint was last trusted.
    ejections: u32,
    ejected_until: Micros,
    pub(super) slowness: Slowness,
    /// Time at which the endpoint last failed as the source of a fill.
    pub(super) source_failed_at: Option<Micros>,
}

impl Health {
    /// Whether the endpoint accepts a request. It accepts none while ejected; after an ejection it is probed with one
    /// request at a time until it is trusted again.
    pub(super) fn accepts_requests(&self, now: Micros, idle: bool) -> bool {
        now >= self.ejected_until && (!self.is_suspect() || self.ejections == 0 || idle)
    }

    /// Whether the failure score is too high for the endpoint to be trusted.
    pub(super) fn is_suspect(&self) -> bool {
        self.failure_score >= TRUSTED_SCORE
    }

    pub(super) fn record_success(&mut self, step: f64) {
        self.failure_score *= 1.0 - step;
        if self.failure_score < TRUSTED_SCORE / 2.0 {
            self.ejections = 0;
        }
    }

    /// Raises the failure score and ejects the endpoint if the score reaches `EJECTION_SCORE`. `probe_interval` is the
    /// shortest time between probes of an unreachable endpoint; `random` spreads the probes of several routers.
    pub(super) fn record_failure(
        &mut self,
        now: Micros,
        severity: Severity,
        probe_interval: Micros,
        random: u64,
    ) {
        let step = severity.step();
        self.failure_score = (self.failure_score * (1.0 - step) + step).max(severity.min_score());
        if self.failure_score < EJECTION_SCORE || now < self.ejected_until {
            return;
        }
        let unreachable_again = severity == Severity::Unreachable && self.ejections > 0;
        let min_duration = if unreachable_again { probe_interval } else { 0 };
        let duration = (FIRST_EJECTION << self.ejections.min(8))
            .min(LONGEST_EJECTION)
            .max(min_duration);
        self.ejected_until = now + duration - duration / 4 + random % (duration / 2);
        self.ejections += 1;
    }
}
