//! The measurements of a scale run, as they are kept in `steps.json`.
use pointspindle_dispatcher::StateCounts;
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use serde::{Deserialize, Serialize};

/// The lags of the updates of one phase, from written to in force at a dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lag {
    /// Updates written.
    pub written: u64,
    /// Updates received, over all dispatchers.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Updates that a dispatcher never received, over all dispatchers.
    #[serde(rename = "never")]
    pub missing: u64,
    /// Median lag, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the lag, milliseconds.
    pub p99_ms: f64,
    /// Longest lag, milliseconds.
    pub longest_ms: f64,
}

/// The resources that all processes of one kind use together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// Processor time as a share of a core, within the phase.
    pub cores: f64,
    /// Resident memory, MB.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// One phase at one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// The phase's name, as in the capacity page's figures.
    pub name: String,
    /// Its length, seconds.
    pub seconds: f64,
    /// The control store's traffic within the phase.
    pub traffic: TrafficCounts,
    /// The control store's process.
    pub store: ResourceUsage,
    /// The hollow dispatchers' processes.
    pub dispatchers: ResourceUsage,
    /// The hollow cache hosts' processes.
    pub hosts: ResourceUsage,
    /// Lags of purges, where the phase writes purges.
    pub purges: Option<Lag>,
    /// Lags of changes of the endpoint list, where the phase writes those.
    pub changes: Option<Lag>,
    /// Until every view was current, milliseconds; none: not waited for.
    #[serde(rename = "whole_ms")]
    pub current_after_ms: Option<f64>,
    /// A dispatcher's state, on the mean.
    #[serde(rename = "items")]
    pub state: StateCounts,
}

/// All phases at one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Hollow dispatchers.
    pub dispatchers: usize,
    /// Hollow cache hosts.
    pub hosts: usize,
    /// The phases in the order of the run.
    pub phases: Vec<Phase>,
    /// From start to the first current view when all start at once: p50, p90 and longest, milliseconds.
    pub ready_ms: [f64; 3],
    /// The same after a restart of one process's dispatchers.
    pub restart_ready_ms: [f64; 3],
}
