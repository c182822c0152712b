//! Source of fills, and routing of uncacheable requests.
mod common;
use common::*;
use pointspindle::*;

#[test]
fn fill_is_cached_and_accepted_up_to_its_fresh_time() {
    let mut fixture = RouterFixture::new();
    let page = fixture.request(PAGE, "a").remove(0);
    assert_eq!(
        (
            page.fetch().max_age,
            page.fetch().revalidate,
            page.fetch().coalesce
        ),
        (12 * S, true, true)
    );
    assert!(page.fetch().retention_rank >= 1);
    assert_eq!(fixture.request(VIDEO, "a")[0].fetch().max_age, 0);
}

#[test]
fn uncacheable_request_is_forwarded_to_the_origin_where_allowed() {
    let mut fixture = RouterFixture::new();
    let sent = fixture.request(KEYED, "a").remove(0);
    assert_eq!(
        (sent.endpoint, sent.fetch),
        (EndpointId::named("origin"), None)
    );
    let mut settings_without_forwarding = settings();
    settings_without_forwarding.direct_forwarding = false;
    let mut fixture = RouterFixture::with(settings_without_forwarding, fleet());
    let sent = fixture.request(KEYED, "a").remove(0);
    assert_eq!(
        (sent.source(), sent.fetch().retention_rank),
        (EndpointId::named("origin"), 0)
    );
}

#[test]
fn misses_spare_the_origin_while_it_fails() {
    let mut fixture = RouterFixture::new();
    assert!(!fixture.request(VIDEO, "o").remove(0).fetch().only_if_cached);
    for i in 0..3 {
        let sent = fixture.request(VIDEO, &format!("o{i}")).remove(0);
        // The cache status reports that the origin failed behind the parent; the client then disconnects.
        fixture.complete(&sent, AttemptStatus::Rejected, CacheStatus::OriginFailed);
        fixture.handle(Event::ClientDisconnected(sent.request));
    }
    let sent = fixture.request(VIDEO, "a").remove(0);
    assert!(sent.fetch().only_if_cached && sent.source() != EndpointId::named("origin"));
    assert!(
        fixture
            .complete(&sent, AttemptStatus::Miss, CacheStatus::SourceMiss)
            .is_empty(),
        "neither the cache nor its source has a copy, so no further attempt may be sent"
    );
    assert!(matches!(
        fixture.final_responses()[..],
        [Action::Reject { .. }]
    ));
    let uncacheable_request = fixture.request(KEYED, "k").remove(0);
    assert_eq!(uncacheable_request.endpoint, EndpointId::named("origin"));
}

/// A write whose connection to the origin was reset is retried through a parent that forwards it to the origin; after
/// a backoff it is sent directly again.
#[test]
fn reset_write_is_retried_through_a_parent_and_then_directly() {
    let mut fixture = RouterFixture::new();
    let origin = EndpointId::named("origin");
    let write = fixture.request(KEYED, "w").remove(0);
    let through_parent = fixture
        .complete(&write, AttemptStatus::Reset, CacheStatus::Unreported)
        .remove(0);
    assert!(through_parent.endpoint != origin && through_parent.source() == origin);
    assert!(
        fixture
            .complete(
                &through_parent,
                AttemptStatus::Miss,
                CacheStatus::SourceMiss
            )
            .is_empty()
            && fixture.final_responses().is_empty()
    );
    assert_eq!(fixture.advance(100 * MS).remove(0).endpoint, origin);
}
