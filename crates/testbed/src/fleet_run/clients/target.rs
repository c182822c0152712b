//! A dispatcher as clients see it.
use crate::http_client::HttpPool;
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_protocol::streams::Side;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Incoming, Network};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_STREAMS: usize = 4096;
/// How a framed connection names its close by a response to a stream that has ended.
const RESPONSE_AFTER_END: &str = "comes after its end";

/// The addresses of a dispatcher, and the clients' connections to it.
pub(in crate::fleet_run) struct Target {
    /// The dispatcher's number.
    pub dispatcher: usize,
    /// Where it serves HTTP.
    pub http_address: SocketAddr,
    /// Idle HTTP connections to it.
    pub http_pool: HttpPool,
    framed_address: SocketAddr,
    framed_connection: Mutex<Option<FramedConnection>>,
}

impl Target {
    /// A dispatcher to which no connection is open.
    pub fn new(dispatcher: usize, http_address: SocketAddr, framed_address: SocketAddr) -> Self {
        Self {
            dispatcher,
            http_address,
            http_pool: HttpPool::default(),
            framed_address,
            framed_connection: Mutex::new(None),
        }
    }

    /// The framed connection that all clients share; opened when needed. None: the dispatcher cannot be reached.
    pub async fn framed_connection(
        &self,
        network: &Network,
        recorder: &Recorder,
    ) -> Option<FramedConnection> {
        let mut shared = self.framed_connection.lock().await;
        if let Some(connection) = shared.as_ref().filter(|open| open.accepts_calls()) {
            return Some(connection.clone());
        }
        let connect = network.connect(None, self.framed_address);
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .ok()?
            .ok()?;
        let options = ConnectionOptions {
            max_streams: MAX_STREAMS,
        };
        let (connection, incoming) = FramedConnection::start(socket, Side::Caller, options);
        tokio::spawn(record_unexpected_response(
            connection.clone(),
            incoming,
            recorder.clone(),
            self.dispatcher,
        ));
        *shared = Some(connection.clone());
        Some(connection)
    }
}

/// Waits for the end of a connection, and records if a response to no request was its cause.
async fn record_unexpected_response(
    connection: FramedConnection,
    mut incoming: Incoming,
    recorder: Recorder,
    dispatcher: usize,
) {
    while incoming.next().await.is_some() {}
    connection.closed().await;
    if connection.close_reason().contains(RESPONSE_AFTER_END) {
        recorder.record(TraceEvent::UnexpectedResponse { dispatcher });
    }
}
