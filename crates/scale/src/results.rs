//! The measurements of a scale run, as stored in `steps.json`.
use pointspindle_dispatcher::StateCounts;
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use serde::{Deserialize, Serialize};

/// Lags of the updates of one phase, from the write to the moment that the update is in force at a dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lag {
    /// Number of updates written.
    pub written: u64,
    /// Number of updates received, summed over all dispatchers.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Number of updates that a dispatcher did not receive, summed over all dispatchers. They have no lag and are not included
    /// in the quantiles.
    #[serde(rename = "never")]
    pub missing: u64,
    /// Median lag of the received updates, milliseconds; 0 if no lag was recorded.
    pub p50_ms: f64,
    /// 99th percentile of the lags of the received updates, milliseconds; 0 if no lag was recorded.
    pub p99_ms: f64,
    /// Longest lag of the received updates, milliseconds; 0 if no lag was recorded.
    pub longest_ms: f64,
}

/// Resources used by all processes of one kind together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// Processor time within the phase, divided by the phase's length.
    pub cores: f64,
    /// Resident memory, MB.
    pub memory_mb: f64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

/// Measurements of one phase at one fleet size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Name of the phase, as in the names of figures.
    pub name: String,
    /// Length of the phase, seconds.
    pub seconds: f64,
    /// Traffic of the control store within the phase.
    pub traffic: TrafficCounts,
    /// Usage of the control store's process.
    pub store: ResourceUsage,
    /// Usage of the hollow dispatchers' processes.
    pub dispatchers: ResourceUsage,
    /// Usage of the hollow cache hosts' processes.
    pub hosts: ResourceUsage,
    /// Lags of purges, if the phase writes purges.
    pub purges: Option<Lag>,
    /// Lags of endpoint list changes, if the phase writes them.
    pub changes: Option<Lag>,
    /// Time until every view was current, milliseconds; `None` if the phase does not wait for it.
    #[serde(rename = "whole_ms")]
    pub current_after_ms: Option<f64>,
    /// Mean state counts of a dispatcher, rounded down.
    #[serde(rename = "items")]
    pub state: StateCounts,
}

/// Measurements of all phases at one fleet size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of hollow dispatchers.
    pub dispatchers: usize,
    /// Number of hollow cache hosts.
    pub hosts: usize,
    /// The phases in the order of the run.
    pub phases: Vec<Phase>,
    /// Time from start to the first current view when all dispatchers start at once: p50, p90 and longest,
    /// milliseconds.
    pub ready_ms: [f64; 3],
    /// Time from start to the first current view after a restart of one process's dispatchers: p50, p90 and longest,
    /// milliseconds.
    pub restart_ready_ms: [f64; 3],
}
