//! Payloads of frames, encoded as protocol buffers with `prost`. A peer skips fields that it does not know.
//!
//! Times are in microseconds and sizes in bytes, unless a name says otherwise.
use prost::Message;

/// Outcome of an attempt, as sent on the wire. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireStatus {
    /// The value of an absent field; never sent.
    Unspecified = 0,
    /// The attempt failed; the work may have run.
    Error = 1,
    /// Rejected for lack of capacity; the work has not run.
    Rejected = 2,
    /// No suitable copy is cached and no fill was requested; the work has not run.
    Miss = 3,
    /// Final response of a dispatcher: the request was refused; a retry is safe.
    Refused = 4,
    /// Final response of a dispatcher: the request failed; the work may have run.
    Failed = 5,
}

/// How a response was produced, or the reason why its fill failed. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireCacheStatus {
    /// The value of an absent field.
    Unreported = 0,
    /// Served from the cache.
    Hit = 1,
    /// Filled from another cache.
    Filled = 2,
    /// Filled from the origin.
    FilledByOrigin = 3,
    /// Shared a fill that was already running.
    Coalesced = 4,
    /// Served from a copy beyond its freshness lifetime.
    Stale = 5,
    /// The source of the fill rejected it.
    SourceRejected = 6,
    /// The source of the fill could not be reached.
    SourceUnreachable = 7,
    /// The source of the fill has no copy.
    SourceMiss = 8,
    /// The limits of running and waiting fills are reached.
    FillLimitReached = 9,
    /// The origin failed.
    OriginFailed = 10,
}

/// What a cache does on a miss, and which cached copies satisfy the request.
#[derive(Clone, PartialEq, Message)]
pub struct FetchHead {
    /// Address of the source for a fill; empty: the receiver does not fill.
    #[prost(string, tag = "1")]
    pub source: String,
    /// Retention rank of the cached copy, from 1 to 3; 0: the object is passed through without caching.
    #[prost(uint32, tag = "2")]
    pub retention_rank: u32,
    /// Maximum age of a copy that satisfies the request; 0: the receiver's freshness lifetime for the class.
    #[prost(uint64, tag = "3")]
    pub max_age_us: u64,
    /// Whether the request may share a fill that is already running.
    #[prost(bool, tag = "4")]
    pub coalesce: bool,
    /// Whether the receiver must not fill.
    #[prost(bool, tag = "5")]
    pub only_if_cached: bool,
    /// Whether a copy close to the end of its freshness lifetime is served and revalidated in the background.
    #[prost(bool, tag = "6")]
    pub revalidate: bool,
}

/// The head of a request from a client, from a dispatcher to a cache, or from a cache to the source of a fill.
#[derive(Clone, PartialEq, Message)]
pub struct RequestHead {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub object: String,
    /// Number of the part, for objects that have parts.
    #[prost(uint64, tag = "2")]
    pub part: u64,
    /// Purge group of the object.
    #[prost(uint64, tag = "3")]
    pub group: u64,
    /// Name of the request class.
    #[prost(string, tag = "4")]
    pub class: String,
    /// Time until the caller's deadline.
    #[prost(uint64, tag = "5")]
    pub time_left_us: u64,
    /// Size of the response, if known.
    #[prost(uint64, optional, tag = "6")]
    pub size: Option<u64>,
    /// What a cache does on a miss; absent in requests of clients.
    #[prost(message, optional, tag = "7")]
    pub fetch: Option<FetchHead>,
    /// Identifier of the client's request, unchanged wherever the request is forwarded.
    #[prost(string, tag = "8")]
    pub trace: String,
    /// Number of the attempt within the dispatcher, from 0.
    #[prost(uint32, tag = "9")]
    pub attempt: u32,
    /// Idempotency key; empty: the request has none.
    #[prost(string, tag = "10")]
    pub idempotency_key: String,
    /// Whether only the head of the response is requested.
    #[prost(bool, tag = "11")]
    pub head_only: bool,
    /// Validator of the caller's copy. If the object still has this validator, the response carries no body
    /// (`not_modified`).
    #[prost(string, tag = "12")]
    pub if_none_match: String,
    /// Single byte range, as in HTTP (`bytes=…`); empty: the complete object.
    #[prost(string, tag = "13")]
    pub range: String,
    /// Validator for which the range is valid. If the object has another validator, the complete object is sent.
    #[prost(string, tag = "14")]
    pub if_range: String,
    /// The client's identifier of the call, equal in all attempts of the call and unique to it. On a retry, the
    /// dispatcher ends the earlier attempt first. Not forwarded. Empty: the call is not retried. Since minor version 2.
    #[prost(string, tag = "15")]
    pub call_id: String,
}

