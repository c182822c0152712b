//! Rule `sums`: the totals over all dispatchers stay within the scenario's bounds.
use super::{CancellationTotals, FleetTotals, Peak};
use crate::verdict::RuleVerdict;
use pointspindle::Micros;
use pointspindle_cache_model::Role;
use pointspindle_scenario::Scenario;

/// Time for which attempts may still arrive at a host after their client has cancelled, in microseconds.
const CANCELLATION_GRACE_US: Micros = 100_000;

/// Judges each bound that the scenario sets. `baseline` has the totals of the same run without the faults that affect a
/// site; without it, the bound on unaffected sites is not judged.
pub fn judge_totals(
    scenario: &Scenario,
    totals: &FleetTotals,
    baseline: Option<&FleetTotals>,
) -> RuleVerdict {
    let bounds = scenario.limits.fleet;
    let mut audit = BoundAudit {
        rule: RuleVerdict::new(
            "sums",
            "the totals over all dispatchers stay within the scenario's bounds",
        ),
    };
    for role in &totals.roles {
        if role.role == Role::Cache.name() {
            audit.judge_in_flight(&role.in_flight, bounds.in_flight);
        }
    }
    let grace = CANCELLATION_GRACE_US + scenario.limits.rules.timing_tolerance;
    audit.judge_cancellations(&totals.cancellations, grace as f64 / 1e3);
    audit.judge_retries(totals, bounds.retries);
    audit.judge_fairness(totals, bounds.fairness);
    if let Some(baseline) = baseline {
        audit.judge_unaffected_sites(totals, baseline, bounds.unaffected_service);
    }
    audit.rule
}

struct BoundAudit {
    rule: RuleVerdict,
}

impl BoundAudit {
    fn judge_in_flight(&mut self, peak: &Peak, bound: f64) {
        let detail = format!(
            "{} had {} attempts in flight from {} dispatchers, {:.2} per unit of its weight",
            peak.host, peak.count, peak.dispatchers, peak.by_weight
        );
        self.at_most("under_way", bound, peak.by_weight, peak.at_s, &detail);
    }

    fn judge_cancellations(&mut self, totals: &CancellationTotals, bound_ms: f64) {
        if totals.clients == 0 {
            return;
        }
        self.rule.cases += 1;
        if totals.longest_ms > bound_ms {
            let detail = format!(
                "an attempt arrived {:.0} ms after its client had cancelled; expected at most {bound_ms:.0} ms",
                totals.longest_ms
            );
            self.rule.add_violation("left", 0, None, detail);
        }
    }

    fn judge_retries(&mut self, totals: &FleetTotals, bound: f64) {
        let worst = totals.worst_retries_per_request;
        let at_s = totals.worst_retries_at_s;
        let detail = format!("{worst:.2} retries per first attempt within 2 s");
        self.at_most("second_attempts", bound, worst, at_s, &detail);
    }

    fn judge_fairness(&mut self, totals: &FleetTotals, bound: f64) {
        let detail = format!(
            "Jain's fairness index is {:.3} (dispatcher {} served {:.3} of its requests, mean {:.3})",
            totals.fairness,
            totals.lowest_served_dispatcher,
            totals.lowest_served_share,
            totals.mean_served_share
        );
        self.at_least("fairness", bound, totals.fairness, &detail);
    }

    fn judge_unaffected_sites(&mut self, totals: &FleetTotals, baseline: &FleetTotals, bound: f64) {
        for (site, without_faults) in totals.sites.iter().zip(&baseline.sites) {
            if site.affected {
                continue;
            }
            let share = site.service_since / without_faults.service_since.max(1e-9);
            let detail = format!(
                "{}, an unaffected site, has service {:.3}, {share:.3} of that in the run without site faults",
                site.name, site.service_since
            );
            self.at_least("others", bound, share, &detail);
        }
    }

    /// Judges an upper bound; a bound of 0 is not set.
    fn at_most(&mut self, kind: &str, bound: f64, value: f64, at_s: f64, detail: &str) {
        if bound <= 0.0 {
            return;
        }
        self.rule.cases += 1;
        if value > bound {
            let detail = format!("{detail}; expected at most {bound:.2}");
            let at = (at_s * 1e6) as Micros;
            self.rule.add_violation(kind, at, None, detail);
        }
    }

    /// Judges a lower bound; a bound of 0 is not set.
    fn at_least(&mut self, kind: &str, bound: f64, value: f64, detail: &str) {
        if bound <= 0.0 {
            return;
        }
        self.rule.cases += 1;
        if value < bound {
            let detail = format!("{detail}; expected at least {bound:.3}");
            self.rule.add_violation(kind, 0, None, detail);
        }
    }
}
