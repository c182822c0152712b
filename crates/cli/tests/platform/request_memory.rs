//! The dispatcher stays within its memory limit whatever clients send and however slowly peers read.
use crate::support::*;
use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::{JoinHandle, JoinSet};

/// Largest body of a write, as the platform defines it.
const LARGEST_BODY_BYTES: usize = 48_000;
/// Largest object, as the platform defines it.
const LARGEST_OBJECT_BYTES: usize = 240_000;
/// Largest number of open requests on one connection, as the platform defines it.
const REQUESTS_PER_CONNECTION: u16 = 32;
/// Length of the last piece of a write that an incomplete write lacks.
const MISSING_BYTES: usize = 100;
/// Time for which clients read nothing; they are disconnected only after a longer one.
const CLIENTS_ARE_SILENT_FOR: Duration = Duration::from_secs(1);
const USUAL_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The limits of the platform's smallest and largest dispatchers, and the number of faulty clients for each.
const SCALES: [Scale; 2] = [
    Scale {
        memory_mb: 32,
        sockets: 256,
        faulty_clients: 40,
    },
    Scale {
        memory_mb: 192,
        sockets: 1_024,
        faulty_clients: 200,
    },
];

#[derive(Clone, Copy, Debug)]
struct Scale {
    memory_mb: u64,
    sockets: u64,
    faulty_clients: usize,
}

impl Scale {
    /// Starts a dispatcher with a cache host and an origin at the same address.
    async fn start(self, discovery: &DiscoveryServer, cache: SocketAddr) -> DispatcherProcess {
        let endpoints = [
            endpoint_entry("s-1", cache, "box", "Ready"),
            endpoint_entry("o-1", cache, "origin", "Ready"),
        ];
        let limits = format!(
            "\"memory_mb\":{},\"sockets\":{}",
            self.memory_mb, self.sockets
        );
        let replacements = [("\"memory_mb\":32,\"sockets\":256", limits.as_str())];
        DispatcherProcess::start_with_replacements(discovery.address, &endpoints, &replacements)
            .await
    }

    fn assert_memory_within_limit(self, dispatcher: &DispatcherProcess, sent: &str) {
        let peak_kb = dispatcher.peak_memory_kb();
        println!(
            "peak of {peak_kb} kB, {} MB allowed: {sent}",
            self.memory_mb
        );
        assert!(
            peak_kb < self.memory_mb * 1024,
            "peak of {peak_kb} kB, {} MB allowed: {sent}",
            self.memory_mb
        );
    }
}

/// Returns a write without its last bytes.
fn incomplete_write(id: u16) -> BytesMut {
    let body = vec![b'w'; LARGEST_BODY_BYTES - MISSING_BYTES];
    let mut bytes = fastcgi_request(id, "/ops/submit", &[IDEMPOTENCY_KEY_FIELD], &body);
    bytes.truncate(bytes.len() - RECORD_HEADER_BYTES);
    bytes
}

/// Size of the header of a FastCGI record, which is all of the record that ends a body.
const RECORD_HEADER_BYTES: usize = 8;

/// A client that requests pages on one connection until it is told to stop, and counts those that are served.
struct UsualClient {
    stop: Arc<AtomicBool>,
    task: JoinHandle<u32>,
}

impl UsualClient {
    /// Starts the client; its first page has been served on return.
    async fn start(dispatcher: &DispatcherProcess) -> Self {
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        client.request_page(1, &[]).await;
        assert_eq!(client.response(1).await.status, 200);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut served = 0;
            while !stopped.load(Ordering::SeqCst) {
                client.request_page(1, &[]).await;
                let response = client.response(1).await;
                assert_eq!(response.status, 200, "{response:?}");
                served += 1;
                tokio::time::sleep(USUAL_REQUEST_INTERVAL).await;
            }
            served
        });
        Self { stop, task }
    }

    /// Stops the client and returns the number of pages that were served.
    async fn stop(self) -> u32 {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.unwrap()
    }
}

