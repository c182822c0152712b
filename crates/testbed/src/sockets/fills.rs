//! A fill over a socket: asks the source as any peer would, and tells the world what comes back.
use super::stage::EmulatedHosts;
use super::words;
use crate::content::Checker;
use pointspindle::Micros;
use pointspindle_cache_model::{
    CachedCopy, FillId, FillOutcome, HostId, ModelInput, ModelRequest, ModelResponse,
};
use pointspindle_protocol::ResponseHead;
use pointspindle_transport::{CallEnd, ResponsePart};

/// Longest wait that a fill tells its source; the world gives up earlier by itself.
const LEFT_US: u64 = 10_000_000;

pub(crate) async fn run(
    stage: EmulatedHosts,
    host: HostId,
    fill: FillId,
    source: String,
    wanted: ModelRequest,
) {
    let end = ask(&stage, host, fill, &source, &wanted).await;
    stage.apply(ModelInput::FillEnded {
        host,
        fill,
        outcome: end,
    });
}

async fn ask(
    stage: &EmulatedHosts,
    host: HostId,
    fill: FillId,
    source: &str,
    wanted: &ModelRequest,
) -> FillOutcome {
    let Ok(link) = stage.link(host, source).await else {
        return FillOutcome::Unreachable;
    };
    let request = words::request(wanted, &stage.inner().classes, LEFT_US);
    let Ok(mut call) = link.call(request) else {
        return FillOutcome::Unreachable;
    };
    let asked = stage.now();
    let mut checker = Checker::new(wanted.object_number, wanted.part);
    let mut bodyless = false;
    while let Some(part) = call.next().await {
        match part {
            ResponsePart::Head(head) => {
                bodyless = head.not_modified || head.origin_status != 0 || head.size == Some(0);
                let answer = answer(asked, &head, wanted);
                stage.apply(ModelInput::FillResponse {
                    host,
                    fill,
                    response: answer,
                });
            }
            ResponsePart::Data(data) => checker.take(&data),
            ResponsePart::End(CallEnd::Complete(_)) => {
                // A copy with a wrong byte is no copy.
                let right = bodyless || checker.finish().1.is_some();
                return if right {
                    FillOutcome::Complete
                } else {
                    FillOutcome::Unreachable
                };
            }
            ResponsePart::End(CallEnd::Error(e)) => {
                return FillOutcome::Rejected {
                    status: e.status(),
                    cache_status: e.cache_status(),
                };
            }
            ResponsePart::End(CallEnd::Broken(_) | CallEnd::NotSent) => break,
        }
    }
    FillOutcome::Unreachable
}

/// The copy counts as no younger than the question (RFC 9111, 4.2.3): its source may have taken it, and told its age,
/// long before the head came here, and a purge may lie in between.
fn answer(asked: Micros, head: &ResponseHead, wanted: &ModelRequest) -> ModelResponse {
    let version = words::version(&head.validator)
        .or(wanted.cached_version)
        .unwrap_or(0);
    ModelResponse {
        cache_status: head.cache_status(),
        copy: CachedCopy {
            version,
            size: head.size.unwrap_or(0),
            validated_at: asked.saturating_sub(head.age_us),
        },
        age: head.age_us,
        freshness_left: head.fresh_left_us,
        not_modified: head.not_modified,
        load: head.load.unwrap_or_default(),
        status_code: if head.origin_status == 0 {
            200
        } else {
            head.origin_status as u16
        },
    }
}
