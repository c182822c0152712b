//! Where a miss is filled from, and where uncacheable requests go.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn fill_is_cached_and_accepted_up_to_its_fresh_time() {
    let mut s = RouterFixture::new();
    let page = s.request(PAGE, "a").remove(0);
    assert_eq!(
        (
            page.fetch().max_age,
            page.fetch().revalidate,
            page.fetch().coalesce
        ),
        (12 * S, true, true)
    );
    assert!(page.fetch().retention_rank >= 1);
    assert_eq!(s.request(VIDEO, "a")[0].fetch().max_age, 0);
}

#[test]
fn uncacheable_request_is_forwarded_to_the_origin_where_allowed() {
    let mut s = RouterFixture::new();
    let sent = s.request(KEYED, "a").remove(0);
    assert_eq!(
        (sent.endpoint, sent.fetch),
        (EndpointId::named("origin"), None)
    );
    let mut through = settings();
    through.direct_forwarding = false;
    let mut s = RouterFixture::with(through, fleet());
    let sent = s.request(KEYED, "a").remove(0);
    assert_eq!(
        (sent.source(), sent.fetch().retention_rank),
        (EndpointId::named("origin"), 0)
    );
}

#[test]
fn misses_spare_the_origin_while_it_fails() {
    let mut s = RouterFixture::new();
    assert!(!s.request(VIDEO, "o").remove(0).fetch().only_if_cached);
    for i in 0..3 {
        let sent = s.request(VIDEO, &format!("o{i}")).remove(0);
        // The cache status reports the origin's failure behind the parent; the client then disconnects.
        s.complete(&sent, AttemptStatus::Rejected, CacheStatus::OriginFailed);
        s.handle(Event::ClientDisconnected(sent.request));
    }
    let sent = s.request(VIDEO, "a").remove(0);
    assert!(sent.fetch().only_if_cached && sent.source() != EndpointId::named("origin"));
    assert!(
        s.complete(&sent, AttemptStatus::Miss, CacheStatus::SourceMiss)
            .is_empty(),
        "its cache was seen to lack it as well"
    );
    assert!(matches!(s.final_responses()[..], [Action::Reject { .. }]));
    let only_there = s.request(KEYED, "k").remove(0);
    assert_eq!(only_there.endpoint, EndpointId::named("origin"));
}

/// A write whose connection to the origin broke is retried through a parent that forwards it there; after a backoff
/// it is sent directly again.
#[test]
fn reset_write_is_retried_through_a_parent_and_then_directly() {
    let mut s = RouterFixture::new();
    let origin = EndpointId::named("origin");
    let write = s.request(KEYED, "w").remove(0);
    let through = s
        .complete(&write, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    assert!(through.endpoint != origin && through.source() == origin);
    assert!(
        s.complete(&through, AttemptStatus::Miss, CacheStatus::SourceMiss)
            .is_empty()
            && s.final_responses().is_empty()
    );
    assert_eq!(s.advance(100 * MS).remove(0).endpoint, origin);
}
