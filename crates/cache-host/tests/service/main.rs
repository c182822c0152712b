//! Tests of an edge cache and its parent, both with a store on disk, in front of an HTTP origin. Every response body is
//! compared with the origin's.
mod origin;
mod support;

use origin::{body, origin};
use pointspindle_protocol::*;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_misses_fill_once_then_hit() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    // Ten concurrent requests cause a single one at the origin.
    let tasks = (0..10).map(|_| {
        let (edge, request) = (edge.clone(), request("/video/large", &source));
        tokio::spawn(async move { get(&edge, request).await.unwrap() })
    });
    for task in tasks.collect::<Vec<_>>() {
        let (head, received) = task.await.unwrap();
        assert!(
            received == body("/video/large", 1),
            "{head:?}: {} bytes",
            received.len()
        );
    }
    assert_eq!(tiers.origin_requests("GET /video/large"), 1);
    let (head, received) = get(&edge, request("/video/large", &source)).await.unwrap();
    assert!(head.cache_status() == WireCacheStatus::Hit && received == body("/video/large", 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn range_of_cached_or_filled_object_returns_exact_bytes() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    get(&edge, request("/video/large", &source)).await.unwrap();
    // The first object is already cached, the second is filled (RFC 9110, 14).
    for object in ["/video/large", "/video/other"] {
        let complete_body = body(object, 1);
        let size = complete_body.len() as u64;
        for (range, from, to) in [
            ("bytes=0-0".to_owned(), 0, 1),
            ("bytes=9000-9002".to_owned(), 9_000, 9_003),
            (format!("bytes=65535-{}", 65_537), 65_535, 65_538),
            (format!("bytes={}-", size - 3), size - 3, size),
            ("bytes=-5".to_owned(), size - 5, size),
        ] {
            if from >= size {
                continue;
            }
            let range_request = RequestHead {
                range: range.clone(),
                ..request(object, &source)
            };
            let (head, received) = get(&edge, range_request).await.unwrap();
            assert_eq!(
                (head.range_first, head.complete_size),
                (Some(from), Some(size)),
                "{object} {range}"
            );
            assert_eq!(
                received,
                complete_body.slice(from as usize..to as usize),
                "{object} {range}"
            );
        }
        let past_end = RequestHead {
            range: format!("bytes={size}-"),
            ..request(object, &source)
        };
        let (head, received) = get(&edge, past_end).await.unwrap();
        assert!(head.unsatisfiable && received.is_empty());
        let other_version = RequestHead {
            range: "bytes=0-0".into(),
            if_range: "\"v9\"".into(),
            ..request(object, &source)
        };
        assert_eq!(
            get(&edge, other_version).await.unwrap().1,
            complete_body,
            "If-Range with another validator returns the complete body"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conditional_empty_and_head_only_requests_have_no_body() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    get(&edge, request("/video/large", &source)).await.unwrap();
    let conditional = RequestHead {
        if_none_match: "\"v1\"".into(),
        ..request("/video/large", &source)
    };
    let (head, received) = get(&edge, conditional).await.unwrap();
    assert!(head.not_modified && received.is_empty());
    let empty = get(&edge, request("/page/empty", &source)).await.unwrap();
    assert_eq!((empty.0.size, empty.1.len()), (Some(0), 0));
    let head_only = RequestHead {
        head_only: true,
        ..request("/video/large", &source)
    };
    let (head, received) = get(&edge, head_only).await.unwrap();
    assert_eq!((head.size, received.len()), (Some(3_000_000), 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_copy_is_served_and_revalidated_without_body() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    get(&edge, request("/page/a", &source)).await.unwrap();
    let bytes_before = tiers.origin_state.lock().unwrap().body_bytes;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    // The copy is past its freshness lifetime, but within the dispatcher's stale-if-error time.
    let stale_request = |revalidate| {
        let mut head = request("/page/a", &source);
        head.fetch.as_mut().unwrap().max_age_us = 60_000_000;
        head.fetch.as_mut().unwrap().revalidate = revalidate;
        head
    };
    let (head, received) = get(&edge, stale_request(true)).await.unwrap();
    assert!(
        head.cache_status() == WireCacheStatus::Stale && received == body("/page/a", 1),
        "{head:?}"
    );
    // The origin confirms the copy through the parent, whose copy is equally stale.
    let mut polls = 0;
    while tiers.edge.counters().renewed == 0 {
        get(&edge, stale_request(true)).await.unwrap();
        polls += 1;
        assert!(
            polls < 300,
            "the copy was not renewed: {:?}",
            tiers.edge.counters()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (head, received) = get(&edge, stale_request(false)).await.unwrap();
    assert!(
        received == body("/page/a", 1) && head.age_us < 3_000_000,
        "{head:?}"
    );
    let state = tiers.origin_state.lock().unwrap();
    assert!(
        state.revalidations >= 1 && state.body_bytes == bytes_before,
        "{} revalidations, {} body bytes sent by the origin",
        state.revalidations,
        state.body_bytes
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn purge_applies_to_running_fill_and_survives_restart() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    get(&edge, request("/video/a", &source)).await.unwrap();
    // A fill that fetches the old version before the purge and ends after it.
    tiers.origin_state.lock().unwrap().response_delay = Duration::from_millis(300);
    let (connection, slow_request) = (edge.clone(), request("/video/b", &source));
    let filling = tokio::spawn(async move { get(&connection, slow_request).await });
    while tiers.origin_requests("GET /video/b") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for address in [tiers.parent.bound().control, tiers.edge.bound().control] {
        for object in ["/video/a", "/video/b"] {
            purge(
                address.unwrap(),
                PurgeHead {
                    object: Some(object.into()),
                    ..Default::default()
                },
            )
            .await;
        }
    }
    tiers.origin_state.lock().unwrap().version = 2;
    filling.await.unwrap().unwrap();
    tiers.origin_state.lock().unwrap().response_delay = Duration::ZERO;
    for object in ["/video/a", "/video/b"] {
        let (head, received) = get(&edge, request(object, &source)).await.unwrap();
        assert!(received == body(object, 2), "{object}: {head:?}");
    }
    // After a restart the host is warm, and the purged versions are not served.
    let CacheTiers {
        edge: first_host,
        folder,
        ..
    } = tiers;
    assert!(first_host.is_cold(), "the first start had an empty store");
    edge.close("done");
    assert!(
        first_host.stop().await,
        "every request is answered within the drain timeout"
    );
    let restarted = host("cache", Some(&folder.path().join("edge")), None, "").await;
    assert!(!restarted.is_cold());
    let edge = connect(restarted.bound().framed).await;
    for object in ["/video/a", "/video/b"] {
        let (head, received) = get(&edge, request(object, "127.0.0.1:1")).await.unwrap();
        assert!(
            head.cache_status() == WireCacheStatus::Hit && received == body(object, 2),
            "{object}: {head:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_fill_names_its_cause_and_stores_nothing() {
    let tiers = CacheTiers::start("[fills]\nplaces = 1\nqueue = 1\n").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    let unreachable = get(&edge, request("/video/x", "127.0.0.1:1"))
        .await
        .unwrap_err();
    assert_eq!(
        (unreachable.cache_status(), unreachable.may_have_run),
        (WireCacheStatus::SourceUnreachable, false)
    );
    tiers.origin_state.lock().unwrap().truncate_after = Some(10_000);
    let truncated = get(&edge, request("/video/x", &source)).await.unwrap_err();
    assert!(
        truncated.may_have_run && truncated.cache_status() == WireCacheStatus::OriginFailed,
        "{truncated:?}"
    );
    let mut only_cached = request("/video/x", &source);
    only_cached.fetch.as_mut().unwrap().only_if_cached = true;
    let source_miss = get(&edge, only_cached).await.unwrap_err();
    assert_eq!(
        source_miss.cache_status(),
        WireCacheStatus::SourceMiss,
        "a partial response is not stored"
    );
    let without_fetch = RequestHead {
        fetch: None,
        ..request("/video/x", "")
    };
    assert_eq!(
        get(&edge, without_fetch).await.unwrap_err().status(),
        WireStatus::Miss
    );
    let unknown_class = RequestHead {
        class: "odd".into(),
        ..request("/video/x", "")
    };
    assert!(get(&edge, unknown_class)
        .await
        .unwrap_err()
        .detail
        .contains("odd"));
    // The single fill is available again after each failure.
    tiers.origin_state.lock().unwrap().truncate_after = None;
    let (_, received) = get(&edge, request("/video/x", &source)).await.unwrap();
    assert_eq!(received, body("/video/x", 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_fill_queue_rejects_next_request() {
    let tiers = CacheTiers::start("[fills]\nplaces = 1\nqueue = 1\n").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    // One request fills and one is queued; the third is rejected at once.
    tiers.origin_state.lock().unwrap().response_delay = Duration::from_millis(200);
    let tasks: Vec<_> = ["/video/1", "/video/2", "/video/3"]
        .map(|object| {
            let (edge, request) = (edge.clone(), request(object, &source));
            tokio::spawn(async move { get(&edge, request).await })
        })
        .into();
    let mut rejected = 0;
    for task in tasks {
        match task.await.unwrap() {
            Ok((_, received)) => assert_eq!(received.len(), 20_000),
            Err(e) => {
                assert_eq!(
                    (e.status(), e.cache_status()),
                    (WireStatus::Rejected, WireCacheStatus::FillLimitReached)
                );
                rejected += 1;
            }
        }
    }
    assert_eq!(rejected, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uncacheable_request_runs_at_origin_each_time() {
    let tiers = CacheTiers::start("").await;
    let gateway = host("origin", None, Some(tiers.origin), "").await;
    let gateway_connection = connect(gateway.bound().framed).await;
    for _ in 0..2 {
        let execution = RequestHead {
            idempotency_key: "k1".into(),
            fetch: None,
            ..request("/enrol/1", "")
        };
        assert_eq!(
            get(&gateway_connection, execution).await.unwrap().1,
            body("/enrol/1", 1)
        );
    }
    assert_eq!(tiers.origin_requests("POST /enrol/1"), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cache_host_fills_only_from_named_source() {
    let tiers = CacheTiers::start("").await;
    let cache = host(
        "cache",
        Some(&tiers.folder.path().join("near")),
        Some(tiers.origin),
        "",
    )
    .await;
    let connection = connect(cache.bound().framed).await;
    let without_source = request("/video/near", "");
    assert_eq!(
        get(&connection, without_source).await.unwrap_err().status(),
        WireStatus::Miss
    );
    let with_source = request("/video/near", &tiers.origin.to_string());
    assert_eq!(
        get(&connection, with_source).await.unwrap().1,
        body("/video/near", 1)
    );
}

/// Guards against the loss of requests on connections that are still in the accept queue when shutdown begins.
#[tokio::test]
async fn request_in_accept_queue_at_shutdown_is_answered() {
    let origin = origin(Arc::default()).await;
    let gateway = host("origin", None, Some(origin), "").await;
    // These calls block the runtime's only thread, so that the host accepts none of the connections in the meantime.
    let queued: Vec<std::net::TcpStream> = (0..16)
        .map(|_| std::net::TcpStream::connect(gateway.bound().framed).unwrap())
        .collect();
    let mut tasks = tokio::task::JoinSet::new();
    for socket in queued {
        socket.set_nonblocking(true).unwrap();
        let connection = connection_over(TcpStream::from_std(socket).unwrap());
        tasks.spawn(async move {
            get(
                &connection,
                RequestHead {
                    idempotency_key: "k1".into(),
                    fetch: None,
                    ..request("/enrol/1", "")
                },
            )
            .await
        });
    }
    // The shutdown begins before any of the tasks above runs.
    let stopped = tokio::spawn(gateway.stop());
    while let Some(joined) = tasks.join_next().await {
        let response = joined.unwrap();
        assert!(response.is_ok(), "{response:?}");
    }
    assert!(stopped.await.unwrap());
}
