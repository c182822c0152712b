//! Outcomes of attempts: updates the learned state and decides the next step of the request.
use super::copy_locations::CopyKey;
use super::latency::ResponseTiming;
use super::requests::{Attempt, OpenRequest};
use super::retry::{is_rejected_too_often, rejection_backoff};
use super::{Route, Router};
use crate::action::Action;
use crate::event::{AttemptOutcome, AttemptStatus, CacheStatus};
use crate::ids::{EndpointId, IdempotencyKey, Micros};
use crate::settings::Idempotency;

/// Where the fault of a failed attempt lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    None,
    /// The endpoint that the attempt was sent to.
    Endpoint,
    /// The source of the fill.
    Source,
}

/// An attempt that has ended, with its outcome and the properties of its request.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub(super) attempt: Attempt,
    pub(super) outcome: AttemptOutcome,
    class: usize,
    idempotency_key: Option<IdempotencyKey>,
    copy: CopyKey,
    request_size_kb: Option<f64>,
    request_closed: bool,
}

impl EndedAttempt {
    /// Removes the attempt that an outcome belongs to from its request, and updates the request. Returns `None` if no
    /// such attempt is in flight.
    fn take(request: &mut OpenRequest, outcome: AttemptOutcome) -> Option<Self> {
        let attempt = request.take_attempt(outcome.attempt)?;
        let ended = Self {
            class: request.request.class,
            idempotency_key: request.request.idempotency_key,
            copy: CopyKey::of(&request.request),
            request_size_kb: request.request.size_kb,
            request_closed: request.closed || outcome.request_closed,
            attempt,
            outcome,
        };
        if ended.may_have_run() && request.first_run.is_none() {
            request.first_run = Some(ended.attempt.as_run());
        }
        request.rejections += u32::from(ended.lacked_capacity());
        request.avoid_origin |= ended.outcome.cache_status == CacheStatus::OriginFailed;
        Some(ended)
    }

    /// Whether the attempt never reached the endpoint.
    fn was_not_sent(&self) -> bool {
        matches!(
            self.outcome.status,
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        )
    }

    fn may_have_run(&self) -> bool {
        let did_not_run = matches!(
            self.outcome.status,
            AttemptStatus::Rejected | AttemptStatus::Miss
        );
        !self.was_not_sent() && !did_not_run
    }

    fn lacked_capacity(&self) -> bool {
        self.outcome.status == AttemptStatus::Rejected
            || self.outcome.cache_status == CacheStatus::FillLimitReached
    }

    /// Whether the response was served from a cached copy, as far as the cache status tells.
    fn served_from_cache(&self) -> bool {
        matches!(
            self.outcome.cache_status,
            CacheStatus::Hit | CacheStatus::Stale | CacheStatus::Unreported
        )
    }
}

impl Router {
    pub(super) fn on_outcome(
        &mut self,
        now: Micros,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(outcome.request) else {
            return;
        };
        let Some(ended) = EndedAttempt::take(request, outcome) else {
            return;
        };
        let size_kb = ended.outcome.size_kb.or(ended.request_size_kb);
        let size_kb = self.transfer_times.usable_size(size_kb);
        let timing = ResponseTiming {
            elapsed: ended.outcome.elapsed,
            transfer_s: self.transfer_times.seconds(ended.class, size_kb),
            size_known: size_kb.is_some(),
        };
        self.update_recent_runs(&ended);
        self.release_load(&ended);
        if ended.outcome.status == AttemptStatus::Ok {
            self.learn_from_response(&ended, timing);
        }
        self.adapt_limits(&ended, timing);
        let fault = self.attribute_fault(now, &ended);
        self.follow_up(now, &ended, fault, actions);
    }

    /// Records whether the attempt may have run the idempotency key of its request.
    fn update_recent_runs(&mut self, ended: &EndedAttempt) {
        let idempotency = self.settings.classes[ended.class].idempotency;
        let (Some(key), Idempotency::WithKey { window, .. }) = (ended.idempotency_key, idempotency)
        else {
            return;
        };
        let run = ended.attempt.as_run();
        if ended.may_have_run() {
            self.recent_runs.record(key, run, window);
        } else {
            self.recent_runs.retract(key, run);
        }
    }

