//! Service to the clients of each site, before and after faults that affect whole sites.
use crate::service::Service;
use crate::value::ValueSum;
use pointspindle_scenario::Scenario;
use serde::{Deserialize, Serialize};

/// Minimum share of its service before the faults at which a site has recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Length of the periods over which the worst service and the recovery are measured, in seconds.
const PERIOD_S: usize = 3;

/// Service to a site's clients.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteService {
    /// Name of the site.
    pub name: String,
    /// Whether a fault affects the site.
    #[serde(rename = "struck")]
    pub affected: bool,
    /// Service after the warm-up.
    pub service: f64,
    /// Service over the whole seconds before the first fault that affects a site.
    #[serde(rename = "before")]
    pub service_before: f64,
    /// Service from the first such fault on.
    #[serde(rename = "since")]
    pub service_since: f64,
    /// Service over the worst 3 s from the first such fault on.
    pub worst: f64,
    /// Seconds from the end of the last such fault to the first 3 s with at least 0.95 of the service before the
    /// faults; `None` if there are none.
    #[serde(rename = "back_after_s")]
    pub recovered_after_s: Option<f64>,
}

/// The whole seconds from the first fault that affects a site to the end of the last one.
#[derive(Clone, Copy)]
struct FaultPeriod {
    from_s: usize,
    to_s: usize,
}

impl FaultPeriod {
    fn of(scenario: &Scenario) -> Option<Self> {
        let faults = || {
            scenario
                .faults
                .iter()
                .filter(|fault| fault.kind.affects_site())
        };
        let from = faults().map(|fault| fault.at).min()?;
        let to = faults().map(|fault| fault.at + fault.duration).max()?;
        Some(Self {
            from_s: (from / 1_000_000) as usize,
            to_s: (to / 1_000_000) as usize,
        })
    }
}

/// Measures each site's service; returns none if no fault affects a whole site.
pub(super) fn measure(scenario: &Scenario, service: &Service) -> Vec<SiteService> {
    let Some(faults) = FaultPeriod::of(scenario) else {
        return Vec::new();
    };
    let warm_up_s = (scenario.workload.warm_up / 1_000_000) as usize;
    let affected = scenario.affected_sites();
    service
        .by_branch
        .iter()
        .zip(scenario.zones())
        .enumerate()
        .map(|(site, (seconds, name))| SiteService {
            name,
            affected: affected.contains(&site),
            ..measure_site(seconds, warm_up_s, faults)
        })
        .collect()
}

fn measure_site(seconds: &[ValueSum], warm_up_s: usize, faults: FaultPeriod) -> SiteService {
    let ratio = |seconds: &[ValueSum]| ValueSum::total(seconds).ratio();
    let from = faults.from_s.min(seconds.len());
    let to = faults.to_s.min(seconds.len());
    let before = ratio(&seconds[warm_up_s.min(from)..from]);
    let recovery = seconds[to..]
        .windows(PERIOD_S)
        .position(|period| ratio(period) >= RECOVERED_SHARE * before);
    SiteService {
        service: ratio(&seconds[warm_up_s.min(seconds.len())..]),
        service_before: before,
        service_since: ratio(&seconds[from..]),
        worst: seconds[from..]
            .windows(PERIOD_S)
            .map(ratio)
            .fold(1.0, f64::min),
        recovered_after_s: recovery.map(|seconds| seconds as f64),
        ..SiteService::default()
    }
}