/// Guards against incomplete writes of faulty clients that take the dispatcher over its memory limit, and against a
/// remedy at the expense of other clients: pages and a slow write on another connection are served meanwhile.
#[tokio::test]
async fn incomplete_writes_stay_within_the_memory_limit_and_others_are_served() {
    for scale in SCALES {
        let discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start_serving("good").await;
        let dispatcher = scale.start(&discovery, cache.address).await;
        let usual_client = UsualClient::start(&dispatcher).await;
        let mut slow_writer = FastCgiClient::connect(dispatcher.address).await;
        slow_writer.request_page(1, &[]).await;
        assert_eq!(slow_writer.response(1).await.status, 200);
        let body = vec![b'w'; LARGEST_BODY_BYTES];
        let slow_write = fastcgi_request(2, "/ops/submit", &[IDEMPOTENCY_KEY_FIELD], &body);
        let (first_half, second_half) = slow_write.split_at(slow_write.len() / 2);
        slow_writer.writer.write_all(first_half).await.unwrap();

        let mut faulty_clients = Vec::new();
        for _ in 0..scale.faulty_clients {
            let mut client = FastCgiClient::connect(dispatcher.address).await;
            for id in 1..=REQUESTS_PER_CONNECTION {
                // The dispatcher may end the connection before all of it is written.
                let _ = client.writer.write_all(&incomplete_write(id)).await;
            }
            faulty_clients.push(client);
        }
        slow_writer.writer.write_all(second_half).await.unwrap();
        let response = slow_writer.response(2).await;
        assert_eq!(response.status, 200, "slow write: {response:?}");
        for client in &mut faulty_clients {
            if let Some(response) = client.response_or_close(1).await {
                assert!(matches!(response.status, 400 | 503), "{response:?}");
            }
        }
        let served = usual_client.stop().await;
        let sent = format!(
            "incomplete writes of {} clients, {served} pages served meanwhile",
            scale.faulty_clients
        );
        scale.assert_memory_within_limit(&dispatcher, &sent);
    }
}

/// Guards against records that are announced and never complete: their bytes are received before any request is.
#[tokio::test]
async fn incomplete_records_stay_within_the_memory_limit() {
    for scale in SCALES {
        let discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start_serving("good").await;
        let dispatcher = scale.start(&discovery, cache.address).await;
        let usual_client = UsualClient::start(&dispatcher).await;
        let mut faulty_clients = Vec::new();
        for kind in [PARAMS, STDIN, GET_VALUES, ABORT_REQUEST, 99] {
            for _ in 0..scale.faulty_clients / 5 {
                let mut client = FastCgiClient::connect(dispatcher.address).await;
                let mut record = begin_request_record(1);
                if kind == STDIN {
                    write_record(&mut record, PARAMS, 1, &[]);
                }
                write_record(&mut record, kind, 1, &[b'x'; u16::MAX as usize]);
                record.truncate(record.len() - MISSING_BYTES);
                let _ = client.writer.write_all(&record).await;
                faulty_clients.push(client);
            }
        }
        for client in &mut faulty_clients {
            if let Some(response) = client.response_or_close(1).await {
                assert!(response.status != 200, "{response:?}");
            }
        }
        let served = usual_client.stop().await;
        let sent = format!(
            "incomplete records of {} clients, {served} pages served meanwhile",
            scale.faulty_clients
        );
        scale.assert_memory_within_limit(&dispatcher, &sent);
    }
}

