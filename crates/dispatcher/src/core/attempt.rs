//! One attempt of a request: what was ordered, whether it has begun, and how it ended.
use super::AttemptEnd;
use pointspindle::{AttemptStatus, CacheStatus, EndpointId, FetchDirective, Micros};
use pointspindle_protocol::{WireCacheStatus, WireStatus};

/// What holds for an attempt at the moment of its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTerms {
    /// Remaining time of the attempt.
    pub time_left: Micros,
    /// Age of the oldest acceptable copy; 0: the limit of the request's class.
    pub max_copy_age: Micros,
    /// The attempt may join a fill that is in progress.
    pub may_coalesce: bool,
    /// The age is limited because the purge lease has expired.
    pub limited_by_purge_lease: bool,
}

/// An attempt in flight. Created when it is ordered; removed when it ends, is cancelled or times out. Its end is owed to the
/// router exactly once.
#[derive(Debug)]
pub(super) struct Attempt {
    pub number: u32,
    pub endpoint: EndpointId,
    pub ordered_at: Micros,
    pub deadline: Micros,
    pub cache_status: WireCacheStatus,
    pub size_kb: Option<f64>,
    /// Endpoint to fill from, where that is another one than the receiver.
    pub source: Option<EndpointId>,
    /// Age of the oldest acceptable copy, as of the purges applied so far; 0: the limit of the class.
    pub max_copy_age: Micros,
    /// The attempt may join a fill that is in progress.
    pub may_coalesce: bool,
    /// The first byte may have been sent. Before that the request cannot have been executed.
    pub has_begun: bool,
}

impl Attempt {
    /// An attempt that has not begun.
    pub fn new(
        number: u32,
        endpoint: EndpointId,
        fetch: Option<&FetchDirective>,
        ordered_at: Micros,
        timeout: Micros,
    ) -> Self {
        let source = fetch.map(|directive| directive.source);
        Self {
            number,
            endpoint,
            ordered_at,
            deadline: ordered_at + timeout,
            cache_status: WireCacheStatus::Unreported,
            size_kb: None,
            source: source.filter(|source| *source != endpoint),
            max_copy_age: fetch.map_or(0, |directive| directive.max_age),
            may_coalesce: fetch.is_some_and(|directive| directive.coalesce),
            has_begun: false,
        }
    }

    /// Excludes older copies, and fills that began before.
    pub fn limit_copy_age(&mut self, limit: Micros) {
        // 0 stands for "no limit", so the strictest limit is 1.
        let limit = limit.max(1);
        self.max_copy_age = match self.max_copy_age {
            0 => limit,
            current => current.min(limit),
        };
        self.may_coalesce = false;
    }

    /// The status that the router is notified of. An attempt that has not begun cannot have been executed, however it
    /// ended.
    pub fn effective_status(&self, status: AttemptStatus, request_is_done: bool) -> AttemptStatus {
        match status {
            AttemptStatus::Timeout | AttemptStatus::Cancelled if self.has_begun => status,
            // No longer needed, which is no evidence about the endpoint.
            AttemptStatus::Cancelled if request_is_done => AttemptStatus::NotSent,
            // Nothing could be written to the endpoint in time.
            AttemptStatus::Timeout | AttemptStatus::Cancelled => AttemptStatus::ConnectFailed,
            _ => status,
        }
    }
}

/// An attempt's end in the router's terms.
pub(super) struct EndReport {
    pub status: AttemptStatus,
    /// None: as reported by the response head, if one arrived.
    pub cache_status: Option<WireCacheStatus>,
}

impl EndReport {
    /// An end without a cache status of its own.
    pub fn new(status: AttemptStatus) -> Self {
        Self {
            status,
            cache_status: None,
        }
    }
}

impl From<AttemptEnd> for EndReport {
    fn from(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Complete => Self::new(AttemptStatus::Ok),
            AttemptEnd::ConnectFailed => Self::new(AttemptStatus::ConnectFailed),
            AttemptEnd::NotSent => Self::new(AttemptStatus::NotSent),
            AttemptEnd::Broken => Self::new(AttemptStatus::Reset),
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

/// A status that promises a harmless retry is trusted only if the frame also says that the request was not executed.
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

/// Label of a status in metrics.
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

/// Translates a cache status of the protocol into the router's.
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
