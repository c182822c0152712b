//! Heads of frames, as protocol buffers by derive: a peer skips fields that it does not know.
//!
//! Times are microseconds unless the name says otherwise; sizes are bytes unless the name says otherwise.
use prost::Message;

/// How an attempt ended, on the wire. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireStatus {
    /// Never sent; what an absent field reads as.
    Unspecified = 0,
    /// It was tried and went wrong; it may have run.
    Error = 1,
    /// Turned away for want of room; nothing ran.
    Rejected = 2,
    /// Nothing suitable is held and no fill was asked for; nothing ran.
    Miss = 3,
    /// A dispatcher's final answer: refused; a retry is harmless.
    Refused = 4,
    /// A dispatcher's final answer: failed; no promise.
    Failed = 5,
}

/// How an answer came about, or why its fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireCacheStatus {
    Unreported = 0,
    Hit = 1,
    Filled = 2,
    FilledByOrigin = 3,
    Coalesced = 4,
    Stale = 5,
    SourceRejected = 6,
    SourceUnreachable = 7,
    SourceMiss = 8,
    FillLimitReached = 9,
    OriginFailed = 10,
}

/// What a cache does if it lacks the object, and which copies are good enough.
#[derive(Clone, PartialEq, Message)]
pub struct FetchHead {
    /// Address of the source of a fill; empty: the receiver fills from nowhere.
    #[prost(string, tag = "1")]
    pub source: String,
    /// 0 passes the object through, 1 to 3 is the rank at which the copy is kept.
    #[prost(uint32, tag = "2")]
    pub retention_rank: u32,
    /// Oldest copy that will do; 0: the receiver's fresh time for the class.
    #[prost(uint64, tag = "3")]
    pub max_age_us: u64,
    #[prost(bool, tag = "4")]
    pub coalesce: bool,
    #[prost(bool, tag = "5")]
    pub only_if_cached: bool,
    #[prost(bool, tag = "6")]
    pub revalidate: bool,
}

/// A request: from a client, from a dispatcher to a cache, or from a cache to its source.
#[derive(Clone, PartialEq, Message)]
pub struct RequestHead {
    #[prost(string, tag = "1")]
    pub object: String,
    #[prost(uint64, tag = "2")]
    pub part: u64,
    /// Group for purges.
    #[prost(uint64, tag = "3")]
    pub group: u64,
    #[prost(string, tag = "4")]
    pub class: String,
    /// Time left before the asker gives up.
    #[prost(uint64, tag = "5")]
    pub time_left_us: u64,
    /// Size of the answer, where known.
    #[prost(uint64, optional, tag = "6")]
    pub size: Option<u64>,
    #[prost(message, optional, tag = "7")]
    pub fetch: Option<FetchHead>,
    /// Names the client's request wherever it goes.
    #[prost(string, tag = "8")]
    pub trace: String,
    /// Attempt within the dispatcher, from 0.
    #[prost(uint32, tag = "9")]
    pub attempt: u32,
    /// The key of a keyed request; empty otherwise.
    #[prost(string, tag = "10")]
    pub idempotency_key: String,
    /// Only the head of the answer is wanted.
    #[prost(bool, tag = "11")]
    pub head_only: bool,
    /// Validator that the asker holds: an answer with the same one carries no body (`not_modified`).
    #[prost(string, tag = "12")]
    pub if_none_match: String,
    /// One byte range, as in HTTP (`bytes=…`); empty: the whole.
    #[prost(string, tag = "13")]
    pub range: String,
    /// Validator under which the range is wanted; another one: the whole.
    #[prost(string, tag = "14")]
    pub if_range: String,
    /// A client's name for its call, the same on each try of it and never used for another: a dispatcher ends the try
    /// before it first. Not passed on. Empty: it is not tried again. Since minor version 2.
    #[prost(string, tag = "15")]
    pub call_id: String,
}

/// What members tell of their load.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadReport {
    /// Share of its cores that are busy.
    #[prost(double, tag = "1")]
    pub utilization: f64,
    /// Recent share of hits.
    #[prost(double, tag = "2")]
    pub hit_ratio: f64,
    /// How full the link of its location is; of a parent, the fetches that it has out.
    #[prost(double, tag = "3")]
    pub link_utilization: f64,
}

/// The head of an answer that has (or describes) a body.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    #[prost(enumeration = "WireCacheStatus", tag = "1")]
    pub cache_status: i32,
    /// Length of the body that follows, where known.
    #[prost(uint64, optional, tag = "2")]
    pub size: Option<u64>,
    /// Time since the origin gave the copy out or last confirmed it.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    #[prost(string, tag = "4")]
    pub validator: String,
    #[prost(string, tag = "5")]
    pub content_type: String,
    /// The validator of the request still holds; no body follows.
    #[prost(bool, tag = "6")]
    pub not_modified: bool,
    /// Of a range: its first byte, and the size of the whole.
    #[prost(uint64, optional, tag = "7")]
    pub range_first: Option<u64>,
    #[prost(uint64, optional, tag = "8")]
    pub complete_size: Option<u64>,
    /// The range asked for lies outside; no body follows.
    #[prost(bool, tag = "9")]
    pub unsatisfiable: bool,
    /// Time from the receiver's first sight of the request to this head.
    #[prost(uint64, tag = "10")]
    pub elapsed_us: u64,
    #[prost(message, optional, tag = "11")]
    pub load: Option<LoadReport>,
    /// How long the copy stays fresh from now, where it grows old.
    #[prost(uint64, optional, tag = "12")]
    pub fresh_left_us: Option<u64>,
    /// What the origin made of it, as an HTTP status; 0: 200.
    #[prost(uint32, tag = "13")]
    pub origin_status: u32,
}

