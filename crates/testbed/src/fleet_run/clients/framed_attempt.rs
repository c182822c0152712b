//! Runs an attempt over the framed protocol.
use super::attempt::{Attempt, NotSent};
use crate::content::BodyChecker;
use pointspindle_audit::trace::ClientOutcome;
use pointspindle_protocol::{RequestHead, WireCacheStatus, WireStatus};
use pointspindle_scenario::Idempotency;
use pointspindle_transport::{CallEnd, ResponsePart};

/// Sends the request and receives the response.
pub(super) async fn run_framed_attempt(attempt: &Attempt<'_>) -> Result<ClientOutcome, NotSent> {
    let connection = attempt
        .target
        .framed_connection(attempt.network, attempt.recorder)
        .await
        .ok_or(NotSent)?;
    let request = request_head(attempt);
    let sent_at = attempt.recorder.now();
    let mut call = connection.call(request).map_err(|_| NotSent)?;
    attempt.record_sent(sent_at);
    let mut response = FramedResponse::new(attempt);
    while let Some(part) = call.next().await {
        match part {
            ResponsePart::Head(head) => {
                response.stale = head.cache_status() == WireCacheStatus::Stale;
                response.size = head.size;
            }
            ResponsePart::Data(data) => response.checker.update(&data),
            ResponsePart::End(end) => return Ok(response.outcome(end)),
        }
    }
    Ok(ClientOutcome::ConnectionLost)
}

fn request_head(attempt: &Attempt<'_>) -> RequestHead {
    let call = attempt.call;
    let class = attempt.class;
    let trace = attempt.id.trace();
    let idempotency_key = match class.idempotency {
        Idempotency::Idempotent => String::new(),
        _ => trace.clone(),
    };
    RequestHead {
        object: call.object.clone(),
        part: call.part,
        group: call.group,
        class: class.name.clone(),
        time_left_us: class.deadline,
        size: attempt.announces_size.then_some(call.size),
        trace,
        idempotency_key,
        ..Default::default()
    }
}

/// The part of a response that has been received.
struct FramedResponse {
    checker: BodyChecker,
    stale: bool,
    /// The size of the body in bytes according to the head.
    size: Option<u64>,
}

impl FramedResponse {
    fn new(attempt: &Attempt<'_>) -> Self {
        Self {
            checker: BodyChecker::new(attempt.call.object_number, attempt.call.part),
            stale: false,
            size: None,
        }
    }

    fn outcome(&self, end: CallEnd) -> ClientOutcome {
        match end {
            CallEnd::Complete(_) => self.served(),
            CallEnd::Error(error) if error.status() == WireStatus::Refused => {
                ClientOutcome::Rejected {
                    retry_after: error.retry_after_us,
                }
            }
            CallEnd::Error(_) if self.size.is_some() => ClientOutcome::Truncated,
            CallEnd::Error(_) => ClientOutcome::Failed,
            CallEnd::Broken(_) | CallEnd::NotSent => ClientOutcome::ConnectionLost,
        }
    }

    fn served(&self) -> ClientOutcome {
        let body = self.checker.finish();
        let complete = self.size.is_none_or(|size| size == body.bytes);
        ClientOutcome::Served {
            version: body.version.filter(|_| complete),
            bytes: body.bytes,
            stale: self.stale,
        }
    }
}
