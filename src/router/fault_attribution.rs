//! Fault attribution: decides which endpoint a failed attempt counts against.
use super::outcome::{EndedAttempt, Fault};
use super::outlier::{Severity, SCORE_STEP};
use super::requests::Attempt;
use super::{Router, MS};
use crate::event::{AttemptStatus, CacheStatus};
use crate::ids::{EndpointId, Micros};
use crate::settings::CacheStatusDetail;

/// Longest time that a cache of the zone takes to reject a request; a slower rejection comes from the source.
const LONGEST_LOCAL_REJECTION: Micros = 5 * MS;
/// Weight of a response without a cache status in the failure score of the source: most such responses are hits,
/// which say little about the source.
const UNREPORTED_SCORE_STEP: f64 = SCORE_STEP / 4.0;

impl Router {
    /// Records the outcome at the endpoint and its source, and returns where the fault lies.
    pub(super) fn attribute_fault(&mut self, now: Micros, ended: &EndedAttempt) -> Fault {
        let attempt = &ended.attempt;
        let status = ended.outcome.status;
        let answered_since_send = self.answered_since(attempt.endpoint, attempt.sent_at);
        self.record_presence(now, attempt.endpoint, status);
        match (status, ended.outcome.cache_status) {
            (AttemptStatus::Ok, cache_status) => {
                self.record_response(attempt, cache_status);
                Fault::None
            }
            (AttemptStatus::Miss, _) if attempt.is_cached_only() => Fault::None,
            (_, CacheStatus::SourceMiss) | (AttemptStatus::Miss, _) => Fault::Source,
            (
                _,
                CacheStatus::SourceRejected
                | CacheStatus::SourceUnreachable
                | CacheStatus::OriginFailed,
            ) => {
                self.record_reported_source_failure(now, ended);
                Fault::Source
            }
            _ if self.is_presumed_source_failure(ended) => {
                self.record_presumed_source_failure(now, ended);
                Fault::Source
            }
            (_, CacheStatus::FillLimitReached) => Fault::Endpoint,
            _ => self.attribute_by_status(now, attempt, status, answered_since_send),
        }
    }

    /// Attributes the fault of an attempt by its status alone, where the cache status does not identify it.
    fn attribute_by_status(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        status: AttemptStatus,
        answered_since_send: bool,
    ) -> Fault {
        match status {
            AttemptStatus::Ok | AttemptStatus::Miss | AttemptStatus::NotSent => Fault::None,
            AttemptStatus::Rejected => Fault::Endpoint,
            AttemptStatus::Cancelled => attempt.cancelled.unwrap_or(Fault::Endpoint),
            AttemptStatus::ConnectFailed => {
                self.record_refused_connection(now, attempt);
                Fault::Endpoint
            }
            // The cache has answered other requests since: either it lost this one or its source is slow.
            AttemptStatus::Timeout if answered_since_send => {
                self.record_slow_source(now, attempt.upstream());
                Fault::Source
            }
            // A reset is ambiguous: network failures reset connections to any endpoint. If the process has died, it
            // also refuses the next connection.
            AttemptStatus::Reset => {
                self.record_failure(now, attempt.endpoint, Severity::Ambiguous);
                Fault::Endpoint
            }
            AttemptStatus::Error | AttemptStatus::Timeout => {
                self.record_failure(now, attempt.endpoint, Severity::Ordinary);
                Fault::Endpoint
            }
        }
    }