/// Load of an endpoint, as reported by the endpoint.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadReport {
    /// Share of the endpoint's processor cores that are busy.
    #[prost(double, tag = "1")]
    pub utilization: f64,
    /// Share of recent requests that were cache hits.
    #[prost(double, tag = "2")]
    pub hit_ratio: f64,
    /// Utilization of the network link of the endpoint's location; a parent reports the number of its fetches in flight.
    #[prost(double, tag = "3")]
    pub link_utilization: f64,
}

/// The head of a response, which has a body or describes one.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    /// How the response was produced.
    #[prost(enumeration = "WireCacheStatus", tag = "1")]
    pub cache_status: i32,
    /// Length of the body that follows, if known.
    #[prost(uint64, optional, tag = "2")]
    pub size: Option<u64>,
    /// Age of the copy: time since the origin sent or last validated it.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Validator of the copy; empty: the copy has none.
    #[prost(string, tag = "4")]
    pub validator: String,
    /// Media type of the body.
    #[prost(string, tag = "5")]
    pub content_type: String,
    /// Whether the object still has the validator of the request; if so, no body follows.
    #[prost(bool, tag = "6")]
    pub not_modified: bool,
    /// Position of the first byte, if the body is a range.
    #[prost(uint64, optional, tag = "7")]
    pub range_first: Option<u64>,
    /// Size of the complete object, if the body is a range.
    #[prost(uint64, optional, tag = "8")]
    pub complete_size: Option<u64>,
    /// Whether the requested range lies outside the object; if so, no body follows.
    #[prost(bool, tag = "9")]
    pub unsatisfiable: bool,
    /// Time from the receipt of the request to the sending of this head.
    #[prost(uint64, tag = "10")]
    pub elapsed_us: u64,
    /// Load of the sender.
    #[prost(message, optional, tag = "11")]
    pub load: Option<LoadReport>,
    /// Remaining freshness lifetime of the copy; absent: the copy has none.
    #[prost(uint64, optional, tag = "12")]
    pub fresh_left_us: Option<u64>,
    /// HTTP status of the origin's response; 0 stands for 200.
    #[prost(uint32, tag = "13")]
    pub origin_status: u32,
}

/// The end of a complete response.
#[derive(Clone, PartialEq, Message)]
pub struct EndHead {
    /// Number of body bytes sent. A receiver that counted a different number has an incomplete response.
    #[prost(uint64, tag = "1")]
    pub bytes: u64,
    /// Load of the sender.
    #[prost(message, optional, tag = "2")]
    pub load: Option<LoadReport>,
}

/// The end of a request without a complete response, before or after the head.
#[derive(Clone, PartialEq, Message)]
pub struct ErrorHead {
    /// Outcome of the attempt.
    #[prost(enumeration = "WireStatus", tag = "1")]
    pub status: i32,
    /// Reason why the fill failed, if it did.
    #[prost(enumeration = "WireCacheStatus", tag = "2")]
    pub cache_status: i32,
    /// Whether the work may have run.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
    /// Time after which a refused client may retry.
    #[prost(uint64, optional, tag = "4")]
    pub retry_after_us: Option<u64>,
    /// Cause of the error, for logs.
    #[prost(string, tag = "5")]
    pub detail: String,
    /// Load of the sender.
    #[prost(message, optional, tag = "6")]
    pub load: Option<LoadReport>,
    /// Time from the receipt of the request to the sending of this error.
    #[prost(uint64, tag = "7")]
    pub elapsed_us: u64,
}

/// Cancels a request: the caller no longer needs the response.
#[derive(Clone, PartialEq, Message)]
pub struct CancelHead {
    /// Reason for the cancellation, for logs.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// Announces that the sender serves no new streams above `last`. Streams up to `last` are completed.
#[derive(Clone, PartialEq, Message)]
pub struct GoawayHead {
    /// Highest stream number that is served.
    #[prost(uint32, tag = "1")]
    pub last: u32,
    /// Reason for the announcement, for logs.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// How a receiver applies an endpoint list. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointListForm {
    /// A request for the list; also the value of an absent field.
    Unspecified = 0,
    /// Changes relative to the previous revision of the list.
    Delta = 1,
    /// The complete list.
    Full = 2,
    /// The complete list, possibly stale.
    Cached = 3,
    /// No list is available because its source has failed.
    Failed = 4,
}

/// State of an endpoint. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireEndpointState {
    /// The value of an absent field.
    Unspecified = 0,
    /// Accepts requests.
    Ready = 1,
    /// Completes the requests in flight and accepts no new ones.
    Draining = 2,
    /// Removed from the list.
    Gone = 3,
}

