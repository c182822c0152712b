//! The messages between the runner and the processes of a scale run, one JSON object per line.
//!
//! The runner sends a process its [`NodeRole`]. The process sends a [`Report`] when it is ready, and one report in
//! answer to each [`Command`].
use pointspindle_dispatcher::StateCounts;
use pointspindle_etcd::layout::MemberRecord;
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use serde::{Deserialize, Serialize};

/// The role of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeRole {
    /// The emulated control store.
    Store,
    /// A process of hollow dispatchers.
    Dispatchers(DispatcherNodes),
    /// A process of hollow cache hosts, without a store and bodies.
    CacheHosts {
        /// Numbers of the cache hosts in the fleet.
        nodes: NodeRange,
    },
}

/// A range of hollow nodes with consecutive numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRange {
    /// Number of the first node in the fleet.
    pub first: usize,
    /// Number of nodes.
    pub count: usize,
    /// Number of sites that the fleet is spread over.
    pub sites: usize,
}

impl NodeRange {
    /// Returns the numbers of the nodes in the fleet.
    pub fn numbers(&self) -> std::ops::Range<usize> {
        self.first..self.first + self.count
    }
}

/// The hollow dispatchers of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatcherNodes {
    /// URL of the control store.
    pub store: String,
    /// Numbers of the dispatchers in the fleet.
    pub nodes: NodeRange,
    /// Promised time until a purge is in force, milliseconds; 0 means no promise.
    pub promise_ms: f64,
}

/// A command from the runner to a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Requests a report.
    Report,
    /// Clears the recorded lags and requests a report.
    ResetLags,
    /// Makes the control store unavailable (`true`) or available again (`false`).
    SetUnavailable(bool),
    /// Compacts the control store's history.
    Compact,
    /// Breaks all streams of the control store.
    DropStreams,
}

/// A report from a process to the runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// Report of the control store.
    Store {
        /// URL of the control store.
        endpoint: String,
        /// Traffic of the control store since its start.
        traffic: TrafficCounts,
    },
    /// Report of a process of hollow dispatchers.
    Dispatchers(DispatcherReport),
    /// Records of the hollow cache hosts of a process, sent when they are ready.
    CacheHosts(Vec<CacheHostRecord>),
    /// Acknowledgement without data.
    Done,
}

/// A cache host and its record in the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheHostRecord {
    /// Address and port of the cache host.
    pub address: String,
    /// Record of the cache host in the endpoint list.
    pub record: MemberRecord,
}

/// State and recorded lags of the hollow dispatchers of one process, combined.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DispatcherReport {
    /// Number of dispatchers with a current view.
    pub current: usize,
    /// Time from the start of the process's dispatchers to each one's first current view, milliseconds.
    pub ready_ms: Vec<f64>,
    /// Lags of purges, from the write to the moment they are in force.
    pub purges: Vec<LagCount>,
    /// Lags of endpoint list changes, from the write to the moment they are in force.
    pub changes: Vec<LagCount>,
    /// Sum of the dispatchers' state counts.
    pub state: StateCounts,
}

/// Number of times that a lag was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LagCount {
    /// Lag, microseconds.
    pub micros: u64,
    /// Number of times that it was recorded.
    pub count: u64,
}
