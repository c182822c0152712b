//! Cancellations while memory is short and while an endpoint accepts no bytes.
use super::super::*;
use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::AsyncWriteExt;
use tokio::task::JoinHandle;
use tokio_util::codec::LinesCodec;

/// A connection with the socket of its endpoint.
struct TestConnection {
    connection: Arc<Connection>,
    cancellations: Arc<UnwrittenCancellations>,
    memory: Arc<MemoryMonitor>,
    /// Number of times that input has arrived during a pause.
    inputs_in_pause: Arc<AtomicUsize>,
    endpoint: TcpStream,
    task: JoinHandle<Option<String>>,
}

impl TestConnection {
    async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (endpoint, _) = listener.accept().await.unwrap();
        let cancellations: Arc<UnwrittenCancellations> = Arc::default();
        let connection = Connection::new(cancellations.clone());
        let memory = MemoryMonitor::unlimited();
        let inputs_in_pause = Arc::new(AtomicUsize::new(0));
        let counter = inputs_in_pause.clone();
        let on_input_in_pause = move || {
            counter.fetch_add(1, Ordering::SeqCst);
        };
        let running = connection
            .clone()
            .run(socket, memory.clone(), on_input_in_pause);
        Self {
            connection,
            cancellations,
            memory,
            inputs_in_pause,
            endpoint,
            task: tokio::spawn(running),
        }
    }

    fn send(&self, id: &str, body: Bytes) -> InFlightRequest {
        let line = BytesMut::from(format!("PULL {id}\r\n").as_bytes());
        let encode = move || Some(EncodedRequest::new(line.clone(), body.clone()));
        self.connection.send(id, Box::new(encode)).unwrap()
    }
}

/// Waits for a step of a test, which takes no time unless the test fails.
async fn in_time<F: std::future::Future>(step: F) -> F::Output {
    const TIMEOUT: Duration = Duration::from_secs(15);
    tokio::time::timeout(TIMEOUT, step).await.expect("in time")
}

async fn yield_often() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

/// Guards against two attempts of a request in flight at once: the cancellation of the first one must not wait until
/// memory is available again, nor behind requests that have not begun (review case 10).
#[tokio::test]
async fn cancellation_is_written_while_memory_is_short_and_before_waiting_requests() {
    let mut test = TestConnection::start().await;
    let mut first = test.send("first", Bytes::new());
    first.written().await.unwrap();
    test.memory.responses().set_exhausted(true);
    let mut waiting = test.send("waiting", Bytes::new());
    drop(first);
    let mut lines = FramedRead::new(&mut test.endpoint, LinesCodec::new());
    let mut next_line = async || in_time(lines.next()).await.unwrap().unwrap();
    assert_eq!(next_line().await, "PULL first");
    assert_eq!(next_line().await, "");
    assert_eq!(next_line().await, "KILL first");
    test.cancellations.written("first").await;
    yield_often().await;
    assert!(test.connection.lock().write_queue.queued() == ["PULL waiting"]);
    test.memory.responses().set_exhausted(false);
    assert_eq!(next_line().await, "PULL waiting");
    waiting.written().await.unwrap();
}

/// Guards against two attempts of a request in flight at once: while the endpoint of the first one accepts no bytes, the
/// next one waits, until the connection is closed.
#[tokio::test]
async fn next_attempt_waits_until_a_cancellation_is_written_or_its_connection_ends() {
    let test = TestConnection::start().await;
    let mut first = test.send("first", Bytes::new());
    first.written().await.unwrap();
    let large = test.send("large", Bytes::from(vec![b'x'; 32 << 20]));
    while !test.connection.lock().write_queue.is_partly_sent() {
        tokio::task::yield_now().await;
    }
    yield_often().await;
    drop(first);
    let cancellations = test.cancellations.clone();
    let next_attempt = tokio::spawn(async move { cancellations.written("first").await });
    yield_often().await;
    assert!(!next_attempt.is_finished(), "the endpoint was told nothing");
    test.cancellations.written("another request").await;
    let is_closed = |timeout| test.connection.close_if_unusable(Duration::MAX, timeout);
    assert!(!is_closed(Duration::from_secs(60)));
    assert!(is_closed(Duration::ZERO));
    next_attempt.await.unwrap();
    assert_eq!(test.task.await.unwrap(), None);
    drop(large);
}

/// Guards against an endpoint that is taken for silent although its responses have arrived and are not read for lack of
/// memory.
#[tokio::test]
async fn input_that_arrives_while_memory_is_short_is_reported() {
    let mut test = TestConnection::start().await;
    let mut request = test.send("a", Bytes::new());
    request.written().await.unwrap();
    test.memory.responses().set_exhausted(true);
    // The connection notices the pause with its next event.
    let _waiting = test.send("b", Bytes::new());
    yield_often().await;
    assert_eq!(test.inputs_in_pause.load(Ordering::SeqCst), 0);
    let response = b"a served rev=77aa,res=mem 4\r\ngood\r\n";
    test.endpoint.write_all(response).await.unwrap();
    in_time(async {
        while test.inputs_in_pause.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    yield_often().await;
    assert_eq!(test.inputs_in_pause.load(Ordering::SeqCst), 1);
    test.memory.responses().set_exhausted(false);
    assert_eq!(request.response().await.unwrap().body, "good");
}
