//! The metrics listener: serves one scrape per connection, and returns the metrics as text for any request.
use super::connection_registry::ConnectionPermit;
use super::frontend_context::FrontendContext;
use bytes::BytesMut;
use pointspindle_protocol::http::HttpResponse;
use pointspindle_transport::Socket;
use std::time::Duration;

/// Maximum time for the request of a scrape to arrive, and likewise for its response to be written.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);
const REQUEST_BUFFER_BYTES: usize = 2048;

/// Answers the scrape and closes the connection.
pub(super) async fn serve(context: FrontendContext, socket: Socket, _permit: ConnectionPermit) {
    let (read, write) = socket.split();
    let mut request = BytesMut::with_capacity(REQUEST_BUFFER_BYTES);
    let read = tokio::time::timeout(SCRAPE_TIMEOUT, read.read_buf(&mut request)).await;
    if !matches!(read, Ok(Ok(n)) if n > 0) {
        return;
    }
    let text = context.core.metrics.text();
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8".to_owned();
    let response = HttpResponse {
        status: 200,
        length: Some(text.len() as u64),
        close: true,
        fields: vec![("content-type", content_type)],
    };
    let mut out = BytesMut::new();
    response.write(&mut out);
    out.extend_from_slice(text.as_bytes());
    let _ = tokio::time::timeout(SCRAPE_TIMEOUT, write.write_all(&out)).await;
    write.shutdown();
}
