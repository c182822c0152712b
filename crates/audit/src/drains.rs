//! Rule: drains are kept. Nothing new to a member, nor with it as a source, once the grace is over.
use super::{Evidence, RuleVerdict};
use crate::trace::TraceEvent;
use pointspindle::Micros;
use std::collections::HashMap;

pub(super) fn judge(e: &Evidence) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "drains",
        "nothing new to a drained or gone member, nor with it as a source",
    );
    // Since when each dispatcher knows that a member drains or is gone.
    let mut out: HashMap<(usize, String), Micros> = HashMap::new();
    let late = e.scenario.limits.rules.drain_grace + e.slack;
    for sight in e.sights {
        match &sight.event {
            TraceEvent::EndpointListDelivered {
                dispatcher,
                full: whole,
                ready,
                not_ready: left,
                ..
            } => {
                for host in ready {
                    out.remove(&(*dispatcher, host.clone()));
                }
                if *whole {
                    out.retain(|(d, host), _| d != dispatcher || left.contains(host));
                }
                for host in left {
                    let known = e.awake(*dispatcher, sight.at);
                    out.entry((*dispatcher, host.clone())).or_insert(known);
                    rule.cases += 1;
                }
            }
            TraceEvent::DispatcherKilled { dispatcher } => out.retain(|(d, _), _| d != dispatcher),
            TraceEvent::AttemptArrived {
                host,
                dispatcher: Some(by),
                id,
                source,
                ..
            } => {
                let mut look = |member: &String, what: &str| {
                    let Some(since) = out.get(&(*by, member.clone())) else {
                        return;
                    };
                    if sight.at > since + late {
                        let after = (sight.at - since) as f64 / 1e3;
                        let detail = format!(
                            "dispatcher {by} {what} {member} {after:.0} ms after the notice"
                        );
                        rule.breach("drain", sight.at, *id, detail);
                    }
                };
                look(host, "sent to");
                if let Some(source) = source {
                    look(source, "named as source");
                }
            }
            _ => {}
        }
    }
    rule
}
