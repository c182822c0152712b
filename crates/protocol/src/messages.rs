//! Payloads of frames, as protocol buffers by derive: a peer skips fields that it does not know.
//!
//! Times are microseconds unless the name says otherwise; sizes are bytes unless the name says otherwise.
use prost::Message;

/// How an attempt ended, on the wire. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireStatus {
    /// Never sent; what an absent field reads as.
    Unspecified = 0,
    /// The attempt failed; the work may have run.
    Error = 1,
    /// Rejected for lack of capacity; nothing ran.
    Rejected = 2,
    /// No suitable copy is cached and no fill was requested; nothing ran.
    Miss = 3,
    /// A dispatcher's final response: refused; a retry is safe.
    Refused = 4,
    /// A dispatcher's final response: failed; the work may have run.
    Failed = 5,
}

/// How a response was produced, or why its fill failed. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireCacheStatus {
    /// What an absent field reads as.
    Unreported = 0,
    /// From the cache.
    Hit = 1,
    /// Filled from another cache.
    Filled = 2,
    /// Filled from the origin.
    FilledByOrigin = 3,
    /// Shared a fill that was running already.
    Coalesced = 4,
    /// A copy beyond its freshness lifetime.
    Stale = 5,
    /// The source of the fill rejected it.
    SourceRejected = 6,
    /// The source of the fill could not be reached.
    SourceUnreachable = 7,
    /// The source of the fill has no copy.
    SourceMiss = 8,
    /// Too many fills are running and waiting.
    FillLimitReached = 9,
    /// The origin failed.
    OriginFailed = 10,
}

/// What a cache does without the object, and which copies satisfy the request.
#[derive(Clone, PartialEq, Message)]
pub struct FetchHead {
    /// Address of the source of a fill; empty: the receiver does not fill.
    #[prost(string, tag = "1")]
    pub source: String,
    /// 0 passes the object through without caching it; 1 to 3 is the rank at which the copy is cached.
    #[prost(uint32, tag = "2")]
    pub retention_rank: u32,
    /// Oldest copy that satisfies the request; 0: the receiver's freshness lifetime for the class.
    #[prost(uint64, tag = "3")]
    pub max_age_us: u64,
    /// The request may share a fill that is running already.
    #[prost(bool, tag = "4")]
    pub coalesce: bool,
    /// The receiver must not fill.
    #[prost(bool, tag = "5")]
    pub only_if_cached: bool,
    /// A copy close to the end of its freshness lifetime is served and fetched again in the background.
    #[prost(bool, tag = "6")]
    pub revalidate: bool,
}

/// A request: from a client, from a dispatcher to a cache, or from a cache to its source.
#[derive(Clone, PartialEq, Message)]
pub struct RequestHead {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub object: String,
    /// Part of the object, for objects that have parts.
    #[prost(uint64, tag = "2")]
    pub part: u64,
    /// Group of the object for purges.
    #[prost(uint64, tag = "3")]
    pub group: u64,
    /// Name of the request class.
    #[prost(string, tag = "4")]
    pub class: String,
    /// Time until the caller's deadline.
    #[prost(uint64, tag = "5")]
    pub time_left_us: u64,
    /// Size of the response, where known.
    #[prost(uint64, optional, tag = "6")]
    pub size: Option<u64>,
    /// What a cache does without the object; absent in clients' requests.
    #[prost(message, optional, tag = "7")]
    pub fetch: Option<FetchHead>,
    /// Identifies the client's request wherever it is forwarded.
    #[prost(string, tag = "8")]
    pub trace: String,
    /// Number of the attempt within the dispatcher, from 0.
    #[prost(uint32, tag = "9")]
    pub attempt: u32,
    /// Idempotency key; empty for a request without one.
    #[prost(string, tag = "10")]
    pub idempotency_key: String,
    /// Only the head of the response is requested.
    #[prost(bool, tag = "11")]
    pub head_only: bool,
    /// Validator of the caller's copy: a response with the same one carries no body (`not_modified`).
    #[prost(string, tag = "12")]
    pub if_none_match: String,
    /// One byte range, as in HTTP (`bytes=…`); empty: the complete object.
    #[prost(string, tag = "13")]
    pub range: String,
    /// Validator for which the range is valid; if the object has another one, it is sent completely.
    #[prost(string, tag = "14")]
    pub if_range: String,
    /// A client's identifier of its call, the same on each attempt of it and never used for another: a dispatcher ends the
    /// earlier attempt first. Not forwarded. Empty: the call is not retried. Since minor version 2.
    #[prost(string, tag = "15")]
    pub call_id: String,
}

