//! etcd's store as its clients see it, without I/O: keys with revisions, history up to a compaction, transactions, leases.
//!
//! Follows the published API: a transaction is one revision, a deleted key's event carries that revision, a read before the
//! compaction is refused, a lease that ends takes its keys along.
use pointspindle::Micros;
use pointspindle_etcd::proto::*;
use std::collections::{BTreeMap, BTreeSet};

/// What etcd refuses, in its own words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    Compacted,
    FutureRevision,
    NoLease,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: i64,
    ends: Micros,
    /// The store's revision when it was granted.
    granted: i64,
    keys: BTreeSet<Vec<u8>>,
}

#[derive(Clone, Debug)]
pub struct Store {
    cluster: u64,
    revision: i64,
    /// Nothing up to this one is kept.
    compacted: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// By revision, each event with what was there before.
    log: BTreeMap<i64, Vec<Event>>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

fn within(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

impl Store {
    pub fn new(cluster: u64) -> Self {
        Self {
            cluster,
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            log: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    pub fn revision(&self) -> i64 {
        self.revision
    }

    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    pub fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: self.cluster,
            member_id: 1,
            revision: self.revision,
            raft_term: 1,
        }
    }

    /// The keys as they were at a revision: what came after is taken back.
    fn at(&self, revision: i64) -> Result<BTreeMap<Vec<u8>, KeyValue>, RequestError> {
        if revision > self.revision {
            return Err(RequestError::FutureRevision);
        }
        if revision < self.compacted {
            return Err(RequestError::Compacted);
        }
        let mut keys = self.keys.clone();
        for event in self
            .log
            .range(revision + 1..)
            .rev()
            .flat_map(|(_, events)| events.iter().rev())
        {
            let Some(kv) = &event.kv else { continue };
            match &event.prev_kv {
                Some(before) => keys.insert(kv.key.clone(), before.clone()),
                None => keys.remove(&kv.key),
            };
        }
        Ok(keys)
    }

    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, RequestError> {
        let old = match request.revision {
            0 => None,
            revision => Some(self.at(revision)?),
        };
        let from = old
            .as_ref()
            .unwrap_or(&self.keys)
            .range(request.key.clone()..);
        let fits = from.take_while(|(key, _)| {
            request.range_end == [0] || within(key, &request.key, &request.range_end)
        });
        let all: Vec<&KeyValue> = fits.map(|(_, kv)| kv).collect();
        let most = if request.limit > 0 {
            request.limit as usize
        } else {
            usize::MAX
        };
        let (count, more) = (all.len() as i64, all.len() > most);
        let kvs = all.into_iter().take(most).cloned().collect();
        Ok(RangeResponse {
            header: Some(self.header()),
            kvs,
            more,
            count,
        })
    }

    fn holds(&self, compare: &Compare) -> bool {
        use compare::TargetUnion;
        let kv = self.keys.get(&compare.key);
        let order = match &compare.target_union {
            Some(TargetUnion::Version(v)) => kv.map_or(0, |kv| kv.version).cmp(v),
            Some(TargetUnion::CreateRevision(v)) => kv.map_or(0, |kv| kv.create_revision).cmp(v),
            Some(TargetUnion::ModRevision(v)) => kv.map_or(0, |kv| kv.mod_revision).cmp(v),
            Some(TargetUnion::Lease(v)) => kv.map_or(0, |kv| kv.lease).cmp(v),
            Some(TargetUnion::Value(v)) => match kv {
                Some(kv) => kv.value.cmp(v),
                None => return false,
            },
            None => return false,
        };
        match CompareResult::try_from(compare.result) {
            Ok(CompareResult::Equal) => order.is_eq(),
            Ok(CompareResult::Greater) => order.is_gt(),
            Ok(CompareResult::Less) => order.is_lt(),
            Ok(CompareResult::NotEqual) => order.is_ne(),
            Err(_) => false,
        }
    }

    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, RequestError> {
        let succeeded = request.compare.iter().all(|c| self.holds(c));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for operation in operations {
            if let Some(request_op::Request::Put(put)) = &operation.request {
                if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                    return Err(RequestError::NoLease);
                }
            }
        }
        let revision = self.revision + 1;
        let (mut events, mut responses) = (Vec::new(), Vec::new());
        for operation in operations {
            let response = match &operation.request {
                Some(request_op::Request::Range(range)) => {
                    response_op::Response::Range(self.range(range)?)
                }
                Some(request_op::Request::Put(put)) => {
                    events.push(self.put(revision, put));
                    response_op::Response::Put(PutResponse::default())
                }
                Some(request_op::Request::DeleteRange(delete)) => {
                    let gone: Vec<Vec<u8>> = self.keys.keys().cloned().collect();
                    let gone = gone
                        .into_iter()
                        .filter(|k| within(k, &delete.key, &delete.range_end));
                    let gone: Vec<Event> =
                        gone.filter_map(|key| self.delete(revision, &key)).collect();
                    let deleted = gone.len() as i64;
                    events.extend(gone);
                    response_op::Response::DeleteRange(DeleteRangeResponse {
                        deleted,
                        ..Default::default()
                    })
                }
                None => continue,
            };
            responses.push(ResponseOp {
                response: Some(response),
            });
        }
        self.commit(revision, events);
        Ok(TxnResponse {
            header: Some(self.header()),
            succeeded,
            responses,
        })
    }

    fn commit(&mut self, revision: i64, events: Vec<Event>) {
        if !events.is_empty() {
            self.revision = revision;
            self.log.insert(revision, events);
        }
    }

    fn put(&mut self, revision: i64, put: &PutRequest) -> Event {
        let before = self.keys.get(&put.key).cloned();
        if let Some(lease) = before
            .as_ref()
            .and_then(|kv| self.leases.get_mut(&kv.lease))
        {
            lease.keys.remove(&put.key);
        }
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.clone());
        }
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: before.as_ref().map_or(revision, |b| b.create_revision),
            mod_revision: revision,
            version: before.as_ref().map_or(0, |b| b.version) + 1,
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), kv.clone());
        Event {
            r#type: EventType::Put as i32,
            kv: Some(kv),
            prev_kv: before,
        }
    }

    fn delete(&mut self, revision: i64, key: &[u8]) -> Option<Event> {
        let before = self.keys.remove(key)?;
        if let Some(lease) = self.leases.get_mut(&before.lease) {
            lease.keys.remove(key);
        }
        let kv = KeyValue {
            key: key.to_vec(),
            mod_revision: revision,
            ..Default::default()
        };
        Some(Event {
            r#type: EventType::Delete as i32,
            kv: Some(kv),
            prev_kv: Some(before),
        })
    }

    /// History up to this revision, which is kept itself, is forgotten.
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

    /// The cluster is restored from a copy of that revision, as another cluster.
    pub fn restore(&mut self, revision: i64, cluster: u64) -> Result<(), RequestError> {
        self.keys = self.at(revision)?;
        self.log.split_off(&(revision + 1));
        // Those of later are not in the copy.
        self.leases.retain(|_, lease| lease.granted <= revision);
        let keys = &self.keys;
        for lease in self.leases.values_mut() {
            lease.keys.retain(|key| keys.contains_key(key));
        }
        (self.revision, self.cluster) = (revision, cluster);
        Ok(())
    }

    /// Events of the watched keys from a revision on, by revision; or that they are not kept any more.
    pub fn since(&self, from: i64, key: &[u8], end: &[u8]) -> Result<Vec<Event>, RequestError> {
        if from <= self.compacted {
            return Err(RequestError::Compacted);
        }
        let events = self.log.range(from..).flat_map(|(_, events)| events);
        let mine = |e: &&Event| e.kv.as_ref().is_some_and(|kv| within(&kv.key, key, end));
        Ok(events.filter(mine).cloned().collect())
    }

    pub fn grant(&mut self, now: Micros, ttl: i64) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let ends = now + ttl.max(1) as u64 * 1_000_000;
        self.leases.insert(
            id,
            Lease {
                ttl: ttl.max(1),
                ends,
                granted: self.revision,
                keys: BTreeSet::new(),
            },
        );
        id
    }

    /// Seconds that the lease has from now; 0: it is gone.
    pub fn keep_alive(&mut self, now: Micros, id: i64) -> i64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.ends = now + lease.ttl as u64 * 1_000_000;
            lease.ttl
        })
    }

    pub fn revoke(&mut self, id: i64) -> Result<(), RequestError> {
        let lease = self.leases.remove(&id).ok_or(RequestError::NoLease)?;
        let revision = self.revision + 1;
        let events = lease
            .keys
            .iter()
            .filter_map(|key| self.delete(revision, key))
            .collect();
        self.commit(revision, events);
        Ok(())
    }

    /// Takes leases away that have ended.
    pub fn expire(&mut self, now: Micros) {
        let over: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let _ = self.revoke(id);
        }
    }
}
