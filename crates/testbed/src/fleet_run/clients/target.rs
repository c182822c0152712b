//! A dispatcher as a target of client requests.
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
/// Part of the close reason of a framed connection that received a response on a stream that had ended.
const RESPONSE_AFTER_END: &str = "comes after its end";

/// The addresses of a dispatcher, and the clients' connections to it.
pub(in crate::fleet_run) struct Target {
    /// The dispatcher's number.
    pub dispatcher: usize,
    /// The address of the dispatcher's HTTP listener.
    pub http_address: SocketAddr,
    /// Idle HTTP connections to the dispatcher.
    pub http_pool: HttpPool,
    framed_address: SocketAddr,
    framed_connection: Mutex<Option<FramedConnection>>,
}

impl Target {
    /// Creates a target without open connections.
    pub fn new(dispatcher: usize, http_address: SocketAddr, framed_address: SocketAddr) -> Self {
        Self {
            dispatcher,
            http_address,
            http_pool: HttpPool::default(),
            framed_address,
            framed_connection: Mutex::new(None),
        }
    }

    /// Returns the framed connection that all clients share; opens one if none is usable. Returns `None` if the
    /// dispatcher cannot be reached.
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

/// Waits for the close of a connection and records an unexpected response if that was the reason for the close.
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