/// Guards against complete writes that wait for slow endpoints: their bodies are bounded too, and pages are served
/// meanwhile.
#[tokio::test]
async fn complete_writes_that_wait_for_endpoints_stay_within_the_memory_limit() {
    for scale in SCALES {
        let discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start(silent_for_object_a).await;
        let dispatcher = scale.start(&discovery, cache.address).await;
        let usual_client = UsualClient::start(&dispatcher).await;
        let body = vec![b'w'; LARGEST_BODY_BYTES];
        let fields = [
            IDEMPOTENCY_KEY_FIELD,
            OBJECT_A_FIELD,
            ("HTTP_X_TTL_MS", "1500"),
        ];
        let mut writers = Vec::new();
        for _ in 0..scale.faulty_clients {
            let mut client = FastCgiClient::connect(dispatcher.address).await;
            for id in 1..=REQUESTS_PER_CONNECTION {
                client.send_request(id, "/ops/submit", &fields, &body).await;
            }
            writers.push(client);
        }
        let mut rejected = 0;
        for client in &mut writers {
            for id in 1..=REQUESTS_PER_CONNECTION {
                let response = client.response(id).await;
                assert!(matches!(response.status, 502 | 503), "{response:?}");
                rejected += u32::from(response.head.contains("X-Throttle-Ms"));
            }
        }
        let served = usual_client.stop().await;
        let sent = format!(
            "complete writes of {} clients, {rejected} with a Retry-After, {served} pages served meanwhile",
            scale.faulty_clients
        );
        scale.assert_memory_within_limit(&dispatcher, &sent);
    }
}

/// Guards against responses that arrive all at once for clients that do not read: requests are admitted while nothing
/// is buffered, so the limit on buffered bytes has to hold for the responses as well.
#[tokio::test]
async fn responses_that_arrive_together_stay_within_the_memory_limit() {
    const CLIENTS: u16 = 12;
    const ENDPOINTS: usize = 16;
    let scale = SCALES[0];
    let requests = usize::from(CLIENTS * REQUESTS_PER_CONNECTION);
    let discovery = DiscoveryServer::start().await;
    let cache = HoldingCacheHost::start("o".repeat(LARGEST_OBJECT_BYTES)).await;
    let endpoint = |n| endpoint_entry(&format!("s-{n}"), cache.address, "box", "Ready");
    let endpoints: Vec<String> = (0..ENDPOINTS).map(endpoint).collect();
    let dispatcher = DispatcherProcess::start(discovery.address, &endpoints).await;
    let mut silent_clients = Vec::new();
    for n in 0..CLIENTS {
        let mut client = FastCgiClient::connect(dispatcher.address).await;
        for id in 1..=REQUESTS_PER_CONNECTION {
            let object = spread_object(u64::from(n * REQUESTS_PER_CONNECTION + id));
            client.request_page(id, &[("HTTP_X_ROW", &object)]).await;
        }
        silent_clients.push(client);
    }
    // Half of the responses are several times the memory limit already.
    cache.release_after(requests / 2).await;
    tokio::time::sleep(CLIENTS_ARE_SILENT_FOR).await;
    let mut served = 0;
    for client in &mut silent_clients {
        for id in 1..=REQUESTS_PER_CONNECTION {
            let response = client.response(id).await;
            assert!(matches!(response.status, 200 | 503), "{response:?}");
            served += usize::from(response.status == 200);
        }
    }
    assert!(served > 0, "no response was served");
    let sent = format!("large responses for {CLIENTS} clients, {served} of {requests} served");
    scale.assert_memory_within_limit(&dispatcher, &sent);
}

/// Number of objects that are requested before the load: more than the index of copies holds.
const KNOWN_OBJECTS: u64 = 110_000;
const BROWSERS: u64 = 4;
/// Objects with this first digit are of the largest size.
const LARGE_OBJECT_PREFIX: &str = "f";
const LARGE_OBJECT_FIELD: (&str, &str) = ("HTTP_X_ROW", "f000000000000001");
/// Number of requests that each client of the load sends at once.
const REQUESTS_AT_ONCE: u16 = 30;

