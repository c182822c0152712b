//! `serve` without a settings file: an embedded fleet on loopback.
use crate::support::*;
use std::net::SocketAddr;

#[tokio::test]
async fn serve_without_a_file_starts_an_embedded_fleet() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = DispatcherProcess::start(&["serve", "--port", "0"], folder.path());
    let http = fleet.bound.http;
    let first = check_caching(http).await;
    check_ranges(http, &first).await;
    check_conditions_and_sizes(http, &first).await;
    check_pipelining(http).await;
    check_control_commands(&fleet).await;
    fleet.signal("-TERM");
    assert_eq!(fleet.wait(), 0);
}

/// Checks that the second response to the same request is a cached one. Returns the first response.
async fn check_caching(address: SocketAddr) -> Response {
    let first = http_get(address, "/page/welcome", "").await;
    assert_eq!(
        (
            first.status,
            first.body.len(),
            first.field("content-length")
        ),
        (200, 2048, "2048")
    );
    assert!(
        first.field("cache-status").contains("fwd=miss"),
        "{}",
        first.field("cache-status")
    );
    let second = http_get(address, "/page/welcome", "").await;
    assert!(second.field("cache-status").contains("hit"));
    assert_eq!(first.body, second.body);
    first
}

async fn check_ranges(address: SocketAddr, first: &Response) {
    let part = http_get(address, "/page/welcome", "Range: bytes=100-149\r\n").await;
    assert_eq!(
        (part.status, part.field("content-range")),
        (206, "bytes 100-149/2048")
    );
    assert_eq!(part.body, first.body[100..150]);
    let unsatisfiable = http_get(address, "/page/welcome", "Range: bytes=9999-\r\n").await;
    assert_eq!(
        (unsatisfiable.status, unsatisfiable.field("content-range")),
        (416, "bytes */2048")
    );
}

async fn check_conditions_and_sizes(address: SocketAddr, first: &Response) {
    let not_modified = http_get(
        address,
        "/page/welcome",
        &format!("If-None-Match: {}\r\n", first.field("etag")),
    )
    .await;
    assert_eq!((not_modified.status, not_modified.body.len()), (304, 0));
    let head = http_exchange(
        address,
        "HEAD /page/welcome HTTP/1.1\r\nHost: x\r\n\r\n",
        1,
        true,
    )
    .await;
    assert_eq!(
        (head[0].status, head[0].field("content-length")),
        (200, "2048")
    );
    assert_eq!(http_get(address, "/page/none", "").await.status, 404);
    let large = http_get(address, "/video/lesson-2", "").await;
    assert_eq!((large.status, large.body.len()), (200, 4 << 20));
}

/// Checks that pipelined requests are answered in order, and that a request with ambiguous framing is rejected.
async fn check_pipelining(address: SocketAddr) {
    let request = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    let pipelined = [
        request("/video/lesson-1"),
        request("/page/welcome"),
        request("/page/signs/stop"),
    ]
    .concat();
    let sizes: Vec<usize> = http_exchange(address, &pipelined, 3, false)
        .await
        .iter()
        .map(|response| response.body.len())
        .collect();
    assert_eq!(sizes, [1 << 20, 2048, 6 * 1024]);
    let smuggled = "GET /page/welcome HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(
        http_exchange(address, smuggled, 1, false).await[0].status,
        400
    );
}

async fn check_control_commands(fleet: &DispatcherProcess) {
    let control = fleet.bound.control.to_string();
    let list = text(&run_program(&["members", "--at", &control]).stdout);
    assert!(
        list.contains("4 members") && list.contains("parent"),
        "{list}"
    );
    assert!(
        run_program(&["purge", "--at", &control, "--object", "/page/welcome"])
            .status
            .success()
    );
    let purged = http_get(fleet.bound.http, "/page/welcome", "").await;
    assert!(
        purged.field("cache-status").contains("fwd=miss"),
        "a copy from before the purge was served"
    );
    let metrics = text(&http_get(fleet.bound.metrics, "/metrics", "").await.body);
    assert!(
        metrics.contains("pointspindle_requests_total{class=\"test-page\",outcome=\"served\"}"),
        "{metrics}"
    );
}
