//! A stand-in etcd: its v3 API over real gRPC in front of [`store::Store`], with faults on demand. One member, nothing on disk.
#![forbid(unsafe_code)]

pub mod measure;
mod store;
pub mod traffic;
mod watches;

pub use store::{RequestError, Store};

use futures_util::StreamExt;
use pointspindle::Micros;
use pointspindle_etcd::client::stubs::auth_server::{Auth, AuthServer};
use pointspindle_etcd::client::stubs::k_v_server::{KVServer, KV};
use pointspindle_etcd::client::stubs::lease_server::{Lease, LeaseServer};
use pointspindle_etcd::client::stubs::watch_server::WatchServer;
use pointspindle_etcd::proto::*;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

/// Leases are looked at so often.
const LOOK: Duration = Duration::from_millis(50);

/// What goes wrong at the stand-in, all of it until it is told otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails and every stream ends.
    pub away: bool,
    /// Streams stay open and carry nothing more: half-open connections.
    pub silent: bool,
    /// The member has no leader: watches that ask for one are cancelled.
    pub no_leader: bool,
    /// Each answer of a watch waits for so long.
    pub delay: Duration,
    /// Events of one answer to a watch that takes fragments; 0: all.
    pub fragment: usize,
    /// Streams break after the first fragment of several.
    pub cut_fragments: bool,
}

struct Inner {
    store: Mutex<Store>,
    /// Counts writes, and everything else after which watches look again.
    changed: watch::Sender<u64>,
    /// Counts the times that all streams were dropped.
    dropped: watch::Sender<u64>,
    faults: watch::Sender<Faults>,
    user: Option<(String, String)>,
    born: Instant,
    traffic: traffic::Traffic,
}

/// Clones are the same cluster.
#[derive(Clone)]
pub struct EtcdEmulator {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for EtcdEmulator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StandIn")
    }
}

impl EtcdEmulator {
    /// `user`: name and password without which nothing is answered.
    pub fn new(user: Option<(String, String)>) -> Self {
        let inner = Inner {
            store: Mutex::new(Store::new(0x5e7d_0001)),
            changed: watch::channel(0).0,
            dropped: watch::channel(0).0,
            faults: watch::channel(Faults::default()).0,
            user,
            born: Instant::now(),
            traffic: traffic::Traffic::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Listens on a loopback port of the system's choice.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let incoming =
            TcpIncoming::from_listener(listener, true, None).map_err(std::io::Error::other)?;
        let counted = self.inner.traffic.sockets();
        let incoming = incoming.map(move |socket| socket.map(|socket| counted.count(socket)));
        let serve = tonic::transport::Server::builder()
            .add_service(KVServer::new(self.clone()))
            .add_service(WatchServer::new(self.clone()))
            .add_service(LeaseServer::new(self.clone()))
            .add_service(AuthServer::new(self.clone()))
            .serve_with_incoming(incoming);
        tokio::spawn(serve);
        let leases = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                leases.change(|store, now| store.expire(now));
            }
        });
        Ok(at)
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.inner
            .store
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// What has gone over the wire since the start, by kind of message.
    pub fn traffic(&self) -> &traffic::Traffic {
        &self.inner.traffic
    }

    fn now(&self) -> Micros {
        self.inner.born.elapsed().as_micros() as Micros
    }

    /// Does something to the store; watches look again if its revision moved.
    fn change<T>(&self, change: impl FnOnce(&mut Store, Micros) -> T) -> T {
        let (done, moved) = {
            let mut store = self.store();
            let before = store.revision();
            let done = change(&mut store, self.now());
            (done, store.revision() != before)
        };
        if moved {
            self.inner.changed.send_modify(|n| *n += 1);
        }
        done
    }

    pub fn inspect<T>(&self, look: impl FnOnce(&Store) -> T) -> T {
        look(&self.store())
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.inner.faults.send_modify(change);
    }

    /// Every stream breaks, once.
    pub fn drop_streams(&self) {
        self.inner.dropped.send_modify(|n| *n += 1);
    }

    /// All history is compacted away.
    pub fn compact(&self) {
        self.change(|store, _| {
            let newest = store.revision();
            let _ = store.compact(newest);
        });
    }

    /// Goes back to an older revision, as another cluster; streams break.
    pub fn restore(&self, revision: i64) -> Result<(), RequestError> {
        let cluster = 0x5e7d_0000 + (self.now() & 0xffff) + 2;
        let done = self.change(|store, _| store.restore(revision, cluster));
        self.drop_streams();
        done
    }

    /// Who may call, and whether anybody is answered now.
    async fn admit(&self, metadata: &tonic::metadata::MetadataMap) -> Result<(), Status> {
        let faults = self.inner.faults.borrow().clone();
        if faults.away {
            return Err(Status::unavailable("the stand-in is away"));
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let Some((name, _)) = &self.inner.user else {
            return Ok(());
        };
        let shown = metadata.get("token").and_then(|t| t.to_str().ok());
        match shown == Some(format!("{name}.token").as_str()) {
            true => Ok(()),
            false => Err(Status::unauthenticated("etcdserver: invalid auth token")),
        }
    }
}