/// Requests many objects, one after another, as usual clients do.
async fn request_many_objects(dispatcher: SocketAddr, browser: u64) {
    let mut client = FastCgiClient::connect(dispatcher).await;
    let mut number = browser;
    while number < KNOWN_OBJECTS {
        for id in 1..=REQUESTS_AT_ONCE {
            let object = format!("0{}", &spread_object(number)[1..]);
            client.request_page(id, &[("HTTP_X_ROW", &object)]).await;
            number += BROWSERS;
        }
        for id in 1..=REQUESTS_AT_ONCE {
            assert_eq!(client.response(id).await.status, 200);
        }
    }
}

/// Requests large objects. Returns after all responses, or after the first one.
async fn read_large_objects(dispatcher: SocketAddr, leaves_early: bool) -> usize {
    let mut client = FastCgiClient::connect(dispatcher).await;
    for id in 1..=REQUESTS_AT_ONCE {
        client.request_page(id, &[LARGE_OBJECT_FIELD]).await;
    }
    let mut served = 0;
    for id in 1..=REQUESTS_AT_ONCE {
        let response = client.response(id).await;
        assert!(matches!(response.status, 200 | 503), "{response:?}");
        served += usize::from(response.status == 200);
        if leaves_early {
            break;
        }
    }
    served
}

/// Sends complete writes of the largest size and reads their responses.
async fn write_at_once(dispatcher: SocketAddr) {
    let mut client = FastCgiClient::connect(dispatcher).await;
    let body = vec![b'w'; LARGEST_BODY_BYTES];
    let write = |id| fastcgi_request(id, "/ops/submit", &[IDEMPOTENCY_KEY_FIELD], &body);
    for id in 1..=REQUESTS_AT_ONCE {
        client.writer.write_all(&write(id)).await.unwrap();
    }
    for id in 1..=REQUESTS_AT_ONCE {
        client.response(id).await;
    }
}

/// Sends writes without their last bytes and leaves after a while.
async fn write_incompletely(dispatcher: SocketAddr) {
    let mut client = FastCgiClient::connect(dispatcher).await;
    for id in 1..=REQUESTS_AT_ONCE {
        let _ = client.writer.write_all(&incomplete_write(id)).await;
    }
    tokio::time::sleep(CLIENTS_ARE_SILENT_FOR).await;
}

/// Guards against a sum of all kinds of load, of the tables and of the program that exceeds the memory limit while each
/// kind stays within its own bound (review case 7).
#[tokio::test]
async fn all_kinds_of_load_together_stay_within_the_memory_limit() {
    const ROUNDS: usize = 3;
    let large = "o".repeat(LARGEST_OBJECT_BYTES);
    for scale in SCALES {
        let large = large.clone();
        let discovery = DiscoveryServer::start().await;
        let cache = ScriptedCacheHost::start(move |id, fields| {
            let is_large = fields.contains(&format!("obj={LARGE_OBJECT_PREFIX}"));
            served_reply(id, if is_large { &large } else { "good" })
        })
        .await;
        let dispatcher = scale.start(&discovery, cache.address).await;
        let address = dispatcher.address;
        let mut browsers = JoinSet::new();
        for browser in 0..BROWSERS {
            browsers.spawn(request_many_objects(address, browser));
        }
        browsers.join_all().await;
        let mut served = 0;
        for _ in 0..ROUNDS {
            let mut load = JoinSet::new();
            for _ in 0..scale.faulty_clients / 2 {
                load.spawn(write_at_once(address));
                load.spawn(write_incompletely(address));
            }
            let mut readers = JoinSet::new();
            for n in 0..scale.faulty_clients {
                readers.spawn(read_large_objects(address, n % 4 > 0));
            }
            served += readers.join_all().await.into_iter().sum::<usize>();
            load.join_all().await;
        }
        let sent = format!("all kinds of load after many objects, {served} large objects served");
        scale.assert_memory_within_limit(&dispatcher, &sent);
        let mut client = FastCgiClient::connect(address).await;
        client.request_page(1, &[]).await;
        assert_eq!(client.response(1).await.status, 200);
    }
}
