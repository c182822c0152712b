//! Tests of [`super`].
use super::*;

const MICROS_PER_SECOND: Micros = 1_000_000;

fn request(key: &'static str) -> CacheRequest<&'static str> {
    CacheRequest {
        key,
        max_age: Some(10 * MICROS_PER_SECOND),
        freshness_lifetime: Some(10 * MICROS_PER_SECOND),
        only_if_cached: false,
        source: Some("parent".into()),
        retention_rank: 1,
        coalesce: true,
        revalidate: false,
    }
}

#[test]
fn copy_past_max_age_is_filled_and_stale_copy_revalidated_once() {
    let mut fill_table = FillTable::new(FillLimits {
        max_fills: 4,
        max_waiting: 1,
    });
    let cached = |age| Some(CachedCopy { age });
    assert_eq!(
        fill_table.decide(request("a"), cached(10 * MICROS_PER_SECOND)),
        RequestDecision::Serve {
            stale: false,
            revalidate: None
        }
    );
    assert!(matches!(
        fill_table.decide(request("a"), cached(10 * MICROS_PER_SECOND + 1)),
        RequestDecision::Fill(_)
    ));
    let stale_if_error = CacheRequest {
        max_age: Some(30 * MICROS_PER_SECOND),
        revalidate: true,
        ..request("b")
    };
    let RequestDecision::Serve {
        stale: true,
        revalidate: Some(fill),
    } = fill_table.decide(stale_if_error.clone(), cached(20 * MICROS_PER_SECOND))
    else {
        panic!()
    };
    // A key has at most one revalidation at a time.
    assert_eq!(
        fill_table.decide(stale_if_error.clone(), cached(20 * MICROS_PER_SECOND)),
        RequestDecision::Serve {
            stale: true,
            revalidate: None
        }
    );
    fill_table.fill_ended(fill);
    assert!(matches!(
        fill_table.decide(stale_if_error, cached(20 * MICROS_PER_SECOND)),
        RequestDecision::Serve {
            revalidate: Some(_),
            ..
        }
    ));
}

#[test]
fn request_joins_fill_only_if_its_response_is_acceptable() {
    let mut fill_table = FillTable::new(FillLimits {
        max_fills: 9,
        max_waiting: 0,
    });
    let RequestDecision::Fill(first) = fill_table.decide(request("a"), None) else {
        panic!()
    };
    assert_eq!(
        fill_table.decide(request("a"), None),
        RequestDecision::Join(first)
    );
    // These requests need a more recent copy than the fill may return, or must not coalesce.
    assert!(matches!(
        fill_table.decide(
            CacheRequest {
                max_age: Some(MICROS_PER_SECOND),
                ..request("a")
            },
            None
        ),
        RequestDecision::Fill(_)
    ));
    assert!(matches!(
        fill_table.decide(
            CacheRequest {
                coalesce: false,
                ..request("a")
            },
            None
        ),
        RequestDecision::Fill(_)
    ));
    let RequestDecision::Fill(purged) = fill_table.decide(request("b"), None) else {
        panic!()
    };
    fill_table.stop_coalescing(&"b");
    assert!(
        matches!(fill_table.decide(request("b"), None), RequestDecision::Fill(fill) if fill != purged)
    );
    // A response that is not stored answers one request only.
    let not_stored = CacheRequest {
        retention_rank: 0,
        ..request("c")
    };
    assert!(matches!(
        fill_table.decide(not_stored.clone(), None),
        RequestDecision::Fill(_)
    ));
    assert!(matches!(
        fill_table.decide(not_stored, None),
        RequestDecision::Fill(_)
    ));
}

#[test]
fn fills_and_queue_are_bounded_and_served_in_order() {
    let mut fill_table = FillTable::new(FillLimits {
        max_fills: 1,
        max_waiting: 2,
    });
    let RequestDecision::Fill(fill) = fill_table.decide(request("a"), None) else {
        panic!()
    };
    let RequestDecision::Wait(b) = fill_table.decide(request("b"), None) else {
        panic!()
    };
    let RequestDecision::Wait(c) = fill_table.decide(request("c"), None) else {
        panic!()
    };
    assert_eq!(
        fill_table.decide(request("d"), None),
        RequestDecision::Reject
    );
    assert_eq!(
        fill_table.decide(
            CacheRequest {
                source: None,
                ..request("d")
            },
            None
        ),
        RequestDecision::Miss
    );
    fill_table.cancel_wait(b);
    let queued_fill = fill_table.fill_ended(fill).unwrap();
    assert_eq!(
        (
            queued_fill.waiter,
            fill_table.active_fills(),
            fill_table.waiting()
        ),
        (c, 1, 0)
    );
    assert_eq!(fill_table.fill_ended(queued_fill.fill), None);
    assert_eq!(fill_table.active_fills(), 0);
}

#[test]
fn request_without_source_fills_from_own_origin_unless_only_if_cached() {
    let mut head = RequestHead {
        object: "/a".into(),
        ..Default::default()
    };
    let from_head = |head: &RequestHead, uncacheable| {
        CacheRequest::from_head(head, (), None, Some("origin"), uncacheable)
    };
    assert_eq!(
        from_head(&head, false).source,
        None,
        "a request without a fetch directive is answered from a stored copy only"
    );
    assert_eq!(
        from_head(&head, true).source.as_deref(),
        Some("origin"),
        "an uncacheable request executes at the origin"
    );
    head.fetch = Some(FetchHead {
        only_if_cached: true,
        ..Default::default()
    });
    assert_eq!(from_head(&head, false).source, None);
    head.fetch = Some(FetchHead {
        retention_rank: 2,
        ..Default::default()
    });
    assert_eq!(from_head(&head, false).source.as_deref(), Some("origin"));
    head.fetch = Some(FetchHead {
        source: "p:1".into(),
        only_if_cached: true,
        ..Default::default()
    });
    assert_eq!(
        from_head(&head, false).source.as_deref(),
        Some("p:1"),
        "a named source is used even if only stored copies are acceptable"
    );
}
