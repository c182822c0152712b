//! Graceful shutdown, and recovery from a killed process.
use crate::support::*;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

#[tokio::test]
async fn requests_accepted_before_sigterm_are_answered_and_the_exit_is_clean() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(
        folder.path(),
        scripted_host(HostBehaviour::RespondsAfterMs(700)).await,
        "",
    );
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    let (to_framed, to_http) = (dispatcher.bound.framed, dispatcher.bound.http);
    let calls: Vec<_> = (0..6)
        .map(|_| tokio::spawn(framed_call(to_framed, 1_400)))
        .collect();
    let http_calls: Vec<_> = (0..6)
        .map(|_| tokio::spawn(async move { http_get(to_http, "/b", "").await }))
        .collect();
    // Waits until the metrics report all requests as open.
    let started = Instant::now();
    loop {
        let metrics = text(
            &http_get(dispatcher.bound.metrics, "/metrics", "")
                .await
                .body,
        );
        if metrics
            .lines()
            .any(|line| line == "pointspindle_open_requests 12")
        {
            break;
        }
        assert!(started.elapsed() < Duration::from_secs(10), "{metrics}");
    }
    dispatcher.signal("-TERM");
    for call in calls {
        let (end, _) = call.await.unwrap();
        assert!(
            matches!(end, Some(CallEnd::Complete(_))) || status_of(&end).is_some(),
            "no final response: {end:?}"
        );
    }
    for http_call in http_calls {
        let response = http_call.await.unwrap();
        assert!(
            response.is_complete && matches!(response.status, 200 | 503),
            "{}",
            response.status
        );
    }
    assert!(
        TcpStream::connect(to_http).await.is_err(),
        "a new connection was accepted after SIGTERM"
    );
    assert_eq!(dispatcher.wait(), 0);
}

/// The process is killed while it rewrites its state file repeatedly: the file must be complete or absent afterwards.
#[tokio::test]
async fn kill_during_a_state_write_leaves_a_complete_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(
        folder.path(),
        scripted_host(HostBehaviour::RespondsAfterMs(0)).await,
        "",
    );
    let state = folder.path().join("dispatcher.state");
    for round in 0..8_u64 {
        let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
        let socket = TcpStream::connect(dispatcher.bound.control).await.unwrap();
        let (connection, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        tokio::spawn(async move { while incoming.next().await.is_some() {} });
        for n in 0..200 + 40 * round {
            let purge = PurgeHead {
                object: Some(format!("/p{n}")),
                group: n,
                age_us: 0,
                seq: n,
            };
            connection.control(Frame::Purge(purge)).await.unwrap();
            if n % 50 == 0 {
                tokio::time::sleep(Duration::from_millis(7)).await;
            }
        }
        drop(dispatcher);
        if let Ok(bytes) = std::fs::read(&state) {
            pointspindle_dispatcher::core::state::Snapshot::from_bytes(&bytes)
                .expect("the state file is incomplete");
        }
    }
    // A truncated state file is reported and ignored; the endpoints of the settings serve requests.
    let complete = std::fs::read(&state).expect("no state file was written");
    std::fs::write(&state, &complete[..complete.len() / 2]).unwrap();
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    assert_eq!(http_get(dispatcher.bound.http, "/a", "").await.status, 200);
    let log = std::fs::read_to_string(folder.path().join("log")).unwrap();
    assert!(
        log.contains("the state file is not used") && log.contains("torn"),
        "{log}"
    );
}