/// One endpoint of the fleet.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointRecord {
    /// Host and port; identifies the endpoint at every dispatcher.
    #[prost(string, tag = "1")]
    pub address: String,
    /// State of the endpoint.
    #[prost(enumeration = "WireEndpointState", tag = "2")]
    pub state: i32,
    /// Capacity relative to other endpoints.
    #[prost(double, tag = "3")]
    pub weight: f64,
    /// Name of the endpoint's zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Name of the endpoint's role (`cache`, `parent` or `origin`).
    #[prost(string, tag = "5")]
    pub kind: String,
    /// Number of the cell to which the endpoint belongs.
    #[prost(uint64, tag = "6")]
    pub cell: u64,
    /// Identifier of one start of the endpoint's process. A different number stands for another process at the same
    /// address.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Time since the process started; absent: it started long ago.
    #[prost(uint64, optional, tag = "8")]
    pub started_ago_us: Option<u64>,
}

/// An update of the endpoint list.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointListHead {
    /// How the receiver applies the update.
    #[prost(enumeration = "EndpointListForm", tag = "1")]
    pub form: i32,
    /// Revision number, increased by one with each update. A delta applies to the previous revision.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Endpoints that the update contains.
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<EndpointRecord>,
}

/// A purge of one object or of all objects of a purge group.
#[derive(Clone, PartialEq, Message)]
pub struct PurgeHead {
    /// Name of the object; absent: all objects of the group.
    #[prost(string, optional, tag = "1")]
    pub object: Option<String>,
    /// Purge group.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// Age of the purge: time since it was issued.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Sequence number, which the acknowledgement repeats.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
}

/// Acknowledges an endpoint list or a purge: it is in force at the sender, or was rejected.
#[derive(Clone, PartialEq, Message)]
pub struct AckHead {
    /// `seq` of the acknowledged frame.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Reason why the update was rejected, after which the complete list should be sent; empty: the update is in force.
    #[prost(string, tag = "2")]
    pub rejection: String,
}

/// A ping or its echo.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeHead {
    /// Number chosen by the sender of the ping; the echo repeats it.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// Whether the frame is an echo.
    #[prost(bool, tag = "2")]
    pub echo: bool,
    /// Load of the sender; sent in echoes.
    #[prost(message, optional, tag = "3")]
    pub load: Option<LoadReport>,
}

/// Identifies the process that accepts a connection; its first frame there, if it has an identity. Callers send it as
/// well, to announce what they support. Since minor version 1; a peer of version 0 skips it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HelloHead {
    /// Random number that identifies one start of the process; never 0.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Time since the process started; absent: not reported.
    #[prost(uint64, optional, tag = "2")]
    pub started_ago_us: Option<u64>,
    /// Whether the sender is a caller that observes leases.
    #[prost(bool, tag = "3")]
    pub dispatcher: bool,
    /// Whether such a caller also requests leases (`WANT`) from endpoints that grant them on request.
    #[prost(bool, tag = "4")]
    pub requests_work: bool,
    /// From a dispatcher to its clients: requests of a client from which no frame arrives for this long are cancelled.
    /// From a client, in reply: the client sends four pings within each such period while it waits.
    #[prost(uint64, optional, tag = "5")]
    pub lease_us: Option<u64>,
}

/// The work that an endpoint in warm-up accepts from this connection. It replaces the previous lease, and the limit
/// that the receiver would otherwise have computed itself.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseHead {
    /// Work, measured as the sending time of responses at the full rate of one transfer.
    #[prost(uint64, tag = "1")]
    pub work_us: u64,
    /// Time after which the lease expires.
    #[prost(uint64, tag = "2")]
    pub duration_us: u64,
    /// Whether work is granted only on request, with `WANT`: with many callers, equal shares would be too small to be
    /// useful.
    #[prost(bool, tag = "3")]
    pub on_request: bool,
    /// Whether this lease answers a `WANT`.
    #[prost(bool, tag = "4")]
    pub in_reply: bool,
}

/// Requests a lease from an endpoint in warm-up for a waiting request; answered with a lease. Since minor version 2.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WorkRequestHead {
    /// Work of the waiting request.
    #[prost(uint64, tag = "1")]
    pub work_us: u64,
}
