//! What all dispatchers did together: at each host, over the fleet, and for the clients of each site.
//!
//! It is measured from the trace alone, like the rules. The bounds are the scenario's own (`[sums]` of its file): what
//! a fleet may come to follows from its size and its settings, which `docs/design/sums.md` turns into figures.
mod bounds;
mod cancellations;
mod fairness;
mod hosts;
mod retries;
mod sites;

use crate::evidence::Evidence;
use crate::service::Service;
use crate::trace::TraceEntry;
use crate::warm_up;
use pointspindle_scenario::Scenario;
use serde::{Deserialize, Serialize};

pub use crate::warm_up::WarmUpPeak;
pub use bounds::judge;
pub use cancellations::CancellationTotals;
pub use hosts::{Peak, RoleTotals};
pub use sites::SiteService;

/// The totals of a run over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTotals {
    /// By role of the hosts, those that were sent something.
    pub roles: Vec<RoleTotals>,
    /// Attempts beyond the first of a request, per first attempt.
    #[serde(rename = "second_attempts")]
    pub second_attempts: f64,
    /// The same over the worst 2 s.
    #[serde(rename = "second_attempts_worst")]
    pub second_attempts_worst: f64,
    /// When the worst 2 s began, in seconds since the start of the run.
    #[serde(rename = "second_attempts_at_s")]
    pub second_attempts_at_s: f64,
    /// Jain's fairness index over the dispatchers' shares of requests served.
    pub fairness: f64,
    /// The lowest share of requests served by a dispatcher.
    #[serde(rename = "least_served")]
    pub least_served: f64,
    /// The dispatcher with the lowest share.
    #[serde(rename = "least_dispatcher")]
    pub least_dispatcher: usize,
    /// The mean share.
    #[serde(rename = "mean_served")]
    pub mean_served: f64,
    /// By site; empty where no fault affects a whole site.
    pub sites: Vec<SiteService>,
    /// The worst load of a warming host, from dispatchers that knew of its start.
    #[serde(rename = "cold")]
    pub cold: WarmUpPeak,
    /// The worst load of a warming host, from other dispatchers.
    #[serde(rename = "cold_unknown")]
    pub cold_unknown: WarmUpPeak,
    /// Requests that their clients cancelled.
    #[serde(rename = "left")]
    pub left: CancellationTotals,
}

/// Measures the totals of a run from its trace.
pub fn measure_totals(scenario: &Scenario, service: &Service, trace: &[TraceEntry]) -> FleetTotals {
    let evidence = Evidence::new(scenario, trace);
    let retries = retries::measure(&evidence);
    let fairness = fairness::measure(&evidence);
    let warm_up = warm_up::find(&evidence);
    FleetTotals {
        roles: hosts::measure(trace),
        second_attempts: retries.per_request,
        second_attempts_worst: retries.worst,
        second_attempts_at_s: retries.worst_at_s,
        fairness: fairness.jain_index,
        least_served: fairness.lowest_share,
        least_dispatcher: fairness.lowest_dispatcher,
        mean_served: fairness.mean_share,
        sites: sites::measure(scenario, service),
        cold: warm_up.informed,
        cold_unknown: warm_up.uninformed,
        left: cancellations::measure(&evidence),
    }
}
