//! Handling of the inputs that concern one request: its arrival, the progress of its attempts, the disconnect of its client,
//! and its timers.
use super::attempt::{AttemptResult, AttemptTerms};
use super::timers::Timer;
use super::work_requests::WaitingRequest;
use super::{ClientRequest, Core, Output, MICROS_PER_SECOND};
use pointspindle::{AttemptStatus, Event, Micros, ObjectId, Request, RequestId};
use pointspindle_protocol::WireCacheStatus;

impl Core {
    pub(super) fn on_request(
        &mut self,
        now: Micros,
        number: u64,
        client_request: ClientRequest,
        outputs: &mut Vec<Output>,
    ) {
        self.requests.insert(number, &client_request);
        let request = Request {
            id: RequestId(number),
            class: client_request.class,
            object: ObjectId::named(&client_request.object),
            part: client_request.part,
            group: client_request.group,
            time_left: client_request.time_left.saturating_sub(self.answer_slack),
            size_kb: client_request.size.map(kilobytes),
            idempotency_key: client_request.idempotency_key,
        };
        self.purge_if_missed(now, request.group, outputs);
        if !self.wait_for_lease(now, &request, outputs) {
            self.process_event(now, Event::Request(request), outputs);
        }
    }

    /// Queues a request for a work lease, if its home endpoint grants work on request and the work granted to this
    /// dispatcher does not cover the request. Returns whether the request was queued.
    fn wait_for_lease(
        &mut self,
        now: Micros,
        request: &Request,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if !self.work_requests.has_endpoint_on_request() {
            return false;
        }
        let Some((endpoint, work_s)) = self.router.warm_up_shortfall(now, request) else {
            return false;
        };
        let Some(address) = self.endpoints.address(endpoint) else {
            return false;
        };
        let Some(deadline) = self.work_requests.enqueue(now, endpoint, request) else {
            return false;
        };
        self.timers.set(deadline, Timer::WorkRequest(request.id.0));
        outputs.push(Output::RequestWork {
            endpoint: address,
            // Rounded up, since the request is admitted only if the granted work covers its cost.
            work_us: (work_s * MICROS_PER_SECOND) as u64 + 1,
        });
        true
    }

    /// Passes a request that no longer waits for a lease to the router.
    pub(super) fn resume_waiting(
        &mut self,
        now: Micros,
        waiting: WaitingRequest,
        outputs: &mut Vec<Output>,
    ) {
        let timer = Timer::WorkRequest(waiting.request.id.0);
        self.timers.cancel(waiting.deadline, timer);
        self.process_event(now, Event::Request(waiting.into_request(now)), outputs);
    }

    pub(super) fn on_response_started(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        cache_status: WireCacheStatus,
        size: Option<u64>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.unfinished_mut(request) else {
            return;
        };
        let Some(in_flight) = open.attempt_mut(attempt) else {
            return;
        };
        in_flight.cache_status = cache_status;
        in_flight.size_kb = size.map(kilobytes);
        let endpoint = in_flight.endpoint;
        open.is_committed = true;
        self.endpoints.mark_seen(now, endpoint);
        outputs.push(Output::ForwardResponse { request, attempt });
        self.process_event(now, Event::ResponseStarted(endpoint), outputs);
    }

