//! Task of one fill: fetches a response from a source, stores it and passes it to the readers of the fill's stream.
use super::fill_sources::{SourceFailure, SourceResponse, HOST_ORIGIN};
use super::fill_stream::{FillEnd, FillStream};
use super::host_state::Shared;
use super::request::error_head;
use crate::fill_table::FillId;
use bytes::Bytes;
use pointspindle_protocol::{ErrorHead, RequestHead, ResponseHead, WireCacheStatus, WireStatus};
use pointspindle_store::{Fill, Key, Meta};
use std::sync::Arc;
use std::time::Duration;

/// A running fill. When dropped, it ends its stream and leaves the fill table, also if its task is aborted.
pub(super) struct ActiveFill {
    pub shared: Arc<Shared>,
    pub fill: FillId,
    pub stream: Arc<FillStream>,
}

impl Drop for ActiveFill {
    fn drop(&mut self) {
        // This has no effect on a stream that has already ended.
        let error = error_head(
            WireStatus::Error,
            WireCacheStatus::SourceUnreachable,
            true,
            "the fill was aborted",
        );
        self.stream.end(FillEnd::Failed(Box::new(error)));
        self.shared.end_fill(self.fill);
    }
}

/// Parameters of a fill: what it fetches, and how it stores the response.
pub(super) struct FillTask {
    /// Address of a host, or [`HOST_ORIGIN`].
    pub source: String,
    /// Rank of the response for retention in the store; 0 if it is not stored.
    pub retention_rank: u32,
    pub key: Key,
    pub uncacheable: bool,
    pub request: RequestHead,
}

impl FillTask {
    /// Runs the fill until it completes or fails.
    pub async fn run(self, active: ActiveFill) {
        active.shared.count(|c| c.fills += 1);
        let end = match self.fetch(&active).await {
            Ok(()) => FillEnd::Complete,
            Err(failure) => FillEnd::Failed(Box::new(self.error(failure))),
        };
        active.stream.end(end);
    }

    /// Fetches and relays the response. The fill timeout applies to the head and again to the body.
    async fn fetch(&self, active: &ActiveFill) -> Result<(), SourceFailure> {
        let shared = &active.shared;
        let timeout = Duration::from_micros(shared.settings.fill_timeout_us);
        let requested_at_ms = shared.clock.steady_ms();
        // The store's fill begins before the request is sent, so that a purge in the meantime also applies to the
        // response.
        let store_fill = shared
            .store
            .as_ref()
            .map(|store| store.begin(Meta::default()));
        let fetching = shared
            .sources
            .fetch(&self.source, self.request.clone(), self.uncacheable);
        let response = tokio::time::timeout(timeout, fetching)
            .await
            .map_err(|_| {
                SourceFailure::Interrupted(format!(
                    "{}: no response head within the fill timeout",
                    self.source
                ))
            })??;
        let relaying = self.relay_response(active, response, store_fill, requested_at_ms);
        tokio::time::timeout(timeout, relaying).await.map_err(|_| {
            SourceFailure::Interrupted("response not complete within the fill timeout".into())
        })?
    }

    /// Converts a failure to the error for the readers. The error says which part failed and whether the origin may
    /// have executed the request.
    fn error(&self, failure: SourceFailure) -> ErrorHead {
        let failed_source = if self.source == HOST_ORIGIN {
            WireCacheStatus::OriginFailed
        } else {
            WireCacheStatus::SourceUnreachable
        };
        match failure {
            SourceFailure::Unreachable(reason) => {
                error_head(WireStatus::Error, failed_source, false, &reason)
            }
            SourceFailure::Interrupted(reason) => {
                error_head(WireStatus::Error, failed_source, true, &reason)
            }
            SourceFailure::Reported(e) => {
                let cache_status = match (e.status(), e.cache_status()) {
                    (WireStatus::Miss, _) => WireCacheStatus::SourceMiss,
                    (_, WireCacheStatus::OriginFailed) => WireCacheStatus::OriginFailed,
                    (WireStatus::Rejected, _) => WireCacheStatus::SourceRejected,
                    _ => WireCacheStatus::SourceUnreachable,
                };
                error_head(WireStatus::Error, cache_status, e.may_have_run, &e.detail)
            }
        }
    }