/// Load of an endpoint, as it reports it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadReport {
    /// Share of its processor cores that are busy.
    #[prost(double, tag = "1")]
    pub utilization: f64,
    /// Recent share of cache hits.
    #[prost(double, tag = "2")]
    pub hit_ratio: f64,
    /// Utilization of the network link of its location; of a parent: by the fetches in flight.
    #[prost(double, tag = "3")]
    pub link_utilization: f64,
}

/// The head of a response that has (or describes) a body.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    /// How the response was produced.
    #[prost(enumeration = "WireCacheStatus", tag = "1")]
    pub cache_status: i32,
    /// Length of the body that follows, where known.
    #[prost(uint64, optional, tag = "2")]
    pub size: Option<u64>,
    /// Time since the origin sent the copy or last validated it.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Validator of the copy; empty: it has none.
    #[prost(string, tag = "4")]
    pub validator: String,
    /// Media type of the body.
    #[prost(string, tag = "5")]
    pub content_type: String,
    /// The object still has the request's validator; no body follows.
    #[prost(bool, tag = "6")]
    pub not_modified: bool,
    /// Of a range: its first byte.
    #[prost(uint64, optional, tag = "7")]
    pub range_first: Option<u64>,
    /// Of a range: the size of the complete object.
    #[prost(uint64, optional, tag = "8")]
    pub complete_size: Option<u64>,
    /// The requested range lies outside the object; no body follows.
    #[prost(bool, tag = "9")]
    pub unsatisfiable: bool,
    /// Time from the receipt of the request to this head.
    #[prost(uint64, tag = "10")]
    pub elapsed_us: u64,
    /// Load of the sender.
    #[prost(message, optional, tag = "11")]
    pub load: Option<LoadReport>,
    /// Remaining freshness lifetime of the copy, if it has one.
    #[prost(uint64, optional, tag = "12")]
    pub fresh_left_us: Option<u64>,
    /// The origin's HTTP status; 0: 200.
    #[prost(uint32, tag = "13")]
    pub origin_status: u32,
}

/// The end of a complete response.
#[derive(Clone, PartialEq, Message)]
pub struct EndHead {
    /// Bytes of body that were sent: a receiver that counted a different number has an incomplete response.
    #[prost(uint64, tag = "1")]
    pub bytes: u64,
    /// Load of the sender.
    #[prost(message, optional, tag = "2")]
    pub load: Option<LoadReport>,
}

/// The end of a request without a complete response, before or after the head.
#[derive(Clone, PartialEq, Message)]
pub struct ErrorHead {
    /// How the attempt ended.
    #[prost(enumeration = "WireStatus", tag = "1")]
    pub status: i32,
    /// Why the fill failed, if it did.
    #[prost(enumeration = "WireCacheStatus", tag = "2")]
    pub cache_status: i32,
    /// Whether the work may have run.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
    /// Time after which a refused client may retry.
    #[prost(uint64, optional, tag = "4")]
    pub retry_after_us: Option<u64>,
    /// The cause, for logs.
    #[prost(string, tag = "5")]
    pub detail: String,
    /// Load of the sender.
    #[prost(message, optional, tag = "6")]
    pub load: Option<LoadReport>,
    /// Time from the receipt of the request to its end.
    #[prost(uint64, tag = "7")]
    pub elapsed_us: u64,
}

