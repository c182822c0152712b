//! Rule `drains`: after the grace period, a draining or removed host receives no new attempts and is not named as the
//! source of a fill.
use crate::evidence::Evidence;
use crate::trace::{ClientAttemptId, TraceEvent};
use crate::verdict::RuleVerdict;
use pointspindle::Micros;
use std::collections::HashMap;

/// Judges the rule over a run.
pub(super) fn judge(evidence: &Evidence) -> RuleVerdict {
    let mut audit = DrainAudit {
        rule: RuleVerdict::new(
            "drains",
            "nothing new to a drained or gone member, nor with it as a source",
        ),
        grace: evidence.scenario.limits.rules.drain_grace + evidence.tolerance,
        known_since: HashMap::new(),
    };
    for entry in evidence.trace {
        match &entry.event {
            TraceEvent::EndpointListDelivered {
                dispatcher,
                full,
                ready,
                not_ready,
                ..
            } => {
                let known = evidence.readable_at(*dispatcher, entry.at);
                audit.list_delivered(*dispatcher, known, *full, ready, not_ready);
            }
            TraceEvent::DispatcherKilled { dispatcher } => audit.dispatcher_killed(*dispatcher),
            TraceEvent::AttemptArrived {
                host,
                dispatcher: Some(dispatcher),
                id,
                source,
                ..
            } => {
                audit.check(entry.at, *dispatcher, "sent to", host, *id);
                if let Some(source) = source {
                    audit.check(entry.at, *dispatcher, "named as source", source, *id);
                }
            }
            _ => {}
        }
    }
    audit.rule
}

struct DrainAudit {
    rule: RuleVerdict,
    grace: Micros,
    /// Time since which a dispatcher knows that a host is draining or removed.
    known_since: HashMap<(usize, String), Micros>,
}

impl DrainAudit {
    fn list_delivered(
        &mut self,
        dispatcher: usize,
        known: Micros,
        full: bool,
        ready: &[String],
        not_ready: &[String],
    ) {
        for host in ready {
            self.known_since.remove(&(dispatcher, host.clone()));
        }
        if full {
            self.known_since
                .retain(|(d, host), _| *d != dispatcher || not_ready.contains(host));
        }
        for host in not_ready {
            self.known_since
                .entry((dispatcher, host.clone()))
                .or_insert(known);
            self.rule.cases += 1;
        }
    }

    fn dispatcher_killed(&mut self, dispatcher: usize) {
        self.known_since.retain(|(d, _), _| *d != dispatcher);
    }

    fn check(
        &mut self,
        at: Micros,
        dispatcher: usize,
        usage: &str,
        host: &str,
        id: Option<ClientAttemptId>,
    ) {
        let Some(since) = self.known_since.get(&(dispatcher, host.to_owned())) else {
            return;
        };
        if at > since + self.grace {
            let after_ms = (at - since) as f64 / 1e3;
            let detail =
                format!("dispatcher {dispatcher} {usage} {host} {after_ms:.0} ms after the notice");
            self.rule.add_violation("drain", at, id, detail);
        }
    }
}
