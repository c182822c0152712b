//! A fill over a socket: asks the source as any peer would, and tells the world what comes back.
use super::stage::Stage;
use super::words;
use crate::content::Checker;
use pointspindle_cache_model::{Answer, Copy, FillId, HostId, In, SourceEnd, Wanted};
use pointspindle::Micros;
use pointspindle_protocol::ResponseHead;
use pointspindle_transport::{CallEnd, ResponsePart};

/// Longest wait that a fill tells its source; the world gives up earlier by itself.
const LEFT_US: u64 = 10_000_000;

pub(crate) async fn run(stage: Stage, host: HostId, fill: FillId, source: String, wanted: Wanted) {
    let end = ask(&stage, host, fill, &source, &wanted).await;
    stage.tell(In::SourceEnd { host, fill, end });
}

async fn ask(
    stage: &Stage,
    host: HostId,
    fill: FillId,
    source: &str,
    wanted: &Wanted,
) -> SourceEnd {
    let Ok(link) = stage.link(host, source).await else {
        return SourceEnd::Unreachable;
    };
    let request = words::request(wanted, &stage.inner().classes, LEFT_US);
    let Ok(mut call) = link.call(request) else {
        return SourceEnd::Unreachable;
    };
    let asked = stage.now();
    let mut checker = Checker::new(wanted.number, wanted.part);
    let mut bodyless = false;
    while let Some(part) = call.next().await {
        match part {
            ResponsePart::Head(head) => {
                bodyless = head.not_modified || head.origin_status != 0 || head.size == Some(0);
                let answer = answer(asked, &head, wanted);
                stage.tell(In::SourceHead { host, fill, answer });
            }
            ResponsePart::Data(data) => checker.take(&data),
            ResponsePart::End(CallEnd::Complete(_)) => {
                // A copy with a wrong byte is no copy.
                let right = bodyless || checker.finish().1.is_some();
                return if right {
                    SourceEnd::Complete
                } else {
                    SourceEnd::Unreachable
                };
            }
            ResponsePart::End(CallEnd::Error(e)) => {
                return SourceEnd::Told {
                    status: e.status(),
                    note: e.cache_status(),
                };
            }
            ResponsePart::End(CallEnd::Broken(_) | CallEnd::NotSent) => break,
        }
    }
    SourceEnd::Unreachable
}

/// The copy counts as no younger than the question (RFC 9111, 4.2.3): its source may have taken it, and told its age,
/// long before the head came here, and a purge may lie in between.
fn answer(asked: Micros, head: &ResponseHead, wanted: &Wanted) -> Answer {
    let version = words::version(&head.validator)
        .or(wanted.holds)
        .unwrap_or(0);
    Answer {
        note: head.cache_status(),
        copy: Copy {
            version,
            size: head.size.unwrap_or(0),
            birth: asked.saturating_sub(head.age_us),
        },
        age: head.age_us,
        fresh_left: head.fresh_left_us,
        not_modified: head.not_modified,
        load: head.load.unwrap_or_default(),
        code: if head.origin_status == 0 {
            200
        } else {
            head.origin_status as u16
        },
    }
}
