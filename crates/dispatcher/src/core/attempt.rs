//! One attempt of a request: its parameters, whether it has begun, and its result.
use super::AttemptEnd;
use pointspindle::{AttemptStatus, CacheStatus, EndpointId, FetchDirective, Micros};
use pointspindle_protocol::{WireCacheStatus, WireStatus};

/// The parameters of an attempt, determined immediately before its first byte is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTerms {
    /// Remaining time until the attempt's deadline.
    pub time_left: Micros,
    /// Age of the oldest acceptable copy; 0 stands for the limit of the request's class.
    pub max_age: Micros,
    /// Whether the attempt may join a fill that is in progress.
    pub may_coalesce: bool,
    /// Whether the copy age is limited because there is no valid purge lease.
    pub limited_by_purge_lease: bool,
}

/// An attempt in flight. It is created when the router requests it, and removed when it ends, is cancelled or times out. The
/// router must be notified of its outcome exactly once.
#[derive(Debug)]
pub(super) struct Attempt {
    pub number: u32,
    pub endpoint: EndpointId,
    pub created_at: Micros,
    pub deadline: Micros,
    pub cache_status: WireCacheStatus,
    pub size_kb: Option<f64>,
    /// Endpoint to fill from, if it is not the receiving endpoint itself.
    pub source: Option<EndpointId>,
    /// Age of the oldest acceptable copy, given the purges applied so far; 0 stands for the limit of the class.
    pub max_copy_age: Micros,
    /// Whether the attempt may join a fill that is in progress.
    pub may_coalesce: bool,
    /// Whether the first byte may have been sent. Before that the request cannot have been executed.
    pub has_begun: bool,
}

impl Attempt {
    /// Creates an attempt that has not begun.
    pub fn new(
        number: u32,
        endpoint: EndpointId,
        fetch: Option<&FetchDirective>,
        created_at: Micros,
        timeout: Micros,
    ) -> Self {
        let source = fetch.map(|directive| directive.source);
        Self {
            number,
            endpoint,
            created_at,
            deadline: created_at + timeout,
            cache_status: WireCacheStatus::Unreported,
            size_kb: None,
            source: source.filter(|source| *source != endpoint),
            max_copy_age: fetch.map_or(0, |directive| directive.max_age),
            may_coalesce: fetch.is_some_and(|directive| directive.coalesce),
            has_begun: false,
        }
    }

    /// Excludes copies older than `limit`, and fills in progress, which may have begun before that.
    pub fn limit_copy_age(&mut self, limit: Micros) {
        // 0 stands for "no limit", so the strictest limit is 1.
        let limit = limit.max(1);
        self.max_copy_age = match self.max_copy_age {
            0 => limit,
            current => current.min(limit),
        };
        self.may_coalesce = false;
    }

    /// Returns the status that is reported to the router. An attempt that has not begun cannot have been executed, however
    /// it ended.
    pub fn effective_status(&self, status: AttemptStatus, request_is_done: bool) -> AttemptStatus {
        match status {
            AttemptStatus::Timeout | AttemptStatus::Cancelled if self.has_begun => status,
            // The attempt was no longer needed, which says nothing about the endpoint's health.
            AttemptStatus::Cancelled if request_is_done => AttemptStatus::NotSent,
            // No byte could be written to the endpoint in time.
            AttemptStatus::Timeout | AttemptStatus::Cancelled => AttemptStatus::ConnectFailed,
            _ => status,
        }
    }
}

/// The result of an attempt, as it is reported to the router.
pub(super) struct AttemptResult {
    pub status: AttemptStatus,
    /// Cache status reported with the end of the attempt; if `None`, that of the response head is used.
    pub cache_status: Option<WireCacheStatus>,
}

impl AttemptResult {
    /// Creates a result without a cache status.
    pub fn new(status: AttemptStatus) -> Self {
        Self {
            status,
            cache_status: None,
        }
    }
}

impl From<AttemptEnd> for AttemptResult {
    fn from(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Complete => Self::new(AttemptStatus::Ok),
            AttemptEnd::ConnectFailed => Self::new(AttemptStatus::ConnectFailed),
            AttemptEnd::NotSent => Self::new(AttemptStatus::NotSent),
            AttemptEnd::ConnectionLost => Self::new(AttemptStatus::Reset),
            AttemptEnd::ErrorReported {
                status,
                cache_status,
                may_have_run,
            } => Self {
                status: reported_status(status, may_have_run),
                cache_status: Some(cache_status),
            },
        }
    }
}

/// Translates the status of an error frame. A status that marks a retry as safe is accepted only if the frame also states that
/// the request was not executed.
fn reported_status(status: WireStatus, may_have_run: bool) -> AttemptStatus {
    if may_have_run {
        return AttemptStatus::Error;
    }
    match status {
        WireStatus::Rejected => AttemptStatus::Rejected,
        WireStatus::Miss => AttemptStatus::Miss,
        WireStatus::Unspecified => AttemptStatus::NotSent,
        _ => AttemptStatus::Error,
    }
}

/// Returns the label of a status in metrics.
pub(super) fn status_label(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Ok => "ok",
        AttemptStatus::Error => "error",
        AttemptStatus::Rejected => "full",
        AttemptStatus::Timeout => "timeout",
        AttemptStatus::ConnectFailed => "connect_failed",
        AttemptStatus::Reset => "reset",
        AttemptStatus::Cancelled => "cancelled",
        AttemptStatus::NotSent => "not_sent",
        AttemptStatus::Miss => "miss",
    }
}

/// Translates a cache status of the protocol into the router's type.
pub(super) fn router_cache_status(status: WireCacheStatus) -> CacheStatus {
    match status {
        WireCacheStatus::Unreported => CacheStatus::Unreported,
        WireCacheStatus::Hit => CacheStatus::Hit,
        WireCacheStatus::Filled => CacheStatus::Filled,
        WireCacheStatus::FilledByOrigin => CacheStatus::FilledByOrigin,
        WireCacheStatus::Coalesced => CacheStatus::Coalesced,
        WireCacheStatus::Stale => CacheStatus::Stale,
        WireCacheStatus::SourceRejected => CacheStatus::SourceRejected,
        WireCacheStatus::SourceUnreachable => CacheStatus::SourceUnreachable,
        WireCacheStatus::SourceMiss => CacheStatus::SourceMiss,
        WireCacheStatus::FillLimitReached => CacheStatus::FillLimitReached,
        WireCacheStatus::OriginFailed => CacheStatus::OriginFailed,
    }
}
