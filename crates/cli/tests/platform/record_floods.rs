//! Clients that send small records at full speed, beside a client that sends usual requests.
use crate::support::*;
use bytes::BytesMut;
use pointspindle_platform_protocol::fastcgi::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const FLOODING_CLIENTS: usize = 60;
const USUAL_REQUESTS: usize = 60;
/// Number of records in each write of a flooding client.
const RECORDS_PER_WRITE: usize = 2_000;
/// Deadline of the usual requests.
const DEADLINE_MS: (&str, &str) = ("HTTP_X_TTL_MS", "2500");
/// Pause after which a flooding client connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Records that a client repeats without end after a first message.
#[derive(Clone)]
struct Flood {
    name: &'static str,
    first: BytesMut,
    repeated: BytesMut,
}

/// Returns floods that each client may send without an error: bodies and params in records of one byte, requests that
/// are aborted at once, queries, records of an unknown type, and records of no request.
fn floods() -> Vec<Flood> {
    let mut write = fastcgi_request(1, "/ops/submit", &[IDEMPOTENCY_KEY_FIELD], b"x");
    write.truncate(write.len() - RECORD_HEADER_BYTES);
    let mut query = BytesMut::new();
    write_pair(&mut query, b"FCGI_MAX_REQS", b"");
    let mut begin_and_abort = begin_request_record(1);
    begin_and_abort.extend(abort_record(1));
    let flood = |name, first, record: BytesMut| Flood {
        name,
        first,
        repeated: BytesMut::from(&record.repeat(RECORDS_PER_WRITE)[..]),
    };
    vec![
        flood("body", write, record(STDIN, 1, b"z")),
        flood("params", begin_request_record(1), record(PARAMS, 1, b"z")),
        flood("aborts", BytesMut::new(), begin_and_abort),
        flood("queries", BytesMut::new(), record(GET_VALUES, 0, &query)),
        flood("unknown", BytesMut::new(), record(99, 0, b"")),
        flood("no request", BytesMut::new(), record(STDIN, 9, b"")),
    ]
}

/// Size of the header of a FastCGI record, which is all of the record that ends a body.
const RECORD_HEADER_BYTES: usize = 8;

fn record(record_type: u8, id: u16, content: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    write_record(&mut out, record_type, id, content);
    out
}

/// Sends a flood, reads what it is sent, and connects again when it is disconnected; never returns.
async fn send_flood(dispatcher: SocketAddr, flood: Flood) {
    loop {
        if let Ok(socket) = TcpStream::connect(dispatcher).await {
            let (mut reader, mut writer) = socket.into_split();
            let read = async {
                let mut bytes = vec![0; 64 * 1024];
                while matches!(reader.read(&mut bytes).await, Ok(1..)) {}
            };
            let write = async {
                let _ = writer.write_all(&flood.first).await;
                while writer.write_all(&flood.repeated).await.is_ok() {}
            };
            tokio::select! {
                () = read => {}
                () = write => {}
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Guards against usual requests that are never answered while other clients send records of one byte at full speed: no
/// client's input may take the thread from the others (review case 8).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn usual_requests_are_answered_beside_floods_of_small_records() {
    let discovery = DiscoveryServer::start().await;
    let cache = ScriptedCacheHost::start_serving("good").await;
    let endpoints = [endpoint_entry("s-1", cache.address, "box", "Ready")];
    // With room for the connections that are being closed beside those that replace them.
    let replacements = [("\"sockets\":256", "\"sockets\":1024")];
    let dispatcher =
        DispatcherProcess::start_with_replacements(discovery.address, &endpoints, &replacements)
            .await;
    let mut usual_client = FastCgiClient::connect(dispatcher.address).await;
    for flood in floods() {
        let mut flooding_clients = JoinSet::new();
        for _ in 0..FLOODING_CLIENTS {
            flooding_clients.spawn(send_flood(dispatcher.address, flood.clone()));
        }
        for _ in 0..USUAL_REQUESTS {
            usual_client.request_page(1, &[DEADLINE_MS]).await;
            let response = usual_client.response(1).await;
            assert_eq!(response.status, 200, "{}: {response:?}", flood.name);
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }
}
