//! Rule `purges`: an attempt that arrives after the grace period of a purge is not answered from an older copy.
use crate::evidence::{ClientRequest, Evidence};
use crate::trace::{ClientOutcome, TraceEvent};
use crate::verdict::RuleVerdict;
use pointspindle::Micros;
use std::collections::HashMap;

/// What a purge invalidates.
#[derive(PartialEq, Eq, Hash)]
enum PurgeScope {
    Group(u64),
    Object(u64),
}

/// A purge as it was delivered to one dispatcher.
struct DeliveredPurge {
    /// Time at which the dispatcher could read the purge.
    at: Micros,
    /// Minimum version of copies made after the purge.
    version: u64,
}

type PurgesByDispatcher = HashMap<(usize, PurgeScope), Vec<DeliveredPurge>>;

/// Judges the rule over a run.
pub(super) fn judge(evidence: &Evidence) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "purges",
        "nothing sent after a purge's grace is answered from an older copy",
    );
    let delivered = delivered_purges(evidence);
    let grace = evidence.scenario.limits.rules.purge_grace + evidence.tolerance;
    for request in &evidence.requests {
        judge_request(request, &delivered, grace, &mut rule);
    }
    rule
}

fn delivered_purges(evidence: &Evidence) -> PurgesByDispatcher {
    let mut delivered = PurgesByDispatcher::new();
    for entry in evidence.trace {
        if let TraceEvent::PurgeDelivered {
            dispatcher,
            object,
            group,
            version_from,
        } = &entry.event
        {
            let scope = object.map_or(PurgeScope::Group(*group), PurgeScope::Object);
            let purge = DeliveredPurge {
                at: evidence.readable_at(*dispatcher, entry.at),
                version: *version_from,
            };
            delivered
                .entry((*dispatcher, scope))
                .or_default()
                .push(purge);
        }
    }
    delivered
}

fn judge_request(
    request: &ClientRequest,
    delivered: &PurgesByDispatcher,
    grace: Micros,
    rule: &mut RuleVerdict,
) {
    let Some(end) = request.ends.first() else {
        return;
    };
    let ClientOutcome::Served {
        version: Some(version),
        ..
    } = end.outcome
    else {
        return;
    };
    // The response came from the last attempt that arrived before the end of the request.
    let Some(attempt) = request.attempts.iter().rfind(|a| a.arrived <= end.at) else {
        return;
    };
    let purges_of = |scope| {
        delivered
            .get(&(attempt.dispatcher, scope))
            .into_iter()
            .flatten()
    };
    let newest_in_force = purges_of(PurgeScope::Group(request.group))
        .chain(purges_of(PurgeScope::Object(request.object_number)))
        .filter(|purge| attempt.arrived > purge.at + grace)
        .max_by_key(|purge| purge.version);
    let Some(newest) = newest_in_force else {
        return;
    };
    rule.cases += 1;
    if version < newest.version {
        let after_ms = (attempt.arrived - newest.at) as f64 / 1e3;
        let detail = format!(
            "version {version} sent for {after_ms:.0} ms after a purge to version {} was told",
            newest.version
        );
        rule.add_violation("purge", end.at, Some(request.id), detail);
    }
}
