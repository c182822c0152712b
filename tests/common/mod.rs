//! Test fixture: a router in a zone with three caches, two parents and the origin.
#![allow(dead_code)]
use pointspindle::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// Time at which a fixture starts: late enough for endpoints that started at 0 to be warm.
pub const T0: Micros = 1_000 * S;

pub const VIDEO: usize = 0;
pub const PAGE: usize = 1;
pub const KEYED: usize = 2;
pub const UNSAFE: usize = 3;

fn class(
    idempotency: Idempotency,
    fresh_for: Micros,
    stale_if_error: Micros,
    uncacheable: bool,
) -> RequestClass {
    RequestClass {
        latency_objective: 300 * MS,
        objective_stretch: 2.0,
        priority_weight: 1.0,
        idempotency,
        uncacheable,
        fresh_for,
        stale_if_error,
    }
}

pub fn settings() -> RouterSettings {
    RouterSettings {
        zone: 1,
        zones: vec![Zone { routers: 0 }, Zone { routers: 1 }],
        routers: 2,
        router_index: Some(0),
        classes: vec![
            class(Idempotency::Idempotent, 0, 0, false),
            class(Idempotency::Idempotent, 12 * S, 20 * S, false),
            class(
                Idempotency::WithKey {
                    scope: KeyScope::All,
                    window: 2 * S,
                },
                0,
                0,
                true,
            ),
            class(Idempotency::NotIdempotent, 0, 0, true),
        ],
        parent_kind: Some(1),
        origin_kind: Some(2),
        weights: Weights::Nominal,
        cache_status_detail: CacheStatusDetail::All,
        siblings: Siblings::Any,
        direct_forwarding: true,
        coalesces_fills: true,
        may_cancel: true,
        retry_after: true,
        max_retry_after: S,
        max_attempts: 6,
        stream_kb_per_s: 6000.0,
        cache_slow_start: SlowStartRule {
            initial_share: 0.2,
            ramp: 10 * S,
            overload_factor: 2.0,
            overload_window: 2 * S,
        },
        parent_slow_start: SlowStartRule {
            initial_share: 0.1,
            ramp: 20 * S,
            overload_factor: 2.0,
            overload_window: 2 * S,
        },
        purge_horizon: 6 * S,
        max_known_copies: DEFAULT_MAX_KNOWN_COPIES,
    }
}

pub fn entry(name: &str, kind: usize) -> EndpointEntry {
    let zone = if kind == 0 { 1 } else { 0 };
    EndpointEntry {
        id: EndpointId::named(name),
        state: EndpointState::Ready,
        weight: 6.0,
        zone,
        kind,
        cell: 0,
        started_at: 0,
    }
}

pub fn fleet() -> Vec<EndpointEntry> {
    let caches = ["c1", "c2", "c3"].map(|n| entry(n, 0));
    let upper = [("p1", 1), ("p2", 1), ("origin", 2)].map(|(n, k)| entry(n, k));
    caches.into_iter().chain(upper).collect()
}

/// An attempt sent by a router.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub request: RequestId,
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub timeout: Micros,
    pub fetch: Option<FetchDirective>,
}

impl SentAttempt {
    pub fn fetch(&self) -> &FetchDirective {
        self.fetch.as_ref().expect("attempt has no fetch directive")
    }
    pub fn source(&self) -> EndpointId {
        self.fetch().source
    }
}

pub struct RouterFixture {
    pub router: Router,
    pub now: Micros,
    pub last_actions: Vec<Action>,
    last_request: u64,
    attempts: std::collections::BTreeMap<RequestId, u32>,
}

impl RouterFixture {
    pub fn with(settings: RouterSettings, endpoints: Vec<EndpointEntry>) -> Self {
        Self::seeded(1, settings, endpoints)
    }
    pub fn seeded(seed: u64, settings: RouterSettings, endpoints: Vec<EndpointEntry>) -> Self {
        let router = Router::new(settings, seed);
        let mut fixture = Self {
            router,
            now: T0,
            last_actions: vec![],
            last_request: 0,
            attempts: Default::default(),
        };
        fixture.handle(Event::EndpointList {
            update: ListUpdate::Cached,
            entries: endpoints,
        });
        fixture
    }
    pub fn new() -> Self {
        Self::with(settings(), fleet())
    }
    /// Handles an event and returns the attempts that the router sent.
    pub fn handle(&mut self, event: Event) -> Vec<SentAttempt> {
        self.last_actions.clear();
        self.router.handle(self.now, event, &mut self.last_actions);
        let mut sent = vec![];
        for action in &self.last_actions {
            if let Action::Send {
                request,
                endpoint,
                timeout,
                fetch,
            } = action
            {
                let n = self.attempts.entry(*request).or_default();
                let (attempt, fetch) = (*n, fetch.clone());
                sent.push(SentAttempt {
                    request: *request,
                    attempt,
                    endpoint: *endpoint,
                    timeout: *timeout,
                    fetch,
                });
                *n += 1;
            }
        }
        sent
    }
    pub fn advance(&mut self, by: Micros) -> Vec<SentAttempt> {
        self.now += by;
        self.handle(Event::Timer(0))
    }
    pub fn request(&mut self, class: usize, object: &str) -> Vec<SentAttempt> {
        self.request_with_key(class, object, "")
    }
    pub fn request_with_key(&mut self, class: usize, object: &str, key: &str) -> Vec<SentAttempt> {
        self.last_request += 1;
        self.handle(Event::Request(Request {
            id: RequestId(self.last_request),
            class,
            object: ObjectId::named(object),
            part: 0,
            group: 5,
            time_left: 3 * S,
            size_kb: Some(300.0),
            idempotency_key: IdempotencyKey::from_text(key),
        }))
    }
    pub fn complete(
        &mut self,
        sent: &SentAttempt,
        status: AttemptStatus,
        cache_status: CacheStatus,
    ) -> Vec<SentAttempt> {
        self.complete_after(sent, status, cache_status, 50 * MS)
    }
    pub fn complete_after(
        &mut self,
        sent: &SentAttempt,
        status: AttemptStatus,
        cache_status: CacheStatus,
        elapsed: Micros,
    ) -> Vec<SentAttempt> {
        self.handle(Event::Outcome(AttemptOutcome {
            request: sent.request,
            attempt: sent.attempt,
            endpoint: sent.endpoint,
            status,
            cache_status,
            elapsed,
            size_kb: None,
            request_closed: status == AttemptStatus::Ok,
        }))
    }
    pub fn update(&mut self, entries: Vec<EndpointEntry>) {
        self.handle(Event::EndpointList {
            update: ListUpdate::Delta,
            entries,
        });
    }
    pub fn final_responses(&self) -> Vec<&Action> {
        self.last_actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
            .collect()
    }
}
