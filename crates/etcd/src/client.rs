//! etcd's v3 API over gRPC: several endpoints, TLS, user and password.
//!
//! A call goes to the endpoint that answered last; when that fails, the next call goes to the next one. What is asked for streams
//! does not outlive its answer's receiver.
#![allow(clippy::result_large_err)] // tonic's own error, made only where a call fails.
use crate::proto::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Code, Request, Status, Streaming};

/// Stubs, written by `build.rs`.
#[allow(clippy::all, missing_debug_implementations, unreachable_pub)]
pub mod stubs {
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.KV.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Watch.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Lease.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Auth.rs"));
}

/// Keys of one page of a snapshot.
const PAGE: i64 = 5_000;
/// Largest answer that is taken: a page of members and purges is far below.
const MOST_BYTES: usize = 64 * 1024 * 1024;

/// Where etcd is and how to get in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Access {
    /// `http://ADDRESS:PORT`, or `https` with [`Access::authority`].
    pub endpoints: Vec<String>,
    /// PEM of the authority of the endpoints' certificates.
    pub authority: Option<PathBuf>,
    /// Own certificate and key, PEM.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// User, and the file whose first line is the password.
    pub user: Option<(String, PathBuf)>,
}

#[derive(Debug, thiserror::Error)]
pub enum EtcdError {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("{endpoint}: {reason}")]
    Endpoint { endpoint: String, reason: String },
    #[error("no endpoint is given")]
    NoEndpoint,
    /// Nothing says whether a write was done.
    #[error("{endpoint}: {} ({:?})", status.message(), status.code())]
    Call {
        endpoint: String,
        status: Box<Status>,
    },
    /// A read at a revision that is not kept any more.
    #[error("history before that revision is compacted away")]
    Compacted,
}

struct Door {
    name: String,
    channel: Channel,
}

struct Inner {
    doors: Vec<Door>,
    at: AtomicUsize,
    patience: Duration,
    user: Option<(String, String)>,
    token: Mutex<Option<MetadataValue<Ascii>>>,
}

/// Clones share connections and token.
#[derive(Clone)]
pub struct Etcd {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for Etcd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Never the password.
        write!(f, "Etcd at {} endpoints", self.inner.doors.len())
    }
}

/// A page-wise read of a prefix, whole at one revision.
#[derive(Debug)]
pub struct Snapshot {
    pub header: ResponseHeader,
    pub keys: Vec<KeyValue>,
}

impl Etcd {
    /// Connects when first needed. `patience`: longest wait for a connection, and for the answer of a call that is no stream.
    pub fn new(access: &Access, patience: Duration) -> Result<Self, EtcdError> {
        let read =
            |file: &PathBuf| std::fs::read(file).map_err(|e| EtcdError::File(file.clone(), e));
        let mut tls = None;
        if access.endpoints.iter().any(|e| e.starts_with("https://")) {
            let mut config = ClientTlsConfig::new();
            if let Some(file) = &access.authority {
                config = config.ca_certificate(Certificate::from_pem(read(file)?));
            }
            if let Some((certificate, key)) = &access.identity {
                config = config.identity(Identity::from_pem(read(certificate)?, read(key)?));
            }
            tls = Some(config);
        }
        let user = match &access.user {
            Some((name, file)) => {
                let text = String::from_utf8_lossy(&read(file)?).into_owned();
                Some((
                    name.clone(),
                    text.lines().next().unwrap_or_default().to_owned(),
                ))
            }
            None => None,
        };
        let mut doors = Vec::new();
        for name in &access.endpoints {
            let failed = |e: tonic::transport::Error| EtcdError::Endpoint {
                endpoint: name.clone(),
                reason: std::error::Error::source(&e).map_or(e.to_string(), |s| s.to_string()),
            };
            let mut endpoint = Endpoint::from_shared(name.clone()).map_err(failed)?;
            endpoint = endpoint
                .connect_timeout(patience)
                // A machine that lost power answers no ping, and its connection is given up.
                .http2_keep_alive_interval(Duration::from_secs(2))
                .keep_alive_timeout(Duration::from_secs(2));
            if let Some(tls) = tls.clone().filter(|_| name.starts_with("https://")) {
                endpoint = endpoint.tls_config(tls).map_err(failed)?;
            }
            doors.push(Door {
                name: name.clone(),
                channel: endpoint.connect_lazy(),
            });
        }
        if doors.is_empty() {
            return Err(EtcdError::NoEndpoint);
        }
        let (at, token) = (AtomicUsize::new(0), Mutex::new(None));
        Ok(Self {
            inner: Arc::new(Inner {
                doors,
                at,
                patience,
                user,
                token,
            }),
        })
    }

