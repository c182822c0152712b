//! The content of the watched prefix at one revision, and the updates that its changes produce.
use super::{Header, KeyValue, Output, Revision, WatchEvent};
use crate::layout::{self, DispatcherRecord, KeyName, LayoutError, MemberRecord};
use pointspindle_protocol::{EndpointListForm, EndpointListHead, EndpointRecord, PurgeHead};
use std::collections::BTreeMap;

/// Endpoints and dispatchers as stored at [`StoreView::revision`]. Complete revisions are applied in order, exactly once.
///
/// Holds one entry for each stored endpoint and dispatcher; an entry is removed when its key is deleted. Purges are forwarded and
/// not retained.
#[derive(Debug)]
pub(super) struct StoreView {
    prefix: String,
    cluster: u64,
    /// Revision of the view; 0 before the first snapshot.
    revision: Revision,
    endpoints: BTreeMap<String, MemberRecord>,
    dispatchers: BTreeMap<String, DispatcherRecord>,
    /// Sequence number of the last endpoint list.
    sequence: u64,
}

/// The records of a snapshot.
#[derive(Debug, Default)]
pub(super) struct SnapshotRecords {
    endpoints: BTreeMap<String, MemberRecord>,
    dispatchers: BTreeMap<String, DispatcherRecord>,
    /// Purges that the view did not contain yet, with their revisions.
    new_purges: Vec<(Revision, PurgeHead)>,
}

/// A parsed record, with its address or name if it has one.
enum StoredRecord {
    Endpoint(String, MemberRecord),
    Dispatcher(String, DispatcherRecord),
    Purge(PurgeHead),
}

/// Changes of a sequence of watch events, collected to be reported as one update of each kind.
#[derive(Default)]
struct PendingUpdate {
    endpoints: BTreeMap<String, EndpointRecord>,
    dispatchers_changed: bool,
}

impl StoreView {
    pub(super) fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            cluster: 0,
            revision: 0,
            endpoints: BTreeMap::new(),
            dispatchers: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub(super) fn cluster(&self) -> u64 {
        self.cluster
    }

    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    pub(super) fn endpoints(&self) -> &BTreeMap<String, MemberRecord> {
        &self.endpoints
    }

    /// Whether no snapshot has been read yet.
    pub(super) fn is_empty(&self) -> bool {
        self.revision == 0
    }

    /// Whether a response with this header continues the history of the view. Returns false if it came from another cluster, or
    /// from one that was restored to an earlier revision.
    pub(super) fn is_continued_by(&self, header: Header) -> bool {
        header.cluster == self.cluster && header.revision >= self.revision
    }

    /// Records that all events up to `revision` have been applied, including revisions without changes under the prefix.
    pub(super) fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Parses the keys of a snapshot. Purges up to `known_revision` are already in force.
    pub(super) fn parse_snapshot(
        &self,
        keys: Vec<KeyValue>,
        known_revision: Revision,
        out: &mut Vec<Output>,
    ) -> SnapshotRecords {
        let mut records = SnapshotRecords::default();
        for kv in keys {
            match self.parse_record(&kv) {
                Ok(Some(StoredRecord::Endpoint(address, record))) => {
                    records.endpoints.insert(address, record);
                }
                Ok(Some(StoredRecord::Dispatcher(name, record))) => {
                    records.dispatchers.insert(name, record);
                }
                Ok(Some(StoredRecord::Purge(head))) if kv.mod_revision > known_revision => {
                    records.new_purges.push((kv.mod_revision, head));
                }
                Ok(Some(StoredRecord::Purge(_)) | None) => {}
                Err(error) => out.push(Output::InvalidKey(error)),
            }
        }
        records.new_purges.sort_by_key(|(revision, _)| *revision);
        records
    }

