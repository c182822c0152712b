//! The client's side of a request on the framed protocol.
use super::super::call_attempts::{CachedResponse, MAX_CACHED_RESPONSE_BYTES};
use super::super::exchange::{ClientDisconnected, ClientStream};
use crate::client_pace::ClientPace;
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_protocol::{ErrorHead, ResponseHead, WireStatus};
use pointspindle_transport::Responder;
use prometheus_client::metrics::counter::Counter;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Records a response as it is sent, as long as it is small enough to be cached.
#[derive(Default)]
pub(super) struct ResponseRecorder {
    head: Option<ResponseHead>,
    body: Vec<Bytes>,
    bytes: usize,
    ended: bool,
}

impl ResponseRecorder {
    fn add_data(&mut self, data: &Bytes) {
        self.bytes += data.len();
        if self.bytes <= MAX_CACHED_RESPONSE_BYTES {
            self.body.push(data.clone());
        } else {
            self.body = Vec::new();
        }
    }

    /// Returns the response if it is complete and small enough to be cached.
    pub fn into_complete(self) -> Option<CachedResponse> {
        let cacheable = self.ended && self.bytes <= MAX_CACHED_RESPONSE_BYTES;
        let head = self.head.filter(|_| cacheable)?;
        Some(CachedResponse {
            head,
            body: self.body,
        })
    }
}

/// The stream of one request. Dropping it without a final response cancels the stream.
pub(super) struct FramedClient {
    /// Present until the final response takes it.
    pub responder: Option<Responder>,
    pub pace: ClientPace,
    pub slow_clients: Counter,
    /// Notified when the client has made a later attempt of the call.
    pub superseded: Option<Arc<Notify>>,
    pub recorder: Option<ResponseRecorder>,
}

impl FramedClient {
    fn open_responder(&mut self) -> Result<&mut Responder, ClientDisconnected> {
        self.responder.as_mut().ok_or(ClientDisconnected)
    }

    async fn finish_with_error(
        &mut self,
        status: WireStatus,
        may_have_run: bool,
        retry_after_us: Option<Micros>,
        detail: &str,
    ) {
        let Some(responder) = self.responder.take() else {
            return;
        };
        let error = ErrorHead {
            status: status as i32,
            may_have_run,
            retry_after_us,
            detail: detail.to_owned(),
            ..Default::default()
        };
        let _ = responder.error(error).await;
    }
}

impl ClientStream for FramedClient {
    async fn disconnected(&mut self) {
        let Some(responder) = &self.responder else {
            return std::future::pending().await;
        };
        match &self.superseded {
            Some(superseded) => tokio::select! {
                _ = responder.cancelled() => {}
                _ = superseded.notified() => {}
            },
            None => responder.cancelled().await,
        }
    }

    async fn head(&mut self, head: &ResponseHead) -> Result<(), ClientDisconnected> {
        if let Some(recorder) = &mut self.recorder {
            recorder.head = Some(head.clone());
        }
        self.open_responder()?
            .head(head.clone())
            .await
            .map_err(|_| ClientDisconnected)
    }

    async fn data(&mut self, data: Bytes) -> Result<(), ClientDisconnected> {
        if let Some(recorder) = &mut self.recorder {
            recorder.add_data(&data);
        }
        let bytes = data.len() as u64;
        let superseded = self.superseded.clone();
        let max_wait = self.pace.max_wait();
        let timeout = max_wait.map_or(Duration::MAX, Duration::from_micros);
        let started_at = Instant::now();
        let sending = tokio::time::timeout(timeout, self.open_responder()?.data(data));
        let sent = match superseded {
            Some(superseded) => tokio::select! {
                sent = sending => sent,
                _ = superseded.notified() => return Err(ClientDisconnected),
            },
            None => sending.await,
        };
        let taken = if sent.is_ok() { bytes } else { 0 };
        let duration = started_at.elapsed().as_micros() as Micros;
        if !self.pace.record_read(taken, duration) {
            self.slow_clients.inc();
            return Err(ClientDisconnected);
        }
        sent.map_err(|_| ClientDisconnected)?
            .map_err(|_| ClientDisconnected)
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        Ok(())
    }

    async fn end(&mut self) -> Result<(), ClientDisconnected> {
        if let Some(recorder) = &mut self.recorder {
            recorder.ended = true;
        }
        let responder = self.responder.take().ok_or(ClientDisconnected)?;
        responder.end(None).await.map_err(|_| ClientDisconnected)
    }

    async fn reject(&mut self, after: Option<Micros>) {
        let detail = "refused: a retry is harmless";
        self.finish_with_error(WireStatus::Refused, false, after, detail)
            .await;
    }

    async fn fail(&mut self) {
        let detail = "failed: it may have run";
        self.finish_with_error(WireStatus::Failed, true, None, detail)
            .await;
    }

    async fn abort(&mut self) {
        let detail = "the answer broke off";
        self.finish_with_error(WireStatus::Failed, true, None, detail)
            .await;
    }
}
