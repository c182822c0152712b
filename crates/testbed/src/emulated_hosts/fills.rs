//! Runs a fill over a socket: requests the object from the source and reports the response to the model.
use super::conversions;
use super::hosts::EmulatedHosts;
use crate::content::BodyChecker;
use pointspindle::Micros;
use pointspindle_cache_model::{
    CachedCopy, FillId, FillOutcome, HostId, ModelInput, ModelRequest, ModelResponse,
};
use pointspindle_protocol::ResponseHead;
use pointspindle_transport::{CallEnd, ResponsePart};

/// The remaining time that a fill announces to its source, in microseconds; the model's own fill timeout is shorter.
const FILL_TIME_LEFT_US: u64 = 10_000_000;
const STATUS_OK: u16 = 200;

/// Runs a fill until it ends.
pub(super) async fn run_fill(
    hosts: EmulatedHosts,
    host: HostId,
    fill: FillId,
    source: String,
    model_request: ModelRequest,
) {
    let outcome = fetch(&hosts, host, fill, &source, &model_request).await;
    hosts.apply(ModelInput::FillEnded {
        host,
        fill,
        outcome,
    });
}

async fn fetch(
    hosts: &EmulatedHosts,
    host: HostId,
    fill: FillId,
    source: &str,
    model_request: &ModelRequest,
) -> FillOutcome {
    let Ok(connection) = hosts.fill_connection(host, source).await else {
        return FillOutcome::Unreachable;
    };
    let request =
        conversions::fill_request(model_request, &hosts.shared().classes, FILL_TIME_LEFT_US);
    let Ok(mut call) = connection.call(request) else {
        return FillOutcome::Unreachable;
    };
    let requested_at = hosts.now();
    let mut checker = BodyChecker::new(model_request.object_number, model_request.part);
    let mut has_body = true;
    while let Some(part) = call.next().await {
        match part {
            ResponsePart::Head(head) => {
                has_body = !(head.not_modified || head.origin_status != 0 || head.size == Some(0));
                let response = model_response(requested_at, &head, model_request);
                hosts.apply(ModelInput::FillResponse {
                    host,
                    fill,
                    response,
                });
            }
            ResponsePart::Data(data) => checker.update(&data),
            ResponsePart::End(CallEnd::Complete(_)) => return completed(has_body, &checker),
            ResponsePart::End(CallEnd::Error(error)) => {
                return FillOutcome::Rejected {
                    status: error.status(),
                    cache_status: error.cache_status(),
                };
            }
            ResponsePart::End(CallEnd::Broken(_) | CallEnd::NotSent) => break,
        }
    }
    FillOutcome::Unreachable
}

/// Returns the outcome of a complete response; a copy with wrong bytes counts as an unreachable source.
fn completed(has_body: bool, checker: &BodyChecker) -> FillOutcome {
    if has_body && checker.finish().version.is_none() {
        return FillOutcome::Unreachable;
    }
    FillOutcome::Complete
}

/// Converts the head of a response to the model's type. The age of the copy counts from the time of the request
/// (RFC 9111, 4.2.3): the source may have read the copy and determined its age long before the head arrived, and a
/// purge may have happened in between.
fn model_response(
    requested_at: Micros,
    head: &ResponseHead,
    model_request: &ModelRequest,
) -> ModelResponse {
    let version = conversions::version_of_validator(&head.validator)
        .or(model_request.cached_version)
        .unwrap_or(0);
    let status_code = match head.origin_status {
        0 => STATUS_OK,
        status => status as u16,
    };
    ModelResponse {
        cache_status: head.cache_status(),
        copy: CachedCopy {
            version,
            size: head.size.unwrap_or(0),
            validated_at: requested_at.saturating_sub(head.age_us),
        },
        age: head.age_us,
        freshness_left: head.fresh_left_us,
        not_modified: head.not_modified,
        load: head.load.unwrap_or_default(),
        status_code,
    }
}
