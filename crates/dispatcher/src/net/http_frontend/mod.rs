//! Clients on HTTP/1.1: GET and HEAD, answered in order, with `Age`, `Cache-Status` (RFC 9211), `Proxy-Status`
//! (RFC 9209) and `Retry-After`.
mod client;
mod request;
#[cfg(test)]
mod tests;

use super::connection_registry::ConnectionPermit;
use super::exchange::{self, RequestOutcome};
use super::frontend_context::FrontendContext;
use client::HttpClient;
use pointspindle_protocol::http::{HttpError, HttpRequest};
use pointspindle_transport::Socket;
use std::time::Duration;
use tracing::Instrument;

/// Serves one client connection until it closes, is closed to admit another connection, or the dispatcher stops.
pub(super) async fn serve(context: FrontendContext, socket: Socket, permit: ConnectionPermit) {
    let slow_clients = context.core.metrics.slow_clients.clone();
    let mut client = HttpClient::new(socket, &context.core.settings.listen, slow_clients);
    loop {
        if !client.has_request() {
            let readable = tokio::select! {
                // Polled first, so that a request that has arrived is answered although its connection is to close.
                biased;
                readable = client.readable() => readable,
                _ = permit.close_requested() => return,
                _ = context.stopped() => return,
            };
            if readable.is_err() {
                return;
            }
        }
        // The future is boxed, so that an idle connection holds little more than its socket and its permit.
        match Box::pin(serve_request(&context, &permit, &mut client)).await {
            NextStep::KeepAlive => {}
            NextStep::Close => return,
        }
    }
}

/// What happens to a connection after a request.
enum NextStep {
    KeepAlive,
    Close,
}

/// Reads one request and answers it.
async fn serve_request(
    context: &FrontendContext,
    permit: &ConnectionPermit,
    client: &mut HttpClient,
) -> NextStep {
    let request = match read_request(context, client).await {
        Ok(request) => request,
        Err(NoRequest::NothingReceived) => return NextStep::KeepAlive,
        Err(NoRequest::Closed) => return NextStep::Close,
        Err(NoRequest::Invalid { status, reason }) => {
            client.reject_request(status, &reason).await;
            return NextStep::Close;
        }
    };
    permit.mark_busy();
    client.begin_request(&request, context.is_stopping());
    let span = tracing::info_span!(
        "request",
        path = %request.path,
        trace = request.trace.as_deref().unwrap_or_default()
    );
    let outcome = answer(context, request, client).instrument(span).await;
    let interrupted = matches!(
        outcome,
        Some(RequestOutcome::Truncated | RequestOutcome::ClientDisconnected)
    );
    if client.end_request() || interrupted {
        client.shutdown();
        return NextStep::Close;
    }
    permit.mark_idle();
    NextStep::KeepAlive
}

/// Reason why there is no request to answer.
enum NoRequest {
    /// No byte arrived before the timeout.
    NothingReceived,
    Closed,
    /// No further request can be read on the connection.
    Invalid {
        status: u16,
        reason: String,
    },
}

impl From<HttpError> for NoRequest {
    fn from(error: HttpError) -> Self {
        match error.status() {
            0 => Self::Closed,
            status => Self::Invalid {
                status,
                reason: error.to_string(),
            },
        }
    }
}

/// Reads the next request. From its first byte on, its head must be complete within the head timeout.
async fn read_request(
    context: &FrontendContext,
    client: &mut HttpClient,
) -> Result<HttpRequest, NoRequest> {
    if let Some(request) = client.take_pipelined_request() {
        return Ok((*request)?);
    }
    let timeout = Duration::from_micros(context.core.settings.listen.head_timeout_us);
    match tokio::time::timeout(timeout, client.next_request()).await {
        Ok(Some(request)) => Ok(request?),
        Ok(None) => Err(NoRequest::Closed),
        Err(_) if client.has_partial_request() => Err(NoRequest::Invalid {
            status: 408,
            reason: "the head did not come in time".to_owned(),
        }),
        Err(_) => Err(NoRequest::NothingReceived),
    }
}

/// Answers a request. Returns the outcome of its exchange, or `None` if no class serves the path.
async fn answer(
    context: &FrontendContext,
    request: HttpRequest,
    client: &mut HttpClient,
) -> Option<RequestOutcome> {
    let Some(incoming) = request::incoming_request(&context.core.settings, &request) else {
        let text = format!("no class serves {}\n", request.path);
        client.send_response(404, &text, vec![]).await;
        return None;
    };
    Some(exchange::run(&context.core, incoming, client).await)
}
