//! Writes of operators and dispatchers, each one transaction: a change is made on what was read, or not at all.
use crate::client::{Etcd, EtcdError};
use crate::layout::{self, DispatcherRecord, MemberRecord, PurgeRecord};
use crate::proto::*;
use rand::Rng;
use std::time::Duration;

/// Times that a change is made anew because somebody else was quicker.
const TRIES: usize = 20;
/// A purge's key lives for so long: older copies are nowhere left then.
pub const PURGE_SECONDS: i64 = 60;

#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error(transparent)]
    Etcd(#[from] EtcdError),
    #[error(transparent)]
    Value(#[from] layout::BadKey),
    #[error("{0}: changed by others {TRIES} times while it was to be changed")]
    Crowded(String),
    /// The caller's own reason, from the change.
    #[error("{0}")]
    Refused(String),
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

/// A key's last change is still this one; 0: it does not exist.
fn unchanged(key: &str, revision: i64) -> Compare {
    Compare {
        result: CompareResult::Equal as i32,
        target: CompareTarget::Mod as i32,
        key: key.as_bytes().to_vec(),
        target_union: Some(compare::TargetUnion::ModRevision(revision)),
    }
}

fn json<T: serde::Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Changes a member's record: `change` gets what is there and says what is to be; none: it is taken away. The revision.
pub async fn member(
    etcd: &Etcd,
    prefix: &str,
    address: &str,
    change: impl Fn(Option<MemberRecord>) -> Result<Option<MemberRecord>, String>,
) -> Result<i64, WriteError> {
    let key = layout::member_key(prefix, address);
    for _ in 0..TRIES {
        let read = etcd
            .range(RangeRequest {
                key: key.clone().into_bytes(),
                ..Default::default()
            })
            .await?;
        let known = read.kvs.first();
        let record = known
            .map(|kv| layout::member(&kv.key, &kv.value))
            .transpose()?;
        let operation = match change(record).map_err(WriteError::Refused)? {
            Some(record) => put(key.clone(), json(&record), 0),
            None => {
                let delete = DeleteRangeRequest {
                    key: key.clone().into_bytes(),
                    ..Default::default()
                };
                RequestOp {
                    request: Some(request_op::Request::DeleteRange(delete)),
                }
            }
        };
        let compare = vec![unchanged(&key, known.map_or(0, |kv| kv.mod_revision))];
        let done = etcd
            .txn(TxnRequest {
                compare,
                success: vec![operation],
                failure: vec![],
            })
            .await?;
        if done.succeeded {
            return Ok(done.header.unwrap_or_default().revision);
        }
    }
    Err(WriteError::Crowded(key))
}

/// Writes a purge under a lease of its own. Asked again after a failure it writes another one: twice purged is purged. The revision.
pub async fn purge(etcd: &Etcd, prefix: &str, record: &PurgeRecord) -> Result<i64, WriteError> {
    let (lease, _) = etcd.grant(PURGE_SECONDS).await?;
    for _ in 0..TRIES {
        let key = layout::purge_key(
            prefix,
            &format!("{:032x}", rand::thread_rng().gen::<u128>()),
        );
        let mark = put(layout::purge_mark(prefix), Vec::new(), 0);
        let (compare, success) = (
            vec![unchanged(&key, 0)],
            vec![put(key, json(record), lease), mark],
        );
        let done = etcd
            .txn(TxnRequest {
                compare,
                success,
                failure: vec![],
            })
            .await?;
        if done.succeeded {
            return Ok(done.header.unwrap_or_default().revision);
        }
    }
    Err(WriteError::Crowded(layout::watched(prefix)))
}

/// What the dispatchers that are registered promise of a purge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Promise {
    pub dispatchers: usize,
    /// The longest time that one of them promises.
    pub within_ms: u64,
    /// Those that promise nothing.
    pub without: Vec<String>,
}

pub async fn promise(etcd: &Etcd, prefix: &str) -> Result<Promise, WriteError> {
    let from = layout::dispatcher_key(prefix, "");
    let read = etcd.snapshot(&from).await?;
    let mut promise = Promise {
        dispatchers: read.keys.len(),
        ..Promise::default()
    };
    for kv in read.keys {
        let name = String::from_utf8_lossy(&kv.key[from.len().min(kv.key.len())..]).into_owned();
        match layout::dispatcher(&kv.key, &kv.value)?.purge_within_ms {
            Some(ms) => promise.within_ms = promise.within_ms.max(ms),
            None => promise.without.push(name),
        }
    }
    Ok(promise)
}

/// What a dispatcher hears of its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// The key stands until so long after the question was asked.
    Until(Duration),
    /// It stands no more, or nobody could say.
    Lost,
}

/// Keeps a dispatcher's key under a lease, for as long as `tell` returns true. `tell` gets each word with the time that it took to
/// come. The key is written anew where it is gone: after a lost lease, or a restored cluster.
pub async fn register(
    etcd: Etcd,
    prefix: String,
    name: String,
    record: DispatcherRecord,
    seconds: i64,
    mut tell: impl FnMut(Kept, Duration) -> bool,
) {
    let every = Duration::from_secs_f64(seconds as f64 / 4.0);
    let mut lease = None;
    loop {
        let asked = tokio::time::Instant::now();
        let kept = match lease {
            Some(id) => keep(&etcd, &prefix, &name, &record, id).await,
            None => match etcd.grant(seconds).await {
                Ok((id, _)) => keep(&etcd, &prefix, &name, &record, id).await,
                Err(e) => Err(e),
            },
        };
        let told = match kept {
            Ok((id, ttl)) if ttl > 0 => {
                lease = Some(id);
                Kept::Until(Duration::from_secs(ttl as u64))
            }
            Ok(_) => {
                lease = None;
                Kept::Lost
            }
            Err(e) => {
                tracing::warn!(error = %e, "etcd: the registration is not kept");
                // Also a cluster that does not know the lease: the next round makes another one.
                lease = lease.filter(|_| !matches!(&e, EtcdError::Call { status, .. } if status.code() == tonic::Code::NotFound));
                Kept::Lost
            }
        };
        if !tell(told, asked.elapsed()) {
            if let Some(id) = lease {
                // Told to go: others need not wait for the lease's end.
                let _ = etcd.revoke(id).await;
            }
            return;
        }
        // At once after a lost one.
        let pause = if lease.is_some() { every } else { every / 4 };
        tokio::time::sleep(pause.saturating_sub(asked.elapsed())).await;
    }
}

/// Keeps the lease, and sees to it that the key is there and under this lease: somebody may have taken it away, or a process of the
/// same name that is gone has left its own. The lease and the seconds that it has.
async fn keep(
    etcd: &Etcd,
    prefix: &str,
    name: &str,
    record: &DispatcherRecord,
    id: i64,
) -> Result<(i64, i64), EtcdError> {
    let ttl = etcd.keep_alive(id).await?;
    if ttl > 0 {
        let key = layout::dispatcher_key(prefix, name);
        let held = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Lease as i32,
            key: key.clone().into_bytes(),
            target_union: Some(compare::TargetUnion::Lease(id)),
        };
        let write = vec![put(key, json(record), id)];
        etcd.txn(TxnRequest {
            compare: vec![held],
            success: vec![],
            failure: write,
        })
        .await?;
    }
    Ok((id, ttl))
}
