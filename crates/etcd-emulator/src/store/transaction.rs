//! Transactions: comparisons, and operations that are committed as one revision.
use super::{in_range, RequestError, Store};
use pointspindle_etcd::proto::*;
use std::cmp::Ordering;

impl Store {
    /// Runs a transaction.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, RequestError> {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.compare_matches(compare));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        self.check_leases(operations)?;
        let revision = self.revision + 1;
        let mut events = Vec::new();
        let mut responses = Vec::new();
        for operation in operations {
            let Some(request) = &operation.request else {
                continue;
            };
            let response = self.run_operation(revision, request, &mut events)?;
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

    fn compare_matches(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let Some(order) = target_ordering(compare, kv) else {
            return false;
        };
        match CompareResult::try_from(compare.result) {
            Ok(CompareResult::Equal) => order.is_eq(),
            Ok(CompareResult::Greater) => order.is_gt(),
            Ok(CompareResult::Less) => order.is_lt(),
            Ok(CompareResult::NotEqual) => order.is_ne(),
            Err(_) => false,
        }
    }

    /// Returns an error if a put refers to an unknown lease, which fails the whole transaction.
    fn check_leases(&self, operations: &[RequestOp]) -> Result<(), RequestError> {
        for operation in operations {
            if let Some(request_op::Request::Put(put)) = &operation.request {
                if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                    return Err(RequestError::NoLease);
                }
            }
        }
        Ok(())
    }

    fn run_operation(
        &mut self,
        revision: i64,
        request: &request_op::Request,
        events: &mut Vec<Event>,
    ) -> Result<response_op::Response, RequestError> {
        let response = match request {
            request_op::Request::Range(range) => response_op::Response::Range(self.range(range)?),
            request_op::Request::Put(put) => {
                events.push(self.put(revision, put));
                response_op::Response::Put(PutResponse::default())
            }
            request_op::Request::DeleteRange(delete) => {
                let deleted = self.delete_range(revision, delete);
                let count = deleted.len() as i64;
                events.extend(deleted);
                response_op::Response::DeleteRange(DeleteRangeResponse {
                    deleted: count,
                    ..Default::default()
                })
            }
        };
        Ok(response)
    }

    /// Commits events as a revision. Without events, the revision does not change.
    pub(super) fn commit(&mut self, revision: i64, events: Vec<Event>) {
        if !events.is_empty() {
            self.revision = revision;
            self.log.insert(revision, events);
        }
    }

    fn put(&mut self, revision: i64, put: &PutRequest) -> Event {
        let previous = self.keys.get(&put.key).cloned();
        let previous_lease = previous.as_ref().map_or(0, |kv| kv.lease);
        if let Some(lease) = self.leases.get_mut(&previous_lease) {
            lease.keys.remove(&put.key);
        }
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.clone());
        }
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: previous.as_ref().map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: previous.as_ref().map_or(0, |kv| kv.version) + 1,
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), kv.clone());
        Event {
            r#type: EventType::Put as i32,
            kv: Some(kv),
            prev_kv: previous,
        }
    }

    fn delete_range(&mut self, revision: i64, delete: &DeleteRangeRequest) -> Vec<Event> {
        let keys: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|key| in_range(key, &delete.key, &delete.range_end))
            .cloned()
            .collect();
        keys.iter()
            .filter_map(|key| self.delete(revision, key))
            .collect()
    }

    pub(super) fn delete(&mut self, revision: i64, key: &[u8]) -> Option<Event> {
        let previous = self.keys.remove(key)?;
        if let Some(lease) = self.leases.get_mut(&previous.lease) {
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
            prev_kv: Some(previous),
        })
    }
}

/// Compares the target property of a key with the value of the comparison. Returns none if the
/// comparison has no value, or if it compares the stored value of a key that does not exist.
fn target_ordering(compare: &Compare, kv: Option<&KeyValue>) -> Option<Ordering> {
    use compare::TargetUnion;
    let order = match compare.target_union.as_ref()? {
        TargetUnion::Version(v) => kv.map_or(0, |kv| kv.version).cmp(v),
        TargetUnion::CreateRevision(v) => kv.map_or(0, |kv| kv.create_revision).cmp(v),
        TargetUnion::ModRevision(v) => kv.map_or(0, |kv| kv.mod_revision).cmp(v),
        TargetUnion::Lease(v) => kv.map_or(0, |kv| kv.lease).cmp(v),
        TargetUnion::Value(v) => kv?.value.cmp(v),
    };
    Some(order)
}
