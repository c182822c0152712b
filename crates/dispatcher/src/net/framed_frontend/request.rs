//! One request on the framed protocol: its class, its deduplication by call id, and its exchange.
use super::super::call_attempts::{AttemptAdmission, CachedResponse, CallAttempt, Superseded};
use super::super::exchange::{self, IncomingRequest, RequestOutcome};
use super::super::frontend_context::FrontendContext;
use super::client::{FramedClient, ResponseRecorder};
use crate::client_pace::{ClientPace, PaceRule};
use crate::core::ClientRequest;
use bytes::Bytes;
use pointspindle::{IdempotencyKey, Micros};
use pointspindle_config::ListenSettings;
use pointspindle_protocol::{streams, ErrorHead, RequestHead, WireStatus};
use pointspindle_transport::Responder;
use tokio::time::Instant;

/// Time after which a client may retry a call that was rejected because the table of calls is full.
const CALL_TABLE_FULL_RETRY_AFTER_US: Micros = 1_000_000;

/// Answers a request. The responder is ended exactly once.
pub(super) async fn answer(context: FrontendContext, mut head: RequestHead, responder: Responder) {
    let received_at = Instant::now();
    let settings = &context.core.settings;
    let Some(class) = settings.classes.iter().position(|c| c.name == head.class) else {
        let detail = format!("no class {:?} here", head.class);
        return respond_error(responder, WireStatus::Failed, None, detail).await;
    };
    head.fetch = None;
    let call_id = std::mem::take(&mut head.call_id);
    let mut attempt = match admit_attempt(&context, &call_id).await {
        CallAdmission::WithoutCallId => None,
        CallAdmission::Admitted(attempt) => Some(attempt),
        CallAdmission::Answered(response) => return replay(responder, response).await,
        CallAdmission::Full => {
            let detail = "too many calls are known by name".to_owned();
            let retry_after = Some(CALL_TABLE_FULL_RETRY_AFTER_US);
            return respond_error(responder, WireStatus::Refused, retry_after, detail).await;
        }
        CallAdmission::Superseded => {
            let detail = "tried again".to_owned();
            return respond_error(responder, WireStatus::Refused, None, detail).await;
        }
    };
    let class_deadline = settings.classes[class].deadline_us;
    let waited = received_at.elapsed().as_micros() as Micros;
    let time_left = requested_time(&head, class_deadline).saturating_sub(waited);
    // Only responses to requests that must not run twice are recorded; repeating any other request costs a cache hit.
    let record = attempt.is_some() && settings.router.classes[class].uncacheable;
    let mut client = FramedClient {
        responder: Some(responder),
        pace: client_pace(&settings.listen),
        slow_clients: context.core.metrics.slow_clients.clone(),
        superseded: attempt.as_ref().map(|attempt| attempt.superseded.clone()),
        recorder: record.then(ResponseRecorder::default),
    };
    let incoming = IncomingRequest {
        request: client_request(class, &head, time_left),
        head_template: head,
        body: Bytes::new(),
    };
    let outcome = exchange::run(&context.core, incoming, &mut client).await;
    if let (Some(attempt), Some(recorder)) = (&mut attempt, client.recorder) {
        cache_response(attempt, recorder, outcome);
    }
}

/// Returns the time that the client requests, limited by the deadline of its class.
fn requested_time(head: &RequestHead, class_deadline: Micros) -> Micros {
    if head.time_left_us == 0 {
        class_deadline
    } else {
        head.time_left_us.min(class_deadline)
    }
}

fn client_request(class: usize, head: &RequestHead, time_left: Micros) -> ClientRequest {
    ClientRequest {
        class,
        object: head.object.clone(),
        part: head.part,
        group: head.group,
        time_left,
        size: head.size,
        idempotency_key: IdempotencyKey::from_text(&head.idempotency_key),
    }
}

/// Returns the pace required of a client. Stream credit is granted in halves of a stream window, so a gap of less than one
/// stream window does not mean that the client is slow. The pace window is therefore at least the time for one stream
/// window at the minimum rate.
fn client_pace(settings: &ListenSettings) -> ClientPace {
    let min_bytes_per_s = settings.min_client_bytes_per_s;
    let time_for_stream_window = (u64::from(streams::STREAM_WINDOW) * 1_000_000)
        .checked_div(min_bytes_per_s)
        .unwrap_or(0);
    ClientPace::new(PaceRule {
        min_bytes_per_s,
        window: settings.pace_window_us.max(time_for_stream_window),
    })
}

/// Caches a response that is complete, even if the client disconnected before its end.
fn cache_response(attempt: &mut CallAttempt, recorder: ResponseRecorder, outcome: RequestOutcome) {
    if !matches!(
        outcome,
        RequestOutcome::Served | RequestOutcome::ClientDisconnected
    ) {
        return;
    }
    if let Some(response) = recorder.into_complete() {
        attempt.cache(response);
    }
}

/// Decision about a request by its call id.
enum CallAdmission {
    /// The request has no call id and is not deduplicated.
    WithoutCallId,
    Admitted(CallAttempt),
    Answered(CachedResponse),
    Full,
    Superseded,
}

/// Waits until an attempt of a call may begin. Earlier attempts of the same call are ended first.
async fn admit_attempt(context: &FrontendContext, call_id: &str) -> CallAdmission {
    if call_id.is_empty() {
        return CallAdmission::WithoutCallId;
    }
    let mut attempt = match context.core.transport.call_attempts.begin(call_id) {
        AttemptAdmission::Full => return CallAdmission::Full,
        AttemptAdmission::Answered(response) => return CallAdmission::Answered(response),
        AttemptAdmission::Admitted(attempt) => attempt,
    };
    match attempt.wait_for_turn().await {
        Ok(None) => CallAdmission::Admitted(attempt),
        Ok(Some(response)) => CallAdmission::Answered(response),
        Err(Superseded) => CallAdmission::Superseded,
    }
}

async fn replay(mut responder: Responder, response: CachedResponse) {
    if responder.head(response.head).await.is_err() {
        return;
    }
    for piece in response.body {
        if responder.data(piece).await.is_err() {
            return;
        }
    }
    let _ = responder.end(None).await;
}

/// Ends a request that has not been executed.
async fn respond_error(
    responder: Responder,
    status: WireStatus,
    retry_after_us: Option<Micros>,
    detail: String,
) {
    let error = ErrorHead {
        status: status as i32,
        may_have_run: false,
        retry_after_us,
        detail,
        ..Default::default()
    };
    let _ = responder.error(error).await;
}
