//! Resumption of a response whose endpoint failed in the middle of the body: requests the remainder from another
//! endpoint.
use super::super::core_handle::EndpointTransport;
use super::attempts::AttemptsOutcome;
use super::{ClientStream, Exchange, OpenRequestGuard};
use crate::core::{ClientRequest, Input};
use pointspindle::Micros;
use pointspindle_protocol::ResponseHead;

/// Maximum number of resumptions of one response.
const MAX_RESUMPTIONS: u32 = 3;
/// A resumption is not started with less time left than this.
const MIN_RESUMPTION_TIME_US: Micros = 50_000;

/// Delivery progress of a response. Exists only for responses whose version and size are known.
pub(super) struct DeliveryProgress {
    validator: String,
    complete_size: u64,
    /// Offset of the next byte to deliver.
    next: u64,
    /// Offset past the last byte that the client requested.
    end: u64,
    resumptions: u32,
}

impl DeliveryProgress {
    /// Returns `None` if the response has no strong validator or its size is not known.
    fn from_head(head: &ResponseHead) -> Option<Self> {
        let strong = !head.validator.is_empty() && !head.validator.starts_with("W/");
        let size = head
            .size
            .filter(|_| strong && head.origin_status == 0 && !head.not_modified)?;
        let first = head.range_first.unwrap_or(0);
        let complete_size = match head.range_first {
            Some(_) => head.complete_size?,
            None => size,
        };
        Some(Self {
            validator: head.validator.clone(),
            complete_size,
            next: first,
            end: first + size,
            resumptions: 0,
        })
    }

    /// Number of bytes that have not been delivered yet.
    pub fn missing_bytes(&self) -> u64 {
        self.end - self.next
    }

    /// Records that `bytes` more bytes have been delivered to the client.
    pub fn add_delivered(&mut self, bytes: u64) {
        self.next += bytes;
    }

    fn can_resume(&self) -> bool {
        self.resumptions < MAX_RESUMPTIONS && self.next < self.end
    }

    /// Whether a response is the remainder: the same version, from the next byte to the end.
    fn is_remainder(&self, head: &ResponseHead) -> bool {
        head.validator == self.validator
            && head.range_first == Some(self.next)
            && head.size == Some(self.missing_bytes())
            && head.complete_size == Some(self.complete_size)
    }
}

impl<S: EndpointTransport> Exchange<'_, S> {
    /// Returns the initial progress of a response, or `None` if it cannot be resumed. Uncacheable responses are never
    /// requested in parts.
    pub(super) fn initial_progress(&self, head: &ResponseHead) -> Option<DeliveryProgress> {
        let cacheable = !self.core.settings.router.classes[self.class].uncacheable;
        let head_only = self.incoming.head_template.head_only;
        DeliveryProgress::from_head(head).filter(|_| cacheable && !head_only)
    }

    /// Requests the remainder of an interrupted response from another endpoint. It is a separate request to the core,
    /// for the bytes from the next one on and with the same validator. The failed attempt has ended by then, so that at
    /// most one attempt is in progress.
    pub(super) async fn resume<C: ClientStream>(
        &mut self,
        client: &mut C,
        progress: &mut Option<DeliveryProgress>,
    ) -> AttemptsOutcome<S::Call> {
        let Some(progress) = progress.as_mut().filter(|p| p.can_resume()) else {
            return AttemptsOutcome::Failed;
        };
        let elapsed = self.started_at.elapsed().as_micros() as Micros;
        let time_left = self.incoming.request.time_left.saturating_sub(elapsed);
        if time_left < MIN_RESUMPTION_TIME_US {
            tracing::info!("response not resumed: too little time left");
            return AttemptsOutcome::Failed;
        }
        progress.resumptions += 1;
        if !self.open_remainder_request(progress, time_left) {
            return AttemptsOutcome::Failed;
        }
        let outcome = self.run_attempts(client).await;
        self.verify_remainder(outcome, progress)
    }

    /// Replaces the core's request with one for the remainder. Returns false if that would exceed the request budget.
    fn open_remainder_request(&mut self, progress: &DeliveryProgress, time_left: Micros) -> bool {
        self.core.close_request(self.open_request.id);
        let opened = self.core.open_request(ClientRequest {
            time_left,
            ..self.incoming.request.clone()
        });
        let Ok((id, commands)) = opened else {
            return false;
        };
        self.previous_attempts += self.core.settings.router.max_attempts;
        self.open_request = OpenRequestGuard {
            core: self.core,
            id,
        };
        self.commands = commands;
        let template = &mut self.incoming.head_template;
        template.range = format!("bytes={}-{}", progress.next, progress.end - 1);
        template.if_range = progress.validator.clone();
        template.if_none_match = String::new();
        true
    }

    /// Accepts a response only if it is the remainder of what the client has received.
    fn verify_remainder(
        &self,
        outcome: AttemptsOutcome<S::Call>,
        progress: &DeliveryProgress,
    ) -> AttemptsOutcome<S::Call> {
        let DeliveryProgress { next, end, .. } = *progress;
        let AttemptsOutcome::ResponseStarted(response) = outcome else {
            tracing::info!(next, end, "no endpoint has the remainder of the response");
            return outcome;
        };
        if progress.is_remainder(&response.head) {
            self.core.metrics.resumed_responses.inc();
            tracing::info!(next, end, "response resumed from another endpoint");
            return AttemptsOutcome::ResponseStarted(response);
        }
        // The response is of another version or ignores the range: its bytes cannot be joined to the delivered ones.
        drop(response.call);
        tracing::info!(
            expected_validator = progress.validator,
            validator = response.head.validator,
            range_first = response.head.range_first,
            "response not resumed: the endpoint did not return the requested range of the same version"
        );
        self.core
            .apply(Input::ClientDisconnected(self.open_request.id));
        AttemptsOutcome::Failed
    }
}
