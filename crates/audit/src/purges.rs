//! Rule: purges are kept. What is sent after the grace is not answered from an older copy.
use super::{Evidence, RuleVerdict};
use crate::trace::{ClientOutcome, TraceEvent};
use pointspindle::Micros;
use std::collections::HashMap;

#[derive(PartialEq, Eq, Hash)]
enum Struck {
    Group(u64),
    Object(u64),
}

/// A purge as one dispatcher was told it.
struct Told {
    at: Micros,
    /// Copies from then on have at least this version.
    version: u64,
}

pub(super) fn judge(e: &Evidence) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "purges",
        "nothing sent after a purge's grace is answered from an older copy",
    );
    let mut told: HashMap<(usize, Struck), Vec<Told>> = HashMap::new();
    for sight in e.sights {
        if let TraceEvent::PurgeDelivered {
            dispatcher,
            object,
            group,
            version_from,
        } = &sight.event
        {
            let new = Told {
                at: e.awake(*dispatcher, sight.at),
                version: *version_from,
            };
            let struck = object.map_or(Struck::Group(*group), Struck::Object);
            told.entry((*dispatcher, struck)).or_default().push(new);
        }
    }
    let late = e.scenario.limits.rules.purge_grace + e.slack;
    for t in &e.tries {
        let Some((
            at,
            ClientOutcome::Served {
                version: Some(version),
                ..
            },
        )) = t.ends.first()
        else {
            continue;
        };
        // The answer came from the last attempt that was out before it.
        let Some(attempt) = t.attempts.iter().rfind(|a| a.from <= *at) else {
            continue;
        };
        let of = |struck| told.get(&(attempt.by, struck)).into_iter().flatten();
        let purges = of(Struck::Group(t.group)).chain(of(Struck::Object(t.number)));
        let due = purges.filter(|p| attempt.from > p.at + late);
        let Some(newest) = due.max_by_key(|p| p.version) else {
            continue;
        };
        rule.cases += 1;
        if *version < newest.version {
            let after = (attempt.from - newest.at) as f64 / 1e3;
            let detail = format!(
                "version {version} sent for {after:.0} ms after a purge to version {} was told",
                newest.version
            );
            rule.breach("purge", *at, Some(t.id), detail);
        }
    }
    rule
}
