//! State that is shared by the tasks of a host.
use super::fill_sources::FillSources;
use super::fill_stream::FillStream;
use crate::fill_table::{
    CacheRequest, CachedCopy, FillId, FillTable, QueuedFill, RequestDecision, WaiterId,
};
use crate::lease::{Lease, LeaseHolderId, WorkLedger};
use pointspindle::Micros;
use pointspindle_clock::WallClock;
use pointspindle_config::CacheHostSettings;
use pointspindle_protocol::{HelloHead, LeaseHead, LoadReport, PurgeHead};
use pointspindle_store::{Key, Meta, PurgeScope, Store, StoredCopy};
use pointspindle_transport::FramedConnection;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Reading of the host's clock at its start. It is above zero because the warm-up may count from a time before the
/// start.
pub(super) const CLOCK_ORIGIN_US: Micros = 1_000_000_000_000;
/// Weight of one response in the moving average of the hit ratio.
const HIT_RATIO_SMOOTHING: f64 = 0.02;

/// Counters of a host since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCounters {
    /// Number of responses served from a fresh copy.
    pub hits: u64,
    /// Number of responses served from a stale copy.
    pub stale: u64,
    /// Number of fills that have begun, including revalidations.
    pub fills: u64,
    /// Number of requests answered from a fill that another request began.
    pub joined: u64,
    /// Number of requests answered with a miss, because no usable copy was stored and no fill was allowed.
    pub misses: u64,
    /// Number of requests rejected for lack of capacity.
    pub rejected: u64,
    /// Number of requests answered with any other error.
    pub failed: u64,
    /// Number of stored copies that their source confirmed.
    pub renewed: u64,
    /// Number of body bytes received from sources.
    pub bytes_in: u64,
    /// Number of body bytes sent to clients.
    pub bytes_out: u64,
}

/// Object and purge group of a queued or running fill, as compared with a purge.
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
    fill_sender: oneshot::Sender<FillId>,
}

/// Work leases of a host that has started with an empty store.
pub(super) struct WarmUp {
    pub ledger: WorkLedger,
    pub connections: HashMap<LeaseHolderId, FramedConnection>,
}

/// State behind the lock of [`Shared`].
pub(super) struct HostState {
    fill_table: FillTable<Key>,
    /// Running fills of the fill table.
    running: HashMap<FillId, RunningFill>,
    /// Queued requests of the fill table.
    waiting: HashMap<WaiterId, WaitingRequest>,
    /// Work leases; `None` if the host started warm or has warmed up.
    pub warm_up: Option<WarmUp>,
    last_user_id: LeaseHolderId,
    counters: HostCounters,
    /// Moving average over the responses.
    hit_ratio: f64,
    open_requests: usize,
}

impl HostState {
    /// Creates the state of a host that starts.
    pub fn new(fill_table: FillTable<Key>, warm_up: Option<WarmUp>) -> Self {
        Self {
            fill_table,
            running: HashMap::new(),
            waiting: HashMap::new(),
            warm_up,
            last_user_id: 0,
            counters: HostCounters::default(),
            hit_ratio: 0.0,
            open_requests: 0,
        }
    }
}

/// Data shared by all tasks of a host.
pub(super) struct Shared {
    pub state: Mutex<HostState>,
    pub settings: CacheHostSettings,
    pub store: Option<Store>,
    pub sources: FillSources,
    pub started_at: Instant,
    /// Clock for the ages of copies. It is unaffected by steps of the wall clock while the process runs.
    pub clock: WallClock,
    /// Hello frame for dispatchers; its `started_ago_us` is `None` if the host started warm.
    pub hello: HelloHead,
}

/// Converts a lease to the frame that is sent.
pub(super) fn lease_head(lease: &Lease) -> LeaseHead {
    LeaseHead {
        work_us: (lease.work * 1e6).round() as u64,
        duration_us: lease.duration,
        on_request: lease.on_request,
        in_reply: false,
    }
}

/// Requests and fills.
impl Shared {
    /// Locks the state. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, HostState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the time on the host's clock, which counts from [`CLOCK_ORIGIN_US`].
    pub fn now(&self) -> Micros {
        CLOCK_ORIGIN_US + self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns a copy of the counters.
    pub fn counters(&self) -> HostCounters {
        self.lock().counters
    }

    /// Updates the counters.
    pub fn count(&self, update: impl FnOnce(&mut HostCounters)) {
        update(&mut self.lock().counters);
    }

    /// Updates the moving average of the hit ratio.
    pub fn update_hit_ratio(&self, is_hit: bool) {
        let mut state = self.lock();
        state.hit_ratio += HIT_RATIO_SMOOTHING * (f64::from(is_hit) - state.hit_ratio);
    }

    /// Returns the load report for responses and health checks.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        let active_fills = state.fill_table.active_fills() as f64;
        LoadReport {
            utilization: active_fills / self.settings.max_fills as f64,
            hit_ratio: state.hit_ratio,
            link_utilization: 0.0,
        }
    }

    /// Counts a request as open and returns whether it is within the limit. [`Shared::close_request`] must be called at
    /// its end, also for a request beyond the limit.
    pub fn open_request(&self) -> bool {
        let mut state = self.lock();
        state.open_requests += 1;
        state.open_requests <= self.settings.max_requests
    }

