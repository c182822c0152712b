//! Converts HTTP responses to attempt results and response heads of the framed protocol.
use crate::call_state::AttemptEnd;
use pointspindle_protocol::{ResponseHead, WireCacheStatus};

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// Values from a response's head that are needed at the response's end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseStatus {
    code: u16,
    keep_alive: bool,
    retry_after_us: Option<u64>,
    may_have_run: bool,
}

fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let entry = fields.iter().find(|(key, _)| key == name);
    entry.map(|(_, value)| value.as_str())
}

fn number(fields: &[(String, String)], name: &str) -> Option<u64> {
    field(fields, name).and_then(|value| value.parse().ok())
}

impl ResponseStatus {
    pub(super) fn new(code: u16, fields: &[(String, String)], keep_alive: bool) -> Self {
        let rejected = field(fields, "x-outcome") == Some("refused");
        let from_milliseconds =
            number(fields, "x-come-back-ms").map(|ms| ms * MICROS_PER_MILLISECOND);
        let from_seconds = number(fields, "retry-after").map(|s| s * MICROS_PER_SECOND);
        Self {
            code,
            keep_alive,
            retry_after_us: from_milliseconds.or(from_seconds),
            may_have_run: !rejected && code != 404,
        }
    }

    pub(super) fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    /// Whether the response is from a cache host or the origin, and not an error of the dispatcher itself.
    pub(super) fn is_content_response(&self) -> bool {
        matches!(self.code, 200 | 206 | 304 | 416)
    }

    /// Returns the result of an attempt whose response is complete.
    pub(super) fn attempt_end(&self) -> AttemptEnd {
        if self.is_content_response() {
            return AttemptEnd::Complete;
        }
        if self.code == 503 && !self.may_have_run {
            return AttemptEnd::Rejected {
                retry_after: self.retry_after_us,
            };
        }
        AttemptEnd::Failed {
            may_have_run: self.may_have_run,
        }
    }
}

/// Converts the response's head to one of the framed protocol.
pub(super) fn head(status: u16, fields: &[(String, String)]) -> ResponseHead {
    let text = |name| field(fields, name).unwrap_or_default();
    let content_range = text("content-range").strip_prefix("bytes ");
    let (range, complete_size) = content_range
        .and_then(|range| range.split_once('/'))
        .unwrap_or(("", ""));
    let range_first = range.split_once('-').map(|(first, _)| first);
    ResponseHead {
        cache_status: cache_status(text("cache-status")) as i32,
        size: number(fields, "content-length"),
        age_us: number(fields, "age").unwrap_or(0) * MICROS_PER_SECOND,
        validator: text("etag").to_owned(),
        content_type: text("content-type").to_owned(),
        not_modified: status == 304,
        unsatisfiable: status == 416,
        range_first: range_first.and_then(|first| first.parse().ok()),
        complete_size: complete_size.parse().ok(),
        ..Default::default()
    }
}

/// Parses the field `Cache-Status` (RFC 9211) in the form that dispatchers send.
fn cache_status(text: &str) -> WireCacheStatus {
    match text {
        t if t.contains("detail=old") => WireCacheStatus::Stale,
        t if t.contains("; hit") => WireCacheStatus::Hit,
        t if t.contains("collapsed") => WireCacheStatus::Coalesced,
        t if t.contains("detail=origin") => WireCacheStatus::FilledByOrigin,
        t if t.contains("fwd=miss") => WireCacheStatus::Filled,
        _ => WireCacheStatus::Unreported,
    }
}
