//! The messages between the runner and the processes of a scale run, one JSON object a line.
//!
//! The runner sends a process its [`NodeRole`] and gets a [`Report`] when it is ready; then one report for each
//! [`Command`].
use pointspindle_dispatcher::StateCounts;
use pointspindle_etcd::layout::MemberRecord;
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use serde::{Deserialize, Serialize};

/// What a process runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeRole {
    /// The emulated control store.
    Store,
    /// Hollow dispatchers.
    Dispatchers(DispatcherNodes),
    /// Hollow cache hosts: no store, no bodies.
    CacheHosts {
        /// Their numbers in the fleet.
        nodes: NodeRange,
    },
}

/// Hollow nodes with consecutive numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRange {
    /// The first one's number in the fleet.
    pub first: usize,
    /// How many.
    pub count: usize,
    /// The sites that the fleet is spread over.
    pub sites: usize,
}

impl NodeRange {
    /// Their numbers.
    pub fn numbers(&self) -> std::ops::Range<usize> {
        self.first..self.first + self.count
    }
}

/// The hollow dispatchers of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatcherNodes {
    /// URL of the control store.
    pub store: String,
    /// Their numbers in the fleet.
    pub nodes: NodeRange,
    /// Their promise that purges are in force within this, milliseconds; 0: none.
    pub promise_ms: f64,
}

/// What a process is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Report.
    Report,
    /// Forget the recorded lags, and report.
    ResetLags,
    /// Make the control store unavailable, or available again.
    SetUnavailable(bool),
    /// Compact the control store's history.
    Compact,
    /// Break all streams of the control store.
    DropStreams,
}

/// What a process reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// The control store.
    Store {
        /// Its URL.
        endpoint: String,
        /// Its traffic so far.
        traffic: TrafficCounts,
    },
    /// Hollow dispatchers.
    Dispatchers(DispatcherReport),
    /// Hollow cache hosts, when they are ready.
    CacheHosts(Vec<CacheHostRecord>),
    /// Done, with nothing to report.
    Done,
}

/// A cache host and its record in the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheHostRecord {
    /// Address and port.
    pub address: String,
    /// The record.
    pub record: MemberRecord,
}

/// What the hollow dispatchers of one process have received, together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DispatcherReport {
    /// Those with a current view.
    pub current: usize,
    /// How long each took to its first current view, milliseconds.
    pub ready_ms: Vec<f64>,
    /// Lags of purges, from written to in force.
    pub purges: Vec<LagCount>,
    /// Lags of changes of the endpoint list, from written to in force.
    pub changes: Vec<LagCount>,
    /// The sum of their state.
    pub state: StateCounts,
}

/// How often a lag was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LagCount {
    /// The lag, microseconds.
    pub micros: u64,
    /// How often.
    pub count: u64,
}
