//! Resumption of a response whose endpoint died in the middle of the body: the remainder is requested elsewhere.
use super::super::core_handle::EndpointTransport;
use super::attempts::AttemptsOutcome;
use super::{ClientStream, Exchange, OpenRequestGuard};
use crate::core::{ClientRequest, Input};
use pointspindle::Micros;
use pointspindle_protocol::ResponseHead;

/// Resumptions of one response.
const MAX_RESUMPTIONS: u32 = 3;
/// With less time left than this no resumption is begun.
const MIN_RESUMPTION_TIME_US: Micros = 50_000;

/// How far a response has been delivered. Exists only for responses whose version and end are known.
pub(super) struct DeliveryProgress {
    validator: String,
    complete_size: u64,
    /// Offset of the next byte.
    next: u64,
    /// Offset behind the last byte that the client requested.
    end: u64,
    resumptions: u32,
}

impl DeliveryProgress {
    /// None where the version is not known by a strong validator, or the end is not known.
    fn of(head: &ResponseHead) -> Option<Self> {
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

    /// Bytes that the client still lacks.
    pub fn missing_bytes(&self) -> u64 {
        self.end - self.next
    }

    /// The client was sent so many more bytes.
    pub fn add_delivered(&mut self, bytes: u64) {
        self.next += bytes;
    }

    fn may_resume(&self) -> bool {
        self.resumptions < MAX_RESUMPTIONS && self.next < self.end
    }

    /// Whether a response is the remainder: of the same version, from the next byte to the end.
    fn is_continued_by(&self, head: &ResponseHead) -> bool {
        head.validator == self.validator
            && head.range_first == Some(self.next)
            && head.size == Some(self.missing_bytes())
            && head.complete_size == Some(self.complete_size)
    }
}

impl<S: EndpointTransport> Exchange<'_, S> {
    /// The progress to keep for a response; none where it cannot be resumed. Uncacheable work is not requested in parts.
    pub(super) fn resumable_progress(&self, head: &ResponseHead) -> Option<DeliveryProgress> {
        let cacheable = !self.core.settings.router.classes[self.class].uncacheable;
        let head_only = self.incoming.head_template.head_only;
        DeliveryProgress::of(head).filter(|_| cacheable && !head_only)
    }

    /// The remainder of a broken response, from elsewhere: a request of its own to the core, for the bytes from the next one
    /// on and under the same validator. The broken attempt is over by now, so no two are under way.
    pub(super) async fn resume<C: ClientStream>(
        &mut self,
        client: &mut C,
        progress: &mut Option<DeliveryProgress>,
    ) -> AttemptsOutcome<S::Call> {
        let Some(progress) = progress.as_mut().filter(|p| p.may_resume()) else {
            return AttemptsOutcome::Failed;
        };
        let elapsed = self.started_at.elapsed().as_micros() as Micros;
        let time_left = self.incoming.request.time_left.saturating_sub(elapsed);
        if time_left < MIN_RESUMPTION_TIME_US {
            tracing::info!("no time is left to resume the response");
            return AttemptsOutcome::Failed;
        }
        progress.resumptions += 1;
        if !self.open_remainder_request(progress, time_left) {
            return AttemptsOutcome::Failed;
        }
        let outcome = self.run_attempts(client).await;
        self.checked_remainder(outcome, progress)
    }

    /// Replaces the request at the core by one for the remainder. False if the request budget has no place for it.
    fn open_remainder_request(&mut self, progress: &DeliveryProgress, time_left: Micros) -> bool {
        self.core.close_request(self.open_request.id);
        let opened = self.core.open_request(ClientRequest {
            time_left,
            ..self.incoming.request.clone()
        });
        let Ok((id, commands)) = opened else {
            return false;
        };
        self.attempts_before += self.core.settings.router.max_attempts;
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

    /// Accepts an answer only if it is the remainder of what the client has received.
    fn checked_remainder(
        &self,
        outcome: AttemptsOutcome<S::Call>,
        progress: &DeliveryProgress,
    ) -> AttemptsOutcome<S::Call> {
        let DeliveryProgress { next, end, .. } = *progress;
        let AttemptsOutcome::Answered(answer) = outcome else {
            tracing::info!(next, end, "no endpoint has the remainder of the response");
            return outcome;
        };
        if progress.is_continued_by(&answer.head) {
            self.core.metrics.resumed_responses.inc();
            tracing::info!(next, end, "response resumed from another endpoint");
            return AttemptsOutcome::Answered(answer);
        }
        // Another version, or one without ranges: the bytes would not belong together.
        drop(answer.call);
        tracing::info!(
            wanted = progress.validator,
            got = answer.head.validator,
            first = answer.head.range_first,
            "response not resumed: the remainder is of another version"
        );
        self.core
            .apply(Input::ClientDisconnected(self.open_request.id));
        AttemptsOutcome::Failed
    }
}
