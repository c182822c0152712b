//! Steps of a script.
use super::PartitionDirections;
use pointspindle::Micros;
use pointspindle_cache_model::{Fault, HostId};

/// A host's state on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It receives attempts.
    Ready,
    /// It finishes its attempts and receives no new ones.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// One step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptStep {
    /// A fault begins at a host.
    Fault {
        /// The host.
        host: HostId,
        /// What happens to it.
        fault: Fault,
    },
    /// The endpoint list changes at its source; dispatchers are notified later.
    EndpointUpdate {
        /// The host.
        host: HostId,
        /// Its new state.
        state: ListedState,
    },
    /// A running host becomes unreachable (its connections break and new ones are refused) or reachable.
    Reachability {
        /// The host.
        host: HostId,
        /// Whether connections are possible.
        reachable: bool,
    },
    /// Packets between a host and all dispatchers are dropped, or pass again.
    Partition {
        /// The host.
        host: HostId,
        /// Whether packets are dropped.
        partitioned: bool,
    },
    /// Purges the groups of this number, in all classes.
    PurgeGroup {
        /// The groups' number within their classes.
        group: u64,
    },
    /// Purges one object.
    PurgeObject {
        /// The object's path.
        object: String,
        /// Its purge group.
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
    /// A dispatcher's process is paused or resumed.
    PauseDispatcher {
        /// The dispatcher.
        dispatcher: usize,
        /// Whether it is paused.
        paused: bool,
    },
    /// A dispatcher begins a graceful shutdown: it still answers what it has accepted.
    StopDispatcher {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// Packets between a zone and the others are dropped, or pass again.
    ZonePartition {
        /// The zone.
        zone: usize,
        /// The directions that are dropped; `None` ends the partition.
        directions: Option<PartitionDirections>,
        /// When the partition ends, microseconds.
        until: Micros,
    },
    /// Notifications of endpoint list updates are delayed.
    EndpointUpdateDelay {
        /// Delay on top of the usual one, microseconds.
        extra: Micros,
        /// When that ends, microseconds.
        until: Micros,
    },
    /// A line for the report.
    Note(String),
}
