//! One request on the framed protocol: its class, its deduplication by call name, its exchange.
use super::super::call_attempts::{AttemptAdmission, CachedResponse, CallAttempt, Superseded};
use super::super::exchange::{self, IncomingRequest, RequestOutcome};
use super::super::frontend_context::FrontendContext;
use super::client::{FramedClient, ResponseRecorder};
use crate::client_pace::{Pace, PaceRule};
use crate::core::ClientRequest;
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_config::ListenSettings;
use pointspindle_protocol::{streams, ErrorHead, RequestHead, WireStatus};
use pointspindle_transport::Responder;
use tokio::time::Instant;

/// A call that finds the table of calls full may be retried after this.
const FULL_RETRY_AFTER_US: Micros = 1_000_000;

/// Answers a request; the responder gets exactly one end.
pub(super) async fn answer(context: FrontendContext, mut head: RequestHead, responder: Responder) {
    let received_at = Instant::now();
    let settings = &context.core.settings;
    let Some(class) = settings.classes.iter().position(|c| c.name == head.class) else {
        let detail = format!("no class {:?} here", head.class);
        return respond_error(responder, WireStatus::Failed, None, detail).await;
    };
    head.fetch = None;
    let call = std::mem::take(&mut head.call_id);
    let mut attempt = match admit_attempt(&context, &call).await {
        CallState::Unnamed => None,
        CallState::Admitted(attempt) => Some(attempt),
        CallState::Answered(response) => return replay(responder, response).await,
        CallState::Full => {
            let detail = "too many calls are known by name".to_owned();
            let retry_after = Some(FULL_RETRY_AFTER_US);
            return respond_error(responder, WireStatus::Refused, retry_after, detail).await;
        }
        CallState::Superseded => {
            let detail = "tried again".to_owned();
            return respond_error(responder, WireStatus::Refused, None, detail).await;
        }
    };
    let max_time = settings.classes[class].deadline_us;
    let waited = received_at.elapsed().as_micros() as Micros;
    let time_left = requested_time(&head, max_time).saturating_sub(waited);
    // Only what must not run twice is recorded: of all else a second response costs a cache hit.
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

/// The time that the client asks for, within its class's deadline.
fn requested_time(head: &RequestHead, max_time: Micros) -> Micros {
    if head.time_left_us == 0 {
        max_time
    } else {
        head.time_left_us.min(max_time)
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
    }
}

/// Stream credit comes in halves of a window, so less than one window is no sign of a slow client.
fn client_pace(settings: &ListenSettings) -> Pace {
    let min_bytes_per_s = settings.min_client_bytes_per_s;
    let time_for_stream_window = (u64::from(streams::STREAM_WINDOW) * 1_000_000)
        .checked_div(min_bytes_per_s)
        .unwrap_or(0);
    Pace::new(PaceRule {
        min_bytes_per_s,
        window: settings.pace_window_us.max(time_for_stream_window),
    })
}

/// A response that reached its end is cached, though the client may have left before.
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

/// What becomes of a request by the name of its call.
enum CallState {
    /// It has no name: nothing is deduplicated.
    Unnamed,
    Admitted(CallAttempt),
    Answered(CachedResponse),
    Full,
    Superseded,
}

/// Waits for the turn of a call's attempt; the attempts of the same call before it are ended first.
async fn admit_attempt(context: &FrontendContext, call: &str) -> CallState {
    if call.is_empty() {
        return CallState::Unnamed;
    }
    let mut attempt = match context.core.transport.call_attempts.begin(call) {
        AttemptAdmission::Full => return CallState::Full,
        AttemptAdmission::Answered(response) => return CallState::Answered(response),
        AttemptAdmission::Admitted(attempt) => attempt,
    };
    match attempt.wait_for_turn().await {
        Ok(None) => CallState::Admitted(attempt),
        Ok(Some(response)) => CallState::Answered(response),
        Err(Superseded) => CallState::Superseded,
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

/// Ends a request of which nothing has run.
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
