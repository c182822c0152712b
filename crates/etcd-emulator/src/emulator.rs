//! The emulator with its store, its listeners and its injected faults.
use crate::store::{RequestError, Store};
use crate::traffic::Traffic;
use futures_util::StreamExt;
use pointspindle::Micros;
use pointspindle_etcd::client::stubs::auth_server::AuthServer;
use pointspindle_etcd::client::stubs::k_v_server::KVServer;
use pointspindle_etcd::client::stubs::lease_server::LeaseServer;
use pointspindle_etcd::client::stubs::watch_server::WatchServer;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tonic::metadata::MetadataMap;
use tonic::transport::server::TcpIncoming;
use tonic::Status;

/// Interval at which expired leases are revoked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const FIRST_CLUSTER_ID: u64 = 0x5e7d_0001;
/// Lowest id of a restored cluster. Each restore adds an offset derived from its time, so that ids rarely repeat.
const RESTORED_CLUSTER_IDS: u64 = 0x5e7d_0002;
const RESTORED_CLUSTER_MASK: u64 = 0xffff;

/// Injected faults. Each fault lasts until it is reset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether every call fails and every stream ends.
    pub unavailable: bool,
    /// Whether calls and streams stay open without any response, like half-open connections.
    pub silent: bool,
    /// Whether the member has no leader. Watch streams that require a leader then fail.
    pub no_leader: bool,
    /// Delay of each watch response.
    pub delay: Duration,
    /// Maximum number of events in one response to a watch that accepts fragments; 0 disables fragmentation.
    pub events_per_fragment: usize,
    /// Whether a stream breaks after the first of several fragments.
    pub break_between_fragments: bool,
}

pub(crate) struct Shared {
    store: Mutex<Store>,
    /// Number of writes that produced events. Watch streams subscribe to it.
    pub(crate) changed: watch::Sender<u64>,
    /// Number of times that all streams were dropped. Watch streams subscribe to it.
    pub(crate) dropped: watch::Sender<u64>,
    pub(crate) faults: watch::Sender<Faults>,
    pub(crate) user: Option<Credentials>,
    started: Instant,
    pub(crate) traffic: Traffic,
}

/// Credentials of the user of a cluster with authentication.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// User name.
    pub name: String,
    /// Password.
    pub password: String,
}

impl Credentials {
    /// Returns the authentication token that calls must carry.
    pub(crate) fn token(&self) -> String {
        format!("{}.token", self.name)
    }
}

/// An emulated etcd cluster. Clones share the cluster.
#[derive(Clone)]
pub struct EtcdEmulator {
    pub(crate) inner: Arc<Shared>,
}

impl std::fmt::Debug for EtcdEmulator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EtcdEmulator")
    }
}

impl EtcdEmulator {
    /// Creates an empty cluster. `user` is its only user; none disables authentication.
    pub fn new(user: Option<Credentials>) -> Self {
        let shared = Shared {
            store: Mutex::new(Store::new(FIRST_CLUSTER_ID)),
            changed: watch::channel(0).0,
            dropped: watch::channel(0).0,
            faults: watch::channel(Faults::default()).0,
            user,
            started: Instant::now(),
            traffic: Traffic::default(),
        };
        Self {
            inner: Arc::new(shared),
        }
    }

    /// Serves on a loopback port that the operating system assigns, until the process exits. Returns the address.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let incoming =
            TcpIncoming::from_listener(listener, true, None).map_err(std::io::Error::other)?;
        let counters = self.inner.traffic.sockets();
        let incoming = incoming.map(move |socket| socket.map(|socket| counters.wrap(socket)));
        let serve = tonic::transport::Server::builder()
            .add_service(KVServer::new(self.clone()))
            .add_service(WatchServer::new(self.clone()))
            .add_service(LeaseServer::new(self.clone()))
            .add_service(AuthServer::new(self.clone()))
            .serve_with_incoming(incoming);
        tokio::spawn(serve);
        tokio::spawn(self.clone().expire_leases());
        Ok(address)
    }

    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            self.change(|store, now| store.expire(now));
        }
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.inner
            .store
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the counters of traffic since the start, by kind of message.
    pub fn traffic(&self) -> &Traffic {
        &self.inner.traffic
    }

    fn now(&self) -> Micros {
        self.inner.started.elapsed().as_micros() as Micros
    }

    /// Changes the store, and notifies watch streams if the revision changed.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Store, Micros) -> T) -> T {
        let mut store = self.store();
        let revision_before = store.revision();
        let result = change(&mut store, self.now());
        let changed = store.revision() != revision_before;
        drop(store);
        if changed {
            self.inner.changed.send_modify(|count| *count += 1);
        }
        result
    }

    /// Reads the store.
    pub fn inspect<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(&self.store())
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.inner.faults.send_modify(change);
    }

    /// Breaks every open stream once.
    pub fn drop_streams(&self) {
        self.inner.dropped.send_modify(|count| *count += 1);
    }

    /// Compacts all history.
    pub fn compact(&self) {
        self.change(|store, _| {
            let newest = store.revision();
            // The error of a revision that is already compacted can be ignored.
            let _ = store.compact(newest);
        });
    }

    /// Restores a snapshot of an older revision as a new cluster, and breaks every open stream.
    pub fn restore(&self, revision: i64) -> Result<(), RequestError> {
        let cluster_id = RESTORED_CLUSTER_IDS + (self.now() & RESTORED_CLUSTER_MASK);
        let restored = self.change(|store, _| store.restore(revision, cluster_id));
        self.drop_streams();
        restored
    }

    /// Admits a call unless an injected fault or a missing or invalid token prevents it.
    pub(crate) async fn admit(&self, metadata: &MetadataMap) -> Result<(), Status> {
        let faults = self.inner.faults.borrow().clone();
        if faults.unavailable {
            return Err(Status::unavailable("the emulated etcd is unavailable"));
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let Some(user) = &self.inner.user else {
            return Ok(());
        };
        let token = metadata.get("token").and_then(|token| token.to_str().ok());
        if token == Some(user.token().as_str()) {
            Ok(())
        } else {
            Err(Status::unauthenticated("etcdserver: invalid auth token"))
        }
    }
}
