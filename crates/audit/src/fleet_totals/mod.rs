//! Totals over all dispatchers: at each host, over the fleet, and for the clients of each site.
//!
//! Like the rules, totals are measured from the trace alone. Their bounds are set by section `[sums]` of the scenario's
//! file, because they depend on the size and the settings of the fleet; `docs/design/sums.md` derives them.
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
pub use bounds::judge_totals;
pub use cancellations::CancellationTotals;
pub use hosts::{Peak, RoleTotals};
pub use sites::SiteService;

/// The totals of a run over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTotals {
    /// Highest loads by role, for roles with hosts that received attempts.
    pub roles: Vec<RoleTotals>,
    /// Number of attempts beyond the first of a request, per first attempt.
    #[serde(rename = "second_attempts")]
    pub retries_per_request: f64,
    /// Retries per first attempt over the worst 2 s.
    #[serde(rename = "second_attempts_worst")]
    pub worst_retries_per_request: f64,
    /// Start of the worst 2 s, in seconds since the start of the run.
    #[serde(rename = "second_attempts_at_s")]
    pub worst_retries_at_s: f64,
    /// Jain's fairness index over the dispatchers' shares of requests served.
    pub fairness: f64,
    /// Lowest share of requests served among the dispatchers.
    #[serde(rename = "least_served")]
    pub lowest_served_share: f64,
    /// Index of the dispatcher with the lowest share.
    #[serde(rename = "least_dispatcher")]
    pub lowest_served_dispatcher: usize,
    /// Mean of the dispatchers' shares of requests served.
    #[serde(rename = "mean_served")]
    pub mean_served_share: f64,
    /// Service by site; empty if no fault affects a whole site.
    pub sites: Vec<SiteService>,
    /// The worst load of a warming host with at least two thirds of it from dispatchers that knew of the start.
    #[serde(rename = "cold")]
    pub warm_up_informed: WarmUpPeak,
    /// The worst of the other loads of a warming host.
    #[serde(rename = "cold_unknown")]
    pub warm_up_uninformed: WarmUpPeak,
    /// Totals of requests that their clients cancelled.
    #[serde(rename = "left")]
    pub cancellations: CancellationTotals,
}

/// Measures the totals of a run from its trace.
pub fn measure_totals(scenario: &Scenario, service: &Service, trace: &[TraceEntry]) -> FleetTotals {
    let evidence = Evidence::new(scenario, trace);
    let retries = retries::measure(&evidence);
    let fairness = fairness::measure(&evidence);
    let warm_up = warm_up::measure(&evidence);
    FleetTotals {
        roles: hosts::measure(trace),
        retries_per_request: retries.per_request,
        worst_retries_per_request: retries.worst,
        worst_retries_at_s: retries.worst_at_s,
        fairness: fairness.jain_index,
        lowest_served_share: fairness.lowest_share,
        lowest_served_dispatcher: fairness.lowest_dispatcher,
        mean_served_share: fairness.mean_share,
        sites: sites::measure(scenario, service),
        warm_up_informed: warm_up.informed,
        warm_up_uninformed: warm_up.uninformed,
        cancellations: cancellations::measure(&evidence),
    }
}
