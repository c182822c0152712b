//! What goes into a [`Router`](crate::Router) and what comes out of it: settings, events, actions.
//!
//! Times are microseconds on the host's own clock, which only moves forward.

/// A moment or a span, in microseconds.
pub type Micros = u64;

/// 64-bit FNV-1a with a final mix: the same text gives the same number at every router.
fn number_of(name: &str) -> u64 {
    let mut h = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ b as u64).wrapping_mul(0x100_0000_01b3)
    });
    h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// A cache, a parent or the origin. Routers agree on an object's place only if they number members alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// The number of the member with this name or address.
    pub fn named(name: &str) -> Self {
        Self(number_of(name))
    }
}

/// An object; each of its parts is kept as a copy of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ObjectId(pub u64);

impl ObjectId {
    /// The number of the object with this name.
    pub fn named(name: &str) -> Self {
        Self(number_of(name))
    }
}

/// One try of a client; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// As often as one likes.
    Idempotent,
    /// Repeats of its key are discarded within a group of members, for a while after the first send.
    WithKey { scope: KeyScope, window: Micros },
    /// Once at most.
    NotIdempotent,
}

/// Which members discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within `aim`, plus `aim_stretch` times its own sending time, earns the full worth.
    pub latency_objective: Micros,
    pub objective_stretch: f64,
    pub priority_weight: f64,
    pub idempotency: Idempotency,
    /// Runs at the origin, is never kept.
    pub uncacheable: bool,
    /// Fresh time of a copy; 0: good until purged.
    pub fresh_for: Micros,
    /// How much older than fresh a copy may be when asked for.
    pub stale_if_error: Micros,
}

/// A location's or a hub's place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Zone {
    /// Routers that serve it.
    pub routers: u32,
}

/// What answers tell of how they came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    All,
    HitOnly,
    None,
}

/// Which caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    None,
    OwnZone,
    Any,
}

/// What a member's weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    None,
    Nominal,
    Rough,
    Live,
}

/// How a cold member warms up, and what it bears meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Share of its capacity at the start, at least.
    pub initial_share: f64,
    /// Warm by then, rising evenly, at the latest.
    pub ramp: Micros,
    /// Falls over at this multiple of its present capacity.
    pub overload_factor: f64,
    /// When that lasts so long.
    pub overload_window: Micros,
}

/// Told once, at the start.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    pub zone: usize,
    pub zones: Vec<Zone>,
    /// Routers in all.
    pub routers: u32,
    /// This router's number among them, from 0, where told.
    pub router_index: Option<u32>,
    pub classes: Vec<RequestClass>,
    /// Member kind of the parents, if there are any.
    pub parent_kind: Option<usize>,
    pub origin_kind: Option<usize>,
    pub weights: Weights,
    pub cache_status_detail: CacheStatusDetail,
    pub siblings: Siblings,
    /// Requests may go straight to a parent or the origin.
    pub direct_forwarding: bool,
    /// A request may join a fill that is under way.
    pub coalesces_fills: bool,
    pub may_cancel: bool,
    /// Clients are told how long to hold off.
    pub retry_after: bool,
    pub max_retry_after: Micros,
    pub max_attempts: u32,
    /// Top pace of one answer, KB a second.
    pub stream_kb_per_s: f64,
    pub cache_slow_start: SlowStartRule,
    pub parent_slow_start: SlowStartRule,
    /// No copy older than a purge is left anywhere after this.
    pub purge_horizon: Micros,
}

/// A member's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the member list.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    pub id: EndpointId,
    pub state: EndpointState,
    pub weight: f64,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
}

/// News of the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list: who is absent has left.
    Full,
    /// The whole list as last seen before a restart, possibly stale.
    Cached,
    /// The list could not be had; the old one remains.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: RequestId,
    pub class: usize,
    pub object: ObjectId,
    pub part: u64,
    pub group: u64,
    /// Time left before the client gives this try up.
    pub time_left: Micros,
    /// Size of the answer, where told.
    pub size_kb: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    Ok,
    /// The member replied with an error; it may have run.
    Error,
    /// Turned away by the member or its source; nothing ran.
    Rejected,
    /// No reply in time; it may have run.
    Timeout,
    /// No connection; nothing ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Nothing suitable held; nothing ran.
    Miss,
}

/// What an answer tells of how it came about, or why its fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    Unreported,
    Hit,
    Filled,
    FilledByOrigin,
    /// Joined a fill under way (on a miss: there is one).
    Coalesced,
    /// From a copy past its fresh time.
    Stale,
    SourceRejected,
    SourceUnreachable,
    SourceMiss,
    /// All places for fills are taken at the cache.
    FillLimitReached,
    OriginFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    pub request: RequestId,
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub status: AttemptStatus,
    pub cache_status: CacheStatus,
    /// Since the send.
    pub elapsed: Micros,
    /// Size of the answer, where it tells and the request did not.
    pub size_kb: Option<f64>,
    /// The request is finished.
    pub request_closed: bool,
}

/// What a router is told.
#[derive(Clone, Debug)]
pub enum Event {
    EndpointList {
        update: ListUpdate,
        entries: Vec<EndpointEntry>,
    },
    Request(Request),
    /// A member has begun to answer: it lives, however long the rest takes. Optional for a host whose answers
    /// come whole; one that streams to slow clients tells it, or they would make the member look silent.
    ResponseStarted(EndpointId),
    /// A member's own word of its process, first on each connection to it: when it started, 0 for long ago. Optional:
    /// without it restarts are known from lists, and guessed from refused connections.
    Hello {
        endpoint: EndpointId,
        started_at: Micros,
    },
    /// What a cold member itself takes from this router for a while, in seconds of sending time: in place of the
    /// router's own part of its budget, until the next one comes. Optional.
    Lease {
        endpoint: EndpointId,
        work_s: f64,
        duration: Micros,
    },
    Outcome(AttemptOutcome),
    /// The client has left.
    ClientDisconnected(RequestId),
    /// The dispatcher ends: a request gets its final answer now.
    FinishNow(RequestId),
    Timer(u64),
    /// An object, or without one every object of the group, was purged `age` ago.
    Purge {
        object: Option<ObjectId>,
        group: u64,
        age: Micros,
    },
}

/// What a cache does if it lacks the object, and which copies are good enough.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchDirective {
    /// Where a miss is filled from; the member itself: nowhere.
    pub source: EndpointId,
    /// 0 no copy, no change; 1 to 3 the rank at which the copy is kept.
    pub retention_rank: u8,
    /// The oldest copy that will do; 0: the class's fresh time.
    pub max_age: Micros,
    /// Join a fill under way.
    pub coalesce: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// Serve an ageing copy and renew it behind.
    pub revalidate: bool,
}

/// What a router wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        request: RequestId,
        endpoint: EndpointId,
        timeout: Micros,
        fetch: Option<FetchDirective>,
    },
    /// Final answer: nothing ran, or a repeat is harmless.
    Reject {
        request: RequestId,
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, no promise.
    Fail {
        request: RequestId,
    },
    /// Stop waiting for an attempt; its outcome still comes.
    Cancel {
        request: RequestId,
        attempt: u32,
    },
    SetTimer {
        after: Micros,
        token: u64,
    },
}
