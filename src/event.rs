//! Events that a [`Router`](crate::Router) handles.
use crate::ids::{EndpointId, IdempotencyKey, Micros, ObjectId, RequestId};

/// State of an endpoint as reported by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    #[default]
    Ready,
    /// The endpoint completes requests in flight and accepts no new ones.
    Draining,
    /// The endpoint has left.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Relative capacity; 0 or less counts as 1.
    pub weight: f64,
    /// Index of the zone of the endpoint.
    pub zone: usize,
    /// Kind of the endpoint; see `parent_kind` and `origin_kind` of the settings.
    pub kind: usize,
    /// Cell of the endpoint, which may be the scope of idempotency keys.
    pub cell: u64,
    /// Time of the last start of the endpoint; 0 if it has been running for long.
    pub started_at: Micros,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The update contains changed entries only.
    Delta,
    /// The update is the complete list: an endpoint that is absent has left.
    Full,
    /// The update is the complete list as persisted before a restart, and may be stale.
    Cached,
    /// The list could not be fetched; the previous one remains valid.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index of the request class.
    pub class: usize,
    /// The requested object.
    pub object: ObjectId,
    /// The requested part of the object.
    pub part: u64,
    /// Purge group of the object.
    pub group: u64,
    /// Time left until the client's deadline.
    pub time_left: Micros,
    /// Size of the response in KB, if known.
    pub size_kb: Option<f64>,
    /// Idempotency key, if the request has one and the router is told.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The response was complete.
    Ok,
    /// The endpoint replied with an error; the request may have run.
    Error,
    /// The endpoint or its source rejected the request; it did not run.
    Rejected,
    /// There was no response before the timeout; the request may have run.
    Timeout,
    /// No connection could be established; the request did not run.
    ConnectFailed,
    /// The connection was reset; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The cache has no suitable copy; the request did not run.
    Miss,
}

/// How a response was produced, or why its fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The response does not report it.
    Unreported,
    /// Served from a fresh copy.
    Hit,
    /// Filled from the named source.
    Filled,
    /// Filled from the named source, which fetched from the origin.
    FilledByOrigin,
    /// Joined a fill in progress. With [`AttemptStatus::Miss`] it reports that a fill is in progress.
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

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of [`Action::Send`](crate::Action::Send).
    pub attempt: u32,
    /// Endpoint to which the attempt was sent.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// How the response was produced.
    pub cache_status: CacheStatus,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Size of the response in KB, if it is reported and was not given with the request.
    pub size_kb: Option<f64>,
    /// Whether the request has its final response.
    pub request_closed: bool,
}

/// An event that a router handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// Kind of the update.
        update: ListUpdate,
        /// Entries of the list, complete or changed depending on the kind of the update.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    Request(Request),
    /// An endpoint has begun to respond, so it is alive however long the remainder of the response takes. Optional for
    /// a host whose responses arrive as a whole; required if responses are streamed to slow clients, since the
    /// endpoint is otherwise considered silent.
    ResponseStarted(EndpointId),
    /// The first message of an endpoint on a connection. Optional: without it, restarts are learned from the endpoint
    /// list and inferred from refused connections.
    Hello {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time at which its process started; 0 if it has been running for long.
        started_at: Micros,
    },
    /// An endpoint grants this router a lease for warm-up work, which replaces the router's own quota of the warm-up
    /// budget until the next lease. Optional.
    Lease {
        /// The endpoint.
        endpoint: EndpointId,
        /// Work that the endpoint accepts, in seconds of transfer time.
        work_s: f64,
        /// Time for which the lease is valid.
        duration: Micros,
    },
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// The client of the request disconnected.
    ClientDisconnected(RequestId),
    /// The dispatcher is shutting down: the request gets its final response now.
    FinishNow(RequestId),
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer(u64),
    /// An object was purged, or every object of a purge group.
    Purge {
        /// The purged object; `None` if the whole group was purged.
        object: Option<ObjectId>,
        /// The purge group.
        group: u64,
        /// Time since the purge.
        age: Micros,
    },
}