    fn answered_since(&self, id: EndpointId, sent_at: Micros) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|endpoint| endpoint.presence.last_answer_at() >= sent_at)
    }

    /// Records that the endpoint's process is alive if the outcome includes any message from it.
    fn record_presence(&mut self, now: Micros, id: EndpointId, status: AttemptStatus) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        match status {
            AttemptStatus::Timeout
            | AttemptStatus::Cancelled
            | AttemptStatus::NotSent
            | AttemptStatus::ConnectFailed => {}
            AttemptStatus::Reset => endpoint.presence.record_reset(now),
            AttemptStatus::Ok
            | AttemptStatus::Error
            | AttemptStatus::Rejected
            | AttemptStatus::Miss => endpoint.presence.record_answer(now),
        }
    }

    /// Records a response as a success of the cache and of the source that filled it.
    fn record_response(&mut self, attempt: &Attempt, cache_status: CacheStatus) {
        self.record_success(attempt.endpoint, SCORE_STEP);
        let Some(source) = attempt.upstream() else {
            return;
        };
        match cache_status {
            CacheStatus::FilledByOrigin => {
                if let Some(origin) = self.endpoints.origin() {
                    self.record_success(origin, SCORE_STEP);
                }
                self.record_success(source, SCORE_STEP);
            }
            CacheStatus::Filled => self.record_success(source, SCORE_STEP),
            CacheStatus::Unreported => self.record_success(source, UNREPORTED_SCORE_STEP),
            _ => {}
        }
    }

    /// Records a failure of the source, or of the origin behind it, that the cache reported.
    fn record_reported_source_failure(&mut self, now: Micros, ended: &EndedAttempt) {
        let cache_status = ended.outcome.cache_status;
        let origin = self
            .endpoints
            .origin()
            .filter(|_| cache_status == CacheStatus::OriginFailed);
        let Some(source) = origin.or(ended.attempt.upstream()) else {
            return;
        };
        let severity = match cache_status {
            CacheStatus::SourceUnreachable if ended.outcome.status == AttemptStatus::Error => {
                Severity::Interrupted
            }
            CacheStatus::SourceUnreachable => Severity::Unreachable,
            _ => Severity::Ordinary,
        };
        self.record_source_failure(now, source, severity);
    }

    /// Whether a failure counts against the named source although no cache status was reported: an error, or a
    /// rejection too slow to be the cache's own.
    fn is_presumed_source_failure(&self, ended: &EndedAttempt) -> bool {
        let outcome = &ended.outcome;
        let may_be_source = match outcome.status {
            AttemptStatus::Error => true,
            AttemptStatus::Rejected => outcome.elapsed > LONGEST_LOCAL_REJECTION,
            _ => false,
        };
        may_be_source
            && outcome.cache_status == CacheStatus::Unreported
            && ended.attempt.upstream().is_some()
            && self.settings.cache_status_detail == CacheStatusDetail::None
    }

    fn record_presumed_source_failure(&mut self, now: Micros, ended: &EndedAttempt) {
        if let Some(source) = ended.attempt.upstream() {
            self.record_source_failure(now, source, Severity::Ordinary);
        }
        if ended.outcome.status == AttemptStatus::Error {
            self.record_failure(now, ended.attempt.endpoint, Severity::Ordinary);
        }
    }

    fn record_source_failure(&mut self, now: Micros, source: EndpointId, severity: Severity) {
        self.record_failure(now, source, severity);
        if let Some(source) = self.endpoints.get_mut(source) {
            source.health.source_failed_at = Some(now);
        }
    }

    fn record_refused_connection(&mut self, now: Micros, attempt: &Attempt) {
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            let other_requests_in_flight = endpoint.load.requests > 0;
            if !other_requests_in_flight {
                endpoint.presence.record_refusal(attempt.sent_at, now);
            }
        }
        self.record_failure(now, attempt.endpoint, Severity::Unreachable);
    }

    /// Lowers the traffic share of a source that may be slow, which diverts some of its fills.
    fn record_slow_source(&mut self, now: Micros, source: Option<EndpointId>) {
        self.adapt_traffic_share(source, true);
        if let Some(source) = source {
            self.record_failure(now, source, Severity::Ambiguous);
        }
    }

    fn record_success(&mut self, id: EndpointId, step: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.record_success(step);
        }
    }

    pub(super) fn record_failure(&mut self, now: Micros, id: EndpointId, severity: Severity) {
        let random = self.random.next();
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let recent_transfer_s = self.recent_demand.mean_transfer_s();
        let probe_interval = self.slow_start.probe_interval(
            endpoint,
            &self.fleet,
            &self.transfer_times,
            recent_transfer_s,
        );
        endpoint
            .health
            .record_failure(now, severity, probe_interval, random);
    }
}
