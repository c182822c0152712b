//! A request in flight, as its owner sees it.
use super::state::{RequestLoss, RequestProgress, RequestResult};
use super::Connection;
use pointspindle_platform_protocol::line_protocol::CacheResponse;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A queued request. Dropped before its end, it is cancelled.
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

    /// Returns when the request is written completely; an error: it never was.
    pub async fn written(&mut self) -> Result<(), RequestLoss> {
        let Some(written) = self.written.as_mut() else {
            return Ok(());
        };
        let outcome = written.await;
        self.written = None;
        outcome.map_err(|_| {
            self.has_ended = true;
            RequestLoss::NotSent
        })
    }

    /// Returns how the request ends.
    pub async fn response(&mut self) -> Result<CacheResponse, RequestLoss> {
        let result = (&mut self.result).await;
        self.has_ended = true;
        result.unwrap_or(Err(RequestLoss::ConnectionBroken))
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.has_ended {
            self.connection.cancel(&self.id);
        }
    }
}
