use super::state::MAX_ENDED_IDS;
use super::*;

fn queued(connection: &Connection) -> Vec<String> {
    connection.lock().write_queue.queued()
}

/// Returns a request of this line, without a body.
fn encoded(line: &[u8]) -> EncodedRequest {
    EncodedRequest::new(BytesMut::from(line), Bytes::new())
}

/// Returns the number of bytes of the current write that are not sent.
fn unsent_bytes(connection: &Connection) -> usize {
    let unsent = connection.lock().write_queue.unsent();
    unsent.iter().map(Bytes::len).sum()
}

fn send(connection: &Arc<Connection>, id: &str) -> InFlightRequest {
    let request = encoded(format!("PULL {id}").as_bytes());
    connection
        .send(id, Box::new(move || Some(request.clone())))
        .expect("the connection is open")
}

/// Treats all queued writes as sent.
fn write_all(connection: &Connection) {
    while connection.prepare_write() {
        let unsent = unsent_bytes(connection);
        connection.lock().bytes_sent(unsent);
    }
}

fn response(id: &str) -> CacheResponse {
    CacheResponse {
        id: id.into(),
        status: ResponseStatus::Served,
        cache_status_code: 1,
        validator: String::new(),
        produced_at_unix_ms: 0,
        fill_wait_ms: 0,
        body: Bytes::new(),
    }
}

#[tokio::test]
async fn connection_end_reports_whether_each_request_may_have_run() {
    let connection = Connection::new(Arc::default());
    let mut written = send(&connection, "a");
    let mut completed = send(&connection, "b");
    write_all(&connection);
    let mut unwritten = send(&connection, "c");
    connection.handle_response(response("b"));
    connection.lock().end();
    assert_eq!(written.written().await, Ok(()));
    assert_eq!(
        written.response().await,
        Err(RequestError::ConnectionBroken)
    );
    assert_eq!(
        completed.response().await.map(|r| r.id),
        Ok("b".to_owned()),
        "the response was received before the connection ended"
    );
    assert_eq!(unwritten.written().await, Err(RequestError::NotSent));
    assert!(connection.send("d", Box::new(|| None)).is_none());
}

#[tokio::test]
async fn dropped_request_unsent_is_removed_and_sent_is_cancelled() {
    let connection = Connection::new(Arc::default());
    drop(send(&connection, "a"));
    assert!(queued(&connection).is_empty() && connection.in_flight_if_available("a", 1) == Some(0));
    let request = send(&connection, "b");
    write_all(&connection);
    drop(request);
    assert_eq!(queued(&connection), ["KILL b\r\n"]);
    assert_eq!(
        connection.in_flight_if_available("b", 9),
        None,
        "a response that crossed the cancellation would be taken for the new request's"
    );
    // The response to the cancelled request and a duplicate of it are dropped.
    connection.handle_response(response("b"));
    connection.handle_response(response("b"));
    assert_eq!(connection.in_flight_if_available("c", 9), Some(0));
}

/// The state of a long-lived connection must not grow with the number of requests that it has carried.
#[tokio::test]
async fn connection_many_finished_requests_retains_bounded_state() {
    let connection = Connection::new(Arc::default());
    for n in 0..100_000 {
        let id = format!("{n:016x}");
        let mut request = send(&connection, &id);
        write_all(&connection);
        if n % 2 == 0 {
            connection.handle_response(response(&id));
            assert!(request.response().await.is_ok());
        }
    }
    let mut state = connection.lock();
    state.write_queue.clear();
    assert!(state.in_flight.is_empty() && state.ended_ids.len() <= MAX_ENDED_IDS);
}

/// Starts a connection. Returns it with the socket of the peer, which does not read yet, and the task of the
/// connection.
async fn running_connection() -> (
    Arc<Connection>,
    TcpStream,
    tokio::task::JoinHandle<Option<String>>,
) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    socket2::SockRef::from(&socket)
        .set_send_buffer_size(4_096)
        .unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    let connection = Connection::new(Arc::default());
    let task = tokio::spawn(
        connection
            .clone()
            .run(socket, MemoryMonitor::unlimited(), || {}),
    );
    (connection, peer, task)
}