fn refused(why: RequestError) -> Status {
    match why {
        RequestError::Compacted => {
            Status::out_of_range("etcdserver: mvcc: required revision has been compacted")
        }
        RequestError::FutureRevision => {
            Status::out_of_range("etcdserver: mvcc: required revision is a future revision")
        }
        RequestError::NoLease => Status::not_found("etcdserver: requested lease not found"),
    }
}

#[tonic::async_trait]
impl KV for EtcdEmulator {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        self.admit(request.metadata()).await?;
        let answer = self.store().range(request.get_ref()).map_err(refused)?;
        let kind = if request.get_ref().range_end.is_empty() {
            "read"
        } else {
            "snapshot"
        };
        self.inner.traffic.call(kind, request.get_ref(), &answer);
        Ok(Response::new(answer))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.admit(request.metadata()).await?;
        let put = RequestOp {
            request: Some(request_op::Request::Put(request.into_inner())),
        };
        let request = TxnRequest {
            success: vec![put],
            ..Default::default()
        };
        let done = self
            .change(|store, _| store.txn(&request))
            .map_err(refused)?;
        Ok(Response::new(PutResponse {
            header: done.header,
            prev_kv: None,
        }))
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.admit(request.metadata()).await?;
        let delete = RequestOp {
            request: Some(request_op::Request::DeleteRange(request.into_inner())),
        };
        let request = TxnRequest {
            success: vec![delete],
            ..Default::default()
        };
        let done = self
            .change(|store, _| store.txn(&request))
            .map_err(refused)?;
        let deleted = match done.responses.first().and_then(|r| r.response.as_ref()) {
            Some(response_op::Response::DeleteRange(told)) => told.deleted,
            _ => 0,
        };
        Ok(Response::new(DeleteRangeResponse {
            header: done.header,
            deleted,
            prev_kvs: vec![],
        }))
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        self.admit(request.metadata()).await?;
        let done = self
            .change(|store, _| store.txn(request.get_ref()))
            .map_err(refused)?;
        self.inner.traffic.call(
            traffic::of_write(request.get_ref()),
            request.get_ref(),
            &done,
        );
        Ok(Response::new(done))
    }

    async fn compact(
        &self,
        request: Request<CompactionRequest>,
    ) -> Result<Response<CompactionResponse>, Status> {
        self.admit(request.metadata()).await?;
        self.change(|store, _| store.compact(request.get_ref().revision))
            .map_err(refused)?;
        Ok(Response::new(CompactionResponse {
            header: Some(self.inspect(Store::header)),
        }))
    }
}

type Answers<T> = Pin<Box<dyn futures_util::Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl Lease for EtcdEmulator {
    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.admit(request.metadata()).await?;
        let ttl = request.get_ref().ttl;
        let id = self.change(|store, now| store.grant(now, ttl));
        let (header, error) = (Some(self.inspect(Store::header)), String::new());
        let answer = LeaseGrantResponse {
            header,
            id,
            ttl,
            error,
        };
        self.inner
            .traffic
            .call("lease granted", request.get_ref(), &answer);
        Ok(Response::new(answer))
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.admit(request.metadata()).await?;
        self.change(|store, _| store.revoke(request.get_ref().id))
            .map_err(refused)?;
        Ok(Response::new(LeaseRevokeResponse {
            header: Some(self.inspect(Store::header)),
        }))
    }

    type LeaseKeepAliveStream = Answers<LeaseKeepAliveResponse>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        self.admit(request.metadata()).await?;
        let state = (self.clone(), request.into_inner());
        let answers = futures_util::stream::unfold(state, |(etcd, mut asked)| async move {
            let question = asked.message().await.ok()??;
            let id = question.id;
            let ttl = etcd.change(|store, now| store.keep_alive(now, id));
            let answer = LeaseKeepAliveResponse {
                header: Some(etcd.inspect(Store::header)),
                id,
                ttl,
            };
            etcd.inner.traffic.call("lease kept", &question, &answer);
            Some((Ok(answer), (etcd, asked)))
        });
        Ok(Response::new(Box::pin(answers)))
    }
}

#[tonic::async_trait]
impl Auth for EtcdEmulator {
    async fn authenticate(
        &self,
        request: Request<AuthenticateRequest>,
    ) -> Result<Response<AuthenticateResponse>, Status> {
        let asked = request.into_inner();
        match &self.inner.user {
            Some((name, password)) if *name == asked.name && *password == asked.password => {
                let (header, token) = (Some(self.inspect(Store::header)), format!("{name}.token"));
                Ok(Response::new(AuthenticateResponse { header, token }))
            }
            Some(_) => Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            )),
            None => Err(Status::failed_precondition(
                "etcdserver: authentication is not enabled",
            )),
        }
    }
}
