//! The core behind a lock, the clock, and the way of its orders to the requests' tasks.
//!
//! A [`Desk`] is tied to no protocol: what speaks to members is its [`MemberSide`]. The framed protocol is one, the platform's
//! (a package of its own) another.
use super::metrics::Metrics;
use crate::core::{
    AddressedFetch, AttemptEnd, AttemptTerms, ClientRequest, Core, EndpointListChange, Input,
    Output,
};
use crate::request_budget::{BudgetDecision, RequestBudget};
use bytes::Bytes;
use pointspindle::Micros;
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

/// The core's clock starts here and not at 0, so that members may have started before the dispatcher.
const EPOCH: Micros = 1_000_000_000_000;

/// The members' side of a dispatcher: connections to them in one protocol.
pub trait EndpointTransport: std::fmt::Debug + Send + Sync + Sized + 'static {
    type Call: UpstreamCall;

    /// Sends a request, once [`Desk::begin`] says that it may begin: asked right before the first byte, after every wait
    /// for a connection or a place on it. The future may be dropped at any time; what was sent is then given up at the
    /// member.
    fn call(
        desk: &Arc<CoreHandle<Self>>,
        ticket: AttemptId,
        endpoint: &str,
        request: RequestHead,
        body: &Bytes,
    ) -> impl std::future::Future<Output = Result<Self::Call, AttemptEnd>> + Send;

    /// A member's word is wanted though no request goes there.
    fn connect(&self, endpoint: String);

    /// Asks a member for work. Where the protocol has no word for that nobody gives by asking.
    fn request_work(&self, _member: &str, _work_us: u64) {}
}

/// An attempt, as the core knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub request: u64,
    pub attempt: u32,
}

impl AttemptTerms {
    /// Puts what holds now into a request that was worded when it was ordered.
    pub fn word(&self, request: &mut RequestHead) {
        request.time_left_us = self.left;
        if let Some(fetch) = &mut request.fetch {
            (fetch.max_age_us, fetch.coalesce) = (self.age, self.join);
        }
    }
}

/// A request under way at a member. Dropped before its end it is given up there.
pub trait UpstreamCall: Send {
    /// The next part; none after the end.
    fn next(&mut self) -> impl std::future::Future<Output = Option<ResponsePart>> + Send;
    /// The next part if it is there already.
    fn try_next(&mut self) -> Option<ResponsePart>;
}

/// What a request's task is to do; the core's outputs without the request's number.
#[derive(Debug)]
pub enum RequestCommand {
    Send {
        attempt: u32,
        endpoint: String,
        timeout: Micros,
        fetch: Option<AddressedFetch>,
    },
    CancelAttempt {
        attempt: u32,
    },
    ForwardResponse {
        attempt: u32,
    },
    Reject {
        retry_after: Option<Micros>,
    },
    Fail,
    AbortResponse,
}

#[derive(Debug)]
struct Locked {
    core: Core,
    orders: HashMap<u64, mpsc::UnboundedSender<RequestCommand>>,
    out: Vec<Output>,
    /// When the timer task wakes by itself.
    armed: Option<Micros>,
    next: u64,
    dice: StdRng,
}

/// What the core answers an input with, beside orders.
#[derive(Debug, Default)]
struct News {
    list: Option<EndpointListChange>,
    /// Another process was at the address of a hello before.
    replaced: bool,
}

/// One dispatcher's core, for all tasks of its shell.
#[derive(Debug)]
pub struct CoreHandle<S> {
    locked: Mutex<Locked>,
    born: Instant,
    timer: Notify,
    idle: Notify,
    pub(crate) dirty: Notify,
    pub settings: Arc<DispatcherSettings>,
    pub(crate) metrics: Metrics,
    /// What all connections hold of bodies.
    pub meter: BufferMeter,
    budget: RequestBudget,
    /// Whether a source has told that its view is current.
    pub(crate) view: watch::Sender<bool>,
    /// Older copies have been held back since the last proof ([`Input::PurgesConfirmed`]).
    holding: AtomicBool,
    /// Connections to members.
    pub transport: S,
}

