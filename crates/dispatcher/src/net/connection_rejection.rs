//! The reply to a connection that is not admitted, in the protocol of its listener.
use bytes::BytesMut;
use pointspindle::Micros;
use pointspindle_protocol::http::HttpResponse;
use pointspindle_protocol::streams::Side;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Socket};
use std::time::Duration;

/// Maximum time to send the reply to a rejected client.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes of a rejected client's request that are read and discarded before the connection is closed.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;
const READ_BUFFER_BYTES: usize = 1024;

/// The protocol that clients of a listener speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientProtocol {
    Http,
    Framed,
}

/// Tells a client when it may reconnect; the connection is closed afterwards.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionRejection {
    pub protocol: ClientProtocol,
    pub retry_after: Micros,
}

impl ConnectionRejection {
    /// Writes the reply and closes the connection, within [`REJECTION_TIMEOUT`].
    pub async fn send(self, socket: Socket) {
        let retry_after_ms = self.retry_after.div_ceil(1_000);
        let reply = async {
            match self.protocol {
                ClientProtocol::Http => send_http(socket, retry_after_ms).await,
                ClientProtocol::Framed => send_framed(socket, retry_after_ms).await,
            }
        };
        let _ = tokio::time::timeout(REJECTION_TIMEOUT, reply).await;
    }
}

async fn send_http(socket: Socket, retry_after_ms: u64) {
    let (read, write) = socket.split();
    let reply = http_reply(retry_after_ms);
    if write.write_all(&reply).await.is_err() {
        return;
    }
    write.shutdown();
    // Closing a socket with unread bytes would reset the connection before the client has read the reply.
    let mut remaining_bytes = MAX_DISCARDED_BYTES;
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    while let Ok(read_bytes @ 1..) = read.read_buf(&mut buffer).await {
        buffer.clear();
        remaining_bytes = remaining_bytes.saturating_sub(read_bytes);
        if remaining_bytes == 0 {
            return;
        }
    }
}

fn http_reply(retry_after_ms: u64) -> BytesMut {
    let text = "refused: too many connections\n";
    let retry_after_s = retry_after_ms.div_ceil(1_000).max(1);
    let response = HttpResponse {
        status: 503,
        length: Some(text.len() as u64),
        close: true,
        fields: vec![
            ("retry-after", retry_after_s.to_string()),
            ("x-come-back-ms", retry_after_ms.to_string()),
            ("x-outcome", "refused".to_owned()),
            ("content-type", "text/plain; charset=utf-8".to_owned()),
        ],
    };
    let mut out = BytesMut::new();
    response.write(&mut out);
    out.extend_from_slice(text.as_bytes());
    out
}

async fn send_framed(socket: Socket, retry_after_ms: u64) {
    let options = ConnectionOptions { max_streams: 1 };
    let (connection, _incoming) = FramedConnection::start(socket, Side::Responder, options);
    connection.goaway(&format!(
        "too many connections; come back after {retry_after_ms} ms"
    ));
    connection.close("connection rejected");
    connection.flushed().await;
}
