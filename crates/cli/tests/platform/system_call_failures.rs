//! System calls that fail as Linux documents: by a resource shortage of the local machine, by a connection that
//! was closed in the accept queue, or by an interruption. No client loses a response through them.
use crate::support::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// A dispatcher with injectable faults, one cache host that serves `good`, and a discovery server.
pub struct FaultyPlatform {
    pub faults: InjectedFaults,
    pub discovery: DiscoveryServer,
    pub cache: ScriptedCacheHost,
    pub dispatcher: DispatcherProcess,
}

impl FaultyPlatform {
    pub async fn start() -> Self {
        let discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start_serving("good").await;
        let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
        let faults = InjectedFaults::new();
        let dispatcher = DispatcherProcess::spawn_with_faults(&faults, |address| {
            configuration(address, discovery.address, &endpoints)
        })
        .await;
        assert_eq!(dispatcher.health_status().await, 200);
        Self {
            faults,
            discovery,
            cache,
            dispatcher,
        }
    }
}

/// Errors of accept for connections that failed in the queue, for an interruption, and for a resource shortage of
/// the machine.
const ACCEPT_ERRORS: [i64; 8] = [
    errno::ECONNABORTED,
    errno::EINTR,
    errno::ENETUNREACH,
    errno::ETIMEDOUT,
    errno::EHOSTUNREACH,
    errno::ENFILE,
    errno::ENOBUFS,
    errno::ENOMEM,
];

/// Errors of connect and socket for a resource shortage of the machine, and for an interruption.
const LOCAL_ERRORS: [(SystemCall, i64); 7] = [
    (SystemCall::Connect, errno::EADDRNOTAVAIL),
    (SystemCall::Connect, errno::ENOBUFS),
    (SystemCall::Connect, errno::ENETUNREACH),
    (SystemCall::Connect, errno::EINTR),
    (SystemCall::Socket, errno::ENFILE),
    (SystemCall::Socket, errno::ENOBUFS),
    (SystemCall::Socket, errno::ENOMEM),
];

/// Connections that failed in the accept queue, or a shortage of the whole machine, do not make the dispatcher
/// close idle connections.
#[tokio::test]
async fn failed_accept_closes_no_idle_connection() {
    let platform = FaultyPlatform::start().await;
    let mut idle_clients = Vec::new();
    for _ in 0..40 {
        let mut client = FastCgiClient::connect(platform.dispatcher.address).await;
        client.request_page(1, &[]).await;
        assert_eq!(client.response(1).await.body, b"good");
        idle_clients.push(client);
    }
    for error in ACCEPT_ERRORS {
        platform.faults.fail_next(SystemCall::Accept, error, 3);
        let mut new_client = FastCgiClient::connect(platform.dispatcher.address).await;
        new_client.request_page(1, &[]).await;
        assert_eq!(new_client.response(1).await.body, b"good", "error {error}");
        platform.faults.wait_until_failed(SystemCall::Accept).await;
        for (n, client) in idle_clients.iter_mut().enumerate() {
            // The connection may be closed before the request is written.
            let request = fastcgi_request(1, "/ops/page", &[], b"");
            let _ = client.writer.write_all(&request).await;
            let response = client.response_or_close(1).await;
            assert!(
                response.is_some_and(|response| response.body == b"good"),
                "error {error}: idle client {n} was closed"
            );
        }
    }
}

/// A shortage of addresses, descriptors or memory on the local machine, or an interrupted call, is not a fault of
/// the endpoint. Each failure costs one request at most, and the endpoint is not ejected.
#[tokio::test]
async fn local_shortage_does_not_eject_an_endpoint() {
    for (call, error) in LOCAL_ERRORS {
        let discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start_serving("good").await;
        let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
        let faults = InjectedFaults::new();
        let discovery_address = discovery.address;
        let dispatcher = DispatcherProcess::spawn_with_faults(&faults, |address| {
            configuration(address, discovery_address, &endpoints)
        })
        .await;
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        client.request_page(1, &[]).await;
        assert_eq!(client.response(1).await.body, b"good");
        // Idle connections expire by then, so that the next request needs a new one.
        faults.advance_time(Duration::from_secs(60));
        // Requests that are read in the first rounds after the advance count as buffered for a minute and are
        // rejected.
        dispatcher.catch_up().await;
        faults.fail_next(call, error, 4);
        let mut rejected = 0;
        for n in 0..20u16 {
            client.request_page(n + 1, &[]).await;
            let response = match client.response_or_close(n + 1).await {
                Some(response) => response,
                None => {
                    // By the advanced clock the client was idle for too long, and the dispatcher closed its
                    // connection: the request is sent again.
                    client = FastCgiClient::connect(dispatcher.address).await;
                    client.request_page(n + 1, &[]).await;
                    client.response(n + 1).await
                }
            };
            rejected += u16::from(response.status != 200);
        }
        println!("{call:?} {error}: {rejected} of 20 rejected");
        assert!(rejected <= 4, "{call:?} {error}: {rejected} of 20 rejected");
        faults.wait_until_failed(call).await;
    }
}

/// Every response is complete despite interrupted calls and reads and writes of a few bytes.
#[tokio::test]
async fn responses_are_complete_despite_interrupted_calls_and_short_transfers() {
    let body = "0123456789".repeat(300);
    let discovery = DiscoveryServer::start().await;
    let served_body = body.clone();
    let cache = ScriptedCacheHost::start(move |id, _| served_reply(id, &served_body)).await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    let faults = InjectedFaults::new();
    let discovery_address = discovery.address;
    let dispatcher = DispatcherProcess::spawn_with_faults(&faults, |address| {
        configuration(address, discovery_address, &endpoints)
    })
    .await;
    let mut client = FastCgiClient::connect(dispatcher.address).await;
    for (call, transfer_limit) in [
        (None, 7),
        (Some(SystemCall::Read), 0),
        (Some(SystemCall::Write), 0),
        (Some(SystemCall::Wait), 0),
        (Some(SystemCall::Read), 7),
    ] {
        faults.limit_transfer_size(transfer_limit);
        for n in 1..=20 {
            if let Some(call) = call {
                faults.fail_next(call, errno::EINTR, 2);
            }
            client
                .request_page(n, &[("HTTP_X_ROW", &format!("{n:016x}"))])
                .await;
            let response = client.response_or_close(n).await;
            let response =
                response.unwrap_or_else(|| panic!("{call:?}, {transfer_limit} bytes: closed"));
            assert_eq!(
                (response.status, response.body.len()),
                (200, body.len()),
                "{call:?}, {transfer_limit} bytes"
            );
        }
    }
}
