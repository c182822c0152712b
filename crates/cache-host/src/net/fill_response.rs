//! Responses that are served from a running fill.
use super::byte_selection::{select_bytes, ByteSelection};
use super::fill_stream::{FillEnd, FillStreamPart, FillStreamReader};
use super::fill_task::{ActiveFill, FillTask};
use super::request::{error_head, FillPlan, Outcome, Request, UnansweredRequest};
use crate::fill_table::FillId;
use bytes::Bytes;
use pointspindle_protocol::{
    ErrorHead, FetchHead, RequestHead, ResponseHead, WireCacheStatus, WireStatus,
};
use pointspindle_transport::Responder;
use std::sync::Arc;

/// `max_age_us` in the request of a revalidation. It makes the source revalidate its own copy, which may be as stale as
/// this host's.
const REVALIDATION_MAX_AGE_US: u64 = 1;

fn unreported_error(may_have_run: bool, detail: &str) -> ErrorHead {
    let unreported = WireCacheStatus::Unreported;
    error_head(WireStatus::Error, unreported, may_have_run, detail)
}

/// Returns the part of `data` that belongs to the selection. `data` starts at offset `start` of the body.
fn selected_part(data: &Bytes, start: u64, selection: &ByteSelection) -> Bytes {
    let end = start + data.len() as u64;
    let first = selection.from.clamp(start, end) - start;
    let last = selection.end().clamp(start, end) - start;
    data.slice(first as usize..last as usize)
}

impl Request {
    /// Starts a fill and serves the response from it.
    pub(super) async fn fill(
        &self,
        responder: Responder,
        fill: FillId,
        mut plan: FillPlan,
    ) -> Outcome {
        self.shared.update_hit_ratio(false);
        let validator = plan
            .found
            .take()
            .map(|found| found.meta.validator.clone())
            .filter(|validator| !validator.is_empty());
        let is_conditional = validator.is_some();
        let Some(reader) = self.spawn_fill(fill, &plan, validator, false) else {
            let error = unreported_error(true, "fill ended before it could be read");
            return Err(UnansweredRequest::new(responder, error));
        };
        if is_conditional {
            if let Ok(head) = reader.head().await {
                if head.not_modified {
                    // The source has confirmed the stored copy, so that copy is served.
                    if let Some(found) = self.find_copy(plan.uncacheable).await {
                        let status = WireCacheStatus::try_from(head.cache_status)
                            .unwrap_or(WireCacheStatus::Filled);
                        return self.serve_cached(responder, found, status).await;
                    }
                }
            }
        }
        self.serve_from_fill(responder, reader, None).await
    }

    /// Starts the task of a fill. Returns the first reader of its stream, unless the fill has already ended.
    pub(super) fn spawn_fill(
        &self,
        fill: FillId,
        plan: &FillPlan,
        validator: Option<String>,
        revalidates: bool,
    ) -> Option<FillStreamReader> {
        let stream = self.shared.fill_stream(fill)?;
        let reader = stream.reader();
        let active = ActiveFill {
            shared: self.shared.clone(),
            fill,
            stream,
        };
        let task = FillTask {
            source: plan.request.source.clone().unwrap_or_default(),
            retention_rank: plan.request.retention_rank,
            key: plan.request.key,
            uncacheable: plan.uncacheable,
            request: self.source_request(plan, validator, revalidates),
        };
        tokio::spawn(task.run(active));
        reader
    }

    /// Returns the request that is sent to the source.
    fn source_request(
        &self,
        plan: &FillPlan,
        validator: Option<String>,
        revalidates: bool,
    ) -> RequestHead {
        let max_age_us = if revalidates {
            REVALIDATION_MAX_AGE_US
        } else {
            plan.request.max_age.unwrap_or(0)
        };
        let fetch = FetchHead {
            source: String::new(),
            retention_rank: plan.request.retention_rank,
            max_age_us,
            coalesce: plan.request.coalesce && !revalidates,
            only_if_cached: plan.request.only_if_cached,
            revalidate: false,
        };
        let head = &self.head;
        RequestHead {
            object: head.object.clone(),
            part: head.part,
            group: head.group,
            class: head.class.clone(),
            time_left_us: self.shared.settings.fill_timeout_us,
            fetch: Some(fetch),
            trace: head.trace.clone(),
            attempt: head.attempt,
            idempotency_key: head.idempotency_key.clone(),
            if_none_match: validator.unwrap_or_default(),
            head_only: plan.uncacheable && head.head_only,
            ..RequestHead::default()
        }
    }

    /// Serves the response from a running fill; `status`, if given, replaces the cache status of its head.
    pub(super) async fn serve_from_fill(
        &self,
        responder: Responder,
        reader: FillStreamReader,
        status: Option<WireCacheStatus>,
    ) -> Outcome {
        let head = tokio::select! {
            head = reader.head() => head,
            () = responder.cancelled() => return Ok(()),
            () = tokio::time::sleep(self.time_left()) => {
                let unreachable = WireCacheStatus::SourceUnreachable;
                let detail = "no response from the source in time";
                let error = error_head(WireStatus::Error, unreachable, true, detail);
                return Err(UnansweredRequest::new(responder, error));
            }
        };
        let mut head = match head {
            Ok(head) => Arc::unwrap_or_clone(head),
            Err(FillEnd::Failed(error)) => return Err(UnansweredRequest::new(responder, *error)),
            Err(FillEnd::Complete) => {
                let error = unreported_error(true, "response without a head");
                return Err(UnansweredRequest::new(responder, error));
            }
        };
        if let Some(status) = status {
            head.cache_status = status as i32;
        }
        let (head, selection) = select_bytes(head, &self.head);
        self.send_fill(responder, reader, head, selection).await
    }

    async fn send_fill(
        &self,
        mut responder: Responder,
        reader: FillStreamReader,
        head: ResponseHead,
        selection: ByteSelection,
    ) -> Outcome {
        let is_bodyless = head.not_modified || head.unsatisfiable || self.head.head_only;
        let mut position: u64 = 0;
        if responder.head(self.with_load(head)).await.is_err() {
            return Ok(());
        }
        while !is_bodyless && !selection.ends_before(position) {
            let part = tokio::select! {
                part = reader.next() => part,
                () = responder.cancelled() => return Ok(()),
            };
            match part {
                FillStreamPart::Data(data) => {
                    let piece = selected_part(&data, position, &selection);
                    position += data.len() as u64;
                    self.shared.count(|c| c.bytes_out += piece.len() as u64);
                    if !piece.is_empty() && responder.data(piece).await.is_err() {
                        return Ok(());
                    }
                }
                FillStreamPart::End(FillEnd::Complete) => break,
                FillStreamPart::End(FillEnd::Failed(error)) => {
                    return Err(UnansweredRequest::new(responder, *error));
                }
                FillStreamPart::TooSlow => {
                    let detail = "reader too slow for the shared fill";
                    return Err(UnansweredRequest::new(
                        responder,
                        unreported_error(false, detail),
                    ));
                }
            }
        }
        let _ = responder.end(Some(self.shared.load())).await;
        Ok(())
    }
}
