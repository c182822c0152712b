//! Conversions between the heads of frames and the cache model's types.
use pointspindle::ObjectId;
use pointspindle_cache_model::{ClassModel, ModelRequest, ModelResponse};
use pointspindle_protocol::range::{Range, ResolvedRange};
use pointspindle_protocol::{FetchHead, RequestHead, ResponseHead};
use std::sync::Arc;

#[cfg(test)]
mod tests;

const CONTENT_TYPE: &str = "text/plain";
const STATUS_OK: u16 = 200;

/// The class number of requests of an unknown class.
const UNKNOWN_CLASS: usize = usize::MAX;

/// The validator of a version of an object.
pub(super) fn validator_of_version(version: u64) -> String {
    format!("\"v{version}\"")
}

/// The version that a validator, strong or weak, stands for.
pub(super) fn version_of_validator(validator: &str) -> Option<u64> {
    validator
        .trim()
        .trim_start_matches("W/")
        .trim_matches('"')
        .strip_prefix('v')?
        .parse()
        .ok()
}

/// A request in the model's terms.
pub(super) fn model_request(head: &RequestHead, classes: &[ClassModel]) -> ModelRequest {
    let fetch = head.fetch.clone().unwrap_or_default();
    // A lookup without a fetch directive wants what is cached.
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

/// A fill as it is sent to its source.
pub(super) fn fill_request(
    wanted: &ModelRequest,
    classes: &[ClassModel],
    time_left_us: u64,
) -> RequestHead {
    let fetch = FetchHead {
        source: String::new(),
        retention_rank: wanted.retention_rank as u32,
        max_age_us: wanted.max_age,
        coalesce: wanted.coalesce,
        only_if_cached: wanted.only_if_cached,
        revalidate: false,
    };
    let class = classes.get(wanted.class).map(|class| class.name.clone());
    RequestHead {
        object: wanted.object.to_string(),
        part: wanted.part,
        group: wanted.group,
        class: class.unwrap_or_default(),
        time_left_us,
        fetch: Some(fetch),
        trace: wanted.trace.to_string(),
        attempt: wanted.attempt,
        idempotency_key: wanted.idempotency_key.to_string(),
        if_none_match: wanted
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
    /// The range in two split_in_two; the second has the odd byte.
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

/// The response to a request, with the range that was requested.
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

/// The head of a response with the complete body.
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

/// The range that a request asks of a body; none: the complete body.
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
    Some(range.apply(complete_size))
}
