//! Converts between the heads of frames and the cache model's types.
use pointspindle::ObjectId;
use pointspindle_cache_model::{ClassModel, ModelRequest, ModelResponse};
use pointspindle_protocol::range::{Range, ResolvedRange};
use pointspindle_protocol::{FetchHead, RequestHead, ResponseHead};
use std::sync::Arc;

#[cfg(test)]
mod tests;

const CONTENT_TYPE: &str = "text/plain";
const STATUS_OK: u16 = 200;

/// The class number of a request whose class is unknown.
const UNKNOWN_CLASS: usize = usize::MAX;

/// Returns the validator of a version of an object.
pub(super) fn validator_of_version(version: u64) -> String {
    format!("\"v{version}\"")
}

/// Returns the version that a strong or weak validator names.
pub(super) fn version_of_validator(validator: &str) -> Option<u64> {
    validator
        .trim()
        .trim_start_matches("W/")
        .trim_matches('"')
        .strip_prefix('v')?
        .parse()
        .ok()
}

/// Converts the head of a request to the model's type.
pub(super) fn model_request(head: &RequestHead, classes: &[ClassModel]) -> ModelRequest {
    let fetch = head.fetch.clone().unwrap_or_default();
    // A request with neither a fetch directive nor an idempotency key is a lookup in the cache only.
    let only_if_cached =
        fetch.only_if_cached || (head.fetch.is_none() && head.idempotency_key.is_empty());
    let class = classes.iter().position(|class| class.name == head.class);
    ModelRequest {
        object: Arc::from(head.object.as_str()),
        object_number: ObjectId::named(&head.object).0,
        part: head.part,
        group: head.group,
        class: class.unwrap_or(UNKNOWN_CLASS),
        source: (!fetch.source.is_empty()).then_some(fetch.source),
        retention_rank: fetch.retention_rank as u8,
        max_age: fetch.max_age_us,
        coalesce: fetch.coalesce,
        only_if_cached,
        revalidate: fetch.revalidate,
        cached_version: version_of_validator(&head.if_none_match),
        idempotency_key: Arc::from(head.idempotency_key.as_str()),
        trace: Arc::from(head.trace.as_str()),
        attempt: head.attempt,
    }
}

/// Returns the head of the request that a fill sends to its source.
pub(super) fn fill_request(
    model_request: &ModelRequest,
    classes: &[ClassModel],
    time_left_us: u64,
) -> RequestHead {
    let fetch = FetchHead {
        source: String::new(),
        retention_rank: model_request.retention_rank as u32,
        max_age_us: model_request.max_age,
        coalesce: model_request.coalesce,
        only_if_cached: model_request.only_if_cached,
        revalidate: false,
    };
    let class = classes
        .get(model_request.class)
        .map(|class| class.name.clone());
    RequestHead {
        object: model_request.object.to_string(),
        part: model_request.part,
        group: model_request.group,
        class: class.unwrap_or_default(),
        time_left_us,
        fetch: Some(fetch),
        trace: model_request.trace.to_string(),
        attempt: model_request.attempt,
        idempotency_key: model_request.idempotency_key.to_string(),
        if_none_match: model_request
            .cached_version
            .map(validator_of_version)
            .unwrap_or_default(),
        ..Default::default()
    }
}

/// A range of a body, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BodyRange {
    pub start: u64,
    pub length: u64,
}

impl BodyRange {
    /// Splits the range into two halves; if the length is odd, the second is one byte longer.
    pub fn split_in_two(self) -> (Self, Self) {
        let first = Self {
            start: self.start,
            length: self.length / 2,
        };
        let second = Self {
            start: self.start + first.length,
            length: self.length - first.length,
        };
        (first, second)
    }
}

/// The head of a response, and the range of the body that follows it.
pub(super) struct ConvertedResponse {
    pub head: ResponseHead,
    pub range: BodyRange,
}

/// Returns the response to a request, limited to the requested range.
pub(super) fn response_head(
    response: &ModelResponse,
    request: &RequestHead,
    elapsed_us: u64,
) -> ConvertedResponse {
    let complete_size = response.copy.size;
    let mut head = complete_head(response, elapsed_us);
    let mut range = BodyRange {
        start: 0,
        length: complete_size,
    };
    if response.not_modified {
        range.length = 0;
        return ConvertedResponse { head, range };
    }
    match requested_range(request, &head.validator, complete_size) {
        Some(ResolvedRange::Part(first, last)) => {
            range = BodyRange {
                start: first,
                length: last + 1 - first,
            };
            head.size = Some(range.length);
            head.range_first = Some(first);
            head.complete_size = Some(complete_size);
        }
        Some(ResolvedRange::Unsatisfiable) => {
            range.length = 0;
            head.size = Some(0);
            head.complete_size = Some(complete_size);
            head.unsatisfiable = true;
        }
        _ => {}
    }
    if request.head_only {
        range.length = 0;
    }
    ConvertedResponse { head, range }
}

/// Returns the head of a response with the complete body.
fn complete_head(response: &ModelResponse, elapsed_us: u64) -> ResponseHead {
    let origin_status = match response.status_code {
        STATUS_OK => 0,
        status => status as u32,
    };
    ResponseHead {
        cache_status: response.cache_status as i32,
        size: Some(response.copy.size),
        age_us: response.age,
        validator: validator_of_version(response.copy.version),
        content_type: CONTENT_TYPE.into(),
        not_modified: response.not_modified,
        elapsed_us,
        load: Some(response.load),
        fresh_left_us: response.freshness_left,
        origin_status,
        ..Default::default()
    }
}

/// Returns the range of a body to respond with, or `None` for the complete body.
fn requested_range(
    request: &RequestHead,
    validator: &str,
    complete_size: u64,
) -> Option<ResolvedRange> {
    if request.range.is_empty() {
        return None;
    }
    if !request.if_range.is_empty() && request.if_range != validator {
        return None;
    }
    let range = Range::parse(&request.range)?;
    Some(range.resolve(complete_size))
}
