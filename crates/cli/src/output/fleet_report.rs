//! Output of the totals over all dispatchers of a run.
use super::run_report::{outcome_json, rule_json};
use pointspindle_audit::fleet_totals::{FleetTotals, Peak, RoleTotals, SiteService};
use pointspindle_audit::RuleVerdict;
use pointspindle_scenario::Scenario;
use pointspindle_testbed::fleet_run::Outcome;

/// Returns the run with its totals, and with those of the same run without the loss of a site.
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
    let cancellations = &totals.cancellations;
    println!(
        "  cancelled requests {} ({} before any attempt arrived); attempts begun after a cancellation {}, longest {:.1} ms",
        cancellations.clients, cancellations.unsent, cancellations.attempts, cancellations.longest_ms
    );
    println!(
        "  second attempts per first attempt {:.3}, worst 2 s {:.3} at {:.0} s; fairness {:.3}, lowest dispatcher {} served {:.3} (mean {:.3})",
        totals.retries_per_request,
        totals.worst_retries_per_request,
        totals.worst_retries_at_s,
        totals.fairness,
        totals.lowest_served_dispatcher,
        totals.lowest_served_share,
        totals.mean_served_share
    );
    for (number, site) in totals.sites.iter().enumerate() {
        let comparison = without_loss.and_then(|totals| totals.sites.get(number));
        print_site(site, comparison);
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
        "  peaks at a {}: {}; {}",
        totals.role,
        peak(&totals.in_flight, "in flight"),
        peak(&totals.attempts, "per second")
    );
    if totals.after_restart.count > 0 {
        println!(
            "    in the first second after a restart: {}",
            peak(&totals.after_restart, "attempts")
        );
    }
}

fn print_warm_up(totals: &FleetTotals) {
    let peaks = [
        (&totals.warm_up_informed, "start known"),
        (&totals.warm_up_uninformed, "start unknown"),
    ];
    for (peak, knowledge) in peaks {
        if peak.bound > 0.0 {
            println!(
                "  warm-up, {knowledge}: {} received {:.1} requests of mean work in a window from {} dispatchers, {:.1} allowed, bound {:.1}, at {:.1} s",
                peak.host, peak.requests, peak.dispatchers, peak.allowed, peak.bound, peak.at_s
            );
        }
    }
}

fn print_site(site: &SiteService, without_loss: Option<&SiteService>) {
    let recovery = site
        .recovered_after_s
        .map_or("not recovered".into(), |seconds| {
            format!("recovered after {seconds:.0} s")
        });
    let comparison = without_loss
        .map(|site| format!(" ({:.3} without the loss)", site.service_since))
        .unwrap_or_default();
    println!(
        "  {}{}: served {:.3} before, {:.3} since{comparison}, worst 3 s {:.3}, {recovery}",
        site.name,
        if site.affected { " (affected)" } else { "" },
        site.service_before,
        site.service_since,
        site.worst
    );
}
