//! Transactions of operators and dispatchers. An endpoint's change commits only if its key is
//! unchanged since it was read, a purge only if its key is new.
use crate::client::{Etcd, EtcdError, Lease};
use crate::layout::{self, DispatcherRecord, LayoutError, MemberRecord, PurgeRecord};
use crate::proto::*;
use rand::Rng;
use std::time::Duration;

/// Maximum number of attempts at one change while other clients change the same key.
const MAX_ATTEMPTS: usize = 20;
/// Number of renewals of the registration within the time to live of its lease.
const RENEWALS_PER_LEASE: u32 = 4;
/// Number of attempts per renewal interval while the registration is lost.
const RETRIES_PER_RENEWAL_INTERVAL: u32 = 4;
/// Time to live of a purge's key in seconds. No cache holds a copy from before the purge for longer.
pub const PURGE_LEASE_S: i64 = 60;

/// An error that prevented a change.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The call failed. A write may have been committed.
    #[error(transparent)]
    Etcd(#[from] EtcdError),
    /// The stored record cannot be parsed.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// Other clients changed the key during each attempt.
    #[error("{0}: not changed, concurrent writes conflicted in all {MAX_ATTEMPTS} attempts")]
    Conflict(String),
    /// The caller's change rejected the stored record for this reason.
    #[error("{0}")]
    Rejected(String),
}

fn put(key: String, value: Vec<u8>, lease: i64) -> RequestOp {
    let put = PutRequest {
        key: key.into_bytes(),
        value,
        lease,
        ..Default::default()
    };
    RequestOp {
        request: Some(request_op::Request::Put(put)),
    }
}

fn delete(key: String) -> RequestOp {
    let delete = DeleteRangeRequest {
        key: key.into_bytes(),
        ..Default::default()
    };
    RequestOp {
        request: Some(request_op::Request::DeleteRange(delete)),
    }
}

fn to_json<T: serde::Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Commits the operations if the key was last changed at `mod_revision` (0: the key does not exist). Returns the revision of the
/// commit, or none if the key was changed in the meantime.
async fn commit_if_unchanged(
    etcd: &Etcd,
    key: &str,
    mod_revision: i64,
    operations: Vec<RequestOp>,
) -> Result<Option<i64>, EtcdError> {
    let unchanged = Compare {
        result: CompareResult::Equal as i32,
        target: CompareTarget::Mod as i32,
        key: key.as_bytes().to_vec(),
        target_union: Some(compare::TargetUnion::ModRevision(mod_revision)),
    };
    let response = etcd
        .txn(TxnRequest {
            compare: vec![unchanged],
            success: operations,
            failure: vec![],
        })
        .await?;
    let revision = response.header.unwrap_or_default().revision;
    Ok(response.succeeded.then_some(revision))
}

/// Changes an endpoint's record and returns the revision of the commit. `change` maps the stored record (none: the key does not
/// exist) to the new record (none: the key is deleted). It is called again after each conflict with a concurrent change.
pub async fn update_member(
    etcd: &Etcd,
    prefix: &str,
    address: &str,
    change: impl Fn(Option<MemberRecord>) -> Result<Option<MemberRecord>, String>,
) -> Result<i64, WriteError> {
    let key = layout::member_key(prefix, address);
    for _ in 0..MAX_ATTEMPTS {
        let request = RangeRequest {
            key: key.clone().into_bytes(),
            ..Default::default()
        };
        let stored = etcd.range(request).await?.kvs.into_iter().next();
        let record = stored
            .as_ref()
            .map(|kv| layout::parse_member(&kv.key, &kv.value))
            .transpose()?;
        let operation = match change(record).map_err(WriteError::Rejected)? {
            Some(record) => put(key.clone(), to_json(&record), 0),
            None => delete(key.clone()),
        };
        let mod_revision = stored.map_or(0, |kv| kv.mod_revision);
        let committed = commit_if_unchanged(etcd, &key, mod_revision, vec![operation]).await?;
        if let Some(revision) = committed {
            return Ok(revision);
        }
    }
    Err(WriteError::Conflict(key))
}

/// Writes a purge under its own lease and returns the revision of the commit. It is safe to repeat after an error: the retry
/// writes another purge of the same objects.
pub async fn write_purge(
    etcd: &Etcd,
    prefix: &str,
    record: &PurgeRecord,
) -> Result<i64, WriteError> {
    let lease = etcd.grant(PURGE_LEASE_S).await?.id;
    for _ in 0..MAX_ATTEMPTS {
        let id = format!("{:032x}", rand::thread_rng().gen::<u128>());
        let key = layout::purge_key(prefix, &id);
        let operations = vec![
            put(key.clone(), to_json(record), lease),
            put(layout::purge_mark_key(prefix), Vec::new(), 0),
        ];
        if let Some(revision) = commit_if_unchanged(etcd, &key, 0, operations).await? {
            return Ok(revision);
        }
    }
    Err(WriteError::Conflict(layout::watched_prefix(prefix)))
}