/// The caller needs nothing more on a stream.
#[derive(Clone, PartialEq, Message)]
pub struct CancelHead {
    /// The cause, for logs.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// The sender serves no new streams above `last`; those up to it are completed.
#[derive(Clone, PartialEq, Message)]
pub struct GoawayHead {
    /// Highest stream that is served.
    #[prost(uint32, tag = "1")]
    pub last: u32,
    /// The cause, for logs.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// How an endpoint list is to be applied. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointListForm {
    /// Requests the list; also what an absent field reads as.
    Unspecified = 0,
    /// Changes to the list before it.
    Delta = 1,
    /// The complete list.
    Full = 2,
    /// The complete list, possibly stale.
    Cached = 3,
    /// The source has failed; there is no list.
    Failed = 4,
}

/// State of an endpoint. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireEndpointState {
    /// What an absent field reads as.
    Unspecified = 0,
    /// Accepts requests.
    Ready = 1,
    /// Completes its requests and accepts no new ones.
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
    /// Its state.
    #[prost(enumeration = "WireEndpointState", tag = "2")]
    pub state: i32,
    /// Capacity in relation to other endpoints.
    #[prost(double, tag = "3")]
    pub weight: f64,
    /// Name of its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Name of its role (`cache`, `parent` or `origin`).
    #[prost(string, tag = "5")]
    pub kind: String,
    /// Number of the cell to which it belongs.
    #[prost(uint64, tag = "6")]
    pub cell: u64,
    /// Identifies one start of its process; another number stands for another process at the same address.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Time since it started; absent: it started long ago.
    #[prost(uint64, optional, tag = "8")]
    pub started_ago_us: Option<u64>,
}

/// An update of the endpoint list.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointListHead {
    /// How the update is to be applied.
    #[prost(enumeration = "EndpointListForm", tag = "1")]
    pub form: i32,
    /// Revision, increased by one with each update; a delta applies to the revision before it.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// The endpoints that the update concerns.
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<EndpointRecord>,
}

/// A purge of an object, or of every object of a group.
#[derive(Clone, PartialEq, Message)]
pub struct PurgeHead {
    /// The object; absent: every object of the group.
    #[prost(string, optional, tag = "1")]
    pub object: Option<String>,
    /// The group.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// Time since the purge.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Number that the acknowledgement repeats.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
}

/// Acknowledges an endpoint list or a purge: it is in force at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct AckHead {
    /// `seq` of the acknowledged frame.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Why it is not in force, so that the complete list should be sent; empty: it is in force.
    #[prost(string, tag = "2")]
    pub rejection: String,
}

/// A ping and its echo.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeHead {
    /// Number that the echo repeats.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// This is the echo.
    #[prost(bool, tag = "2")]
    pub echo: bool,
    /// Load of the sender, in an echo.
    #[prost(message, optional, tag = "3")]
    pub load: Option<LoadReport>,
}

/// Identifies the process that answers on a connection: its first frame there, if it has an identity. Since minor version 1;
/// a peer of version 0 skips it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HelloHead {
    /// Drawn at random at each start of the process; never 0.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Time since it started; absent: not reported.
    #[prost(uint64, optional, tag = "2")]
    pub started_ago_us: Option<u64>,
    /// Set by a caller that observes leases.
    #[prost(bool, tag = "3")]
    pub dispatcher: bool,
    /// Set by such a caller if it also requests leases (`WANT`) where they are granted on request.
    #[prost(bool, tag = "4")]
    pub requests_work: bool,
    /// From a dispatcher to its clients: requests of a client that sends nothing for this long are cancelled. From a client,
    /// in reply: it sends a ping four times in each such span while it waits.
    #[prost(uint64, optional, tag = "5")]
    pub lease_us: Option<u64>,
}

/// The work that a warming endpoint accepts from this connection, in place of what the receiver would have computed itself;
/// it replaces the lease before it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseHead {
    /// Work, as the sending time of responses at the full pace of one transfer.
    #[prost(uint64, tag = "1")]
    pub work_us: u64,
    /// The lease expires after this.
    #[prost(uint64, tag = "2")]
    pub duration_us: u64,
    /// Too many callers share the endpoint's work for useful parts: it is granted on request, with `WANT`.
    #[prost(bool, tag = "3")]
    pub on_request: bool,
    /// This lease answers a `WANT`.
    #[prost(bool, tag = "4")]
    pub in_reply: bool,
}

/// Requests a lease from a warming endpoint for a request that waits now. Answered with a lease. Since minor version 2.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WorkRequestHead {
    /// Work of the waiting request.
    #[prost(uint64, tag = "1")]
    pub work_us: u64,
}
