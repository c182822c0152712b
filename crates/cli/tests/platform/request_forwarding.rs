//! Requests that are forwarded to cache hosts, and their replies.
use crate::support::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;

/// Size of the body of a page.
const BODY_BYTES: usize = 200_000;

/// Returns "not modified" for a conditional request, no reply for object A, and a large body otherwise.
fn reply_by_object(id: &str, fields: &str) -> Vec<u8> {
    if fields.contains("inm=") {
        return format!("{id} still_good rev=4be0c1927d55a6f3,res=mem 0\r\n\r\n").into_bytes();
    }
    match fields.contains("obj=aaaaaaaaaaaaaaaa") {
        true => Vec::new(),
        false => served_reply(id, &"x".repeat(BODY_BYTES)),
    }
}

/// A page, a conditional request, a write and an abort are forwarded as the client sent them, and each gets its
/// response.
#[tokio::test]
async fn requests_and_responses_are_forwarded_complete() {
    let mut platform = TwoEndpointPlatform::start(reply_by_object).await;
    let mut client = FastCgiClient::connect(platform.dispatcher.address).await;

    client.request_page(1, &[TRANSACTION_FIELD]).await;
    let response = client.response(1).await;
    assert_eq!((response.status, response.body.len()), (200, BODY_BYTES));
    let cache_request = platform.cache.next_message("PULL").await.line;
    assert!(
        cache_request.starts_with("PULL 9b1f03aa5c7e2d41 kind=page,obj=7f3a9c21e0b4d655,seg=3,ms="),
        "{cache_request}"
    );
    assert!(
        cache_request.contains(",up=o-1,store=1,cap=12000,do=revalidate 0"),
        "{cache_request}"
    );

    client
        .request_page(2, &[("HTTP_X_GOT", "4be0c1927d55a6f3")])
        .await;
    let not_modified = client.response(2).await;
    assert!(
        not_modified.status == 200
            && not_modified.body.is_empty()
            && not_modified.head.contains("X-Ok304: 1"),
        "{not_modified:?}"
    );

    // A write is forwarded to the origin, with its key and body unchanged.
    let write = [IDEMPOTENCY_KEY_FIELD, ("CONTENT_LENGTH", "5")];
    client
        .send_request(3, "/ops/submit", &write, b"a\r\nb\0")
        .await;
    assert_eq!(client.response(3).await.status, 200);
    let message = platform.origin.next_message("PULL").await;
    let key = format!(",token={IDEMPOTENCY_KEY} 5");
    assert!(
        message.line.contains(&key) && message.body == b"a\r\nb\0",
        "{message:?}"
    );

    // An aborted request is cancelled at the cache host, and its request id can be used again.
    let unanswered = [OBJECT_A_FIELD, ("HTTP_X_TXN", "9b1f03aa5c7e2d42")];
    client.send_request(4, "/ops/page", &unanswered, b"").await;
    platform.cache.next_message("PULL 9b1f03aa5c7e2d42").await;
    client.writer.write_all(&abort_record(4)).await.unwrap();
    assert_eq!(
        client.response(4).await.status,
        0,
        "an aborted request got a response"
    );
    platform.cache.next_message("KILL 9b1f03aa5c7e2d42").await;
    client.request_page(4, &[]).await;
    assert_eq!(client.response(4).await.status, 200);
}

/// A request for which no endpoint has a cached copy or capacity is rejected at once, with a time after which to
/// retry.
#[tokio::test]
async fn request_without_capacity_is_rejected_at_once() {
    let platform = TwoEndpointPlatform::start(|id, _| overloaded_reply(id)).await;
    let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
    client.request_page(1, &[]).await;
    let rejected = client.response(1).await;
    assert!(
        rejected.status == 503 && rejected.head.contains("X-Throttle-Ms: "),
        "{rejected:?}"
    );
}

/// A malformed reply closes its connection and is never served, and another attempt is made. A valid reply is
/// served also between replies that belong to no request.
#[tokio::test]
async fn malformed_replies_are_retried_and_foreign_ones_skipped() {
    let replies = Arc::new(AtomicUsize::new(0));
    let script = move |id: &str, fields: &str| {
        let good = served_reply(id, "good");
        if fields.contains("obj=bbbbbbbbbbbbbbbb") {
            // A reply with an unknown id precedes the valid reply, and a duplicate follows it.
            return [
                served_reply("ffffffffffffffff", "other"),
                good.clone(),
                served_reply(id, "copy"),
            ]
            .concat();
        }
        match replies.fetch_add(1, Ordering::SeqCst) % 6 {
            0 => b"\xff\x00\x81 noise\r\n".to_vec(),
            1 => vec![b'x'; 4096],
            2 => format!("{id} served - 3221225472\r\n").into_bytes(),
            3 => format!("{id} served - 2\r\ntoo long\r\n").into_bytes(),
            _ => good,
        }
    };
    let discovery = DiscoveryServer::start().await;
    let first = ScriptedCacheHost::start(script.clone()).await;
    let second = ScriptedCacheHost::start(script.clone()).await;
    let origin = ScriptedCacheHost::start(script).await;
    let endpoints = [
        endpoint_entry("s-1", first.address, "box", "Ready"),
        endpoint_entry("s-2", second.address, "box", "Ready"),
        endpoint_entry("o-1", origin.address, "origin", "Ready"),
    ];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let mut served = 0;
    for n in 1..=30 {
        let object = format!("{n:016x}");
        client.request_page(n, &[("HTTP_X_ROW", &object)]).await;
        let response = client.response(n).await;
        assert!(
            response.status == 503 || response.body == b"good",
            "{response:?}"
        );
        served += usize::from(response.status == 200);
    }
    assert!(served >= 10, "{served} of 30 were served");
    for n in 1..=10 {
        client
            .request_page(n, &[("HTTP_X_ROW", "bbbbbbbbbbbbbbbb")])
            .await;
        assert_eq!(client.response(n).await.body, b"good");
    }
}

/// A copy is reported as not modified only if the cache host names the revision that the client has.
#[tokio::test]
async fn not_modified_is_reported_only_for_the_named_revision() {
    let other_revision = |id: &str, fields: &str| match fields.contains("inm=") {
        true => format!("{id} still_good rev=ffffffffffffffff,res=mem 0\r\n\r\n").into_bytes(),
        false => format!("{id} still_good res=mem 0\r\n\r\n").into_bytes(),
    };
    let discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start(other_revision).await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    client
        .request_page(1, &[("HTTP_X_GOT", "4be0c1927d55a6f3")])
        .await;
    client.request_page(2, &[]).await;
    for id in 1..=2 {
        let response = client.response(id).await;
        assert!(
            response.status != 200 && !response.head.contains("X-Ok304"),
            "{response:?}"
        );
    }
}
