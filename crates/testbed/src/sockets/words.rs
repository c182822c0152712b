//! Frames' heads in the model's terms, and back.
use pointspindle::ObjectId;
use pointspindle_cache_model::{ClassModel, ModelRequest, ModelResponse};
use pointspindle_protocol::range::{Range, ResolvedRange};
use pointspindle_protocol::{FetchHead, RequestHead, ResponseHead};
use std::sync::Arc;

pub fn validator(version: u64) -> String {
    format!("\"v{version}\"")
}

pub fn version(validator: &str) -> Option<u64> {
    validator
        .trim()
        .trim_start_matches("W/")
        .trim_matches('"')
        .strip_prefix('v')?
        .parse()
        .ok()
}

pub fn wanted(head: &RequestHead, classes: &[ClassModel]) -> ModelRequest {
    let fetch = head.fetch.clone().unwrap_or_default();
    // A plain look and a fetch without a source want what is held.
    let held_only =
        fetch.only_if_cached || (head.fetch.is_none() && head.idempotency_key.is_empty());
    ModelRequest {
        object: Arc::from(head.object.as_str()),
        object_number: ObjectId::named(&head.object).0,
        part: head.part,
        group: head.group,
        class: classes
            .iter()
            .position(|c| c.name == head.class)
            .unwrap_or(usize::MAX),
        source: (!fetch.source.is_empty()).then_some(fetch.source),
        retention_rank: fetch.retention_rank as u8,
        max_age: fetch.max_age_us,
        coalesce: fetch.coalesce,
        only_if_cached: held_only,
        revalidate: fetch.revalidate,
        cached_version: version(&head.if_none_match),
        idempotency_key: Arc::from(head.idempotency_key.as_str()),
        trace: Arc::from(head.trace.as_str()),
        attempt: head.attempt,
    }
}

/// A fill as it goes to its source.
pub fn request(wanted: &ModelRequest, classes: &[ClassModel], left_us: u64) -> RequestHead {
    let fetch = FetchHead {
        source: String::new(),
        retention_rank: wanted.retention_rank as u32,
        max_age_us: wanted.max_age,
        coalesce: wanted.coalesce,
        only_if_cached: wanted.only_if_cached,
        revalidate: false,
    };
    RequestHead {
        object: wanted.object.to_string(),
        part: wanted.part,
        group: wanted.group,
        class: classes
            .get(wanted.class)
            .map(|c| c.name.clone())
            .unwrap_or_default(),
        time_left_us: left_us,
        fetch: Some(fetch),
        trace: wanted.trace.to_string(),
        attempt: wanted.attempt,
        idempotency_key: wanted.idempotency_key.to_string(),
        if_none_match: wanted.cached_version.map(validator).unwrap_or_default(),
        ..Default::default()
    }
}

/// Which bytes of the body an answer carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    pub from: u64,
    pub len: u64,
}

/// The head of an answer, with the range that was asked for applied.
pub fn head(answer: &ModelResponse, asked: &RequestHead, elapsed_us: u64) -> (ResponseHead, Cut) {
    let whole = answer.copy.size;
    let validator = validator(answer.copy.version);
    let range_wanted =
        !asked.range.is_empty() && (asked.if_range.is_empty() || asked.if_range == validator);
    let range = range_wanted
        .then(|| Range::parse(&asked.range))
        .flatten()
        .map(|r| r.apply(whole));
    let mut head = ResponseHead {
        cache_status: answer.cache_status as i32,
        size: Some(whole),
        age_us: answer.age,
        validator,
        content_type: "text/plain".into(),
        not_modified: answer.not_modified,
        elapsed_us,
        load: Some(answer.load),
        fresh_left_us: answer.freshness_left,
        origin_status: if answer.status_code == 200 {
            0
        } else {
            answer.status_code as u32
        },
        ..Default::default()
    };
    let mut cut = Cut {
        from: 0,
        len: whole,
    };
    match range {
        Some(ResolvedRange::Part(first, last)) if !answer.not_modified => {
            cut = Cut {
                from: first,
                len: last + 1 - first,
            };
            head.size = Some(cut.len);
            head.range_first = Some(first);
            head.complete_size = Some(whole);
        }
        Some(ResolvedRange::Unsatisfiable) if !answer.not_modified => {
            cut.len = 0;
            head.size = Some(0);
            head.complete_size = Some(whole);
            head.unsatisfiable = true;
        }
        _ => {}
    }
    if answer.not_modified || asked.head_only {
        cut.len = 0;
    }
    (head, cut)
}