    /// Ends an attempt in flight: notifies the router once, and completes or aborts a response that is being forwarded.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        result: AttemptResult,
        outputs: &mut Vec<Output>,
    ) {
        if !self.requests.is_in_flight(request, attempt) {
            return;
        }
        match self.requests.get_mut(request) {
            Some(open) if open.is_committed && result.status == AttemptStatus::Ok => {
                open.is_done = true;
            }
            _ => self.abort_response(request, outputs),
        }
        if let Some(event) = self.take_attempt(now, request, result) {
            self.process_event(now, event, outputs);
        }
        self.requests.remove_if_finished(request);
    }

    pub(super) fn on_client_disconnected(
        &mut self,
        now: Micros,
        request: u64,
        outputs: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let was_done = std::mem::replace(&mut open.is_done, true);
        if let Some(waiting) = self.work_requests.take(request) {
            self.timers
                .cancel(waiting.deadline, Timer::WorkRequest(request));
        }
        if !was_done {
            let event = Event::ClientDisconnected(RequestId(request));
            self.process_event(now, event, outputs);
        }
        self.requests.remove_if_finished(request);
    }

    /// Gives a final response to every request whose response is not being forwarded yet.
    pub(super) fn finish_all(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        // Requests that wait for a lease have not been passed to the router yet.
        for waiting in self.work_requests.take_all() {
            self.resume_waiting(now, waiting, outputs);
        }
        for number in self.requests.unanswered() {
            self.process_event(now, Event::FinishNow(RequestId(number)), outputs);
        }
    }

    pub(super) fn on_tick(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Router(token) => self.process_event(now, Event::Timer(token), outputs),
                Timer::WorkRequest(request) => {
                    if let Some(waiting) = self.work_requests.take(request) {
                        self.resume_waiting(now, waiting, outputs);
                    }
                }
                // `Core::handle` refreshes the counts on each input, when a refresh is due.
                Timer::FleetCounts => {}
                Timer::Attempt { request, attempt } => {
                    self.on_attempt_timeout(now, request, attempt, outputs);
                }
            }
        }
    }

    fn on_attempt_timeout(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        outputs: &mut Vec<Output>,
    ) {
        if self.requests.is_in_flight(request, attempt) {
            outputs.push(Output::CancelAttempt { request, attempt });
            let result = AttemptResult::new(AttemptStatus::Timeout);
            self.end_attempt(now, request, attempt, result, outputs);
        }
    }

    /// Begins an attempt and returns its terms, or returns `None` if the attempt may not begin. The shell calls this
    /// immediately before it sends the attempt's first byte, since circumstances may have changed after the router requested
    /// the attempt: the client may have disconnected or been answered, the deadline or the window of the idempotency key may
    /// have passed, the endpoint or the source of the fill may be draining or removed, or the object may have been purged.
    ///
    /// If terms are returned, the shell must report the attempt's end to the core. If `None` is returned, the shell sends
    /// nothing, and reports [`AttemptEnd::NotSent`](super::AttemptEnd::NotSent) if the request is still open.
    pub fn begin(&mut self, now: Micros, request: u64, attempt: u32) -> Option<AttemptTerms> {
        if !self.may_start_attempt(now, request, attempt) {
            return None;
        }
        let open = self.requests.get_mut(request)?;
        // Evaluated here and not by a timer, since the first event after a suspension of the process may be a request.
        let lease = self.purge_lease.as_ref();
        let age_limit = lease.and_then(|lease| lease.max_copy_age(now, open.class));
        let pending = open.attempt.as_mut()?;
        if let Some(limit) = age_limit {
            pending.limit_copy_age(limit);
        }
        pending.has_begun = true;
        Some(AttemptTerms {
            time_left: pending.deadline - now,
            max_age: pending.max_copy_age,
            may_coalesce: pending.may_coalesce,
            limited_by_purge_lease: age_limit.is_some(),
        })
    }

    /// Returns whether an attempt could begin now, without beginning it. Used for attempts that wait in a queue.
    pub fn may_start_attempt(&self, now: Micros, request: u64, attempt: u32) -> bool {
        let open = self.requests.unfinished(request);
        let Some(pending) = open.and_then(|open| open.attempt(attempt)) else {
            return false;
        };
        let is_ready = |id| self.endpoints.is_ready(id);
        self.router.may_start_attempt(now, RequestId(request))
            && now < pending.deadline
            && is_ready(pending.endpoint)
            && pending.source.is_none_or(is_ready)
    }
}

fn kilobytes(bytes: u64) -> f64 {
    bytes as f64 / 1024.0
}