/// The end of a complete answer.
#[derive(Clone, PartialEq, Message)]
pub struct EndHead {
    /// Bytes of the body that were sent: a receiver that counted others has a broken answer.
    #[prost(uint64, tag = "1")]
    pub bytes: u64,
    #[prost(message, optional, tag = "2")]
    pub load: Option<LoadReport>,
}

/// The end of a request that has no complete answer, before or after the head.
#[derive(Clone, PartialEq, Message)]
pub struct ErrorHead {
    #[prost(enumeration = "WireStatus", tag = "1")]
    pub status: i32,
    #[prost(enumeration = "WireCacheStatus", tag = "2")]
    pub cache_status: i32,
    /// Whether the work may have run.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
    /// When a refused client may come back.
    #[prost(uint64, optional, tag = "4")]
    pub retry_after_us: Option<u64>,
    #[prost(string, tag = "5")]
    pub detail: String,
    #[prost(message, optional, tag = "6")]
    pub load: Option<LoadReport>,
    #[prost(uint64, tag = "7")]
    pub elapsed_us: u64,
}

/// Stop: nothing more is wanted on a stream.
#[derive(Clone, PartialEq, Message)]
pub struct CancelHead {
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// No new streams above `last` will be served; those up to it still are.
#[derive(Clone, PartialEq, Message)]
pub struct GoAwayHead {
    #[prost(uint32, tag = "1")]
    pub last: u32,
    #[prost(string, tag = "2")]
    pub reason: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointListForm {
    Unspecified = 0,
    Delta = 1,
    Full = 2,
    Cached = 3,
    Failed = 4,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireEndpointState {
    Unspecified = 0,
    Ready = 1,
    Draining = 2,
    Gone = 3,
}

/// One member of the fleet.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointRecord {
    /// Host and port; also its name: the same at every dispatcher.
    #[prost(string, tag = "1")]
    pub address: String,
    #[prost(enumeration = "WireEndpointState", tag = "2")]
    pub state: i32,
    #[prost(double, tag = "3")]
    pub weight: f64,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(string, tag = "5")]
    pub kind: String,
    #[prost(uint64, tag = "6")]
    pub cell: u64,
    /// Which start of the member this is; another number: another process in its place.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// How long ago it started; absent: long ago.
    #[prost(uint64, optional, tag = "8")]
    pub started_ago_us: Option<u64>,
}

/// News of the member list.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointListHead {
    #[prost(enumeration = "EndpointListForm", tag = "1")]
    pub form: i32,
    /// Grows by one with each update; a delta applies to the list numbered one less.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<EndpointRecord>,
}

/// An object, or without one every object of the group, was purged.
#[derive(Clone, PartialEq, Message)]
pub struct PurgeHead {
    #[prost(string, optional, tag = "1")]
    pub object: Option<String>,
    #[prost(uint64, tag = "2")]
    pub group: u64,
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    #[prost(uint64, tag = "4")]
    pub seq: u64,
}

/// Answers a list or purge: it is in force here.
#[derive(Clone, PartialEq, Message)]
pub struct AckHead {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Why it is not in force; the sender should tell the whole list.
    #[prost(string, tag = "2")]
    pub rejection: String,
}

/// A probe and its echo.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeHead {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(bool, tag = "2")]
    pub echo: bool,
    #[prost(message, optional, tag = "3")]
    pub load: Option<LoadReport>,
}

/// Who answers on a connection: the first frame of an answerer that has a process identity to tell. Since minor
/// version 1; a peer of version 0 skips it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HelloHead {
    /// Drawn anew at each start of the process; never 0.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// How long ago it started; absent: it does not say.
    #[prost(uint64, optional, tag = "2")]
    pub started_ago_us: Option<u64>,
    /// Said by a caller that keeps to leases.
    #[prost(bool, tag = "3")]
    pub dispatcher: bool,
    /// ... and asks for work (WANT) where it is given so.
    #[prost(bool, tag = "4")]
    pub requests_work: bool,
    /// Said by a dispatcher to its clients: what it runs for one that gives no sign of life for so long is cancelled. Said
    /// by a client, in answer: it gives one four times as often while it waits.
    #[prost(uint64, optional, tag = "5")]
    pub lease_us: Option<u64>,
}

/// Work that a member which warms up takes from this connection, in place of what the receiver would have worked out for
/// itself; it replaces the lease before it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseHead {
    /// Sending time of answers, at the full pace of one transfer.
    #[prost(uint64, tag = "1")]
    pub work_us: u64,
    /// It lapses after this.
    #[prost(uint64, tag = "2")]
    pub duration_us: u64,
    /// Too many share the member's work for parts that are of use: it is given to who asks for it, with WANT.
    #[prost(bool, tag = "3")]
    pub on_request: bool,
    /// This one answers a WANT.
    #[prost(bool, tag = "4")]
    pub in_reply: bool,
}

/// Asks a member that warms up for work, for a request that is there now. Answered with LEASE. Since minor version 2.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WorkRequestHead {
    #[prost(uint64, tag = "1")]
    pub work_us: u64,
}
