//! State that the tasks of a host share.
use super::fill_sources::FillSources;
use super::fill_stream::FillStream;
use crate::fill_table::{
    CacheRequest, CachedCopy, FillId, FillTable, QueuedFill, RequestDecision, WaiterId,
};
use crate::lease::{Grant, UserId, WorkLedger};
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_config::CacheHostSettings;
use pointspindle_protocol::{HelloHead, LeaseHead, LoadReport, PurgeHead};
use pointspindle_store::{Found, Key, Meta, Store, What};
use pointspindle_transport::FramedConnection;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The host's clock at its start: above zero, because the warm-up may count from before it.
pub(super) const CLOCK_ORIGIN_US: Micros = 1_000_000_000_000;
/// Weight of one response in the moving average of the hit ratio.
const HIT_RATIO_SMOOTHING: f64 = 0.02;

/// What the host has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCounters {
    /// Responses from a fresh copy.
    pub hits: u64,
    /// Responses from a stale copy.
    pub stale: u64,
    /// Fills begun, revalidations included.
    pub fills: u64,
    /// Requests answered from a fill that another request began.
    pub joined: u64,
    /// Requests for which nothing suitable was cached and nothing was to be filled.
    pub misses: u64,
    /// Requests rejected for want of capacity.
    pub rejected: u64,
    /// Requests answered with any other error.
    pub failed: u64,
    /// Stored copies that their source confirmed.
    pub renewed: u64,
    /// Body bytes from sources.
    pub bytes_in: u64,
    /// Body bytes to clients.
    pub bytes_out: u64,
}

/// A fill that is queued or running, with what a purge compares.
struct FillTarget {
    key: Key,
    group: u64,
}

struct RunningFill {
    target: FillTarget,
    stream: Arc<FillStream>,
}

impl RunningFill {
    fn new(target: FillTarget) -> Self {
        Self {
            target,
            stream: Arc::default(),
        }
    }
}

struct WaitingRequest {
    target: FillTarget,
    turn: oneshot::Sender<FillId>,
}

/// Work leases of a host that has started with an empty store.
pub(super) struct WarmUp {
    pub ledger: WorkLedger,
    pub connections: HashMap<UserId, FramedConnection>,
}

/// State behind the lock of [`Shared`].
pub(super) struct HostState {
    fill_table: FillTable<Key>,
    /// Fills that run in the fill table.
    running: HashMap<FillId, RunningFill>,
    /// Requests queued in the fill table.
    waiting: HashMap<WaiterId, WaitingRequest>,
    /// None: the host started warm, or has warmed up.
    pub warm_up: Option<WarmUp>,
    last_user: UserId,
    counters: HostCounters,
    /// Moving average.
    hit_ratio: f64,
    open_requests: usize,
}

impl HostState {
    /// State at the start of a host.
    pub fn new(fill_table: FillTable<Key>, warm_up: Option<WarmUp>) -> Self {
        Self {
            fill_table,
            running: HashMap::new(),
            waiting: HashMap::new(),
            warm_up,
            last_user: 0,
            counters: HostCounters::default(),
            hit_ratio: 0.0,
            open_requests: 0,
        }
    }
}

/// What all tasks of a host share.
pub(super) struct Shared {
    pub state: Mutex<HostState>,
    pub settings: CacheHostSettings,
    pub store: Option<Store>,
    pub sources: FillSources,
    pub started_at: Instant,
    /// Ages of copies count real time, whatever steps the wall clock makes while the process runs.
    pub clock: WallClock,
    /// The greeting to dispatchers; its `started_ago_us` is none if the host started warm.
    pub hello: HelloHead,
}

/// The lease of a grant as it is sent.
pub(super) fn lease_head(grant: &Grant) -> LeaseHead {
    LeaseHead {
        work_us: (grant.work * 1e6).round() as u64,
        duration_us: grant.duration,
        on_request: grant.on_request,
        in_reply: false,
    }
}

/// Requests and fills.
impl Shared {
    /// Never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, HostState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Time on the host's clock, which counts from [`CLOCK_ORIGIN_US`].
    pub fn now(&self) -> Micros {
        CLOCK_ORIGIN_US + self.started_at.elapsed().as_micros() as Micros
    }

    /// A copy of the counters.
    pub fn counters(&self) -> HostCounters {
        self.lock().counters
    }

    /// Updates the counters.
    pub fn count(&self, update: impl FnOnce(&mut HostCounters)) {
        update(&mut self.lock().counters);
    }

    /// Updates the moving average of the hit ratio.
    pub fn record_hit(&self, is_hit: bool) {
        let mut state = self.lock();
        state.hit_ratio += HIT_RATIO_SMOOTHING * (f64::from(is_hit) - state.hit_ratio);
    }

