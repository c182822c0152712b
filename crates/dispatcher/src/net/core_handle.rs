//! The core behind a lock, with its clock and timers, and the delivery of its commands to the request tasks.
//!
//! A [`CoreHandle`] is independent of the protocol: requests reach endpoints through its [`EndpointTransport`]. One
//! implementation is for the framed protocol; the one for the platform's protocol is in a separate package.
use super::metrics::Metrics;
use crate::core::{
    AddressedFetch, AttemptEnd, AttemptTerms, ClientRequest, Core, CoreStateCounts,
    EndpointListChange, Input, Output,
};
use crate::request_budget::{BudgetDecision, RequestBudget};
use bytes::Bytes;
use pointspindle::{IdempotencyKey, Micros};
use pointspindle_config::DispatcherSettings;
use pointspindle_protocol::{EndpointListHead, HelloHead, PurgeHead, RequestHead};
use pointspindle_transport::{BufferMeter, ResponsePart};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// Initial value of the core's clock. It is not 0, so that start times of endpoints may precede that of the dispatcher.
const CLOCK_START_US: Micros = 1_000_000_000_000;
/// Maximum time between two checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Connections to endpoints over one protocol.
pub trait EndpointTransport: std::fmt::Debug + Send + Sync + Sized + 'static {
    /// A request in progress at an endpoint.
    type Call: UpstreamCall;

    /// Sends a request once [`CoreHandle::begin_attempt`] permits it. That function is called immediately before the first
    /// byte, after every wait for a connection or for a stream on it. The future may be dropped at any time; a request that
    /// has been sent is then cancelled at the endpoint.
    fn call(
        core: &Arc<CoreHandle<Self>>,
        attempt: AttemptId,
        endpoint: &str,
        request: RequestHead,
        body: &Bytes,
    ) -> impl std::future::Future<Output = Result<Self::Call, AttemptEnd>> + Send;

    /// Opens a connection without a request, so that the endpoint can send its hello. Must not block.
    fn connect(&self, endpoint: String);

    /// Requests work from an endpoint that leases its capacity. Does nothing if the protocol has no such request. Must not
    /// block.
    fn request_work(&self, _endpoint: &str, _work_us: u64) {}
}

/// Identifies an attempt at the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Number of the request at the core.
    pub request: u64,
    /// Number of the attempt within the request.
    pub attempt: u32,
}

impl AttemptTerms {
    /// Writes the current time budget and age limit into a request head that was created when the core decided the attempt.
    pub fn apply_to(&self, request: &mut RequestHead) {
        request.time_left_us = self.time_left;
        if let Some(fetch) = &mut request.fetch {
            fetch.max_age_us = self.max_age;
            fetch.coalesce = self.may_coalesce;
        }
    }
}

/// A request in progress at an endpoint. Dropping it before its end cancels it there.
pub trait UpstreamCall: Send {
    /// Returns the next part of the response, or `None` after the end.
    fn next(&mut self) -> impl std::future::Future<Output = Option<ResponsePart>> + Send;
    /// Returns the next part of the response if it has arrived already.
    fn try_next(&mut self) -> Option<ResponsePart>;
}