    /// Returns the metadata of the copy to be stored.
    fn meta(&self, shared: &Shared, head: &ResponseHead, requested_at_ms: u64) -> Meta {
        // The age counts from the sending of the request, not from the arrival of the head (RFC 9111, 4.2.3).
        let now_ms = shared
            .store
            .as_ref()
            .map_or(requested_at_ms, |store| store.now_ms(requested_at_ms));
        let born_ms = now_ms.saturating_sub(head.age_us.div_ceil(1_000));
        let fresh_until_ms = head.fresh_left_us.map_or(0, |left| {
            (born_ms + (head.age_us + left) / 1_000).max(born_ms + 1)
        });
        Meta {
            object: self.request.object.clone(),
            part: self.request.part,
            group: self.request.group,
            validator: head.validator.clone(),
            content_type: head.content_type.clone(),
            size: head.size.unwrap_or(0),
            born_ms,
            fresh_until_ms,
            rank: self.retention_rank,
            ..Meta::default()
        }
    }

    /// Writes the response to the stream of the fill and, if it may be stored, to the store.
    async fn relay_response(
        &self,
        active: &ActiveFill,
        response: SourceResponse,
        store_fill: Option<Fill>,
        requested_at_ms: u64,
    ) -> Result<(), SourceFailure> {
        let shared = &active.shared;
        let SourceResponse {
            mut head,
            no_store,
            mut body,
        } = response;
        let meta = self.meta(shared, &head, requested_at_ms);
        let is_stored =
            self.retention_rank > 0 && !no_store && !self.uncacheable && head.origin_status == 0;
        head.cache_status = match head.cache_status() {
            WireCacheStatus::FilledByOrigin => WireCacheStatus::FilledByOrigin,
            _ => WireCacheStatus::Filled,
        } as i32;
        if head.not_modified {
            let renewed = shared.store.is_some() && self.renew(shared, meta).await;
            shared.count(|c| c.renewed += u64::from(renewed));
            active.stream.head(head);
            while body.next().await?.is_some() {}
            return Ok(());
        }
        let mut store_fill = store_fill.filter(|_| is_stored);
        if let Some(store_fill) = &mut store_fill {
            store_fill.set_meta(meta);
        }
        head.range_first = None;
        active.stream.head(head);
        let reader_timeout = Duration::from_micros(shared.settings.slow_reader_timeout_us);
        while let Some(data) = body.next().await? {
            shared.count(|c| c.bytes_in += data.len() as u64);
            store_fill = self.write(store_fill, data.clone()).await;
            if !active.stream.has_readers() && store_fill.is_none() {
                let reason = "fill aborted: no readers left and the response is not stored".into();
                return Err(SourceFailure::Interrupted(reason));
            }
            active.stream.data(data, reader_timeout).await;
        }
        self.commit(shared, store_fill).await;
        Ok(())
    }

    /// Writes to the store. Returns `None` if the response cannot be stored any further; the readers still receive it.
    async fn write(&self, store_fill: Option<Fill>, data: Bytes) -> Option<Fill> {
        let mut store_fill = store_fill?;
        let writing = move || store_fill.write(&data).map(|()| store_fill);
        match tokio::task::spawn_blocking(writing).await {
            Ok(Ok(store_fill)) => Some(store_fill),
            Ok(Err(e)) => {
                tracing::debug!(object = %self.request.object, error = %e, "response not stored");
                None
            }
            Err(e) => {
                tracing::error!(object = %self.request.object, error = %e, "response not stored");
                None
            }
        }
    }

    async fn commit(&self, shared: &Shared, store_fill: Option<Fill>) {
        let Some(store_fill) = store_fill else { return };
        let clock = shared.clock;
        let committed =
            tokio::task::spawn_blocking(move || store_fill.commit(clock.steady_ms())).await;
        if let Ok(Err(e)) = committed {
            tracing::debug!(object = %self.request.object, error = %e, "response not stored");
        }
    }

    /// Updates the stored copy after the source has confirmed it. Returns false if it is no longer stored, if another
    /// version is stored now or if the store fails.
    async fn renew(&self, shared: &Arc<Shared>, meta: Meta) -> bool {
        let shared = shared.clone();
        let key = self.key;
        let renewed = tokio::task::spawn_blocking(move || {
            let found = shared.stored_copy(&key)?;
            if !meta.validator.is_empty() && meta.validator != found.meta.validator {
                return Some(false);
            }
            let meta = Meta {
                validator: found.meta.validator.clone(),
                content_type: found.meta.content_type.clone(),
                size: found.meta.size,
                rank: meta.rank.max(found.meta.rank),
                ..meta
            };
            let store = shared.store.as_ref()?;
            store.renew(&found, meta, shared.clock.steady_ms()).ok()
        });
        renewed.await.ok().flatten().unwrap_or(false)
    }
}
