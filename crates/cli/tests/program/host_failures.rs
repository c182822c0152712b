//! Cache hosts and clients that fail, stall or do not read.
use crate::support::*;
use futures_util::StreamExt;
use pointspindle_protocol::*;
use std::time::Duration;
use tokio::net::TcpStream;

#[tokio::test]
async fn silent_host_costs_the_client_no_more_than_its_deadline() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(
        folder.path(),
        scripted_host(HostBehaviour::Silent).await,
        "",
    );
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    let (end, took) = framed_call(dispatcher.bound.framed, 700).await;
    assert_eq!(status_of(&end), Some(WireStatus::Refused), "{end:?}");
    assert!(
        took >= Duration::from_millis(300),
        "the dispatcher did not wait for the host: {took:?}"
    );
    let response = http_get(dispatcher.bound.http, "/a", "X-Deadline-Ms: 700\r\n").await;
    assert_eq!(
        (response.status, response.field("x-outcome")),
        (503, "refused")
    );
    assert!(
        !response.field("retry-after").is_empty()
            && response.field("proxy-status").contains("pointspindle")
    );
}

#[tokio::test]
async fn closed_port_is_a_quick_rejection() {
    let folder = tempfile::tempdir().unwrap();
    // The port is bound and no socket listens on it.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let closed_port = socket.local_addr().unwrap();
    let file = write_settings(folder.path(), closed_port, "");
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    let (end, _) = framed_call(dispatcher.bound.framed, 1_400).await;
    assert_eq!(status_of(&end), Some(WireStatus::Refused), "{end:?}");
}

/// A connect to a listener with a full backlog is never answered: the dispatcher treats the host as failed.
#[tokio::test]
async fn hanging_connect_is_abandoned_and_the_client_answered() {
    let folder = tempfile::tempdir().unwrap();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let endpoint = listener.local_addr().unwrap();
    let mut connections = vec![];
    loop {
        match tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(endpoint)).await {
            Ok(Ok(stream)) => connections.push(stream),
            Ok(Err(e)) => panic!("connect failed instead of hanging: {e}"),
            Err(_) => break,
        }
        assert!(
            connections.len() < 1_000,
            "connects do not hang on this system"
        );
    }
    let file = write_settings(folder.path(), endpoint, "");
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    let (end, _) = framed_call(dispatcher.bound.framed, 1_400).await;
    assert_eq!(status_of(&end), Some(WireStatus::Refused), "{end:?}");
    let metrics = text(
        &http_get(dispatcher.bound.metrics, "/metrics", "")
            .await
            .body,
    );
    assert!(
        metrics.contains("pointspindle_attempts_total{outcome=\"connect_failed\"}"),
        "{metrics}"
    );
}

/// A client returns no flow-control credit: its own request fails at its deadline, and the others are served.
#[tokio::test]
async fn client_without_flow_control_credit_delays_no_other_request() {
    use futures_util::SinkExt;
    let folder = tempfile::tempdir().unwrap();
    let fleet = DispatcherProcess::start(&["serve", "--port", "0"], folder.path());
    let socket = TcpStream::connect(fleet.bound.framed).await.unwrap();
    let mut frames = tokio_util::codec::Framed::new(socket, FrameCodec::default());
    let request = |object: &str, class: &str| RequestHead {
        object: object.into(),
        class: class.into(),
        time_left_us: 900_000,
        ..Default::default()
    };
    frames
        .send(Frame::Request(
            1,
            request("/video/lesson-2", "lesson-video"),
        ))
        .await
        .unwrap();
    for stream in 2..12 {
        frames
            .send(Frame::Request(
                stream,
                request("/page/welcome", "test-page"),
            ))
            .await
            .unwrap();
    }
    let (mut bytes, mut ended, mut slow) = (0, 0, None);
    while slow.is_none() || ended < 10 {
        match tokio::time::timeout(Duration::from_secs(10), frames.next())
            .await
            .expect("no frame within 10 s")
        {
            Some(Ok(Frame::Data(1, data))) => bytes += data.len(),
            Some(Ok(Frame::Error(1, e))) => slow = Some(e.status()),
            Some(Ok(Frame::End(1, _))) => {
                panic!("a response of 4 MiB was completed without credit")
            }
            Some(Ok(Frame::End(..))) => ended += 1,
            Some(Ok(_)) => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(slow, Some(WireStatus::Failed));
    assert_eq!(
        bytes,
        pointspindle_protocol::streams::STREAM_WINDOW as usize,
        "the dispatcher did not send exactly the stream window"
    );
}

/// A client must be able to distinguish a truncated response from a complete one, on both protocols.
#[tokio::test]
async fn truncated_response_differs_from_a_complete_one() {
    for behaviour in [HostBehaviour::ClosesInBody, HostBehaviour::Stalls] {
        let folder = tempfile::tempdir().unwrap();
        let file = write_settings(folder.path(), scripted_host(behaviour).await, "");
        let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
        let response = http_get(dispatcher.bound.http, "/a", "X-Deadline-Ms: 900\r\n").await;
        assert_eq!(
            (response.status, response.body.len(), response.is_complete),
            (200, 2_000, false)
        );
        let (end, _) = framed_call(dispatcher.bound.framed, 900).await;
        assert_eq!(status_of(&end), Some(WireStatus::Failed), "{end:?}");
    }
}

#[tokio::test]
async fn incomplete_request_heads_are_timed_out() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(
        folder.path(),
        scripted_host(HostBehaviour::RespondsAfterMs(0)).await,
        "",
    );
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    let responses =
        http_exchange(dispatcher.bound.http, "GET /a HTTP/1.1\r\nHost:", 1, false).await;
    assert_eq!(responses[0].status, 408);
    let flood = format!("GET /a HTTP/1.1\r\nHost: x\r\n{}", "a: b\r\n".repeat(100));
    assert_eq!(
        http_exchange(dispatcher.bound.http, &flood, 1, false).await[0].status,
        431
    );
}