    /// The load report for responses and health checks.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        let active_fills = state.fill_table.active_fills() as f64;
        LoadReport {
            utilization: active_fills / self.settings.max_fills as f64,
            hit_ratio: state.hit_ratio,
            link_utilization: 0.0,
        }
    }

    /// Counts a request; [`Shared::close_request`] is owed at its end. False if there are too many.
    pub fn open_request(&self) -> bool {
        let mut state = self.lock();
        state.open_requests += 1;
        state.open_requests <= self.settings.max_requests
    }

    /// Ends what [`Shared::open_request`] began.
    pub fn close_request(&self) {
        self.lock().open_requests -= 1;
    }

    /// Decides about a request. A fill that begins, or a request that waits, is registered before the next decision; the
    /// receiver of a waiting request gets its fill.
    pub fn decide(
        &self,
        request: &CacheRequest<Key>,
        group: u64,
        cached: Option<CachedCopy>,
    ) -> (RequestDecision, Option<oneshot::Receiver<FillId>>) {
        let mut state = self.lock();
        let decision = state.fill_table.decide(request.clone(), cached);
        let target = FillTarget {
            key: request.key,
            group,
        };
        let mut granted = None;
        match decision {
            RequestDecision::Fill(fill)
            | RequestDecision::Serve {
                revalidate: Some(fill),
                ..
            } => {
                state.running.insert(fill, RunningFill::new(target));
            }
            RequestDecision::Wait(waiter) => {
                let (turn, receiver) = oneshot::channel();
                state
                    .waiting
                    .insert(waiter, WaitingRequest { target, turn });
                granted = Some(receiver);
            }
            _ => {}
        }
        (decision, granted)
    }

    /// The stream of a running fill.
    pub fn fill_stream(&self, fill: FillId) -> Option<Arc<FillStream>> {
        Some(self.lock().running.get(&fill)?.stream.clone())
    }

    /// Removes a request from the queue. False if its fill was granted before.
    pub fn cancel_wait(&self, waiter: WaiterId) -> bool {
        let mut state = self.lock();
        state.fill_table.cancel_wait(waiter);
        state.waiting.remove(&waiter).is_some()
    }

    /// Ends a fill, and grants the next one to the first waiting request that still wants it.
    pub fn end_fill(&self, fill: FillId) {
        let mut state = self.lock();
        state.running.remove(&fill);
        let mut ended = fill;
        while let Some(QueuedFill { waiter, fill }) = state.fill_table.fill_ended(ended) {
            if let Some(WaitingRequest { target, turn }) = state.waiting.remove(&waiter) {
                state.running.insert(fill, RunningFill::new(target));
                if turn.send(fill).is_ok() {
                    return;
                }
                state.running.remove(&fill);
            }
            ended = fill;
        }
    }
}

/// The store.
impl Shared {
    /// The stored copy under a key. Blocks on the store.
    pub fn stored_copy(&self, key: &Key) -> Option<Found> {
        self.store.as_ref()?.get(key)
    }

    /// How old a stored copy is.
    pub fn age(&self, meta: &Meta) -> Micros {
        let now = self
            .store
            .as_ref()
            .map_or(0, |store| store.now_ms(self.clock.steady_ms()));
        now.saturating_sub(meta.born_ms) * 1_000
    }

    /// Removes an object or a group from the store; durable when this returns `Ok`. Running fills of it are not joined any
    /// more.
    pub async fn purge(&self, head: &PurgeHead) -> Result<usize, String> {
        self.stop_coalescing(head);
        let what = match &head.object {
            Some(object) => What::Object(object.clone()),
            None => What::Group(head.group),
        };
        let Some(store) = self.store.clone() else {
            return Ok(0);
        };
        let purged = tokio::task::spawn_blocking(move || store.purge(&what)).await;
        purged
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())
    }

    fn stop_coalescing(&self, purge: &PurgeHead) {
        let object = purge
            .object
            .as_deref()
            .map(pointspindle_store::record::object_number);
        let is_purged = |target: &FillTarget| match object {
            Some(object) => target.key.object == object,
            None => target.group == purge.group,
        };
        let mut state = self.lock();
        let keys: Vec<Key> = state
            .running
            .values()
            .filter(|fill| is_purged(&fill.target))
            .map(|fill| fill.target.key)
            .collect();
        for key in keys {
            state.fill_table.stop_coalescing(&key);
        }
    }
}

/// Work leases.
impl Shared {
    /// Start of the next slot; none once the host is warm.
    pub fn next_lease_slot(&self) -> Option<Micros> {
        Some(self.lock().warm_up.as_ref()?.ledger.next_slot())
    }

    /// Registers a dispatcher for leases; none if the host is warm. [`Shared::remove_dispatcher`] is owed at its end.
    pub fn add_dispatcher(
        &self,
        connection: &FramedConnection,
        requests_work: bool,
    ) -> Option<(UserId, LeaseHead)> {
        let mut state = self.lock();
        state.last_user += 1;
        let user = state.last_user;
        let warm_up = state.warm_up.as_mut()?;
        warm_up.connections.insert(user, connection.clone());
        Some((user, lease_head(&warm_up.ledger.join(user, requests_work))))
    }

    /// Ends the leases of a dispatcher.
    pub fn remove_dispatcher(&self, user: UserId) {
        if let Some(warm_up) = &mut self.lock().warm_up {
            warm_up.ledger.leave(user);
            warm_up.connections.remove(&user);
        }
    }

    /// Counts a request of a dispatcher against its lease.
    pub fn record_work(&self, user: UserId, class: &str) {
        if let Some(warm_up) = &mut self.lock().warm_up {
            let class = self.settings.classes.iter().find(|c| c.name == class);
            let work = class.map_or(0.0, |c| c.mean_send_time_us as f64 / 1e6);
            warm_up.ledger.record_arrival(Some(user), work);
        }
    }

    /// The lease for a work request; none if the host is warm.
    pub fn lease_work(&self, user: UserId, work_us: u64) -> Option<LeaseHead> {
        let now = self.now();
        let mut state = self.lock();
        let ledger = &mut state.warm_up.as_mut()?.ledger;
        Some(lease_head(&ledger.request_work(
            now,
            user,
            work_us as f64 / 1e6,
        )))
    }
}