    fn door(&self) -> (usize, &Door) {
        let at = self.inner.at.load(Ordering::Relaxed) % self.inner.doors.len();
        (at, &self.inner.doors[at])
    }

    /// The next call goes to the next endpoint; also for streams that broke.
    pub fn turn_away(&self, from: usize) {
        let next = (from + 1) % self.inner.doors.len();
        let _ = self
            .inner
            .at
            .compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn token(&self) -> std::sync::MutexGuard<'_, Option<MetadataValue<Ascii>>> {
        self.inner
            .token
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn log_in(&self, channel: &Channel) -> Result<(), Status> {
        let Some((name, password)) = self.inner.user.clone() else {
            return Ok(());
        };
        if self.token().is_some() {
            return Ok(());
        }
        let mut auth = stubs::auth_client::AuthClient::new(channel.clone());
        let answer = auth
            .authenticate(AuthenticateRequest { name, password })
            .await?;
        let token = answer.into_inner().token.parse();
        *self.token() = Some(token.map_err(|_| Status::internal("a token that cannot be sent"))?);
        Ok(())
    }

    fn with_token<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = self.token().clone() {
            request.metadata_mut().insert("token", token);
        }
        request
    }

    /// One call at the endpoint whose turn it is. A token that is not taken any more is asked for anew, once.
    async fn call<T, F>(&self, mut make: impl FnMut(Channel) -> F) -> Result<T, EtcdError>
    where
        F: std::future::Future<Output = Result<tonic::Response<T>, Status>>,
    {
        let (at, door) = self.door();
        let once = async {
            self.log_in(&door.channel).await?;
            let answer = make(door.channel.clone()).await;
            match answer {
                Err(e) if e.code() == Code::Unauthenticated && self.inner.user.is_some() => {
                    *self.token() = None;
                    self.log_in(&door.channel).await?;
                    make(door.channel.clone()).await
                }
                answer => answer,
            }
        };
        let answer = tokio::time::timeout(self.inner.patience, once).await;
        let answer = answer.unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer in time")));
        match answer {
            Ok(answer) => Ok(answer.into_inner()),
            Err(status) if is_compacted(&status) => Err(EtcdError::Compacted),
            Err(status) => {
                self.turn_away(at);
                Err(EtcdError::Call {
                    endpoint: door.name.clone(),
                    status: Box::new(status),
                })
            }
        }
    }

    pub async fn range(&self, request: RangeRequest) -> Result<RangeResponse, EtcdError> {
        self.call(|channel| {
            let request = self.with_token(request.clone());
            let kv = stubs::k_v_client::KVClient::new(channel);
            let mut kv = kv.max_decoding_message_size(MOST_BYTES);
            async move { kv.range(request).await }
        })
        .await
    }

    pub async fn txn(&self, request: TxnRequest) -> Result<TxnResponse, EtcdError> {
        self.call(|channel| {
            let request = self.with_token(request.clone());
            let mut kv = stubs::k_v_client::KVClient::new(channel);
            async move { kv.txn(request).await }
        })
        .await
    }

    /// A lease; its number and the seconds that it was given.
    pub async fn grant(&self, seconds: i64) -> Result<(i64, i64), EtcdError> {
        let granted = self
            .call(|channel| {
                let request = self.with_token(LeaseGrantRequest {
                    ttl: seconds,
                    id: 0,
                });
                let mut lease = stubs::lease_client::LeaseClient::new(channel);
                async move { lease.lease_grant(request).await }
            })
            .await?;
        Ok((granted.id, granted.ttl))
    }

