//! What the dispatchers of a run come to together.
use super::run_report::{outcome_json, rule_json};
use pointspindle_audit::fleet_totals::{FleetTotals, Peak, RoleTotals, SiteService};
use pointspindle_audit::RuleVerdict;
use pointspindle_scenario::Scenario;
use pointspindle_testbed::fleet_run::Outcome;

/// The run with its totals, and with those of the same run without the loss of a site.
pub fn fleet_json(
    scenario: &Scenario,
    outcome: &Outcome,
    totals: &FleetTotals,
    without_loss: Option<&FleetTotals>,
    verdict: &RuleVerdict,
) -> serde_json::Result<serde_json::Value> {
    let mut json = outcome_json(scenario, outcome);
    json["dispatchers"] = scenario.dispatcher_count().into();
    json["sums"] = serde_json::to_value(totals)?;
    json["without_loss"] = serde_json::to_value(without_loss)?;
    if let Some(rules) = json["rules"].as_array_mut() {
        rules.push(rule_json(verdict));
    }
    Ok(json)
}

/// Prints the totals of a run, beside those of the same run without the loss of a site.
pub fn print_totals(totals: &FleetTotals, without_loss: Option<&FleetTotals>) {
    totals.roles.iter().for_each(print_role);
    print_warm_up(totals);
    let left = &totals.cancellations;
    println!(
        "  clients that left {} ({} before anything had begun); attempts begun after it {}, longest {:.1} ms",
        left.clients, left.unsent, left.attempts, left.longest_ms
    );
    println!(
        "  second attempts {:.3} for each first one, worst 2 s {:.3} at {:.0} s; fairness {:.3}, least dispatcher {} served {:.3} (mean {:.3})",
        totals.retries_per_request,
        totals.worst_retries_per_request,
        totals.worst_retries_at_s,
        totals.fairness,
        totals.lowest_served_dispatcher,
        totals.lowest_served_share,
        totals.mean_served_share
    );
    for (number, site) in totals.sites.iter().enumerate() {
        let twin = without_loss.and_then(|totals| totals.sites.get(number));
        print_site(site, twin);
    }
}

fn peak(peak: &Peak, unit: &str) -> String {
    format!(
        "{} {unit} at {} from {} dispatchers at {:.1} s",
        peak.count, peak.host, peak.dispatchers, peak.at_s
    )
}

fn print_role(totals: &RoleTotals) {
    println!(
        "  at a {}: most {}; {}",
        totals.role,
        peak(&totals.in_flight, "under way"),
        peak(&totals.attempts, "a second")
    );
    if totals.after_restart.count > 0 {
        println!(
            "    in the first second of one that came back: {}",
            peak(&totals.after_restart, "attempts")
        );
    }
}

fn print_warm_up(totals: &FleetTotals) {
    let peaks = [
        (&totals.warm_up_informed, "known of"),
        (&totals.warm_up_uninformed, "not known of"),
    ];
    for (peak, knowledge) in peaks {
        if peak.most > 0.0 {
            println!(
                "  cold, {knowledge}: {} was sent {:.1} requests of mean work in a window by {} dispatchers, {:.1} allowed, {:.1} at most, at {:.1} s",
                peak.host, peak.requests, peak.dispatchers, peak.allowed, peak.most, peak.at_s
            );
        }
    }
}

fn print_site(site: &SiteService, without_loss: Option<&SiteService>) {
    let recovery = site.recovered_after_s.map_or("not back".into(), |seconds| {
        format!("back after {seconds:.0} s")
    });
    let twin = without_loss
        .map(|site| format!(" ({:.3} without the loss)", site.service_since))
        .unwrap_or_default();
    println!(
        "  {}{}: served {:.3} before, {:.3} since{twin}, worst 3 s {:.3}, {recovery}",
        site.name,
        if site.affected { " (struck)" } else { "" },
        site.service_before,
        site.service_since,
        site.worst
    );
}