    /// Ends a request that [`Shared::open_request`] has counted.
    pub fn close_request(&self) {
        self.lock().open_requests -= 1;
    }

    /// Decides what to do with a request. A fill that begins or a request that is queued is registered before the next
    /// decision. The receiver is returned for a queued request and gets its fill.
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
        let mut fill_receiver = None;
        match decision {
            RequestDecision::Fill(fill)
            | RequestDecision::Serve {
                revalidate: Some(fill),
                ..
            } => {
                state.running.insert(fill, RunningFill::new(target));
            }
            RequestDecision::Wait(waiter) => {
                let (fill_sender, receiver) = oneshot::channel();
                state.waiting.insert(
                    waiter,
                    WaitingRequest {
                        target,
                        fill_sender,
                    },
                );
                fill_receiver = Some(receiver);
            }
            _ => {}
        }
        (decision, fill_receiver)
    }

    /// Returns the stream of a running fill; `None` once the fill has ended.
    pub fn fill_stream(&self, fill: FillId) -> Option<Arc<FillStream>> {
        Some(self.lock().running.get(&fill)?.stream.clone())
    }

    /// Removes a request from the queue. Returns false if its fill has already been granted.
    pub fn cancel_wait(&self, waiter: WaiterId) -> bool {
        let mut state = self.lock();
        state.fill_table.cancel_wait(waiter);
        state.waiting.remove(&waiter).is_some()
    }

    /// Ends a fill and grants the next one to the first queued request that still waits for it.
    pub fn end_fill(&self, fill: FillId) {
        let mut state = self.lock();
        state.running.remove(&fill);
        let mut ended = fill;
        while let Some(QueuedFill { waiter, fill }) = state.fill_table.fill_ended(ended) {
            if let Some(WaitingRequest {
                target,
                fill_sender,
            }) = state.waiting.remove(&waiter)
            {
                state.running.insert(fill, RunningFill::new(target));
                if fill_sender.send(fill).is_ok() {
                    return;
                }
                state.running.remove(&fill);
            }
            ended = fill;
        }
    }
}

/// Access to the store.
impl Shared {
    /// Returns the stored copy with this key. Blocks on the store.
    pub fn stored_copy(&self, key: &Key) -> Option<StoredCopy> {
        self.store.as_ref()?.get(key)
    }

    /// Returns the age of a stored copy.
    pub fn age(&self, meta: &Meta) -> Micros {
        let now = self
            .store
            .as_ref()
            .map_or(0, |store| store.now_ms(self.clock.steady_ms()));
        now.saturating_sub(meta.born_ms) * 1_000
    }

    /// Removes an object or a purge group from the store; the purge is durable when this returns `Ok`. Requests no
    /// longer join running fills of the purged objects.
    pub async fn purge(&self, head: &PurgeHead) -> Result<usize, String> {
        self.stop_coalescing(head);
        let scope = match &head.object {
            Some(object) => PurgeScope::Object(object.clone()),
            None => PurgeScope::Group(head.group),
        };
        let Some(store) = self.store.clone() else {
            return Ok(0);
        };
        let purged = tokio::task::spawn_blocking(move || store.purge(&scope)).await;
        purged
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())
    }

    fn stop_coalescing(&self, purge: &PurgeHead) {
        let object = purge
            .object
            .as_deref()
            .map(pointspindle_store::record::object_hash);
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
    /// Returns the start of the next slot; `None` once the host is warm.
    pub fn next_lease_slot(&self) -> Option<Micros> {
        Some(self.lock().warm_up.as_ref()?.ledger.next_slot())
    }

    /// Registers a dispatcher for leases and returns its first one; `None` if the host is warm.
    /// [`Shared::remove_dispatcher`] must be called at the end of the connection.
    pub fn add_dispatcher(
        &self,
        connection: &FramedConnection,
        requests_work: bool,
    ) -> Option<(LeaseHolderId, LeaseHead)> {
        let mut state = self.lock();
        state.last_user_id += 1;
        let user = state.last_user_id;
        let warm_up = state.warm_up.as_mut()?;
        warm_up.connections.insert(user, connection.clone());
        Some((
            user,
            lease_head(&warm_up.ledger.add_dispatcher(user, requests_work)),
        ))
    }

    /// Ends the leases of a dispatcher.
    pub fn remove_dispatcher(&self, user: LeaseHolderId) {
        if let Some(warm_up) = &mut self.lock().warm_up {
            warm_up.ledger.remove_dispatcher(user);
            warm_up.connections.remove(&user);
        }
    }

    /// Counts a request of a dispatcher against its lease.
    pub fn record_work(&self, user: LeaseHolderId, class: &str) {
        if let Some(warm_up) = &mut self.lock().warm_up {
            let class = self.settings.classes.iter().find(|c| c.name == class);
            let work = class.map_or(0.0, |c| c.mean_send_time_us as f64 / 1e6);
            warm_up.ledger.record_arrival(Some(user), work);
        }
    }

    /// Returns the lease for a work request; `None` if the host is warm.
    pub fn lease_work(&self, user: LeaseHolderId, work_us: u64) -> Option<LeaseHead> {
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
