//! A model of etcd's store as clients observe it, without I/O: keys with revisions, history back to the last compaction,
//! transactions and leases.
//!
//! It follows the published API: a transaction is one revision, the event of a deleted key carries that revision, a read below the
//! compacted revision is rejected, and the end of a lease deletes its keys.
mod leases;
mod transaction;

use leases::Lease;
use pointspindle_etcd::proto::*;
use std::collections::BTreeMap;

/// An error with which the store rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The requested revision has been compacted away.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
    /// The requested revision is above the store's latest revision.
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    /// The lease does not exist or has expired.
    #[error("etcdserver: requested lease not found")]
    NoLease,
}

/// Key-value store of a cluster.
#[derive(Clone, Debug)]
pub struct Store {
    cluster_id: u64,
    revision: i64,
    /// Last compacted revision; events up to it are discarded.
    compacted: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// Events by revision. Each event holds the previous key-value pair.
    log: BTreeMap<i64, Vec<Event>>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

/// Whether a key is within a range. As in etcd's API, an empty `range_end` selects the single key `start`, and a `range_end` of one
/// zero byte selects all keys from `start` on.
fn in_range(key: &[u8], start: &[u8], range_end: &[u8]) -> bool {
    match range_end {
        [] => key == start,
        [0] => key >= start,
        end => key >= start && key < end,
    }
}

impl Store {
    /// Creates an empty store for the cluster with this id.
    pub fn new(cluster_id: u64) -> Self {
        Self {
            cluster_id,
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            log: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    /// Latest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Revision of the latest compaction; 0 before the first.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Returns the header of a response.
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: self.cluster_id,
            member_id: 1,
            revision: self.revision,
            raft_term: 1,
        }
    }

    /// Returns the keys as of a revision, by undoing later events.
    fn keys_at(&self, revision: i64) -> Result<BTreeMap<Vec<u8>, KeyValue>, RequestError> {
        if revision > self.revision {
            return Err(RequestError::FutureRevision);
        }
        if revision < self.compacted {
            return Err(RequestError::Compacted);
        }
        let mut keys = self.keys.clone();
        let later = self.log.range(revision + 1..).rev();
        for event in later.flat_map(|(_, events)| events.iter().rev()) {
            let Some(kv) = &event.kv else { continue };
            match &event.prev_kv {
                Some(previous) => keys.insert(kv.key.clone(), previous.clone()),
                None => keys.remove(&kv.key),
            };
        }
        Ok(keys)
    }

    /// Reads a range of keys at the latest or an older revision.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, RequestError> {
        let old_keys = match request.revision {
            0 => None,
            revision => Some(self.keys_at(revision)?),
        };
        let keys = old_keys.as_ref().unwrap_or(&self.keys);
        let range_end = &request.range_end;
        let found: Vec<&KeyValue> = keys
            .range(request.key.clone()..)
            .take_while(|(key, _)| in_range(key, &request.key, range_end))
            .map(|(_, kv)| kv)
            .collect();
        let limit = match request.limit {
            limit @ 1.. => limit as usize,
            _ => usize::MAX,
        };
        Ok(RangeResponse {
            header: Some(self.header()),
            count: found.len() as i64,
            more: found.len() > limit,
            kvs: found.into_iter().take(limit).cloned().collect(),
        })
    }

    /// Discards the events up to this revision.
    pub fn compact(&mut self, revision: i64) -> Result<(), RequestError> {
        if revision > self.revision {
            return Err(RequestError::FutureRevision);
        }
        if revision <= self.compacted {
            return Err(RequestError::Compacted);
        }
        self.compacted = revision;
        self.log = self.log.split_off(&(revision + 1));
        Ok(())
    }

    /// Restores a snapshot of an older revision as a new cluster.
    pub fn restore(&mut self, revision: i64, cluster_id: u64) -> Result<(), RequestError> {
        self.keys = self.keys_at(revision)?;
        self.log.split_off(&(revision + 1));
        // Leases that were granted after the revision are not in the snapshot.
        self.leases.retain(|_, lease| lease.granted_at <= revision);
        let keys = &self.keys;
        for lease in self.leases.values_mut() {
            lease.keys.retain(|key| keys.contains_key(key));
        }
        self.revision = revision;
        self.cluster_id = cluster_id;
        Ok(())
    }

    /// Returns the events of a range of keys from a revision on.
    pub fn events_since(
        &self,
        revision: i64,
        key: &[u8],
        range_end: &[u8],
    ) -> Result<Vec<Event>, RequestError> {
        if revision <= self.compacted {
            return Err(RequestError::Compacted);
        }
        let is_watched = |event: &&Event| {
            let kv = event.kv.as_ref();
            kv.is_some_and(|kv| in_range(&kv.key, key, range_end))
        };
        let events = self.log.range(revision..).flat_map(|(_, events)| events);
        Ok(events.filter(is_watched).cloned().collect())
    }
}