/// Time within which a purge is in force in the registered dispatchers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PurgePromise {
    /// Number of registered dispatchers.
    pub dispatchers: usize,
    /// Longest promised time of all dispatchers, in milliseconds.
    pub within_ms: u64,
    /// Names of the dispatchers without a promise.
    pub without_promise: Vec<String>,
}

/// Reads the purge promises of the registered dispatchers.
pub async fn read_purge_promise(etcd: &Etcd, prefix: &str) -> Result<PurgePromise, WriteError> {
    let key_prefix = layout::dispatcher_key(prefix, "");
    let snapshot = etcd.snapshot(&key_prefix).await?;
    let mut promise = PurgePromise {
        dispatchers: snapshot.keys.len(),
        ..PurgePromise::default()
    };
    for kv in snapshot.keys {
        match layout::parse_dispatcher(&kv.key, &kv.value)?.purge_within_ms {
            Some(ms) => promise.within_ms = promise.within_ms.max(ms),
            None => {
                let name = &kv.key[key_prefix.len().min(kv.key.len())..];
                promise
                    .without_promise
                    .push(String::from_utf8_lossy(name).into_owned());
            }
        }
    }
    Ok(promise)
}

/// Result of renewing a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationState {
    /// The dispatcher's key exists under a renewed lease.
    Renewed {
        /// Time to live of the lease, measured from the request.
        ttl: Duration,
    },
    /// The lease has expired, or the renewal failed.
    Lost,
}

/// Maintains a dispatcher's key under a lease of `lease_s` seconds until `on_renewal` returns false, then revokes the lease.
/// `on_renewal` receives the result and the duration of each renewal. The key is written again if it is missing, as after the
/// lease expired or the cluster was restored.
pub async fn register(
    etcd: Etcd,
    prefix: String,
    name: String,
    record: DispatcherRecord,
    lease_s: i64,
    mut on_renewal: impl FnMut(RegistrationState, Duration) -> bool,
) {
    let renewal_interval = Duration::from_secs_f64(lease_s as f64 / f64::from(RENEWALS_PER_LEASE));
    let mut registration = Registration {
        key: layout::dispatcher_key(&prefix, &name),
        etcd,
        record,
        lease_s,
        lease: None,
    };
    loop {
        let requested_at = tokio::time::Instant::now();
        let state = registration.renew().await;
        if !on_renewal(state, requested_at.elapsed()) {
            return registration.revoke().await;
        }
        let pause = match registration.lease {
            Some(_) => renewal_interval,
            None => renewal_interval / RETRIES_PER_RENEWAL_INTERVAL,
        };
        tokio::time::sleep(pause.saturating_sub(requested_at.elapsed())).await;
    }
}

/// A dispatcher's key and its lease.
struct Registration {
    etcd: Etcd,
    key: String,
    record: DispatcherRecord,
    lease_s: i64,
    /// Id of the lease; none before the first renewal and after the lease was lost.
    lease: Option<i64>,
}

impl Registration {
    async fn renew(&mut self) -> RegistrationState {
        match self.try_renew().await {
            Ok(lease) if lease.ttl_s > 0 => {
                self.lease = Some(lease.id);
                RegistrationState::Renewed {
                    ttl: Duration::from_secs(lease.ttl_s as u64),
                }
            }
            Ok(_) => {
                self.lease = None;
                RegistrationState::Lost
            }
            Err(error) => {
                tracing::warn!(%error, "etcd: registration not renewed");
                // A restored cluster may not have the lease.
                if error.is_not_found() {
                    self.lease = None;
                }
                RegistrationState::Lost
            }
        }
    }

    async fn try_renew(&self) -> Result<Lease, EtcdError> {
        let id = match self.lease {
            Some(id) => id,
            None => self.etcd.grant(self.lease_s).await?.id,
        };
        let ttl_s = self.etcd.keep_alive(id).await?;
        if ttl_s > 0 {
            self.write_key(id).await?;
        }
        Ok(Lease { id, ttl_s })
    }

    /// Writes the key unless it is attached to this lease. It may have been deleted, or be attached to the lease of an earlier
    /// process.
    async fn write_key(&self, lease: i64) -> Result<(), EtcdError> {
        let is_under_lease = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Lease as i32,
            key: self.key.clone().into_bytes(),
            target_union: Some(compare::TargetUnion::Lease(lease)),
        };
        self.etcd
            .txn(TxnRequest {
                compare: vec![is_under_lease],
                success: vec![],
                failure: vec![put(self.key.clone(), to_json(&self.record), lease)],
            })
            .await
            .map(drop)
    }

    /// Deletes the key immediately instead of when the lease expires.
    async fn revoke(&self) {
        if let Some(id) = self.lease {
            let _ = self.etcd.revoke(id).await;
        }
    }
}
