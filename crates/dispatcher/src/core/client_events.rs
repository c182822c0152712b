//! Inputs of one request: its arrival, its attempts' progress, its client's disconnect, and its timers.
use super::attempt::{AttemptTerms, EndReport};
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
        };
        self.purge_if_missed(now, request.group, outputs);
        if !self.wait_for_lease(now, &request, outputs) {
            self.drive(now, Event::Request(request), outputs);
        }
    }

    /// Lets a request wait for a lease of its home endpoint, if that grants work on request and none is left here.
    fn wait_for_lease(
        &mut self,
        now: Micros,
        request: &Request,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if !self.work_requests.is_needed() {
            return false;
        }
        let Some((endpoint, work_s)) = self.router.warm_up_shortfall(now, request) else {
            return false;
        };
        let Some(address) = self.endpoints.address(endpoint) else {
            return false;
        };
        let Some(deadline) = self.work_requests.wait(now, endpoint, request) else {
            return false;
        };
        self.timers.set(deadline, Timer::WorkRequest(request.id.0));
        outputs.push(Output::RequestWork {
            endpoint: address,
            // Rounded up, since the granted work is compared with the request's cost.
            work_us: (work_s * MICROS_PER_SECOND) as u64 + 1,
        });
        true
    }

    /// Lets the router decide about a request that no longer waits for a lease.
    pub(super) fn resume_waiting(
        &mut self,
        now: Micros,
        waiting: WaitingRequest,
        outputs: &mut Vec<Output>,
    ) {
        let timer = Timer::WorkRequest(waiting.request.id.0);
        self.timers.cancel(waiting.deadline, timer);
        self.drive(now, Event::Request(waiting.into_request(now)), outputs);
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
        self.drive(now, Event::ResponseStarted(endpoint), outputs);
    }

    /// Ends an attempt in flight: the router is notified once, and a response that was being forwarded ends with it.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        report: EndReport,
        outputs: &mut Vec<Output>,
    ) {
        if !self.requests.is_in_flight(request, attempt) {
            return;
        }
        match self.requests.get_mut(request) {
            Some(open) if open.is_committed && report.status == AttemptStatus::Ok => {
                open.is_done = true;
            }
            _ => self.abort_response(request, outputs),
        }
        if let Some(event) = self.take_attempt(now, request, report) {
            self.drive(now, event, outputs);
        }
        self.requests.remove_if_over(request);
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
            self.drive(now, event, outputs);
        }
        self.requests.remove_if_over(request);
    }

    /// Gives every request without a response its final one.
    pub(super) fn finish_all(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        // The router does not know the requests that wait for a lease yet.
        for waiting in self.work_requests.take_all() {
            self.resume_waiting(now, waiting, outputs);
        }
        for number in self.requests.unanswered() {
            self.drive(now, Event::FinishNow(RequestId(number)), outputs);
        }
    }

    pub(super) fn on_tick(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Router(token) => self.drive(now, Event::Timer(token), outputs),
                Timer::WorkRequest(request) => {
                    if let Some(waiting) = self.work_requests.take(request) {
                        self.resume_waiting(now, waiting, outputs);
                    }
                }
                // Each input refreshes the counts if they are due.
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
            let report = EndReport::new(AttemptStatus::Timeout);
            self.end_attempt(now, request, attempt, report, outputs);
        }
    }

    /// Whether an attempt may begin, and on what terms. The shell calls this right before the attempt's first byte: since it
    /// was ordered the client may have disconnected or been answered, the deadline or the window of its idempotency key may
    /// have passed, the endpoint or the source of its fill may be draining or removed, or the object may have been purged.
    /// None: nothing is sent, and the attempt ends as [`AttemptEnd::NotSent`](super::AttemptEnd::NotSent).
    ///
    /// With terms, the attempt's end is owed to the core. Without, that end is owed if the request is still open.
    pub fn begin(&mut self, now: Micros, request: u64, attempt: u32) -> Option<AttemptTerms> {
        if !self.may_begin(now, request, attempt) {
            return None;
        }
        let open = self.requests.get_mut(request)?;
        // Computed here and not by a timer: the first event of a process that was suspended may be a request.
        let lease = self.purge_lease.as_ref();
        let age_limit = lease.and_then(|lease| lease.max_copy_age(now, open.class));
        let ordered = open.attempt.as_mut()?;
        if let Some(limit) = age_limit {
            ordered.limit_copy_age(limit);
        }
        ordered.has_begun = true;
        Some(AttemptTerms {
            time_left: ordered.deadline - now,
            max_copy_age: ordered.max_copy_age,
            may_coalesce: ordered.may_coalesce,
            limited_by_purge_lease: age_limit.is_some(),
        })
    }

    /// Whether an attempt could begin now, without beginning it; for attempts that wait in a queue.
    pub fn may_begin(&self, now: Micros, request: u64, attempt: u32) -> bool {
        let open = self.requests.unfinished(request);
        let Some(ordered) = open.and_then(|open| open.attempt(attempt)) else {
            return false;
        };
        let is_ready = |id| self.endpoints.is_ready(id);
        self.router.may_begin(now, RequestId(request))
            && now < ordered.deadline
            && is_ready(ordered.endpoint)
            && ordered.source.is_none_or(is_ready)
    }
}

fn kilobytes(bytes: u64) -> f64 {
    bytes as f64 / 1024.0
}
