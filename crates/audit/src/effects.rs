//! Rule: no effect happens twice. Never two attempts at once, no attempt sent twice, no work run twice.
use super::{Evidence, RuleVerdict, Violation};
use pointspindle_scenario::Idempotency;

pub(super) fn judge(e: &Evidence, effects: &[(String, u32)]) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "effects",
        "no two attempts at once, and no work that must not run twice",
    );
    for t in &e.tries {
        rule.cases += t.attempts.len() as u64;
        for (n, b) in t.attempts.iter().enumerate() {
            for a in &t.attempts[..n] {
                if a.number == b.number {
                    let detail = format!("attempt {} reached {} and {}", a.number, a.host, b.host);
                    rule.breach("double", b.from, Some(t.id), detail);
                    continue;
                }
                // An attempt that was never seen to end was live to the end of the run.
                let end = a.to.unwrap_or(e.over);
                if end > b.from + e.slack {
                    let both = (end.min(b.to.unwrap_or(e.over)) - b.from) as f64 / 1e3;
                    if both * 1e3 <= e.slack as f64 {
                        continue;
                    }
                    let detail = format!("at {} and {} together for {both:.0} ms", a.host, b.host);
                    // Its cancel was on its way, and no dispatcher could know that it does not arrive. What ran twice still counts below.
                    if e.was_parted(a.by, &a.host, b.from, end) {
                        rule.undetectable.push(Violation::new(
                            "double",
                            b.from,
                            Some(t.id),
                            detail,
                        ));
                    } else {
                        rule.breach("double", b.from, Some(t.id), detail);
                    }
                }
            }
        }
        if e.scenario.workload.classes[t.class].idempotency == Idempotency::NotIdempotent
            && t.attempts.len() > 1
        {
            // Whether an earlier one had run is the origin's to say, below.
            rule.cases += 1;
        }
    }
    for (work, times) in effects {
        rule.cases += 1;
        if *times > 1 {
            rule.breach("repeat", e.over, None, format!("{work} ran {times} times"));
        }
    }
    rule
}
