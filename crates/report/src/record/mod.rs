//! The record of a run: figures, time series by second, and the faults of the run's script. It contains no wall-clock
//! times, so that the same seed gives the same bytes.
mod host_load;
mod tallies;

use crate::ReportError;
use pointspindle::Micros;
use pointspindle_audit::service::Service;
use pointspindle_audit::trace::TraceEntry;
use pointspindle_audit::{count_warm_up_crashes, RuleVerdict};
use pointspindle_scenario::script::{FaultKind, FaultSpec};
use pointspindle_scenario::{Scenario, SettingOverride};
use pointspindle_simulator as simulator;
use serde::{Deserialize, Serialize};

pub use host_load::HostTimeline;
pub use tallies::SecondTally;

/// Version of the format of a run's file.
pub const FORMAT_VERSION: u32 = 1;

/// Time after a restart, in seconds, during which retries of the requests that it broke add load to other hosts.
const RESTART_LOAD_S: f64 = 5.0;

/// A fault of the script, drawn as a band in plots. Times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultBand {
    /// Name of the fault in the scenario.
    pub name: String,
    /// Kind of the fault.
    pub kind: String,
    /// Start of the fault.
    pub from_s: f64,
    /// End of the fault.
    pub to_s: f64,
}

impl FaultBand {
    fn of(fault: &FaultSpec) -> Self {
        Self {
            name: fault.name.clone(),
            kind: fault.kind.name().into(),
            from_s: fault.at as f64 / 1e6,
            to_s: (fault.at + fault_duration(fault)) as f64 / 1e6,
        }
    }
}

/// The record of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Version of the record's format.
    #[serde(rename = "form")]
    pub format_version: u32,
    /// Name of the scenario.
    pub scenario: String,
    /// Description of the scenario.
    #[serde(rename = "about")]
    pub description: String,
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the run, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Time at the start that does not count for the service, in seconds.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// Overrides of the scenario's settings.
    #[serde(rename = "sets")]
    pub overrides: Vec<SettingOverride>,
    /// Whether the run was made in virtual time; otherwise it was made on sockets.
    pub in_virtual_time: bool,
    /// Service that clients received.
    pub service: Service,
    /// Verdict on each rule.
    pub rules: Vec<RuleVerdict>,
    /// Number of host crashes by overload during warm-up.
    #[serde(rename = "fallen")]
    pub warm_up_crashes: usize,
    /// Faults of the script.
    #[serde(rename = "bands")]
    pub faults: Vec<FaultBand>,
    /// Outcomes of requests, by the second in which the requests were sent.
    pub by_second: Vec<SecondTally>,
    /// Load, crashes and starts of each host.
    pub hosts: Vec<HostTimeline>,
}

impl Run {
    /// Runs a scenario in virtual time and records it. Returns the simulator's outcome as well.
    pub fn simulate(
        scenario: &Scenario,
        overrides: &[SettingOverride],
    ) -> Result<(Self, simulator::Outcome), ReportError> {
        let outcome = simulator::run(scenario, None).map_err(ReportError::Run)?;
        let run = Self::new(
            scenario,
            overrides,
            true,
            &outcome.service,
            &outcome.rules,
            &outcome.trace,
        );
        Ok((run, outcome))
    }

    /// Returns the record of a finished run.
    pub fn new(
        scenario: &Scenario,
        overrides: &[SettingOverride],
        in_virtual_time: bool,
        service: &Service,
        rules: &[RuleVerdict],
        trace: &[TraceEntry],
    ) -> Self {
        Self {
            format_version: FORMAT_VERSION,
            scenario: scenario.name.clone(),
            description: scenario.description.clone(),
            seed: scenario.seed,
            duration_s: scenario.duration_s,
            warm_up_s: scenario.workload.warm_up as f64 / 1e6,
            overrides: overrides.to_vec(),
            in_virtual_time,
            service: service.clone(),
            rules: rules.to_vec(),
            warm_up_crashes: count_warm_up_crashes(trace),
            faults: scenario.faults.iter().map(FaultBand::of).collect(),
            by_second: tallies::measure(scenario, trace),
            hosts: host_load::measure(scenario, trace),
        }
    }

    /// Returns the load that restarts cause on other hosts: the highest load of a cache and of a parent in any second
    /// up to 5 s after a restart. Hosts that restarted within the last 10 s themselves are excluded.
    pub fn peak_loads_after_restarts(&self) -> (f64, f64) {
        (
            self.peak_load_after_restarts("cache"),
            self.peak_load_after_restarts("parent"),
        )
    }

    fn peak_load_after_restarts(&self, role: &str) -> f64 {
        self.hosts
            .iter()
            .filter(|host| host.role == role)
            .flat_map(|host| {
                host.load
                    .iter()
                    .enumerate()
                    .map(move |(second, load)| (host, second as f64, f64::from(*load)))
            })
            .filter(|(host, second, _)| {
                self.is_after_restart(*second)
                    && !host.restarted_within(*second, 2.0 * RESTART_LOAD_S)
            })
            .map(|(_, _, load)| load)
            .fold(0.0, f64::max)
    }

    /// Whether any host restarted in this second or up to [`RESTART_LOAD_S`] before it.
    fn is_after_restart(&self, second: f64) -> bool {
        self.hosts
            .iter()
            .flat_map(|host| &host.started)
            .any(|at| second + 1.0 > *at && second < at + RESTART_LOAD_S)
    }

    /// Returns the number of violations of all rules.
    pub fn violations(&self) -> usize {
        self.rules.iter().map(|rule| rule.violations.len()).sum()
    }
}

/// Returns how long a fault lasts. A purge takes no time and a hub restart lasts for its downtime. Faults that stop or
/// pause processes up to the end of their duration last until the last of these processes runs again.
fn fault_duration(fault: &FaultSpec) -> Micros {
    match fault.kind {
        FaultKind::Purge => 0,
        FaultKind::HubRestart => fault.downtime,
        FaultKind::RollingRestart
        | FaultKind::KillDispatchers
        | FaultKind::Ageing
        | FaultKind::PauseDispatchers
        | FaultKind::StopDispatchers => fault.duration + fault.downtime,
        _ => fault.duration,
    }
}
