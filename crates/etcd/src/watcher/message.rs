//! Inputs and outputs of the watcher.
use super::{Micros, Revision};
use crate::layout::{DispatcherRecord, LayoutError};
use pointspindle_protocol::{EndpointListHead, PurgeHead};
use std::collections::BTreeMap;

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The full key, with the prefix.
    pub key: Vec<u8>,
    /// The record as JSON.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub mod_revision: Revision,
}

/// A change of one key, delivered by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was created or overwritten.
    Put(KeyValue),
    /// A key was deleted, or its lease expired.
    Delete {
        /// The full key, with the prefix.
        key: Vec<u8>,
        /// Revision of the deletion.
        mod_revision: Revision,
    },
}

impl WatchEvent {
    pub(super) fn revision(&self) -> Revision {
        match self {
            Self::Put(kv) => kv.mod_revision,
            Self::Delete { mod_revision, .. } => *mod_revision,
        }
    }
}

/// Header of a response: the cluster that sent it and the store's revision at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Cluster id. A restored cluster has a different id.
    pub cluster: u64,
    /// Latest revision of the store.
    pub revision: Revision,
}

/// Inputs of the watcher: responses of etcd, failures and timer expirations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// All keys under the prefix, read at the header's revision.
    Snapshot {
        /// Cluster and revision of the read.
        header: Header,
        /// The keys, in any order.
        keys: Vec<KeyValue>,
    },
    /// The watch is established.
    WatchCreated {
        /// Header of the response.
        header: Header,
    },
    /// Watch events, in the order of their revisions.
    WatchEvents {
        /// Header of the response.
        header: Header,
        /// The changes.
        events: Vec<WatchEvent>,
        /// Whether more events of the same revisions follow.
        fragment: bool,
    },
    /// All events up to the header's revision have been delivered.
    Progress {
        /// Header of the response.
        header: Header,
    },
    /// The requested start revision has been compacted away.
    Compacted,
    /// The stream or the request failed.
    Failed,
    /// Response to [`Output::ReadPurgeMark`].
    PurgeMarkRead {
        /// Time of the request, as in the output.
        requested_at: Micros,
        /// Cluster id and revision of the mark (0: no mark exists); none if the read failed.
        mark: Option<(u64, Revision)>,
    },
    /// The time that [`super::Watcher::next_deadline`] returned has passed.
    Tick,
}

/// Outputs of the watcher: requests to etcd, and updates of the view for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read all keys under the prefix.
    ReadSnapshot,
    /// Watch the prefix, with fragments and progress notifications.
    StartWatch {
        /// First revision to deliver.
        start_revision: Revision,
    },
    /// Request a progress notification on the open watch.
    RequestProgress,
    /// Read the purge mark with a linearizable read.
    ReadPurgeMark {
        /// Time of the request, to be returned with the response.
        requested_at: Micros,
    },
    /// The view contains all purges that were acknowledged before the confirming read was requested.
    PurgesConfirmed {
        /// Microseconds since the confirming read was requested.
        age_us: Micros,
    },
    /// Cancel the open snapshot read or watch.
    CancelRequest,
    /// A full endpoint list or a delta.
    EndpointList(EndpointListHead),
    /// A purge that was not in the view before.
    Purge(PurgeHead),
    /// All registered dispatchers by name.
    Dispatchers(BTreeMap<String, DispatcherRecord>),
    /// Purges may have been missed.
    UpdatesMissed {
        /// Microseconds since the start of the period in which purges may have been missed. The period ends now.
        age_us: Micros,
        /// Whether this precedes the first view.
        initial: bool,
    },
    /// A key or value was skipped because it cannot be parsed.
    InvalidKey(LayoutError),
    /// The freshness of the view changed.
    Freshness(ViewFreshness),
}

/// Freshness of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewFreshness {
    /// No snapshot has been read yet.
    Unknown,
    /// The view was confirmed complete within [`super::WatcherSettings::stale_after_us`].
    Current,
    /// The view was not confirmed complete within [`super::WatcherSettings::stale_after_us`].
    Stale,
}
