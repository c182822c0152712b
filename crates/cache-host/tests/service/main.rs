//! A parent and an edge cache with stores on disk, before an HTTP origin: every byte is compared with the origin's.
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
    // Ten at once: one request at the origin.
    let asking = (0..10).map(|_| {
        let (edge, wanted) = (edge.clone(), request("/video/large", &source));
        tokio::spawn(async move { get(&edge, wanted).await.unwrap() })
    });
    for task in asking.collect::<Vec<_>>() {
        let (head, got) = task.await.unwrap();
        assert!(
            got == body("/video/large", 1),
            "{head:?}: {} bytes",
            got.len()
        );
    }
    assert_eq!(tiers.origin_requests("GET /video/large"), 1);
    let (head, got) = get(&edge, request("/video/large", &source)).await.unwrap();
    assert!(head.cache_status() == WireCacheStatus::Hit && got == body("/video/large", 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn range_of_cached_or_filled_object_returns_exact_bytes() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    get(&edge, request("/video/large", &source)).await.unwrap();
    // One object is cached already, the other is filled; RFC 9110, 14.
    for object in ["/video/large", "/video/other"] {
        let whole = body(object, 1);
        let size = whole.len() as u64;
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
            let wanted = RequestHead {
                range: range.clone(),
                ..request(object, &source)
            };
            let (head, got) = get(&edge, wanted).await.unwrap();
            assert_eq!(
                (head.range_first, head.complete_size),
                (Some(from), Some(size)),
                "{object} {range}"
            );
            assert_eq!(
                got,
                whole.slice(from as usize..to as usize),
                "{object} {range}"
            );
        }
        let beyond = RequestHead {
            range: format!("bytes={size}-"),
            ..request(object, &source)
        };
        let (head, got) = get(&edge, beyond).await.unwrap();
        assert!(head.unsatisfiable && got.is_empty());
        let other = RequestHead {
            range: "bytes=0-0".into(),
            if_range: "\"v9\"".into(),
            ..request(object, &source)
        };
        assert_eq!(
            get(&edge, other).await.unwrap().1,
            whole,
            "another validator: the whole"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conditional_empty_and_head_only_requests_have_no_body() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    get(&edge, request("/video/large", &source)).await.unwrap();
    let known = RequestHead {
        if_none_match: "\"v1\"".into(),
        ..request("/video/large", &source)
    };
    let (head, got) = get(&edge, known).await.unwrap();
    assert!(head.not_modified && got.is_empty());
    let empty = get(&edge, request("/page/empty", &source)).await.unwrap();
    assert_eq!((empty.0.size, empty.1.len()), (Some(0), 0));
    let head_only = RequestHead {
        head_only: true,
        ..request("/video/large", &source)
    };
    let (head, got) = get(&edge, head_only).await.unwrap();
    assert_eq!((head.size, got.len()), (Some(3_000_000), 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_copy_is_served_and_revalidated_without_body() {
    let tiers = CacheTiers::start("").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    get(&edge, request("/page/a", &source)).await.unwrap();
    let before = tiers.origin_state.lock().unwrap().body_bytes;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    // Past its freshness lifetime, within the stale-if-error time of the dispatcher.
    let stale_request = |revalidate| {
        let mut wanted = request("/page/a", &source);
        wanted.fetch.as_mut().unwrap().max_age_us = 60_000_000;
        wanted.fetch.as_mut().unwrap().revalidate = revalidate;
        wanted
    };
    let (head, got) = get(&edge, stale_request(true)).await.unwrap();
    assert!(
        head.cache_status() == WireCacheStatus::Stale && got == body("/page/a", 1),
        "{head:?}"
    );
    // Confirmed by the origin, through the parent whose copy was equally stale.
    let mut rounds = 0;
    while tiers.edge.counts().renewed == 0 {
        get(&edge, stale_request(true)).await.unwrap();
        rounds += 1;
        assert!(rounds < 300, "never renewed: {:?}", tiers.edge.counts());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (head, got) = get(&edge, stale_request(false)).await.unwrap();
    assert!(
        got == body("/page/a", 1) && head.age_us < 3_000_000,
        "{head:?}"
    );
    let state = tiers.origin_state.lock().unwrap();
    assert!(
        state.revalidations >= 1 && state.body_bytes == before,
        "{} confirmed, {} bytes",
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
    // A fill that takes the old version before the purge, and ends after it.
    tiers.origin_state.lock().unwrap().response_delay = Duration::from_millis(300);
    let (slow, wanted) = (edge.clone(), request("/video/b", &source));
    let filling = tokio::spawn(async move { get(&slow, wanted).await });
    while tiers.origin_requests("GET /video/b") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for at in [tiers.parent.bound().control, tiers.edge.bound().control] {
        for object in ["/video/a", "/video/b"] {
            purge(
                at.unwrap(),
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
        let (head, got) = get(&edge, request(object, &source)).await.unwrap();
        assert!(got == body(object, 2), "{object}: {head:?}");
    }
    // After a restart the host is warm, and purged versions stay purged.
    let CacheTiers {
        edge: old, folder, ..
    } = tiers;
    assert!(old.is_cold(), "its first start was an empty one");
    edge.close("done");
    assert!(old.stop().await, "drained");
    let again = host("cache", Some(&folder.path().join("edge")), None, "").await;
    assert!(!again.is_cold());
    let edge = connect(again.bound().framed).await;
    for object in ["/video/a", "/video/b"] {
        let (head, got) = get(&edge, request(object, "127.0.0.1:1")).await.unwrap();
        assert!(
            head.cache_status() == WireCacheStatus::Hit && got == body(object, 2),
            "{object}: {head:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_fill_names_its_cause_and_stores_nothing() {
    let tiers = CacheTiers::start("[fills]\nplaces = 1\nqueue = 1\n").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    let dead = get(&edge, request("/video/x", "127.0.0.1:1"))
        .await
        .unwrap_err();
    assert_eq!(
        (dead.cache_status(), dead.may_have_run),
        (WireCacheStatus::SourceUnreachable, false)
    );
    tiers.origin_state.lock().unwrap().truncate_after = Some(10_000);
    let cut = get(&edge, request("/video/x", &source)).await.unwrap_err();
    assert!(
        cut.may_have_run && cut.cache_status() == WireCacheStatus::OriginFailed,
        "{cut:?}"
    );
    let mut only_cached = request("/video/x", &source);
    only_cached.fetch.as_mut().unwrap().only_if_cached = true;
    let lacks = get(&edge, only_cached).await.unwrap_err();
    assert_eq!(
        lacks.cache_status(),
        WireCacheStatus::SourceMiss,
        "a partial response is not stored"
    );
    let plain = RequestHead {
        fetch: None,
        ..request("/video/x", "")
    };
    assert_eq!(
        get(&edge, plain).await.unwrap_err().status(),
        WireStatus::Miss
    );
    let odd = RequestHead {
        class: "odd".into(),
        ..request("/video/x", "")
    };
    assert!(get(&edge, odd).await.unwrap_err().detail.contains("odd"));
    // The only fill is free again after each failure.
    tiers.origin_state.lock().unwrap().truncate_after = None;
    let (_, got) = get(&edge, request("/video/x", &source)).await.unwrap();
    assert_eq!(got, body("/video/x", 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_fill_queue_rejects_next_request() {
    let tiers = CacheTiers::start("[fills]\nplaces = 1\nqueue = 1\n").await;
    let edge = connect(tiers.edge.bound().framed).await;
    let source = tiers.source();
    // One fill and one queued request; the third is rejected at once.
    tiers.origin_state.lock().unwrap().response_delay = Duration::from_millis(200);
    let asking: Vec<_> = ["/video/1", "/video/2", "/video/3"]
        .map(|object| {
            let (edge, wanted) = (edge.clone(), request(object, &source));
            tokio::spawn(async move { get(&edge, wanted).await })
        })
        .into();
    let mut rejected = 0;
    for task in asking {
        match task.await.unwrap() {
            Ok((_, got)) => assert_eq!(got.len(), 20_000),
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
    let gate = connect(gateway.bound().framed).await;
    for _ in 0..2 {
        let run = RequestHead {
            idempotency_key: "k1".into(),
            fetch: None,
            ..request("/enrol/1", "")
        };
        assert_eq!(get(&gate, run).await.unwrap().1, body("/enrol/1", 1));
    }
    assert_eq!(tiers.origin_requests("POST /enrol/1"), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cache_host_fills_only_from_named_source() {
    let tiers = CacheTiers::start("").await;
    let near = host(
        "cache",
        Some(&tiers.folder.path().join("near")),
        Some(tiers.origin),
        "",
    )
    .await;
    let near = connect(near.bound().framed).await;
    let look = request("/video/near", "");
    assert_eq!(
        get(&near, look).await.unwrap_err().status(),
        WireStatus::Miss
    );
    let named = request("/video/near", &tiers.origin.to_string());
    assert_eq!(get(&near, named).await.unwrap().1, body("/video/near", 1));
}

/// Requests on connections that are still in the accept queue when shutdown begins.
#[tokio::test]
async fn request_in_accept_queue_at_shutdown_is_answered() {
    let origin = origin(Arc::default()).await;
    let gateway = host("origin", None, Some(origin), "").await;
    // Blocking, on the runtime's one thread: none of them is accepted meanwhile.
    let queued: Vec<std::net::TcpStream> = (0..16)
        .map(|_| std::net::TcpStream::connect(gateway.bound().framed).unwrap())
        .collect();
    let mut asking = tokio::task::JoinSet::new();
    for socket in queued {
        socket.set_nonblocking(true).unwrap();
        let connection = connection_over(TcpStream::from_std(socket).unwrap());
        asking.spawn(async move {
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
    // Shutdown begins before any of the tasks above runs.
    let stopped = tokio::spawn(gateway.stop());
    while let Some(joined) = asking.join_next().await {
        let response = joined.unwrap();
        assert!(response.is_ok(), "{response:?}");
    }
    assert!(stopped.await.unwrap());
}
