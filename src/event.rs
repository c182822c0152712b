//! Events that a [`Router`](crate::Router) handles.
use crate::ids::{EndpointId, Micros, ObjectId, RequestId};

/// State of an endpoint on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// Takes new requests.
    #[default]
    Ready,
    /// Completes requests in flight and takes no new ones.
    Draining,
    /// Has left.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// Whom it describes.
    pub id: EndpointId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Relative capacity; 0 or less counts as 1.
    pub weight: f64,
    /// Index of its zone.
    pub zone: usize,
    /// Its kind; see `parent_kind` and `origin_kind` of the settings.
    pub kind: usize,
    /// Its cell, the scope of idempotency keys.
    pub cell: u64,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list: an endpoint that is absent has left.
    Full,
    /// The complete list as persisted before a restart, possibly stale.
    Cached,
    /// The list could not be fetched; the previous one stays valid.
    Failed,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// The requested object.
    pub object: ObjectId,
    /// The requested part of the object.
    pub part: u64,
    /// Purge group of the object.
    pub group: u64,
    /// Time left before the client gives up.
    pub time_left: Micros,
    /// Size of the response, where known.
    pub size_kb: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Complete response.
    Ok,
    /// The endpoint replied with an error; the request may have run.
    Error,
    /// Rejected by the endpoint or its source; nothing ran.
    Rejected,
    /// No response in time; the request may have run.
    Timeout,
    /// No connection; nothing ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// Cancelled; the request may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No suitable copy cached; nothing ran.
    Miss,
}

/// How a response was produced, or why its fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Not reported.
    Unreported,
    /// Served from a fresh copy.
    Hit,
    /// Filled from the named source.
    Filled,
    /// Filled from the named source, which fetched from the origin.
    FilledByOrigin,
    /// Joined a fill in progress (on a miss: there is one).
    Coalesced,
    /// Served from a copy past its fresh time.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source could not be reached.
    SourceUnreachable,
    /// The source has no suitable copy.
    SourceMiss,
    /// The cache is at its limit of concurrent fills.
    FillLimitReached,
    /// The origin failed behind the source.
    OriginFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of [`Action::Send`](crate::Action::Send).
    pub attempt: u32,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// How it ended.
    pub status: AttemptStatus,
    /// How the response was produced.
    pub cache_status: CacheStatus,
    /// Time since the send.
    pub elapsed: Micros,
    /// Size of the response, where it is reported and the request did not give it.
    pub size_kb: Option<f64>,
    /// The request is finished.
    pub request_closed: bool,
}

/// What a router reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// What the entries stand for.
        update: ListUpdate,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    Request(Request),
    /// An endpoint has begun to respond, so it is alive however long the rest takes. Optional for a host whose
    /// responses arrive at once; required where they are streamed to slow clients, else the endpoint looks silent.
    ResponseStarted(EndpointId),
    /// First message of an endpoint on each connection. Optional: without it restarts are known from lists, and
    /// inferred from refused connections.
    Hello {
        /// The endpoint.
        endpoint: EndpointId,
        /// When its process started; 0: long ago.
        started_at: Micros,
    },
    /// Warm-up work that an endpoint accepts from this router for a while, in place of the router's own quota of
    /// the warm-up budget, until the next lease. Optional.
    Lease {
        /// The endpoint.
        endpoint: EndpointId,
        /// Accepted work, in seconds of transfer time.
        work_s: f64,
        /// How long the lease is valid.
        duration: Micros,
    },
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// The client disconnected.
    ClientDisconnected(RequestId),
    /// The dispatcher shuts down: the request gets its final response now.
    FinishNow(RequestId),
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer(u64),
    /// An object, or without one every object of the group, was purged.
    Purge {
        /// The purged object; `None`: the group.
        object: Option<ObjectId>,
        /// The purge group.
        group: u64,
        /// How long ago.
        age: Micros,
    },
}
