//! Endpoints that log their attempts, and real dispatchers that call them.
use crate::attempt_log::AttemptLog;
use bytes::Bytes;
use pointspindle_dispatcher::Dispatcher;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound, Responder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Returns the content of an object, which depends on its name only.
pub fn content(object: &str) -> Bytes {
    let number: usize = object
        .rsplit('/')
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    let len = [0, 1, 700, 9_000, 70_000][number % 5];
    (0..len)
        .map(|n| ((n * 31 + number) % 251) as u8)
        .collect::<Vec<u8>>()
        .into()
}

/// Starts an endpoint that responds after a random delay.
pub async fn start_endpoint(log: Arc<AttemptLog>, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let random = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(socket, log.clone(), random.clone()));
        }
    });
    address
}

async fn serve_connection(socket: TcpStream, log: Arc<AttemptLog>, random: Arc<Mutex<StdRng>>) {
    let options = ConnectionOptions { max_streams: 8192 };
    let (_connection, mut incoming) = FramedConnection::start(socket, Side::Responder, options);
    while let Some(inbound) = incoming.next().await {
        let Inbound::Request(head, responder) = inbound else {
            continue;
        };
        // Some responses are slow enough for a second attempt to overlap with the first.
        let delay_ms = match random.lock().unwrap().gen_range(0..20) {
            0 => 500,
            n => n / 2,
        };
        let delay = Duration::from_millis(delay_ms);
        tokio::spawn(respond(log.clone(), head, responder, delay));
    }
}

async fn respond(
    log: Arc<AttemptLog>,
    head: RequestHead,
    mut responder: Responder,
    delay: Duration,
) {
    let number = log.record_start(&head.trace);
    if head.class == "unsafe" {
        log.record_execution(&head.trace);
    }
    let body = content(&head.object);
    // A cancellation ends the attempt at once, as at a real endpoint.
    let cancelled = tokio::select! {
        () = responder.cancelled() => true,
        () = tokio::time::sleep(delay) => false,
    };
    if !cancelled {
        let response = ResponseHead {
            size: Some(body.len() as u64),
            cache_status: WireCacheStatus::Hit as i32,
            ..Default::default()
        };
        if responder.head(response).await.is_ok() && responder.data(body).await.is_ok() {
            let _ = responder.end(None).await;
        }
    }
    log.record_end(&head.trace, number);
}

/// Starts dispatcher `number` of two.
pub async fn start_dispatcher(endpoints: [SocketAddr; 3], number: usize) -> Dispatcher {
    let [one, two, origin] = endpoints;
    let text = format!(
        "[dispatcher]\nzone = b\nnumber = {number}\ncount = 2\n[listen]\nhttp = 127.0.0.1:0\nframed = 127.0.0.1:0\n\
         drain_ms = 100\nclient_lease_ms = 200\n[zone b]\ndispatchers = 2\n\
         [member one]\naddress = {one}\nkind = cache\nzone = b\nweight = 500\n\
         [member two]\naddress = {two}\nkind = cache\nzone = b\nweight = 500\n\
         [member origin]\naddress = {origin}\nkind = origin\nzone = b\nweight = 500\n\
         [class page]\npath_prefix = /\ndeadline_ms = 8000\naim_ms = 6000\n\
         [class keyed]\nuncacheable = yes\nrepeat = keyed\nkey_window_ms = 4000\ndeadline_ms = 8000\naim_ms = 6000\n\
         [class unsafe]\nuncacheable = yes\nrepeat = unsafe\ndeadline_ms = 8000\naim_ms = 6000\n"
    );
    let settings = pointspindle_config::parse("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::start(settings, number as u64).await.unwrap()
}
