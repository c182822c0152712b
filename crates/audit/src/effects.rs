//! Rule: no effect happens twice. No two attempts at once, no attempt sent twice, no work run twice.
use crate::evidence::{ClientRequest, Evidence, HostAttempt};
use crate::periods::Span;
use crate::verdict::{RuleVerdict, Violation};
use pointspindle_scenario::Idempotency;

/// `effects`: how often the origin ran each piece of work.
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
            rule.violate("repeat", evidence.run_end, None, detail);
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
        // Whether the earlier one had run is known from the origin's counts.
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
        rule.violate("double", later.arrived, id, detail);
        return;
    }
    // An attempt that was never seen to end was live until the end of the run.
    let earlier_end = earlier.ended.unwrap_or(evidence.run_end);
    if earlier_end <= later.arrived + evidence.tolerance {
        return;
    }
    let later_end = later.ended.unwrap_or(evidence.run_end);
    let together_ms = (earlier_end.min(later_end) - later.arrived) as f64 / 1e3;
    if together_ms * 1e3 <= evidence.tolerance as f64 {
        return;
    }
    let detail = format!(
        "at {} and {} together for {together_ms:.0} ms",
        earlier.host, later.host
    );
    let violation = Violation::new("double", later.arrived, id, detail);
    let both = Span {
        from: later.arrived,
        to: earlier_end,
    };
    // No dispatcher could know that a partition kept its cancellation from arriving. Work that ran twice counts all
    // the same, by the origin's counts.
    let cancel_lost = evidence.was_partitioned(earlier.dispatcher, &earlier.host, both);
    rule.file(violation, !cancel_lost);
}
