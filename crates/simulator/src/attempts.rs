//! Attempts of dispatchers: carries out the outputs of their cores, and reports hosts' responses to the cores.
use crate::dispatcher::ResponseHead;
use crate::event::{Event, JobEnd};
use crate::jobs::{AttemptKey, JobOwner};
use crate::simulation::Simulation;
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome};
use pointspindle_cache_model::{JobId, ModelRequest, ModelResponse};
use pointspindle_dispatcher::core::{AddressedFetch, AttemptEnd};
use pointspindle_dispatcher::{Input, Output};
use pointspindle_scenario::fault_injection::InjectedFault;
use std::sync::Arc;

/// Maximum age of a copy for requests that accept a copy of any age, microseconds.
const ANY_AGE_US: Micros = u64::MAX / 2;

/// Fetch parameters of an attempt for which the core gives none.
const NO_FETCH: AddressedFetch = AddressedFetch {
    source: None,
    retention_rank: 0,
    max_age: 0,
    coalesce: false,
    only_if_cached: true,
    revalidate: false,
};

impl From<JobEnd> for AttemptEnd {
    fn from(end: JobEnd) -> Self {
        match end {
            JobEnd::Completed => Self::Complete,
            JobEnd::Rejected {
                status,
                cache_status,
                may_have_run,
            } => Self::ErrorReported {
                status,
                cache_status,
                may_have_run,
            },
            JobEnd::ConnectionLost => Self::ConnectionLost,
            JobEnd::ConnectionRefused => Self::ConnectFailed,
        }
    }
}