/// While the endpoint does not read, a request that is queued behind another one is not encoded, and never if it is
/// dropped. The endpoint never receives a complete request that was dropped while it was partly sent.
#[tokio::test]
async fn request_is_encoded_only_when_its_first_byte_is_writable() {
    let (connection, mut peer, task) = running_connection().await;
    let encoded = Arc::new(Mutex::new(Vec::new()));
    let send = |id: &str, bytes: usize| {
        let body = Bytes::from(vec![b'x'; bytes]);
        let encoded = encoded.clone();
        let name = id.to_owned();
        let encode = move || {
            encoded.lock().unwrap().push(name.clone());
            Some(EncodedRequest::new(BytesMut::new(), body.clone()))
        };
        connection
            .send(id, Box::new(encode))
            .expect("the connection is open")
    };
    let large_bytes = 8 << 20;
    let large = send("large", large_bytes);
    // Waits until a part of the request is sent and the socket accepts no more bytes.
    loop {
        let unsent_bytes = unsent_bytes(&connection);
        if unsent_bytes > 0 && unsent_bytes < large_bytes {
            break;
        }
        tokio::task::yield_now().await;
    }
    let dropped = send("dropped", 1);
    let mut queued = send("queued", 1);
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert_eq!(*encoded.lock().unwrap(), ["large"]);
    drop(dropped);
    assert!(connection.in_flight_if_available("new", 9).is_some());
    drop(large);
    assert_eq!(
        connection.in_flight_if_available("new", 9),
        None,
        "no new request is accepted behind the rest of a cancelled request"
    );
    assert!(
        !connection.close_if_unusable(Duration::from_secs(60), Duration::from_secs(60)),
        "the rest may still be sent within the time-out"
    );
    assert!(connection.close_if_unusable(Duration::from_secs(60), Duration::ZERO));
    assert_eq!(task.await.unwrap(), None);
    assert_eq!(queued.written().await, Err(RequestError::NotSent));
    let mut received = Vec::new();
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut received).await;
    assert!(
        received.len() < large_bytes,
        "the endpoint received the complete request"
    );
    assert_eq!(*encoded.lock().unwrap(), ["large"]);
}

/// If the endpoint accepts the rest of a cancelled request, the cancellation follows and the connection stays usable.
#[tokio::test]
async fn request_dropped_mid_write_is_followed_by_cancellation() {
    let (connection, peer, _task) = running_connection().await;
    let body = Bytes::from(vec![b'x'; 8 << 20]);
    let encode = move || Some(EncodedRequest::new(BytesMut::new(), body.clone()));
    let large = connection.send("large", Box::new(encode)).unwrap();
    while unsent_bytes(&connection) == 0 {
        tokio::task::yield_now().await;
    }
    drop(large);
    let mut next = connection
        .send("next", Box::new(|| Some(encoded(b"PULL next"))))
        .unwrap();
    let mut lines = FramedRead::new(peer, tokio_util::codec::LinesCodec::new());
    assert_eq!(lines.next().await.unwrap().unwrap().len(), 8 << 20);
    assert_eq!(lines.next().await.unwrap().unwrap(), "KILL large");
    assert_eq!(lines.next().await.unwrap().unwrap(), "PULL next");
    assert_eq!(next.written().await, Ok(()));
}

/// Guards against the loss of other requests on a connection when a client gives up a large response that has been
/// arriving for long: the time-out of an orphaned response begins when it is orphaned.
#[tokio::test]
async fn orphan_timeout_begins_with_the_cancellation() {
    const TIMEOUT: Duration = Duration::from_millis(700);
    let connection = Connection::new(Arc::default());
    let cancelled = send(&connection, "large");
    let _other = send(&connection, "other");
    write_all(&connection);
    let long_ago = Instant::now() - TIMEOUT;
    connection.lock().bytes_received(Some("large"), long_ago);
    let cancelled_at = Instant::now();
    drop(cancelled);
    let blocked_since = connection.lock().blocked_since();
    assert!(blocked_since.is_some_and(|since| since >= cancelled_at));
    assert!(connection.close_if_unusable(Duration::ZERO, TIMEOUT));
}

#[tokio::test]
async fn close_if_idle_closes_idle_connection_and_keeps_busy_one() {
    let connection = Connection::new(Arc::default());
    let request = send(&connection, "a");
    assert!(!connection.close_if_idle() && connection.in_flight_if_available("b", 9) == Some(1));
    drop(request);
    assert!(connection.close_if_idle() && connection.in_flight_if_available("b", 9).is_none());
    assert!(connection.send("b", Box::new(|| None)).is_none());
}
