//! The messages of etcd's v3 API that this crate uses, with the names, field numbers and types of the published definitions
//! (`etcdserverpb/rpc.proto`, `mvccpb/kv.proto`), which document the fields. Both sides skip fields that are omitted here.
#![allow(missing_docs)]
use prost::{Enumeration, Message, Oneof};

/// Kind of a watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EventType {
    Put = 0,
    Delete = 1,
}

/// Relation that a comparison requires between the stored and the given value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareResult {
    Equal = 0,
    Greater = 1,
    Less = 2,
    NotEqual = 3,
}

/// Property of a key that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareTarget {
    Version = 0,
    Create = 1,
    Mod = 2,
    Value = 3,
    Lease = 4,
}

/// Header of every response: the cluster and node that sent it, and the store's revision at that time.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    #[prost(int64, tag = "3")]
    pub revision: i64,
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A key with its value and the revision of its last change.
#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    #[prost(int64, tag = "4")]
    pub version: i64,
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// A change of a key, delivered by a watch.
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

/// Reads the keys from `key` up to but excluding `range_end`, as of `revision` (0: the newest).
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub limit: i64,
    #[prost(int64, tag = "4")]
    pub revision: i64,
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

/// Response to a range read. `more` is set if the limit excluded further keys.
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    #[prost(bool, tag = "3")]
    pub more: bool,
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key; attaches it to `lease` unless that is 0.
#[derive(Clone, PartialEq, Message)]
pub struct PutRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub lease: i64,
    #[prost(bool, tag = "4")]
    pub prev_kv: bool,
}

/// Response to a put.
#[derive(Clone, PartialEq, Message)]
pub struct PutResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, optional, tag = "2")]
    pub prev_kv: Option<KeyValue>,
}

/// Deletes the keys from `key` up to but excluding `range_end`, or only `key` if `range_end` is empty.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(bool, tag = "3")]
    pub prev_kv: bool,
}

/// Response to a deletion.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub deleted: i64,
    #[prost(message, repeated, tag = "3")]
    pub prev_kvs: Vec<KeyValue>,
}

/// A comparison of a transaction: compares the `target` property of `key` with the value in `target_union`.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    #[prost(enumeration = "CompareResult", tag = "1")]
    pub result: i32,
    #[prost(enumeration = "CompareTarget", tag = "2")]
    pub target: i32,
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    #[prost(oneof = "compare::TargetUnion", tags = "4, 5, 6, 7, 8")]
    pub target_union: Option<compare::TargetUnion>,
}

/// One operation of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    #[prost(oneof = "request_op::Request", tags = "1, 2, 3")]
    pub request: Option<request_op::Request>,
}

/// The response to one operation of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseOp {
    #[prost(oneof = "response_op::Response", tags = "1, 2, 3")]
    pub response: Option<response_op::Response>,
}

/// Runs all operations of `success` in one revision if every comparison holds, otherwise all of `failure`.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// Response to a transaction. `succeeded` is set if every comparison held.
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

/// Discards the history before a revision.
#[derive(Clone, PartialEq, Message)]
pub struct CompactionRequest {
    #[prost(int64, tag = "1")]
    pub revision: i64,
    #[prost(bool, tag = "2")]
    pub physical: bool,
}

/// Response to a compaction.
#[derive(Clone, PartialEq, Message)]
pub struct CompactionResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// A message from the client on a watch stream.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    #[prost(oneof = "watch_request::Request", tags = "1, 2, 3")]
    pub request: Option<watch_request::Request>,
}

/// Starts a watch of a range at `start_revision` (0: the next revision).
#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Cancels one watch of the stream.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCancelRequest {
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Requests a progress notification.
#[derive(Clone, PartialEq, Message)]
pub struct WatchProgressRequest {}

/// A message from the server on a watch stream. `fragment` is set if more events of the same revisions follow.
/// `compact_revision` is not 0 if the start revision has been compacted away.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    #[prost(bool, tag = "3")]
    pub created: bool,
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// Requests a lease with a time to live of `ttl` seconds.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantRequest {
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// The granted lease, with its time to live in seconds.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub id: i64,
    #[prost(int64, tag = "3")]
    pub ttl: i64,
    #[prost(string, tag = "4")]
    pub error: String,
}

/// Revokes a lease and deletes its keys.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRevokeRequest {
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// Response to a revocation.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRevokeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Renews a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseKeepAliveRequest {
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// The renewed lease. A `ttl` of 0 means that it has expired.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseKeepAliveResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub id: i64,
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Requests an authentication token for a user.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateRequest {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub password: String,
}

/// The authentication token to send in the metadata of later calls.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(string, tag = "2")]
    pub token: String,
}

/// The `oneof` of [`Compare`].
pub mod compare {
    use super::*;

    /// The value to compare with.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum TargetUnion {
        #[prost(int64, tag = "4")]
        Version(i64),
        #[prost(int64, tag = "5")]
        CreateRevision(i64),
        #[prost(int64, tag = "6")]
        ModRevision(i64),
        #[prost(bytes = "vec", tag = "7")]
        Value(Vec<u8>),
        #[prost(int64, tag = "8")]
        Lease(i64),
    }
}

/// The `oneof` of [`RequestOp`].
pub mod request_op {
    use super::*;

    /// The request.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Request {
        #[prost(message, tag = "1")]
        Range(RangeRequest),
        #[prost(message, tag = "2")]
        Put(PutRequest),
        #[prost(message, tag = "3")]
        DeleteRange(DeleteRangeRequest),
    }
}

/// The `oneof` of [`ResponseOp`].
pub mod response_op {
    use super::*;

    /// The response.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Response {
        #[prost(message, tag = "1")]
        Range(RangeResponse),
        #[prost(message, tag = "2")]
        Put(PutResponse),
        #[prost(message, tag = "3")]
        DeleteRange(DeleteRangeResponse),
    }
}

/// The `oneof` of [`WatchRequest`].
pub mod watch_request {
    use super::*;

    /// The request.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Request {
        #[prost(message, tag = "1")]
        Create(WatchCreateRequest),
        #[prost(message, tag = "2")]
        Cancel(WatchCancelRequest),
        #[prost(message, tag = "3")]
        Progress(WatchProgressRequest),
    }
}
