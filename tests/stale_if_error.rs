//! Stale-if-error: a failed fill is answered from the cached copy.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn failed_fill_is_served_stale_from_the_same_cache() {
    let mut s = RouterFixture::new();
    let sent = s.request(PAGE, "a").remove(0);
    let stale = s
        .complete(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    assert_eq!(stale.endpoint, sent.endpoint);
    assert_eq!(stale.source(), sent.endpoint, "from what it holds only");
    assert_eq!(stale.fetch().max_age, 32 * S);
    assert_eq!(stale.fetch().retention_rank, 0);
}

#[test]
fn miss_of_cached_only_attempt_is_retried_at_another_source() {
    let mut s = RouterFixture::new();
    let sent = s.request(PAGE, "a").remove(0);
    let stale = s
        .complete(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    let next = s
        .complete(&stale, AttemptStatus::Miss, CacheStatus::Unreported)
        .remove(0);
    assert_ne!(next.source(), sent.source());
    assert_ne!(next.source(), next.endpoint);
}

#[test]
fn class_without_stale_if_error_gets_no_cached_only_attempt() {
    let mut s = RouterFixture::new();
    let sent = s.request(VIDEO, "a").remove(0);
    let next = s
        .complete(&sent, AttemptStatus::Error, CacheStatus::SourceUnreachable)
        .remove(0);
    assert_ne!(next.source(), next.endpoint);
}

#[test]
fn failed_source_makes_requests_accept_stale_for_ten_seconds() {
    let mut endpoints = fleet();
    endpoints.retain(|m| m.kind != 1 && m.id != EndpointId::named("c3"));
    let mut s = RouterFixture::with(settings(), endpoints);
    let sent = s.request(PAGE, "a").remove(0);
    s.complete(&sent, AttemptStatus::Error, CacheStatus::SourceRejected);
    s.now += 9_900 * MS;
    assert_eq!(s.request(PAGE, "b")[0].fetch().max_age, 32 * S);
    s.now += 200 * MS;
    assert_eq!(s.request(PAGE, "c")[0].fetch().max_age, 12 * S);
}

#[test]
fn source_miss_is_not_a_source_failure() {
    let mut s = RouterFixture::new();
    let sent = s.request(PAGE, "a").remove(0);
    let next = s
        .complete(&sent, AttemptStatus::Miss, CacheStatus::SourceMiss)
        .remove(0);
    assert_ne!(next.source(), next.endpoint, "no stale try");
    assert_eq!(s.request(PAGE, "a")[0].fetch().max_age, 12 * S);
}
