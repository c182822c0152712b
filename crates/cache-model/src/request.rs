//! Requests, copies and responses.
use super::store::ObjectKey;
use pointspindle::Micros;
use pointspindle_protocol::{LoadReport, WireCacheStatus};
use std::sync::Arc;

/// A request at a host.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequest {
    /// The object's path.
    pub object: Arc<str>,
    /// The object's id.
    pub object_number: u64,
    /// The requested part of the object.
    pub part: u64,
    /// The object's purge group.
    pub group: u64,
    /// Index of the request class.
    pub class: usize,
    /// Address that a miss is filled from; `None` stands for the host's own upstream, if it has one.
    pub source: Option<String>,
    /// Rank at which a cache host stores the copy; 0 if the copy is not stored.
    pub retention_rank: u8,
    /// Maximum age of an acceptable copy, microseconds; 0 stands for the freshness lifetime of the class.
    pub max_age: Micros,
    /// Whether the request may join a fill in progress.
    pub coalesce: bool,
    /// Whether the request is for a cached copy only.
    pub only_if_cached: bool,
    /// Whether a copy near the end of its freshness lifetime is revalidated in the background.
    pub revalidate: bool,
    /// Version of the requester's copy; if it is current, the response has no body.
    pub cached_version: Option<u64>,
    /// Identifies work that must not run twice; empty if the work may be repeated.
    pub idempotency_key: Arc<str>,
    /// Trace id.
    pub trace: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
}

impl ModelRequest {
    /// Whether the request's work must not run twice.
    pub fn has_idempotency_key(&self) -> bool {
        !self.idempotency_key.is_empty()
    }

    pub(crate) fn key(&self) -> ObjectKey {
        ObjectKey {
            object: self.object_number,
            part: self.part,
        }
    }
}

/// A copy of an object's part, described by what its bytes are generated from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedCopy {
    /// The origin's version: its number of updates of the object and of the group.
    pub version: u64,
    /// Size, bytes.
    pub size: u64,
    /// Time at which the origin served or confirmed the copy, microseconds.
    pub validated_at: Micros,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelResponse {
    /// The host's cache status for the request.
    pub cache_status: WireCacheStatus,
    /// The copy.
    pub copy: CachedCopy,
    /// Time since the validation of the copy, microseconds.
    pub age: Micros,
    /// Remaining freshness lifetime of the copy, microseconds; `None` if it stays fresh until purged.
    pub freshness_left: Option<Micros>,
    /// Whether the requester's version is current and the response has no body.
    pub not_modified: bool,
    /// The host's load.
    pub load: LoadReport,
    /// HTTP status; 404 if the origin has no such object.
    pub status_code: u16,
}

impl ModelResponse {
    /// Returns the size of the body, bytes.
    pub(crate) fn body_bytes(&self) -> u64 {
        if self.not_modified {
            0
        } else {
            self.copy.size
        }
    }
}