    /// Removes the attempt from the load of its endpoint and source, and refunds warm-up work that was not done.
    fn release_load(&mut self, ended: &EndedAttempt) {
        let attempt = &ended.attempt;
        let request = ended.outcome.request;
        let was_not_sent = ended.was_not_sent();
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            let size_kb = ended.request_size_kb.unwrap_or(1.0);
            endpoint
                .load
                .remove_request(size_kb, attempt.is_cached_only());
            if was_not_sent {
                endpoint.warm_up.refund(attempt.sent_at, request);
            }
        }
        let source = attempt.upstream();
        if let Some(source) = source.and_then(|source| self.endpoints.get_mut(source)) {
            source.load.fills = source.load.fills.saturating_sub(1);
            let never_reached_source =
                was_not_sent || ended.outcome.cache_status == CacheStatus::Hit;
            if never_reached_source {
                source.warm_up.refund(attempt.sent_at, request);
            }
        }
    }

    fn learn_from_response(&mut self, ended: &EndedAttempt, timing: ResponseTiming) {
        let endpoint = ended.attempt.endpoint;
        self.copy_locations.record(ended.copy, endpoint);
        let class = &self.settings.classes[ended.class];
        if ended.served_from_cache() && !class.uncacheable {
            let log_slowness = timing.log_slowness();
            self.zone_slowness.observe_in_zone(log_slowness);
            if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                endpoint.health.slowness.observe_at_cache(log_slowness);
            }
        }
        if ended.request_size_kb.is_some() {
            return;
        }
        // If the size is unknown, only fast hits are samples: slow ones would raise the threshold of lateness. Fast
        // hits exclude large objects, so they are not used once requests have reported sizes.
        let is_fast = timing.elapsed <= class.latency_objective;
        if timing.size_known {
            self.transfer_times.learn(ended.class, timing.transfer_s);
        } else if ended.served_from_cache() && is_fast && !self.transfer_times.sizes_reported() {
            let elapsed_s = timing.elapsed as f64 / 1e6;
            self.transfer_times.learn(ended.class, elapsed_s);
        }
    }

    /// Adapts the limit of the component that made the response late or timely: the origin, the source, the link into
    /// the zone, or the cache. An attempt without a response changes no limit.
    fn adapt_limits(&mut self, ended: &EndedAttempt, timing: ResponseTiming) {
        let status = ended.outcome.status;
        let source = ended.attempt.upstream();
        let late = timing.is_late(&self.settings.classes[ended.class], status);
        match (status, ended.outcome.cache_status) {
            (AttemptStatus::Miss | AttemptStatus::Cancelled | AttemptStatus::Timeout, _) => {}
            _ if ended.was_not_sent() => {}
            (AttemptStatus::Ok, CacheStatus::FilledByOrigin) | (_, CacheStatus::OriginFailed)
                if source.is_some() =>
            {
                self.adapt_traffic_share(self.endpoints.origin(), late);
            }
            (_, CacheStatus::SourceRejected) => self.adapt_traffic_share(source, true),
            (AttemptStatus::Ok, CacheStatus::Filled | CacheStatus::Coalesced) => {
                self.fill_limit.adapt(late, 1.0);
                self.adapt_traffic_share(source, late);
            }
            _ => self.adapt_concurrency_limit(ended.attempt.endpoint, late),
        }
    }

    pub(super) fn adapt_traffic_share(&mut self, id: Option<EndpointId>, late: bool) {
        if let Some(endpoint) = id.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.traffic_share.adapt(late);
        }
    }

    fn adapt_concurrency_limit(&mut self, id: EndpointId, late: bool) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let limit = &mut endpoint.concurrency_limit;
        if late || limit.is_used(endpoint.load.requests, &self.fleet) {
            limit.adapt(late, endpoint.entry.weight);
        }
    }

    /// Decides how a request continues after an attempt has ended: it is closed or finished, or gets a cached-only or another
    /// attempt. Also excludes the endpoint at fault and sets the backoff. While another attempt of the request is in flight,
    /// does nothing.
    fn follow_up(
        &mut self,
        now: Micros,
        ended: &EndedAttempt,
        fault: Fault,
        actions: &mut Vec<Action>,
    ) {
        let id = ended.outcome.request;
        if ended.request_closed {
            return self.close(id, actions);
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.in_flight.is_empty() {
            return;
        }
        exclude_at_fault(request, &ended.attempt, fault);
        let failed_repeatedly = fault != Fault::None && request.attempts_sent > 1;
        let uncacheable = self.settings.classes[ended.class].uncacheable;
        if uncacheable && (ended.lacked_capacity() || failed_repeatedly) {
            request.backoff_until = now + rejection_backoff(request.rejections);
            request.excluded.clear();
        } else if is_rejected_too_often(request.rejections) {
            return self.finish(id, actions);
        }
        if self.may_serve_stale(now, ended, fault) {
            let route = Route::cached_only(ended.attempt.endpoint);
            return self.send(now, id, route, actions);
        }
        self.proceed(now, id, actions);
    }

    /// Whether a failed fill is followed by a cached-only attempt at the same cache (stale-if-error).
    fn may_serve_stale(&self, now: Micros, ended: &EndedAttempt, fault: Fault) -> bool {
        let class = &self.settings.classes[ended.class];
        let fill_failed =
            fault == Fault::Source && ended.outcome.cache_status != CacheStatus::SourceMiss;
        let class_allows = class.fresh_for > 0 && class.stale_if_error > 0;
        let Some(request) = self.requests.get(ended.outcome.request) else {
            return false;
        };
        fill_failed
            && class_allows
            && !request.cached_only_tried
            && self.has_attempts_and_time_left(now, request)
            && self
                .endpoints
                .get(ended.attempt.endpoint)
                .is_some_and(|cache| self.accepts_new_requests(now, cache, ended.class))
    }
}

/// Excludes the endpoint at fault from further attempts of the request.
fn exclude_at_fault(request: &mut OpenRequest, attempt: &Attempt, fault: Fault) {
    match fault {
        Fault::None => {}
        Fault::Endpoint => request.excluded.push(attempt.endpoint),
        Fault::Source => {
            let source = attempt.upstream().unwrap_or(attempt.endpoint);
            request.excluded.push(source);
        }
    }
}
