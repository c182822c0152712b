//! Exhaustion of descriptors and memory, by clients that do not send or do not read, and by more endpoints than
//! there are descriptors for.
use crate::support::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Size of a large body. It exceeds the buffers of a socket, so that most of it stays in the dispatcher.
const LARGE_BODY_BYTES: usize = 400_000;

/// Returns the configuration with the descriptor limit replaced.
fn with_descriptor_limit(configuration: String, descriptors: u64) -> String {
    let limit = format!("\"sockets\":{descriptors}");
    with_replacements(configuration, &[("\"sockets\":256", &limit)])
}

/// Requests a page on new connections until one is answered. Some connections are closed unread while idle
/// clients take all capacity.
async fn request_until_answered(dispatcher: SocketAddr) -> Response {
    let request = fastcgi_request(1, "/ops/page", &[], b"");
    let answered = async {
        loop {
            let mut client = FastCgiClient::connect(dispatcher).await;
            // The connection may be closed before the request is written.
            let _ = client.writer.write_all(&request).await;
            if let Some(response) = client.response_or_close(1).await {
                return response;
            }
        }
    };
    timeout(TEST_TIMEOUT, answered)
        .await
        .expect("no request was answered in time")
}

/// Idle connections that are re-established as soon as they are closed, until this is dropped.
struct IdleClients {
    connections: Vec<JoinHandle<()>>,
}