    /// Replaces the view with a snapshot. Purges are reported before endpoints, so that they are in force when a returning endpoint
    /// receives requests.
    pub(super) fn replace(
        &mut self,
        header: Header,
        records: SnapshotRecords,
        wall_ms: u64,
        out: &mut Vec<Output>,
    ) {
        self.cluster = header.cluster;
        self.revision = header.revision;
        self.endpoints = records.endpoints;
        self.dispatchers = records.dispatchers;
        let purges = records.new_purges.into_iter();
        out.extend(purges.map(|(_, head)| Output::Purge(head)));
        out.push(Output::Dispatchers(self.dispatchers.clone()));
        let endpoints = self
            .endpoints
            .iter()
            .map(|(address, record)| record.to_endpoint(address, wall_ms))
            .collect();
        self.push_endpoint_list(EndpointListForm::Full, endpoints, out);
    }

    /// Applies events of complete revisions in order. Events that the view already contains are skipped.
    pub(super) fn apply(&mut self, events: Vec<WatchEvent>, wall_ms: u64, out: &mut Vec<Output>) {
        let known_revision = self.revision;
        let mut update = PendingUpdate::default();
        for event in events {
            if event.revision() <= known_revision {
                continue;
            }
            self.advance_to(event.revision());
            let applied = match event {
                WatchEvent::Put(kv) => self.apply_put(&kv, wall_ms, &mut update, out),
                WatchEvent::Delete { key, .. } => self.apply_delete(&key, &mut update),
            };
            if let Err(error) = applied {
                out.push(Output::InvalidKey(error));
            }
        }
        if update.dispatchers_changed {
            out.push(Output::Dispatchers(self.dispatchers.clone()));
        }
        if !update.endpoints.is_empty() {
            let endpoints = update.endpoints.into_values().collect();
            self.push_endpoint_list(EndpointListForm::Delta, endpoints, out);
        }
    }

    fn apply_put(
        &mut self,
        kv: &KeyValue,
        wall_ms: u64,
        update: &mut PendingUpdate,
        out: &mut Vec<Output>,
    ) -> Result<(), LayoutError> {
        match self.parse_record(kv)? {
            Some(StoredRecord::Endpoint(address, record)) => {
                let endpoint = record.to_endpoint(&address, wall_ms);
                update.endpoints.insert(address.clone(), endpoint);
                self.endpoints.insert(address, record);
            }
            Some(StoredRecord::Dispatcher(name, record)) => {
                let previous = self.dispatchers.insert(name, record.clone());
                update.dispatchers_changed |= previous != Some(record);
            }
            Some(StoredRecord::Purge(head)) => out.push(Output::Purge(head)),
            None => {}
        }
        Ok(())
    }

    fn apply_delete(&mut self, key: &[u8], update: &mut PendingUpdate) -> Result<(), LayoutError> {
        match layout::parse_key(&self.prefix, key)? {
            Some(KeyName::Member(address)) => {
                self.endpoints.remove(&address);
                let removed = layout::removed_endpoint(&address);
                update.endpoints.insert(address, removed);
            }
            Some(KeyName::Dispatcher(name)) => {
                update.dispatchers_changed |= self.dispatchers.remove(&name).is_some();
            }
            // A purge stays in force after its key has expired.
            Some(KeyName::Purge(_)) | None => {}
        }
        Ok(())
    }

    fn push_endpoint_list(
        &mut self,
        form: EndpointListForm,
        endpoints: Vec<EndpointRecord>,
        out: &mut Vec<Output>,
    ) {
        self.sequence += 1;
        out.push(Output::EndpointList(EndpointListHead {
            form: form as i32,
            seq: self.sequence,
            endpoints,
        }));
    }

    fn parse_record(&self, kv: &KeyValue) -> Result<Option<StoredRecord>, LayoutError> {
        let Some(name) = layout::parse_key(&self.prefix, &kv.key)? else {
            return Ok(None);
        };
        let record = match name {
            KeyName::Member(address) => {
                StoredRecord::Endpoint(address, layout::parse_member(&kv.key, &kv.value)?)
            }
            KeyName::Dispatcher(name) => {
                StoredRecord::Dispatcher(name, layout::parse_dispatcher(&kv.key, &kv.value)?)
            }
            KeyName::Purge(_) => {
                StoredRecord::Purge(layout::parse_purge(&kv.key, &kv.value)?.head())
            }
        };
        Ok(Some(record))
    }
}
