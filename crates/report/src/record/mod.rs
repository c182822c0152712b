//! What is kept of a run: figures, time series by second, and the faults of its script. It holds no times of the
//! machine, so that the same seed gives the same bytes.
mod host_load;
mod tallies;

use crate::ReportError;
use pointspindle::Micros;
use pointspindle_audit::service::Service;
use pointspindle_audit::trace::TraceEntry;
use pointspindle_audit::{count_cold_crashes, RuleVerdict};
use pointspindle_scenario::script::{FaultKind, FaultSpec};
use pointspindle_scenario::{Scenario, SettingOverride};
use pointspindle_simulator as simulator;
use serde::{Deserialize, Serialize};

pub use host_load::HostTimeline;
pub use tallies::SecondTally;

/// Version of the format of a run's file.
pub const FORMAT_VERSION: u32 = 1;

/// For this long after a restart, in seconds, the retries of its broken requests are a load on other hosts.
const RESTART_LOAD_S: f64 = 5.0;

/// A fault of the script, for bands in plots. Times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultBand {
    /// Name of the fault in the scenario.
    pub name: String,
    /// Kind of the fault.
    pub kind: String,
    /// When it begins.
    pub from_s: f64,
    /// When it ends.
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

/// What is kept of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Version of the format.
    #[serde(rename = "form")]
    pub format_version: u32,
    /// Name of the scenario.
    pub scenario: String,
    /// What the scenario says of itself.
    #[serde(rename = "about")]
    pub description: String,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Seconds at the start that do not count for the service.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// Settings that differ from the scenario's.
    #[serde(rename = "sets")]
    pub overrides: Vec<SettingOverride>,
    /// Whether it was run in virtual time, or on sockets.
    pub in_virtual_time: bool,
    /// The service that clients got.
    pub service: Service,
    /// The verdict on each rule.
    pub rules: Vec<RuleVerdict>,
    /// Hosts that crashed by overload during their warm-up.
    #[serde(rename = "fallen")]
    pub cold_crashes: usize,
    /// The faults of the script.
    #[serde(rename = "bands")]
    pub faults: Vec<FaultBand>,
    /// How requests ended, by the second in which they were sent.
    pub by_second: Vec<SecondTally>,
    /// The load of each host.
    pub hosts: Vec<HostTimeline>,
}

impl Run {
    /// Runs a scenario in virtual time and keeps its figures.
    pub fn play(
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

    /// The figures of a finished run.
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
            cold_crashes: count_cold_crashes(trace),
            faults: scenario.faults.iter().map(FaultBand::of).collect(),
            by_second: tallies::measure(scenario, trace),
            hosts: host_load::measure(scenario, trace),
        }
    }

    /// What restarts put on other hosts: the highest load of a cache and of a parent in any of the 5 s after a restart,
    /// those left out that have restarted within the last 10 s themselves.
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

    /// Whether a host restarted in this second, or up to [`RESTART_LOAD_S`] before it.
    fn is_after_restart(&self, second: f64) -> bool {
        self.hosts
            .iter()
            .flat_map(|host| &host.started)
            .any(|at| second + 1.0 > *at && second < at + RESTART_LOAD_S)
    }

    /// Number of violations of all rules.
    pub fn violations(&self) -> usize {
        self.rules.iter().map(|rule| rule.violations.len()).sum()
    }
}

/// How long a fault lasts: some kinds have no duration of their own, others end with the last restart.
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