impl Simulation<'_> {
    /// Carries out an output of a dispatcher's core, as the network shell of a real dispatcher does.
    pub fn core_output(&mut self, dispatcher: usize, output: Output) {
        match output {
            Output::Send {
                request,
                attempt,
                endpoint,
                fetch,
                ..
            } => {
                let key = AttemptKey {
                    dispatcher: self.dispatchers[dispatcher].identity,
                    request,
                    attempt,
                };
                self.send_attempt(key, &endpoint, fetch);
            }
            Output::CancelAttempt { request, attempt } => {
                let key = AttemptKey {
                    dispatcher: self.dispatchers[dispatcher].identity,
                    request,
                    attempt,
                };
                if let Some(job) = self.jobs.of_attempt(key) {
                    self.cancel_job(job);
                }
            }
            Output::ForwardResponse { request, .. } => {
                self.dispatchers[dispatcher].requests.forward(request);
            }
            Output::Reject {
                request,
                retry_after,
            } => self.respond(dispatcher, request, ClientOutcome::Rejected { retry_after }),
            Output::Fail { request } => {
                self.respond(dispatcher, request, ClientOutcome::Failed);
            }
            Output::AbortResponse { request } => {
                self.respond(dispatcher, request, ClientOutcome::Truncated);
            }
            Output::RequestWork { endpoint, work_us } => {
                self.send_work_request(dispatcher, &endpoint, work_us);
            }
            Output::Connect { endpoint } => {
                if let Some(host) = self.cache_model.host_by_address(&endpoint) {
                    self.connect_in(0, dispatcher, host);
                }
            }
            Output::EndpointListApplied(_) | Output::HelloApplied { .. } => {}
        }
    }

    fn send_attempt(&mut self, key: AttemptKey, endpoint: &str, fetch: Option<AddressedFetch>) {
        let dispatcher = key.dispatcher.dispatcher;
        let simulated = &self.dispatchers[dispatcher];
        let Some(id) = simulated.requests.client(key.request) else {
            return;
        };
        let Some(host) = self.cache_model.host_by_address(endpoint) else {
            return;
        };
        let must_connect = self.must_connect(dispatcher, host);
        if !must_connect
            && self
                .begin_attempt(dispatcher, key.request, key.attempt)
                .is_none()
        {
            return self.attempt_ended(key, AttemptEnd::NotSent);
        }
        let request = self.model_request(id, key.attempt, fetch);
        let owner = JobOwner::Attempt(key, id);
        let job = self.jobs.open(host, owner);
        let latency = self.latency(&owner, host);
        if must_connect {
            let connections = &self.dispatchers[dispatcher].connections;
            let connected = Event::AttemptConnected {
                job,
                request,
                known_incarnation: connections.known_incarnation(host),
            };
            self.schedule_in(2 * latency, connected);
        } else {
            self.schedule_in(latency, Event::JobArrives(job, request));
        }
    }

    fn model_request(
        &self,
        id: ClientAttemptId,
        attempt: u32,
        fetch: Option<AddressedFetch>,
    ) -> ModelRequest {
        let call = &self.calls[id.call as usize];
        let idempotent = self.is_idempotent(id);
        let has_fetch = fetch.is_some();
        let fetch = fetch.unwrap_or(NO_FETCH);
        let max_age = if self.ignores_purges() {
            ANY_AGE_US
        } else {
            fetch.max_age
        };
        let idempotency_key = if idempotent {
            String::new()
        } else {
            id.trace()
        };
        ModelRequest {
            object: Arc::from(call.object.as_str()),
            object_number: call.object_number,
            part: call.part,
            group: call.group,
            class: call.class,
            source: fetch.source,
            retention_rank: fetch.retention_rank,
            max_age,
            coalesce: fetch.coalesce,
            only_if_cached: fetch.only_if_cached && (idempotent || has_fetch),
            revalidate: fetch.revalidate,
            cached_version: None,
            idempotency_key: Arc::from(idempotency_key),
            trace: Arc::from(id.trace()),
            attempt,
        }
    }

    /// Whether the fault [`InjectedFault::IgnorePurge`] is injected: hosts ignore purges.
    pub fn ignores_purges(&self) -> bool {
        self.injected_fault == Some(InjectedFault::IgnorePurge)
    }

    /// Handles the end of the connection setup that an attempt waited for. The attempt is sent unless the setup failed,
    /// the core chose the host at an earlier incarnation, or the core no longer allows the attempt to begin.
    pub fn attempt_connected(
        &mut self,
        job: JobId,
        request: ModelRequest,
        known_incarnation: Option<u64>,
    ) {
        let Some(opened) = self.jobs.get(job) else {
            return;
        };
        let JobOwner::Attempt(key, _) = opened.owner else {
            return;
        };
        if !self.is_current(key.dispatcher) {
            return;
        }
        if !self.is_reachable(opened.host) {
            return self.job_ends(job, JobEnd::ConnectionRefused);
        }
        let dispatcher = key.dispatcher.dispatcher;
        let incarnation = self.open_connection(dispatcher, opened.host);
        let replaced = known_incarnation.is_some_and(|known| known != incarnation);
        let terms = if replaced {
            None
        } else {
            self.begin_attempt(dispatcher, key.request, key.attempt)
        };
        let Some(terms) = terms else {
            self.jobs.close(job);
            return self.attempt_ended(key, AttemptEnd::NotSent);
        };
        let max_age = if self.ignores_purges() {
            request.max_age
        } else {
            request.max_age.min(terms.max_age)
        };
        let request = ModelRequest {
            max_age,
            coalesce: terms.may_coalesce,
            ..request
        };
        let latency = self.latency(&opened.owner, opened.host);
        self.schedule_in(latency, Event::JobArrives(job, request));
    }

    /// Handles the head of a response that arrives at the dispatcher.
    pub fn attempt_responds(&mut self, key: AttemptKey, response: &ModelResponse) {
        if !self.is_current(key.dispatcher) {
            return;
        }
        let dispatcher = key.dispatcher.dispatcher;
        self.dispatchers[dispatcher]
            .requests
            .response_started(key.request, ResponseHead::of(response));
        let started = Input::ResponseStarted {
            request: key.request,
            attempt: key.attempt,
            cache_status: response.cache_status,
            size: Some(response.copy.size),
        };
        self.core_input(dispatcher, started);
    }

    /// Handles the end of an attempt that arrives at the dispatcher; a complete response that is being forwarded is
    /// sent to the client.
    pub fn attempt_ends(&mut self, key: AttemptKey, end: JobEnd) {
        if !self.is_current(key.dispatcher) {
            return;
        }
        let dispatcher = key.dispatcher.dispatcher;
        if matches!(end, JobEnd::Completed) {
            let requests = &mut self.dispatchers[dispatcher].requests;
            if let Some(head) = requests.take_forwarded(key.request) {
                self.respond(dispatcher, key.request, head.served());
            }
        }
        self.attempt_ended(key, end.into());
    }

    fn attempt_ended(&mut self, key: AttemptKey, end: AttemptEnd) {
        let ended = Input::AttemptEnded {
            request: key.request,
            attempt: key.attempt,
            end,
        };
        self.core_input(key.dispatcher.dispatcher, ended);
    }
}
