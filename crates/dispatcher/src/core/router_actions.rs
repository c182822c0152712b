//! Translation of the router's actions into outputs.
use super::attempt::{router_cache_status, status_label, AttemptResult};
use super::timers::Timer;
use super::{AddressedFetch, Core, Output};
use pointspindle::{
    Action, AttemptOutcome, AttemptStatus, EndpointId, Event, FetchDirective, Micros, RequestId,
};
use std::collections::VecDeque;

impl Core {
    /// Passes an event to the router, followed by the events that its actions cause immediately, until none is left.
    pub(super) fn process_event(&mut self, now: Micros, first: Event, outputs: &mut Vec<Output>) {
        let mut events = VecDeque::from([first]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(now, action, outputs));
            }
            self.actions = actions;
        }
    }

    /// Performs an action. Returns the event that it causes immediately, if any.
    fn perform(&mut self, now: Micros, action: Action, outputs: &mut Vec<Output>) -> Option<Event> {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                fetch,
            } => return self.send(now, request.0, endpoint, timeout, fetch, outputs),
            Action::Cancel { request, attempt } => {
                return self.cancel(now, request.0, attempt, outputs)
            }
            Action::Reject {
                request,
                retry_after,
            } => self.reject(request.0, retry_after, outputs),
            Action::Fail { request } => self.fail(request.0, outputs),
            Action::SetTimer { after, token } => self.timers.set(now + after, Timer::Router(token)),
        }
        None
    }

    fn send(
        &mut self,
        now: Micros,
        request: u64,
        endpoint: EndpointId,
        timeout: Micros,
        fetch: Option<FetchDirective>,
        outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        let open = self.requests.get_mut(request)?;
        let attempt = open.start_attempt(now, endpoint, timeout, fetch.as_ref());
        let source = attempt.source;
        let number = attempt.number;
        let deadline = attempt.deadline;
        let address = self.endpoints.address(endpoint);
        let source_address = source.and_then(|source| self.endpoints.address(source));
        let source_is_listed = source.is_none() || source_address.is_some();
        let Some(address) = address.filter(|_| source_is_listed) else {
            // The receiving endpoint or the source is no longer listed, so the attempt is not sent.
            return self.take_attempt(now, request, AttemptResult::new(AttemptStatus::NotSent));
        };
        let timer = Timer::Attempt {
            request,
            attempt: number,
        };
        self.timers.set(deadline, timer);
        outputs.push(Output::Send {
            request,
            attempt: number,
            endpoint: address,
            timeout,
            fetch: fetch.map(|directive| AddressedFetch::new(&directive, source_address)),
        });
        None
    }

    fn cancel(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        if !self.requests.is_in_flight(request, attempt) {
            return None;
        }
        outputs.push(Output::CancelAttempt { request, attempt });
        self.abort_response(request, outputs);
        let event = self.take_attempt(now, request, AttemptResult::new(AttemptStatus::Cancelled));
        self.requests.remove_if_finished(request);
        event
    }

    fn reject(&mut self, request: u64, retry_after: Option<Micros>, outputs: &mut Vec<Output>) {
        if self.requests.finish(request) {
            outputs.push(Output::Reject {
                request,
                retry_after,
            });
        }
    }

    fn fail(&mut self, request: u64, outputs: &mut Vec<Output>) {
        if self.requests.finish(request) {
            outputs.push(Output::Fail { request });
        }
    }

    /// Aborts the response of a request, if it is being forwarded; called when its attempt ends early.
    pub(super) fn abort_response(&mut self, request: u64, outputs: &mut Vec<Output>) {
        if self.requests.abort_response(request) {
            outputs.push(Output::AbortResponse { request });
        }
    }

    /// Removes the attempt in flight from the table. Returns its outcome as an event for the router.
    pub(super) fn take_attempt(
        &mut self,
        now: Micros,
        request: u64,
        result: AttemptResult,
    ) -> Option<Event> {
        let open = self.requests.get_mut(request)?;
        let attempt = open.attempt.take()?;
        let status = attempt.effective_status(result.status, open.is_done);
        let timer = Timer::Attempt {
            request,
            attempt: attempt.number,
        };
        self.timers.cancel(attempt.deadline, timer);
        *self.attempt_counts.entry(status_label(status)).or_default() += 1;
        let cache_status = result.cache_status.unwrap_or(attempt.cache_status);
        Some(Event::Outcome(AttemptOutcome {
            request: RequestId(request),
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            status,
            cache_status: router_cache_status(cache_status),
            elapsed: now.saturating_sub(attempt.created_at),
            size_kb: attempt.size_kb,
            request_closed: open.is_committed,
        }))
    }
}