impl<S: EndpointTransport> CoreHandle<S> {
    /// `side` is given the meter that all connections share.
    pub fn new(
        settings: Arc<DispatcherSettings>,
        seed: u64,
        side: impl FnOnce(&BufferMeter) -> S,
    ) -> Self {
        let core = Core::new(&settings, seed);
        let dice = StdRng::seed_from_u64(seed);
        let locked = Locked {
            core,
            orders: HashMap::new(),
            out: Vec::new(),
            armed: None,
            next: 0,
            dice,
        };
        let budget = RequestBudget::new(settings.max_requests, settings.buffer_bytes);
        let meter = BufferMeter::new(budget.crowded);
        Self {
            locked: Mutex::new(locked),
            born: Instant::now(),
            timer: Notify::new(),
            idle: Notify::new(),
            dirty: Notify::new(),
            transport: side(&meter),
            meter,
            budget,
            view: watch::channel(false).0,
            holding: AtomicBool::new(false),
            metrics: Metrics::new(&settings),
            settings,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Locked> {
        match self.locked.try_lock() {
            Ok(locked) => return locked,
            Err(std::sync::TryLockError::Poisoned(poisoned)) => return poisoned.into_inner(),
            Err(std::sync::TryLockError::WouldBlock) => {}
        }
        // Only those who wait pay for the clock.
        let began = std::time::Instant::now();
        let locked = self
            .locked
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        self.metrics.lock_waits.inc();
        self.metrics
            .lock_wait_us
            .inc_by(began.elapsed().as_micros() as u64);
        locked
    }

    fn now(&self) -> Micros {
        EPOCH + self.born.elapsed().as_micros() as Micros
    }

    /// Opens a request; or when its client may come back, if as much is under way as may be.
    pub fn open_request(
        &self,
        ask: ClientRequest,
    ) -> Result<(u64, mpsc::UnboundedReceiver<RequestCommand>), Micros> {
        let (sender, orders) = mpsc::unbounded_channel();
        let mut locked = self.lock();
        let (open, held) = (locked.orders.len(), self.meter.buffered_bytes());
        if let BudgetDecision::Reject { retry_after } =
            self.budget.decide(open, held, || locked.dice.gen())
        {
            return Err(retry_after);
        }
        locked.next += 1;
        let id = locked.next;
        locked.orders.insert(id, sender);
        self.metrics.open.set(locked.orders.len() as i64);
        self.handle(locked, Input::Request(id, ask));
        Ok((id, orders))
    }

    /// Whether an attempt may begin, right before its first byte ([`Core::begin`]).
    pub fn begin_attempt(&self, ticket: AttemptId) -> Option<AttemptTerms> {
        let mut locked = self.lock();
        // No clock is read ahead of the lock: the core's time never runs backwards.
        let now = self.now();
        let begin = locked.core.begin(now, ticket.request, ticket.attempt);
        let Some(terms) = &begin else {
            self.metrics.not_begun.inc();
            return None;
        };
        if terms.held {
            self.metrics.held_back.inc();
            if !self.holding.swap(true, Ordering::Relaxed) {
                tracing::warn!("purges cannot be proven to be known; older copies are held back");
            }
        }
        begin
    }

    /// All purges that were acknowledged up to so long ago are in force.
    pub fn confirm_purges(&self, ago: Micros) {
        self.apply(Input::PurgesConfirmed { ago });
        if self.holding.swap(false, Ordering::Relaxed) {
            tracing::info!("purges are proven to be known again; copies are used as ever");
        }
    }

    /// Whether purges are proven to be known, where that is promised.
    pub fn purges_confirmed(&self) -> Option<bool> {
        let now = self.now();
        self.lock().core.purges_confirmed(now)
    }

    /// Whether an attempt that still waits may begin at all.
    pub fn may_begin(&self, ticket: AttemptId) -> bool {
        let now = self.now();
        self.lock()
            .core
            .may_begin(now, ticket.request, ticket.attempt)
    }

    /// The request's task is done with it, however it ended.
    pub fn close_request(&self, id: u64) {
        let mut locked = self.lock();
        locked.orders.remove(&id);
        self.metrics.open.set(locked.orders.len() as i64);
        if locked.orders.is_empty() {
            self.idle.notify_waiters();
        }
    }

    pub fn apply(&self, input: Input) {
        self.handle(self.lock(), input);
    }

    pub fn apply_endpoint_list(&self, head: EndpointListHead) -> EndpointListChange {
        let news = self.handle(self.lock(), Input::EndpointList(head));
        let news = news
            .list
            .expect("a list update always tells what became of it");
        self.metrics.list.set(news.seq as i64);
        for bad in &news.rejected_records {
            tracing::warn!(line = %bad, "a line of the member list is not used");
        }
        self.dirty.notify_one();
        news
    }

    /// True if another process was at this address before.
    pub fn apply_hello(&self, endpoint: &str, hello: HelloHead) -> bool {
        let input = Input::Hello {
            endpoint: endpoint.to_owned(),
            hello,
        };
        self.handle(self.lock(), input).replaced
    }

    pub fn apply_purge(&self, head: PurgeHead) {
        self.apply(Input::Purge(head));
        self.dirty.notify_one();
    }

    /// Number of the list in force; 0: none yet.
    pub fn endpoint_list_seq(&self) -> u64 {
        self.lock().core.endpoint_list_seq()
    }

    pub fn endpoint_list(&self) -> EndpointListHead {
        let now = self.now();
        self.lock().core.endpoint_list(now)
    }

    /// Members, purges and dispatchers that are kept.
    pub fn state_counts(&self) -> crate::core::CoreStateCounts {
        let now = self.now();
        self.lock().core.state_counts(now)
    }

    pub fn snapshot(&self) -> crate::core::state::Snapshot {
        let now = self.now();
        self.lock().core.snapshot(now)
    }

    /// Ends of requests and attempts so far, in a line for the log.
    pub fn counters_line(&self) -> String {
        let text = self.metrics.text();
        let counts = text
            .lines()
            .filter(|l| l.contains("s_total{") && !l.ends_with(" 0"));
        let short = |l: &str| {
            l.trim_start_matches("pointspindle_")
                .replace("_total", "")
                .replace('"', "")
        };
        counts.map(short).collect::<Vec<_>>().join(" ")
    }

    pub fn open_requests(&self) -> usize {
        self.lock().orders.len()
    }

    /// Returns when no request is open.
    pub async fn drained(&self) {
        loop {
            let idle = self.idle.notified();
            if self.open_requests() == 0 {
                return;
            }
            // Notified only at the very end; the time is a net for a close between check and wait.
            let _ = tokio::time::timeout(Duration::from_millis(50), idle).await;
        }
    }

    /// Handles an input and hands the orders out, under the lock so that their order is the core's.
    fn handle(&self, mut locked: MutexGuard<'_, Locked>, input: Input) -> News {
        let now = self.now();
        let mut out = std::mem::take(&mut locked.out);
        locked.core.handle(now, input, &mut out);
        let mut news = News::default();
        for output in out.drain(..) {
            let (id, order) = match output {
                Output::Send {
                    request,
                    attempt,
                    endpoint,
                    timeout,
                    fetch,
                } => (
                    request,
                    RequestCommand::Send {
                        attempt,
                        endpoint,
                        timeout,
                        fetch,
                    },
                ),
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
                    news.replaced = replaced;
                    continue;
                }
                Output::RequestWork { endpoint, work_us } => {
                    self.transport.request_work(&endpoint, work_us);
                    continue;
                }
                Output::Connect { endpoint } => {
                    self.transport.connect(endpoint);
                    continue;
                }
                Output::EndpointListApplied(told) => {
                    news.list = Some(told);
                    continue;
                }
            };
            if let Some(orders) = locked.orders.get(&id) {
                let _ = orders.send(order);
            }
        }
        locked.out = out;
        for (end, count) in locked.core.take_attempt_counts() {
            self.metrics.attempt_ended(end, count);
        }
        let next = locked.core.next_timer();
        if next.is_some_and(|at| locked.armed.is_none_or(|armed| at < armed)) {
            locked.armed = next;
            self.timer.notify_one();
        }
        news
    }
}

/// Ticks the core when its next timer is due.
pub async fn run_timers<S: EndpointTransport>(hub: Arc<CoreHandle<S>>) {
    loop {
        let next = {
            let mut locked = hub.lock();
            locked.armed = locked.core.next_timer();
            locked.armed
        };
        match next {
            None => hub.timer.notified().await,
            Some(at) => {
                let wait = Duration::from_micros(at.saturating_sub(hub.now()));
                tokio::select! {
                    _ = tokio::time::sleep(wait) => hub.apply(Input::Tick),
                    _ = hub.timer.notified() => {}
                }
            }
        }
    }
}
