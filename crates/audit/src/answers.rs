//! Rule: no request is lost. One final answer before the deadline, and nothing after it.
use super::{Evidence, RuleVerdict, Try, Violation};
use crate::trace::{ClientOutcome, TraceEvent};

pub(super) fn judge(e: &Evidence) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "answers",
        "every accepted request has one final answer in time, nothing after it",
    );
    for t in &e.tries {
        one(e, t, &mut rule);
    }
    for sight in e.sights {
        if let TraceEvent::UnexpectedResponse { dispatcher } = sight.event {
            let detail = format!("dispatcher {dispatcher} sent what belongs to no open request");
            rule.breach("twice", sight.at, None, detail);
        }
    }
    rule
}

fn one(e: &Evidence, t: &Try, rule: &mut RuleVerdict) {
    // Given up by its client: nothing is owed any more, except that nothing goes on being sent for it.
    let left = t
        .ends
        .iter()
        .any(|(_, end)| *end == ClientOutcome::Cancelled);
    let end = t.ends.first();
    let until = end.map_or(t.deadline, |(at, _)| *at);
    // What a dispatcher held when it was killed is for the client to retry.
    if e.was_down(t.dispatcher, t.asked, until) || e.was_stopping(t.dispatcher, t.asked) {
        return;
    }
    if end.is_none() && t.deadline > e.over {
        return;
    }
    rule.cases += 1;
    let id = Some(t.id);
    match end {
        None => rule.breach("silent", t.deadline, id, "no final answer".into()),
        Some((at, ClientOutcome::ConnectionLost)) => {
            rule.breach(
                "silent",
                *at,
                id,
                "the connection ended without an answer".into(),
            );
        }
        Some((at, _)) if *at > t.deadline + e.slack && !left => {
            let late = (*at - t.deadline) as f64 / 1e3;
            rule.breach("late", *at, id, format!("{late:.0} ms after the deadline"));
        }
        Some((
            at,
            ClientOutcome::Served {
                version: None,
                bytes,
                ..
            },
        )) => {
            rule.breach(
                "wrong",
                *at,
                id,
                format!("served {bytes} bytes that are not the object's"),
            );
        }
        _ => {}
    }
    if let Some((at, _)) = t.ends.get(1) {
        rule.breach("twice", *at, id, "more came after the final answer".into());
    }
    for attempt in &t.attempts {
        if let Some((at, _)) = end.filter(|(at, _)| attempt.from > *at + e.slack) {
            let after = (attempt.from - at) as f64 / 1e3;
            let detail = format!("sent to {} {after:.0} ms after its answer", attempt.host);
            // Sent before it, and held up on a way that was cut off.
            if e.was_parted(attempt.by, &attempt.host, *at, attempt.from) {
                rule.undetectable
                    .push(Violation::new("after", attempt.from, id, detail));
            } else {
                rule.breach("after", attempt.from, id, detail);
            }
        }
    }
}
