//! Inputs and outputs of the watcher.
use super::{Micros, Revision};
use crate::layout::{DispatcherRecord, LayoutError};
use pointspindle_protocol::{EndpointListHead, PurgeHead};
use std::collections::BTreeMap;

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The whole key, with the prefix.
    pub key: Vec<u8>,
    /// The record, as JSON.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub mod_revision: Revision,
}

/// One change of a key, as a watch delivers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was created or overwritten.
    Put(KeyValue),
    /// A key was deleted, or its lease expired.
    Delete {
        /// The whole key, with the prefix.
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

/// The header of a response: the cluster that sent it and the store's revision at that moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Cluster id. A restored cluster has another one.
    pub cluster: u64,
    /// The newest revision of the store.
    pub revision: Revision,
}

/// Responses of etcd, failures and timer expirations.
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
        /// Cluster and revision.
        header: Header,
    },
    /// Watch events, in the order of their revisions.
    WatchEvents {
        /// Cluster and revision.
        header: Header,
        /// The changes.
        events: Vec<WatchEvent>,
        /// More events of the same revisions follow.
        fragment: bool,
    },
    /// All events up to the header's revision have been delivered.
    Progress {
        /// Cluster and revision.
        header: Header,
    },
    /// The requested start revision has been compacted away.
    Compacted,
    /// The stream or the request failed.
    Failed,
    /// Response to [`Output::ReadPurgeMark`].
    PurgeMarkRead {
        /// When the read was requested: the value in the output.
        requested_at: Micros,
        /// Cluster and revision of the mark (0: no mark exists); none if the read failed.
        mark: Option<(u64, Revision)>,
    },
    /// The time of [`super::Watcher::next`] has passed.
    Tick,
}

/// Requests to etcd, and updates of the view for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read all keys under the prefix.
    ReadSnapshot,
    /// Watch the prefix, with fragments and progress notifications.
    StartWatch {
        /// First revision to deliver.
        from: Revision,
    },
    /// Request a progress notification on the open watch.
    RequestProgress,
    /// Read the purge mark with a linearizable read.
    ReadPurgeMark {
        /// To be returned with the response.
        requested_at: Micros,
    },
    /// All purges acknowledged up to this long ago are in the view.
    PurgesConfirmed {
        /// Microseconds since the confirming read was requested.
        ago: Micros,
    },
    /// Cancel the open snapshot read or watch.
    CancelRequest,
    /// The full endpoint list or a delta.
    EndpointList(EndpointListHead),
    /// A purge that was not in the view before.
    Purge(PurgeHead),
    /// All registered dispatchers, by name.
    Dispatchers(BTreeMap<String, DispatcherRecord>),
    /// Purges may have been missed.
    UpdatesMissed {
        /// Length of the period in question, up to now.
        age_us: Micros,
        /// There was no view before.
        initial: bool,
    },
    /// A key or value that is skipped because it cannot be parsed.
    InvalidKey(LayoutError),
    /// The freshness of the view has changed.
    View(View),
}

/// Freshness of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// No snapshot has been read yet.
    Unknown,
    /// The view was confirmed complete within [`super::WatcherSettings::stale_after_us`].
    Current,
    /// It was not.
    Stale,
}
