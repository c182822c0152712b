//! The steps of a script.
use super::PartitionDirections;
use pointspindle::Micros;
use pointspindle_cache_model::{Fault, HostId};

/// State of a host on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The host receives attempts.
    Ready,
    /// The host finishes its attempts and receives no new ones.
    Draining,
    /// The host is no longer listed.
    Removed,
}

/// A step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptStep {
    /// A fault begins at a host.
    Fault {
        /// The host.
        host: HostId,
        /// The fault.
        fault: Fault,
    },
    /// The endpoint list changes at its source; dispatchers are notified later.
    EndpointUpdate {
        /// The host.
        host: HostId,
        /// New state of the host.
        state: ListedState,
    },
    /// A running host becomes unreachable or reachable. When it becomes unreachable, its connections break and new ones
    /// are refused.
    Reachability {
        /// The host.
        host: HostId,
        /// Whether the host is reachable from now on.
        reachable: bool,
    },
    /// A partition between a host and all dispatchers begins or ends.
    Partition {
        /// The host.
        host: HostId,
        /// Whether packets are dropped from now on.
        partitioned: bool,
    },
    /// The groups with the same number in all classes are purged.
    PurgeGroup {
        /// Number of the groups within their classes.
        group: u64,
    },
    /// An object is purged.
    PurgeObject {
        /// Path of the object.
        object: String,
        /// Purge group of the object.
        group: u64,
    },
    /// A dispatcher is killed.
    KillDispatcher {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher is started.
    StartDispatcher {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// The process of a dispatcher is paused or resumed.
    PauseDispatcher {
        /// The dispatcher.
        dispatcher: usize,
        /// Whether the process is paused from now on.
        paused: bool,
    },
    /// A dispatcher begins a graceful shutdown: it completes the requests that it has accepted.
    StopDispatcher {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A partition between a zone and the others begins or ends.
    ZonePartition {
        /// The zone.
        zone: usize,
        /// Directions in which packets are dropped; `None` ends the partition.
        directions: Option<PartitionDirections>,
        /// End of the partition, microseconds since the start of the run.
        until: Micros,
    },
    /// Notifications of endpoint list updates are delayed.
    EndpointUpdateDelay {
        /// Delay in addition to the usual one, microseconds.
        extra: Micros,
        /// End of the additional delay, microseconds since the start of the run.
        until: Micros,
    },
    /// A line for the report.
    Note(String),
}