/// A command to a request's task: one of the core's outputs without the request's number.
#[derive(Debug)]
pub enum RequestCommand {
    /// Make an attempt at an endpoint.
    Send {
        /// Number of the attempt within the request.
        attempt: u32,
        /// Address or id of the endpoint.
        endpoint: String,
        /// Time until the attempt is cancelled.
        timeout: Micros,
        /// Instructions for a cache on a miss; `None` if the request is forwarded unchanged.
        fetch: Option<AddressedFetch>,
    },
    /// Cancel an attempt; the request continues.
    CancelAttempt {
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Forward the attempt's response to the client.
    ForwardResponse {
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Final: shed the request.
    Reject {
        /// Time after which the client may retry, if the client is to be given one.
        retry_after: Option<Micros>,
    },
    /// Final: fail the request, because no attempt received a response.
    Fail,
    /// Final: abort the response that is being forwarded.
    AbortResponse,
}

#[derive(Debug)]
struct CoreState {
    core: Core,
    /// One entry for each open request, removed by [`CoreHandle::close_request`].
    commands: HashMap<u64, mpsc::UnboundedSender<RequestCommand>>,
    /// Buffer for the outputs of one input; empty between inputs and reused for its capacity.
    outputs: Vec<Output>,
    /// Time at which the timer task wakes without a notification.
    timer_wakes_at: Option<Micros>,
    last_request_id: u64,
    rng: StdRng,
}

/// Numbers of requests that were rejected because of their memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryRejections {
    /// Requests that were not complete.
    pub incomplete: u64,
    /// Complete requests that exceeded the request budget.
    pub complete: u64,
}

/// Results of an input other than commands to request tasks.
#[derive(Debug, Default)]
struct InputEffects {
    endpoint_list: Option<EndpointListChange>,
    /// Whether another process was at the address of a hello before.
    replaced: bool,
}

/// The core of one dispatcher, shared by all of its tasks.
#[derive(Debug)]
pub struct CoreHandle<S> {
    state: Mutex<CoreState>,
    started_at: Instant,
    /// Notified when the next timer is due earlier than the timer task expects.
    timer_changed: Notify,
    /// Notified when the last open request has closed.
    all_closed: Notify,
    /// Notified when the state file is out of date.
    pub(crate) dirty: Notify,
    /// The settings of the dispatcher.
    pub settings: Arc<DispatcherSettings>,
    pub(crate) metrics: Metrics,
    /// Counts the bytes of bodies that all connections buffer.
    pub meter: BufferMeter,
    budget: RequestBudget,
    /// Whether the control source reports that its view is current.
    pub(crate) source_is_current: watch::Sender<bool>,
    /// Whether cached copies have been withheld since the last confirmation of purges ([`Input::PurgesConfirmed`]).
    withholding_copies: AtomicBool,
    /// Connections to endpoints.
    pub transport: S,
}

/// Requests.
impl<S: EndpointTransport> CoreHandle<S> {
    /// Creates a core in its initial state. `transport` receives the meter that all connections share.
    pub fn new(
        settings: Arc<DispatcherSettings>,
        seed: u64,
        transport: impl FnOnce(&BufferMeter) -> S,
    ) -> Self {
        let core = Core::new(&settings, seed);
        let state = CoreState {
            core,
            commands: HashMap::new(),
            outputs: Vec::new(),
            timer_wakes_at: None,
            last_request_id: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        let budget = RequestBudget::new(settings.max_requests, settings.buffer_bytes);
        let meter = BufferMeter::with_limit(budget.soft_limit_bytes, budget.max_buffered_bytes);
        Self {
            state: Mutex::new(state),
            started_at: Instant::now(),
            timer_changed: Notify::new(),
            all_closed: Notify::new(),
            dirty: Notify::new(),
            transport: transport(&meter),
            meter,
            budget,
            source_is_current: watch::channel(false).0,
            withholding_copies: AtomicBool::new(false),
            metrics: Metrics::new(&settings),
            settings,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        match self.state.try_lock() {
            Ok(state) => return state,
            Err(std::sync::TryLockError::Poisoned(poisoned)) => return poisoned.into_inner(),
            Err(std::sync::TryLockError::WouldBlock) => {}
        }
        // The clock is read only where the lock is contended.
        let wait_started = std::time::Instant::now();
        let state = self
            .state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        self.metrics.core_lock.waits.inc();
        self.metrics
            .core_lock
            .wait_us
            .inc_by(wait_started.elapsed().as_micros() as u64);
        state
    }

    fn now(&self) -> Micros {
        CLOCK_START_US + self.started_at.elapsed().as_micros() as Micros
    }

    /// Opens a request, or returns the time after which its client may retry if the request budget is exhausted. The caller
    /// must close an open request with [`CoreHandle::close_request`].
    pub fn open_request(
        &self,
        request: ClientRequest,
    ) -> Result<(u64, mpsc::UnboundedReceiver<RequestCommand>), Micros> {
        let (sender, commands) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let open = state.commands.len();
        let buffered = self.meter.admission_bytes();
        let decision = self.budget.decide(open, buffered, || state.rng.gen());
        if let BudgetDecision::Reject { retry_after } = decision {
            return Err(retry_after);
        }
        state.last_request_id += 1;
        let id = state.last_request_id;
        state.commands.insert(id, sender);
        self.metrics.open_requests.set(state.commands.len() as i64);
        self.handle(state, Input::Request(id, request));
        Ok((id, commands))
    }

    /// Returns the current terms of an attempt, immediately before its first byte is sent ([`Core::begin`]), or `None` if
    /// the attempt must no longer begin.
    pub fn begin_attempt(&self, attempt: AttemptId) -> Option<AttemptTerms> {
        let mut state = self.lock();
        // The clock is read under the lock, so that the core's time never runs backwards.
        let now = self.now();
        let terms = state.core.begin(now, attempt.request, attempt.attempt);
        let Some(terms) = terms else {
            self.metrics.attempts_not_begun.inc();
            return None;
        };
        if terms.limited_by_purge_lease {
            self.metrics.attempts_held_back.inc();
            if !self.withholding_copies.swap(true, Ordering::Relaxed) {
                tracing::warn!("purges are not confirmed; cached copies are withheld");
            }
        }
        Some(terms)
    }

    /// Whether an attempt that has not begun yet may begin.
    pub fn may_start_attempt(&self, attempt: AttemptId) -> bool {
        let now = self.now();
        self.lock()
            .core
            .may_start_attempt(now, attempt.request, attempt.attempt)
    }

    /// Closes a request whose task has ended, with any outcome.
    pub fn close_request(&self, id: u64) {
        let mut state = self.lock();
        state.commands.remove(&id);
        self.metrics.open_requests.set(state.commands.len() as i64);
        if state.commands.is_empty() {
            self.all_closed.notify_waiters();
        }
    }

    /// Whether an attempt of any request may have run the idempotency key of this one, so that it must not be rejected as
    /// harmless to repeat.
    pub fn may_have_run(&self, idempotency_key: Option<IdempotencyKey>) -> bool {
        let state = self.lock();
        let now = self.now();
        idempotency_key.is_some_and(|key| state.core.may_have_run(now, key))
    }

    /// Records that a request was rejected because of its memory, before it was complete.
    pub fn record_incomplete_rejection(&self) {
        self.metrics.incomplete_requests_rejected.inc();
    }

    /// Records that a complete request was rejected because of its memory.
    pub fn record_over_budget(&self) {
        self.metrics.requests_over_budget.inc();
    }

    /// Number of requests that were rejected because of their memory.
    pub fn memory_rejections(&self) -> MemoryRejections {
        MemoryRejections {
            incomplete: self.metrics.incomplete_requests_rejected.get(),
            complete: self.metrics.requests_over_budget.get(),
        }
    }

    /// Number of requests without a final response.
    pub fn open_requests(&self) -> usize {
        self.lock().commands.len()
    }

    /// Waits until no request is open.
    pub async fn drained(&self) {
        loop {
            let all_closed = self.all_closed.notified();
            if self.open_requests() == 0 {
                return;
            }
            // The timeout covers a request that closes between the check and the wait.
            let _ = tokio::time::timeout(DRAIN_CHECK_INTERVAL, all_closed).await;
        }
    }
}

/// Control inputs and reports.
impl<S: EndpointTransport> CoreHandle<S> {
    /// Records that all purges acknowledged at least `age_us` microseconds ago are in force.
    pub fn confirm_purges(&self, age_us: Micros) {
        self.apply(Input::PurgesConfirmed { age_us });
        if self.withholding_copies.swap(false, Ordering::Relaxed) {
            tracing::info!("purges are confirmed again; cached copies are used");
        }
    }

    /// Whether the purge lease is valid, so that all purges are confirmed to be in force; `None` if the settings promise no
    /// time within which purges are in force.
    pub fn purges_confirmed(&self) -> Option<bool> {
        let now = self.now();
        self.lock().core.purges_confirmed(now)
    }

    /// Applies an input and sends the commands that follow from it.
    pub fn apply(&self, input: Input) {
        self.handle(self.lock(), input);
    }

    /// Applies a full endpoint list or a change to it.
    pub fn apply_endpoint_list(&self, head: EndpointListHead) -> EndpointListChange {
        let effects = self.handle(self.lock(), Input::EndpointList(head));
        let change = effects
            .endpoint_list
            .expect("an endpoint list input always reports its change");
        self.metrics.endpoint_list_version.set(change.seq as i64);
        for rejected in &change.rejected_records {
            tracing::warn!(line = %rejected, "a record of the endpoint list is not used");
        }
        self.dirty.notify_one();
        change
    }

    /// Applies an endpoint's hello. Returns whether another process was at this address before.
    pub fn apply_hello(&self, endpoint: &str, hello: HelloHead) -> bool {
        let input = Input::Hello {
            endpoint: endpoint.to_owned(),
            hello,
        };
        self.handle(self.lock(), input).replaced
    }

    /// Applies a purge; it is in force on return.
    pub fn apply_purge(&self, head: PurgeHead) {
        self.apply(Input::Purge(head));
        self.dirty.notify_one();
    }

    /// Version of the endpoint list in force; 0 if there is none yet.
    pub fn endpoint_list_seq(&self) -> u64 {
        self.lock().core.endpoint_list_seq()
    }

    /// Returns the endpoint list in force.
    pub fn endpoint_list(&self) -> EndpointListHead {
        let now = self.now();
        self.lock().core.endpoint_list(now)
    }

    /// Number of endpoints, purges and dispatchers in the core's state.
    pub fn state_counts(&self) -> CoreStateCounts {
        let now = self.now();
        self.lock().core.state_counts(now)
    }

    /// Returns the state to be written to the state file.
    pub fn snapshot(&self) -> crate::core::state::Snapshot {
        let now = self.now();
        self.lock().core.snapshot(now)
    }

    /// Returns the number of requests and attempts so far by outcome, as one line for the log.
    pub fn counters_line(&self) -> String {
        let text = self.metrics.text();
        let counts = text
            .lines()
            .filter(|line| line.contains("s_total{") && !line.ends_with(" 0"));
        let shorten = |line: &str| {
            line.trim_start_matches("pointspindle_")
                .replace("_total", "")
                .replace('"', "")
        };
        counts.map(shorten).collect::<Vec<_>>().join(" ")
    }

    /// Handles an input and sends the resulting commands. Sending happens under the lock, so that the order of the commands
    /// is the core's.
    fn handle(&self, mut state: MutexGuard<'_, CoreState>, input: Input) -> InputEffects {
        let now = self.now();
        let mut outputs = std::mem::take(&mut state.outputs);
        state.core.handle(now, input, &mut outputs);
        let mut effects = InputEffects::default();
        for output in outputs.drain(..) {
            self.dispatch_output(&state, output, &mut effects);
        }
        state.outputs = outputs;
        for (outcome, count) in state.core.take_attempt_counts() {
            self.metrics.attempt_ended(outcome, count);
        }
        let next_timer = state.core.next_timer();
        if next_timer.is_some_and(|at| state.timer_wakes_at.is_none_or(|wakes_at| at < wakes_at)) {
            state.timer_wakes_at = next_timer;
            self.timer_changed.notify_one();
        }
        effects
    }

    fn dispatch_output(&self, state: &CoreState, output: Output, effects: &mut InputEffects) {
        let (request, command) = match output {
            Output::Send {
                request,
                attempt,
                endpoint,
                timeout,
                fetch,
            } => {
                let command = RequestCommand::Send {
                    attempt,
                    endpoint,
                    timeout,
                    fetch,
                };
                (request, command)
            }
            Output::CancelAttempt { request, attempt } => {
                (request, RequestCommand::CancelAttempt { attempt })
            }
            Output::ForwardResponse { request, attempt } => {
                (request, RequestCommand::ForwardResponse { attempt })
            }
            Output::Reject {
                request,
                retry_after,
            } => (request, RequestCommand::Reject { retry_after }),
            Output::Fail { request } => (request, RequestCommand::Fail),
            Output::AbortResponse { request } => (request, RequestCommand::AbortResponse),
            Output::HelloApplied { replaced } => {
                effects.replaced = replaced;
                return;
            }
            Output::EndpointListApplied(change) => {
                effects.endpoint_list = Some(change);
                return;
            }
            Output::RequestWork { endpoint, work_us } => {
                return self.transport.request_work(&endpoint, work_us);
            }
            Output::Connect { endpoint } => return self.transport.connect(endpoint),
        };
        if let Some(commands) = state.commands.get(&request) {
            let _ = commands.send(command);
        }
    }
}

/// Sends a tick to the core whenever its next timer is due.
pub async fn run_timers<S: EndpointTransport>(core: Arc<CoreHandle<S>>) {
    loop {
        let next = {
            let mut state = core.lock();
            state.timer_wakes_at = state.core.next_timer();
            state.timer_wakes_at
        };
        match next {
            None => core.timer_changed.notified().await,
            Some(at) => {
                let wait = Duration::from_micros(at.saturating_sub(core.now()));
                tokio::select! {
                    _ = tokio::time::sleep(wait) => core.apply(Input::Tick),
                    _ = core.timer_changed.notified() => {}
                }
            }
        }
    }
}
