//! The reply to a connection that is not admitted, in the protocol of its listener.
use bytes::BytesMut;
use pointspindle::Micros;
use pointspindle_protocol::http::HttpResponse;
use pointspindle_protocol::streams::Side;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Socket};
use std::time::Duration;

/// Time for a rejected client to take its reply.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are read of a rejected client's request before the connection is closed.
const MAX_UNREAD_BYTES: usize = 16 * 1024;
const READ_BUFFER_BYTES: usize = 1024;

/// The protocol that clients of a listener speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientProtocol {
    Http,
    Framed,
}

/// Notifies a client when it may reconnect. Nothing is owed to the connection afterwards.
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
    // A close with bytes unread would reset the connection before the client has read the reply.
    let mut unread_bytes = MAX_UNREAD_BYTES;
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    while let Ok(taken @ 1..) = read.read_buf(&mut buffer).await {
        buffer.clear();
        unread_bytes = unread_bytes.saturating_sub(taken);
        if unread_bytes == 0 {
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
    let (connection, _incoming) = FramedConnection::start(socket, Side::Answerer, options);
    connection.goaway(&format!(
        "too many connections; come back after {retry_after_ms} ms"
    ));
    connection.close("turned away");
    connection.flushed().await;
}