impl IdleClients {
    /// Starts `count` clients, and waits until as many connections have been established.
    async fn connect(dispatcher: SocketAddr, count: usize) -> Self {
        let connected = Arc::new(AtomicUsize::new(0));
        let connections = (0..count)
            .map(|_| tokio::spawn(Self::keep_connected(dispatcher, connected.clone())))
            .collect();
        let idle_clients = Self { connections };
        let all_connected = async {
            while connected.load(Ordering::SeqCst) < count {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, all_connected)
            .await
            .expect("the idle clients did not connect in time");
        idle_clients
    }

    /// Connects, and connects again each time the connection is closed.
    async fn keep_connected(dispatcher: SocketAddr, connected: Arc<AtomicUsize>) {
        loop {
            let Ok(socket) = TcpStream::connect(dispatcher).await else {
                continue;
            };
            connected.fetch_add(1, Ordering::SeqCst);
            let _ = socket.readable().await;
        }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.connections
            .iter()
            .for_each(|connection| connection.abort());
    }
}

/// Idle clients take all client descriptors, discovery is down, and a new configuration names another server.
/// The stream is established, an endpoint's drain is applied, and later requests go to another endpoint.
#[tokio::test]
async fn discovery_recovers_while_idle_clients_take_all_descriptors() {
    let cache = ScriptedCacheHost::start_serving("old").await;
    let origin = ScriptedCacheHost::start_serving("origin").await;
    let endpoints = [
        endpoint_entry("s-1", cache.address, "box", "Ready"),
        endpoint_entry("o-1", origin.address, "origin", "Ready"),
    ];
    let down = refusing_address();
    let dispatcher = DispatcherProcess::spawn_with_descriptor_limit(96, |address| {
        with_descriptor_limit(configuration(address, down, &endpoints), 96)
    })
    .await;
    let idle_clients = IdleClients::connect(dispatcher.address, 300).await;
    assert_eq!(
        request_until_answered(dispatcher.address).await.body,
        b"old"
    );
    let mut new_server = DiscoveryServer::start().await;
    dispatcher.reload(with_descriptor_limit(
        configuration(dispatcher.address, new_server.address, &endpoints),
        96,
    ));
    let stream = new_server.next_poll().await;
    assert_eq!(
        stream.last_event_id, 1,
        "the stream does not continue from the known revision"
    );
    let other = ScriptedCacheHost::start_serving("other").await;
    let entries = [
        endpoint_entry("s-1", cache.address, "box", "Terminating"),
        endpoint_entry("s-2", other.address, "box", "Ready"),
    ];
    new_server
        .publish(stream, 2, &endpoint_list(2, false, &entries))
        .await;
    for _ in 0..20 {
        let response = request_until_answered(dispatcher.address).await;
        assert!(response.body != b"old", "forwarded to a draining endpoint");
        assert_eq!(response.status, 200, "{response:?}");
    }
    drop(idle_clients);
}

/// There are more endpoints than connections are allowed. A request that gets no connection goes to another
/// endpoint, no endpoint is ejected, and the limit holds.
#[tokio::test]
async fn endpoint_without_a_descriptor_is_replaced_by_another() {
    let discovery = DiscoveryServer::start().await;
    let mut endpoints = Vec::new();
    for n in 0..24 {
        let address = start_untracked_cache_host(Arc::default()).await;
        endpoints.push(endpoint_entry(&format!("s-{n}"), address, "box", "Ready"));
    }
    let discovery_address = discovery.address;
    let dispatcher = DispatcherProcess::spawn_with_descriptor_limit(64, |address| {
        with_descriptor_limit(configuration(address, discovery_address, &endpoints), 64)
    })
    .await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    let mut peak = 0;
    for n in 0..200u16 {
        let object = spread_object(u64::from(n));
        client.request_page(n + 1, &[("HTTP_X_ROW", &object)]).await;
        let response = client.response(n + 1).await;
        assert_eq!(response.status, 200, "request {n}: {response:?}");
        peak = peak.max(dispatcher.open_descriptors());
    }
    println!("peak of {peak} open descriptors for 24 endpoints, limit 64");
    // Two fifths of the descriptors are reserved for clients, of which there is one; the dispatcher itself needs
    // 24; the other 15 are for connections to endpoints, plus one while a connection closes.
    assert!(peak <= 15 + 1 + 24 + 1, "{peak}");
}

/// The system allows fewer descriptors than configured, and idle clients take them all. A connected client is
/// answered, rejected or closed, and requests are served again once the idle clients have disconnected.
#[tokio::test]
async fn exhausted_descriptors_end_each_request_and_are_recovered() {
    let discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let discovery_address = discovery.address;
    let mut dispatcher = DispatcherProcess::spawn_with_descriptor_limit(40, |address| {
        configuration(address, discovery_address, &endpoints)
    })
    .await;
    let mut other_client = FastCgiClient::connect(dispatcher.address).await;
    other_client.request_page(1, &[]).await;
    assert_eq!(other_client.response(1).await.body, b"good");
    let idle_clients = IdleClients::connect(dispatcher.address, 120).await;
    other_client.request_page(2, &[]).await;
    if let Some(response) = other_client.response_or_close(2).await {
        assert!(matches!(response.status, 200 | 503), "{response:?}");
    }
    assert!(dispatcher.is_running());
    drop(idle_clients);
    let again = async { while request_until_answered(dispatcher.address).await.status != 200 {} };
    timeout(TEST_TIMEOUT, again)
        .await
        .expect("no request was served after the idle clients had disconnected");
}

/// Clients request large bodies and do not read them. The data buffered for them stays within the configured
/// memory, and a client that reads is served.
#[tokio::test]
async fn clients_that_read_nothing_are_buffered_within_the_memory_limit() {
    let large_body = "x".repeat(LARGE_BODY_BYTES);
    let script = move |id: &str, fields: &str| match fields.contains("obj=aaaaaaaaaaaaaaaa") {
        true => served_reply(id, &large_body),
        false => served_reply(id, "good"),
    };
    let discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start(script).await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut silent_clients = Vec::new();
    for _ in 0..12 {
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        for id in 1..=32 {
            client.request_page(id, &[OBJECT_A_FIELD]).await;
        }
        silent_clients.push(client);
    }
    // The connection of a client that does not read within its time-out is closed although no data was read.
    let served = async {
        loop {
            let response = request_until_answered(dispatcher.address).await;
            if response.status == 200 {
                return response;
            }
        }
    };
    assert_eq!(
        timeout(TEST_TIMEOUT, served)
            .await
            .expect("no client was served in time")
            .body,
        b"good"
    );
    let peak = dispatcher.peak_memory_kb();
    println!("peak {peak} kB, for 154 MB of responses that are never read");
    assert!(
        peak < 32 * 1024,
        "peak of {peak} kB, configured limit 32 MB"
    );
}
