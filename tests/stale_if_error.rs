//! Stale-if-error: a failed fill must be answered from the cached copy.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn failed_fill_is_served_stale_from_the_same_cache() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(PAGE, "a").remove(0);
    let stale = fixture
        .complete(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    assert_eq!(stale.endpoint, sent.endpoint);
    assert_eq!(
        stale.source(),
        sent.endpoint,
        "retry not limited to the cached copy"
    );
    assert_eq!(stale.fetch().max_age, 32 * S);
    assert_eq!(stale.fetch().retention_rank, 0);
}

#[test]
fn miss_of_cached_only_attempt_is_retried_at_another_source() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(PAGE, "a").remove(0);
    let stale = fixture
        .complete(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    let next = fixture
        .complete(&stale, AttemptStatus::Miss, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(next.source(), sent.source());
    assert_ne!(next.source(), next.endpoint);
}

#[test]
fn class_without_stale_if_error_gets_no_cached_only_attempt() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(VIDEO, "a").remove(0);
    let next = fixture
        .complete(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    assert_ne!(next.source(), next.endpoint);
}

#[test]
fn failed_source_makes_requests_accept_stale_for_ten_seconds() {
    let mut endpoints = fleet();
    endpoints.retain(|m| m.kind != 1 && m.id != EndpointId::named("c3"));
    let mut fixture = RouterFixture::with(settings(), endpoints);
    let sent = fixture.request(PAGE, "a").remove(0);
    fixture.complete(&sent, AttemptStatus::Error, CacheStatus::SourceRejected);
    fixture.now += 9_900 * MS;
    assert_eq!(fixture.request(PAGE, "b")[0].fetch().max_age, 32 * S);
    fixture.now += 200 * MS;
    assert_eq!(fixture.request(PAGE, "c")[0].fetch().max_age, 12 * S);
}

#[test]
fn source_miss_is_not_a_source_failure() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(PAGE, "a").remove(0);
    let next = fixture
        .complete(&sent, AttemptStatus::Miss, CacheStatus::SourceMiss)
        .remove(0);
    assert_ne!(
        next.source(),
        next.endpoint,
        "cached-only attempt sent after a source miss"
    );
    assert_eq!(fixture.request(PAGE, "a")[0].fetch().max_age, 12 * S);
}
