//! Rule `answers`: each accepted request gets one final response before its deadline, and after it neither a further
//! response nor another attempt.
use crate::evidence::{ClientRequest, Evidence, HostAttempt, RequestEnd};
use crate::periods::Span;
use crate::trace::{ClientOutcome, TraceEvent};
use crate::verdict::{RuleVerdict, Violation};

/// Judges the rule over a run.
pub(super) fn judge(evidence: &Evidence) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "answers",
        "every accepted request has one final answer in time, nothing after it",
    );
    for request in &evidence.requests {
        judge_request(evidence, request, &mut rule);
    }
    for entry in evidence.trace {
        if let TraceEvent::UnexpectedResponse { dispatcher } = entry.event {
            let detail = format!("dispatcher {dispatcher} sent what belongs to no open request");
            rule.add_violation("twice", entry.at, None, detail);
        }
    }
    rule
}

fn judge_request(evidence: &Evidence, request: &ClientRequest, rule: &mut RuleVerdict) {
    if !is_response_required(evidence, request) {
        return;
    }
    rule.cases += 1;
    match request.ends.first() {
        None => {
            let detail = "no final answer".into();
            rule.add_violation("silent", request.deadline, Some(request.id), detail);
        }
        Some(end) => {
            judge_first_end(evidence, request, end, rule);
        }
    }
    if let Some(second) = request.ends.get(1) {
        let detail = "more came after the final answer".into();
        rule.add_violation("twice", second.at, Some(request.id), detail);
    }
    if let Some(end) = request.ends.first() {
        for attempt in &request.attempts {
            judge_attempt_after_end(evidence, request, attempt, end, rule);
        }
    }
}

/// Whether the dispatcher had to respond. A request is left to the client to retry if its dispatcher was down or paused
/// while it was open, or was stopping when it was sent. A request without a response whose deadline is after the end of
/// the run was not observed for long enough.
fn is_response_required(evidence: &Evidence, request: &ClientRequest) -> bool {
    let first_end = request.ends.first();
    let open = Span {
        from: request.sent,
        to: first_end.map_or(request.deadline, |end| end.at),
    };
    let excused = evidence.was_unavailable(request.dispatcher, open)
        || evidence.was_stopping(request.dispatcher, request.sent);
    let unobserved = first_end.is_none() && request.deadline > evidence.run_end;
    !excused && !unobserved
}

fn judge_first_end(
    evidence: &Evidence,
    request: &ClientRequest,
    end: &RequestEnd,
    rule: &mut RuleVerdict,
) {
    let id = Some(request.id);
    // A cancelled request no longer requires a response, so it is never late.
    let is_late =
        end.at > request.deadline + evidence.tolerance && request.cancelled_at().is_none();
    match end.outcome {
        ClientOutcome::ConnectionLost => {
            let detail = "the connection ended without an answer".into();
            rule.add_violation("silent", end.at, id, detail);
        }
        _ if is_late => {
            let late_ms = (end.at - request.deadline) as f64 / 1e3;
            let detail = format!("{late_ms:.0} ms after the deadline");
            rule.add_violation("late", end.at, id, detail);
        }
        ClientOutcome::Served {
            version: None,
            bytes,
            ..
        } => {
            let detail = format!("served {bytes} bytes that are not the object's");
            rule.add_violation("wrong", end.at, id, detail);
        }
        _ => {}
    }
}

fn judge_attempt_after_end(
    evidence: &Evidence,
    request: &ClientRequest,
    attempt: &HostAttempt,
    end: &RequestEnd,
    rule: &mut RuleVerdict,
) {
    if attempt.arrived <= end.at + evidence.tolerance {
        return;
    }
    let after_ms = (attempt.arrived - end.at) as f64 / 1e3;
    let detail = format!("sent to {} {after_ms:.0} ms after its answer", attempt.host);
    let violation = Violation::new("after", attempt.arrived, Some(request.id), detail);
    let since_end = Span {
        from: end.at,
        to: attempt.arrived,
    };
    // The attempt may have been sent before the end and delayed by a partition.
    let delayed = evidence.was_partitioned(attempt.dispatcher, &attempt.host, since_end);
    rule.add_classified(violation, !delayed);
}
