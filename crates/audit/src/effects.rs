//! Rule `effects`: no effect happens twice. A request has at most one attempt at a time, no attempt is sent twice, and
//! no work is executed twice.
use crate::evidence::{ClientRequest, Evidence, HostAttempt};
use crate::periods::Span;
use crate::verdict::{RuleVerdict, Violation};
use pointspindle_scenario::Idempotency;

/// Judges the rule over a run. `effects` lists each piece of work with the number of its executions at the origin.
pub(super) fn judge(evidence: &Evidence, effects: &[(String, u32)]) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "effects",
        "no two attempts at once, and no work that must not run twice",
    );
    for request in &evidence.requests {
        judge_request(evidence, request, &mut rule);
    }
    for (work, runs) in effects {
        rule.cases += 1;
        if *runs > 1 {
            let detail = format!("{work} ran {runs} times");
            rule.add_violation("repeat", evidence.run_end, None, detail);
        }
    }
    rule
}

fn judge_request(evidence: &Evidence, request: &ClientRequest, rule: &mut RuleVerdict) {
    rule.cases += request.attempts.len() as u64;
    for (n, later) in request.attempts.iter().enumerate() {
        for earlier in &request.attempts[..n] {
            judge_pair(evidence, request, earlier, later, rule);
        }
    }
    let class = &evidence.scenario.workload.classes[request.class];
    if class.idempotency == Idempotency::NotIdempotent && request.attempts.len() > 1 {
        // Whether the work was executed more than once is judged by the origin's counts.
        rule.cases += 1;
    }
}

fn judge_pair(
    evidence: &Evidence,
    request: &ClientRequest,
    earlier: &HostAttempt,
    later: &HostAttempt,
    rule: &mut RuleVerdict,
) {
    let id = Some(request.id);
    if earlier.number == later.number {
        let detail = format!(
            "attempt {} reached {} and {}",
            earlier.number, earlier.host, later.host
        );
        rule.add_violation("double", later.arrived, id, detail);
        return;
    }
    // An attempt without a recorded end lasted until the end of the run.
    let earlier_end = earlier.ended.unwrap_or(evidence.run_end);
    if earlier_end <= later.arrived + evidence.tolerance {
        return;
    }
    let later_end = later.ended.unwrap_or(evidence.run_end);
    let overlap_ms = (earlier_end.min(later_end) - later.arrived) as f64 / 1e3;
    if overlap_ms * 1e3 <= evidence.tolerance as f64 {
        return;
    }
    let detail = format!(
        "at {} and {} together for {overlap_ms:.0} ms",
        earlier.host, later.host
    );
    let violation = Violation::new("double", later.arrived, id, detail);
    let overlap = Span {
        from: later.arrived,
        to: earlier_end,
    };
    // A dispatcher cannot know that a partition dropped its cancellation. Work that was executed twice is still a
    // violation, by the origin's counts.
    let cancel_lost = evidence.was_partitioned(earlier.dispatcher, &earlier.host, overlap);
    rule.add_classified(violation, !cancel_lost);
}
