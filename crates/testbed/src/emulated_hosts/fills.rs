//! A fill over a socket: requests the object from the source as any peer would, and reports the response to the model.
use super::conversions;
use super::hosts::EmulatedHosts;
use crate::content::Checker;
use pointspindle::Micros;
use pointspindle_cache_model::{
    CachedCopy, FillId, FillOutcome, HostId, ModelInput, ModelRequest, ModelResponse,
};
use pointspindle_protocol::ResponseHead;
use pointspindle_transport::{CallEnd, ResponsePart};

/// The time that a fill announces to its source, in microseconds; the model gives up earlier by itself.
const FILL_TIME_LEFT_US: u64 = 10_000_000;
const STATUS_OK: u16 = 200;

/// Runs a fill to its end.
pub(super) async fn run_fill(
    hosts: EmulatedHosts,
    host: HostId,
    fill: FillId,
    source: String,
    wanted: ModelRequest,
) {
    let outcome = fetch(&hosts, host, fill, &source, &wanted).await;
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
    wanted: &ModelRequest,
) -> FillOutcome {
    let Ok(connection) = hosts.fill_connection(host, source).await else {
        return FillOutcome::Unreachable;
    };
    let request = conversions::fill_request(wanted, &hosts.shared().classes, FILL_TIME_LEFT_US);
    let Ok(mut call) = connection.call(request) else {
        return FillOutcome::Unreachable;
    };
    let requested_at = hosts.now();
    let mut checker = Checker::new(wanted.object_number, wanted.part);
    let mut has_body = true;
    while let Some(part) = call.next().await {
        match part {
            ResponsePart::Head(head) => {
                has_body = !(head.not_modified || head.origin_status != 0 || head.size == Some(0));
                let response = model_response(requested_at, &head, wanted);
                hosts.apply(ModelInput::FillResponse {
                    host,
                    fill,
                    response,
                });
            }
            ResponsePart::Data(data) => checker.take(&data),
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

/// A copy with a wrong byte is not a copy.
fn completed(has_body: bool, checker: &Checker) -> FillOutcome {
    if has_body && checker.finish().version.is_none() {
        return FillOutcome::Unreachable;
    }
    FillOutcome::Complete
}

/// The copy counts as no younger than the request (RFC 9111, 4.2.3): its source may have read it and determined its
/// age long before the head arrived, and a purge may lie in between.
fn model_response(
    requested_at: Micros,
    head: &ResponseHead,
    wanted: &ModelRequest,
) -> ModelResponse {
    let version = conversions::version_of_validator(&head.validator)
        .or(wanted.cached_version)
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
