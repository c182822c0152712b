//! Request lifecycle: sending the next attempt, waiting, and the final response.
use super::fill_source::{Diversion, FillPlan};
use super::requests::{Attempt, OpenRequest};
use super::retry::{client_may_repeat, client_retry_after, may_retry};
use super::{Choice, Route, Router, CHECK_INTERVAL};
use crate::action::Action;
use crate::event::Request;
use crate::ids::{EndpointId, IdempotencyKey, Micros, RequestId};
use crate::settings::Idempotency;

impl Router {
    pub(super) fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class) else {
            return actions.push(Action::Reject {
                request: id,
                retry_after: None,
            });
        };
        let priority_weight = class.priority_weight;
        self.transfer_times
            .learn_from_request(request.class, request.size_kb);
        let transfer_s = self.transfer_times.seconds(request.class, request.size_kb);
        self.recent_demand.record(priority_weight, transfer_s);
        let key = request.idempotency_key;
        let earlier_run = key.and_then(|key| self.recent_runs.get(now, key));
        let open = OpenRequest::new(now, request, earlier_run);
        self.requests.insert(id, open);
        self.proceed(now, id, actions);
    }

    /// Decides the next step of a request that has no attempt in flight: sends an attempt, waits, or finishes the
    /// request.
    pub(super) fn proceed(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let choice =
            if !self.has_attempts_and_time_left(now, request) || !self.may_retry(now, request) {
                Choice::Finish
            } else if now < request.backoff_until {
                Choice::Wait
            } else {
                self.choose(now, request)
            };
        match choice {
            Choice::Send(route) => self.send(now, id, route, actions),
            Choice::Wait => self.requests.start_waiting(id),
            Choice::Finish => self.finish(id, actions),
        }
    }

    /// Whether the request has both attempts and time left for another attempt.
    pub(super) fn has_attempts_and_time_left(&self, now: Micros, request: &OpenRequest) -> bool {
        request.attempts_sent < self.settings.max_attempts
            && now + CHECK_INTERVAL < request.deadline
    }

    /// Whether an attempt that was delayed after its `Send` action may still be started.
    pub fn may_start_attempt(&self, now: Micros, id: RequestId) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| !request.closed && self.may_retry(now, request))
    }

    /// Whether an attempt of any request may have run this key, as far as this router knows.
    pub fn may_have_run(&self, now: Micros, key: IdempotencyKey) -> bool {
        self.recent_runs.get(now, key).is_some()
    }

    fn may_retry(&self, now: Micros, request: &OpenRequest) -> bool {
        let idempotency = self.settings.classes[request.request.class].idempotency;
        may_retry(now, request.first_run, idempotency)
    }

    /// Gives the final response: a rejection if the client may repeat the request, otherwise a failure.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| !request.closed) else {
            return;
        };
        let idempotency = self.settings.classes[request.request.class].idempotency;
        let retry_after = self
            .settings
            .retry_after
            .then_some(client_retry_after(self.settings.max_retry_after));
        actions.push(if client_may_repeat(request, idempotency) {
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.requests.close(id, self.settings.may_cancel, actions);
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        route: Route,
        actions: &mut Vec<Action>,
    ) {
        let diversion = Diversion {
            from_source: self.draw_diversion(now, route.fetched_from()),
            from_origin: self.draw_diversion(now, self.endpoints.origin()),
        };
        self.requests.stop_waiting(id);
        let Some(open) = self.requests.get(id) else {
            return;
        };
        let plan = self.plan_fill(now, &open.request, route, diversion);
        let fetch = self.fetch_directive(now, &open.request, route.endpoint, plan);
        let timeout = open.deadline - now;
        let Some(attempt) = self.record_attempt(now, id, route.endpoint, plan) else {
            return;
        };
        self.record_possible_run(id, &attempt);
        self.account_for_attempt(id, &attempt);
        actions.push(Action::Send {
            request: id,
            endpoint: route.endpoint,
            timeout,
            fetch,
        });
    }

    fn record_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        endpoint: EndpointId,
        plan: FillPlan,
    ) -> Option<Attempt> {
        let open = self.requests.get_mut(id)?;
        let attempt = Attempt {
            number: open.attempts_sent,
            endpoint,
            source: plan.source,
            sent_at: now,
            cancelled: None,
        };
        open.in_flight.push(attempt.clone());
        open.attempts_sent += 1;
        open.cached_only_tried |= attempt.is_cached_only();
        open.avoid_origin |= plan.avoid_origin;
        Some(attempt)
    }

    /// Records that an attempt may run the idempotency key of its request, until its outcome proves that it did not.
    fn record_possible_run(&mut self, id: RequestId, attempt: &Attempt) {
        let Some(request) = self.requests.get(id).map(|open| &open.request) else {
            return;
        };
        let idempotency = self.settings.classes[request.class].idempotency;
        if let (Some(key), Idempotency::WithKey { window, .. }) =
            (request.idempotency_key, idempotency)
        {
            self.recent_runs.record(key, attempt.as_run(), window);
        }
    }

    /// Adds an attempt to the load of its endpoint and of its source, and charges the warm-up budgets of both.
    fn account_for_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        let Some(open) = self.requests.get(id) else {
            return;
        };
        let size_kb = open.request.size_kb.unwrap_or(1.0);
        let work_s = self.transfer_times.budget_cost(open.request.class);
        let window = self.slow_start.charge_window();
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.load.add_request(size_kb, attempt.is_cached_only());
            endpoint.warm_up.charge(attempt.sent_at, id, work_s, window);
        }
        let source = attempt.upstream();
        if let Some(source) = source.and_then(|source| self.endpoints.get_mut(source)) {
            source.load.fills += 1;
            source.warm_up.charge(attempt.sent_at, id, work_s, window);
        }
    }
}
