use super::{response_head, version_of_validator, BodyRange};
use pointspindle_cache_model::{CachedCopy, ModelResponse};
use pointspindle_protocol::{RequestHead, WireCacheStatus};

const COMPLETE_SIZE: u64 = 1_000;

fn response(not_modified: bool) -> ModelResponse {
    ModelResponse {
        cache_status: WireCacheStatus::Hit,
        copy: CachedCopy {
            version: 3,
            size: COMPLETE_SIZE,
            validated_at: 0,
        },
        age: 0,
        freshness_left: None,
        not_modified,
        load: Default::default(),
        status_code: 200,
    }
}

fn request(range: &str, if_range: &str) -> RequestHead {
    RequestHead {
        range: range.into(),
        if_range: if_range.into(),
        ..Default::default()
    }
}

#[test]
fn response_to_a_range_request_has_the_head_and_bytes_of_that_range() {
    let partial = response_head(&response(false), &request("bytes=100-199", ""), 0);
    let expected = BodyRange {
        start: 100,
        length: 100,
    };
    assert_eq!(partial.range, expected);
    assert_eq!(partial.head.size, Some(100));
    assert_eq!(partial.head.range_first, Some(100));
    assert_eq!(partial.head.complete_size, Some(COMPLETE_SIZE));

    let unsatisfiable = response_head(&response(false), &request("bytes=5000-", ""), 0);
    assert_eq!(unsatisfiable.range.length, 0);
    assert!(unsatisfiable.head.unsatisfiable);
    assert_eq!(unsatisfiable.head.complete_size, Some(COMPLETE_SIZE));
}

#[test]
fn response_is_complete_without_a_range_or_with_the_validator_of_another_version() {
    let complete = BodyRange {
        start: 0,
        length: COMPLETE_SIZE,
    };
    for request in [request("", ""), request("bytes=100-199", "\"v2\"")] {
        let converted = response_head(&response(false), &request, 0);
        assert_eq!(converted.range, complete);
        assert_eq!(converted.head.size, Some(COMPLETE_SIZE));
        assert_eq!(converted.head.range_first, None);
    }
    let same_version = request("bytes=100-199", "\"v3\"");
    let partial = response_head(&response(false), &same_version, 0);
    assert_eq!(partial.range.length, 100);
}

#[test]
fn not_modified_response_and_head_request_have_no_body() {
    let not_modified = response_head(&response(true), &request("bytes=100-199", ""), 0);
    assert_eq!(not_modified.range.length, 0);
    assert_eq!(not_modified.head.size, Some(COMPLETE_SIZE));
    assert_eq!(not_modified.head.range_first, None);

    let head_only = RequestHead {
        head_only: true,
        ..request("bytes=100-199", "")
    };
    let converted = response_head(&response(false), &head_only, 0);
    assert_eq!(converted.range.length, 0);
    assert_eq!(converted.head.size, Some(100));
}

#[test]
fn halves_of_a_range_cover_it_without_overlap() {
    let range = BodyRange {
        start: 10,
        length: 5,
    };
    let (first, second) = range.split_in_two();
    assert_eq!((first.start, first.length), (10, 2));
    assert_eq!((second.start, second.length), (12, 3));
}

#[test]
fn version_is_read_from_strong_and_weak_validators_only() {
    assert_eq!(version_of_validator("\"v12\""), Some(12));
    assert_eq!(version_of_validator(" W/\"v12\""), Some(12));
    assert_eq!(version_of_validator("\"12\""), None);
    assert_eq!(version_of_validator(""), None);
}