    pub async fn revoke(&self, id: i64) -> Result<(), EtcdError> {
        self.call(|channel| {
            let request = self.with_token(LeaseRevokeRequest { id });
            let mut lease = stubs::lease_client::LeaseClient::new(channel);
            async move { lease.lease_revoke(request).await }
        })
        .await
        .map(drop)
    }

    /// Keeps a lease once; the seconds that it has from now. 0: it is gone.
    pub async fn keep_alive(&self, id: i64) -> Result<i64, EtcdError> {
        let kept = self
            .call(|channel| {
                let once = futures_util::stream::once(async move { LeaseKeepAliveRequest { id } });
                let request = self.with_token(once);
                let mut lease = stubs::lease_client::LeaseClient::new(channel);
                async move {
                    let mut answers = lease.lease_keep_alive(request).await?.into_inner();
                    let answer = answers.message().await?;
                    let answer = answer
                        .ok_or_else(|| Status::unavailable("the stream ended without a word"))?;
                    Ok(tonic::Response::new(answer))
                }
            })
            .await?;
        Ok(kept.ttl)
    }

    /// All keys that begin with a prefix, as of one revision, read page by page.
    pub async fn snapshot(&self, prefix: &str) -> Result<Snapshot, EtcdError> {
        let end = after(prefix.as_bytes());
        let (mut keys, mut header) = (Vec::new(), None);
        let mut from = prefix.as_bytes().to_vec();
        loop {
            let revision = header.as_ref().map_or(0, |h: &ResponseHeader| h.revision);
            let page = RangeRequest {
                key: from,
                range_end: end.clone(),
                limit: PAGE,
                revision,
                ..Default::default()
            };
            let page = self.range(page).await?;
            let told = page.header.unwrap_or_default();
            let cluster = told.cluster_id;
            let first: &mut ResponseHeader = header.get_or_insert(told);
            if first.cluster_id != cluster {
                return Err(EtcdError::Endpoint {
                    endpoint: self.door().1.name.clone(),
                    reason: "another cluster than a moment ago".into(),
                });
            }
            keys.extend(page.kvs);
            match keys.last().filter(|_| page.more) {
                Some(last) => from = [&last.key[..], &[0]].concat(),
                None => {
                    return Ok(Snapshot {
                        header: header.unwrap_or_default(),
                        keys,
                    })
                }
            }
        }
    }

    /// A stream of watch requests and answers at the endpoint whose turn it is; which one that was.
    pub async fn watch<S>(
        &self,
        requests: S,
    ) -> Result<(usize, Streaming<WatchResponse>), (usize, EtcdError)>
    where
        S: futures_util::Stream<Item = WatchRequest> + Send + 'static,
    {
        let (at, door) = self.door();
        let open = async {
            self.log_in(&door.channel).await?;
            let mut request = self.with_token(requests);
            // A member without a leader must say so, and not stay silent.
            request
                .metadata_mut()
                .insert("hasleader", MetadataValue::from_static("true"));
            let watch = stubs::watch_client::WatchClient::new(door.channel.clone());
            let mut watch = watch.max_decoding_message_size(MOST_BYTES);
            watch.watch(request).await
        };
        let opened = tokio::time::timeout(self.inner.patience, open).await;
        let opened = opened.unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer in time")));
        opened
            .map(|answers| (at, answers.into_inner()))
            .map_err(|status| {
                if status.code() == Code::Unauthenticated {
                    *self.token() = None;
                }
                (
                    at,
                    EtcdError::Call {
                        endpoint: door.name.clone(),
                        status: Box::new(status),
                    },
                )
            })
    }
}

fn is_compacted(status: &Status) -> bool {
    status.code() == Code::OutOfRange && status.message().contains("compacted")
}

/// The first key after all that begin with a prefix.
pub fn after(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.last_mut() {
        if *last < 0xff {
            *last += 1;
            return end;
        }
        end.pop();
    }
    vec![0]
}
