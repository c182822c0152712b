//! The owner's handle of a request in flight.
use super::state::{RequestError, RequestProgress, RequestResult};
use super::Connection;
use pointspindle_platform_protocol::line_protocol::CacheResponse;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Handle of a queued request. Dropping it before the request has ended cancels the request.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    connection: Arc<Connection>,
    id: String,
    written: Option<oneshot::Receiver<()>>,
    result: oneshot::Receiver<RequestResult>,
    has_ended: bool,
}

impl InFlightRequest {
    pub(super) fn new(connection: Arc<Connection>, id: String, progress: RequestProgress) -> Self {
        Self {
            connection,
            id,
            written: Some(progress.written),
            result: progress.result,
            has_ended: false,
        }
    }

    /// Waits until the request is written completely. Returns an error if it was not.
    pub async fn written(&mut self) -> Result<(), RequestError> {
        let Some(written) = self.written.as_mut() else {
            return Ok(());
        };
        let outcome = written.await;
        self.written = None;
        outcome.map_err(|_| {
            self.has_ended = true;
            RequestError::NotSent
        })
    }

    /// Waits for the response, or for the error that ends the request.
    pub async fn response(&mut self) -> Result<CacheResponse, RequestError> {
        let result = (&mut self.result).await;
        self.has_ended = true;
        result.unwrap_or(Err(RequestError::ConnectionBroken))
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.has_ended {
            self.connection.cancel(&self.id);
        }
    }
}
