//! The dispatcher's shell on tokio: listeners, connections to members, timers and files around one core.
//!
//! Each request is a task ([`exchange`]) that carries the core's orders out; the core sits behind one lock that is
//! held for an event's handling and never over an await.
mod call_attempts;
mod connection_pool;
pub mod connection_registry;
mod control;
pub mod core_handle;
pub mod exchange;
mod framed_frontend;
mod http_frontend;
mod metrics;
mod state_file;

use crate::admission::Limits;
pub(crate) use connection_pool::FramedCore;
use connection_registry::{ConnectionPermit, ConnectionRegistry, Speaks};
use pointspindle_config::DispatcherSettings;
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, WireEndpointState,
};
use pointspindle_transport::tls::{CertificateFiles, Identity, TlsError};
use pointspindle_transport::{Listener, Network, Socket};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Where it listens, with the ports that were given.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct BoundAddresses {
    pub http: Option<SocketAddr>,
    pub framed: Option<SocketAddr>,
    #[serde(default)]
    pub https: Option<SocketAddr>,
    #[serde(default)]
    pub framed_tls: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub metrics: Option<SocketAddr>,
}

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("cannot listen on {address} ({what}): {source}")]
    Listen {
        what: &'static str,
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("TLS: {0}")]
    Tls(#[from] TlsError),
}

/// A running dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    hub: Arc<FramedCore>,
    bound: BoundAddresses,
    stop: watch::Sender<bool>,
    doors: JoinSet<()>,
    helpers: JoinSet<()>,
    identity: Option<Arc<Identity>>,
}

/// A dispatcher that knows its state file and does not listen yet: so that it can hear of drains and purges first.
#[derive(Debug)]
pub struct PreparedDispatcher {
    net: Network,
    hub: Arc<FramedCore>,
    wished: tokio::sync::mpsc::UnboundedReceiver<connection_pool::EndpointIntent>,
    helpers: JoinSet<()>,
}

impl PreparedDispatcher {
    /// Reads the state file, and takes the static list if there is no state.
    pub async fn new(net: Network, settings: DispatcherSettings, seed: u64) -> Self {
        let settings = Arc::new(settings);
        let (hub, wished) = FramedCore::framed(settings.clone(), seed, net.clone());
        let hub = Arc::new(hub);
        if !state_file::restore(&hub).await && !settings.endpoints.is_empty() {
            hub.apply_endpoint_list(static_list(&settings));
        }
        Self {
            net,
            hub,
            wished,
            helpers: JoinSet::new(),
        }
    }

    /// Lists, purges and counts come from this source too, for as long as the dispatcher runs.
    pub fn follow(&mut self, source: impl crate::control_source::ControlSource) {
        let teller = crate::control_source::ControlSink {
            hub: self.hub.clone(),
            ears: None,
        };
        self.helpers.spawn(source.run(teller));
    }

    /// The dispatcher without its doors: registration, list, purges, counts, connections to members and state file, all as ever.
    /// For rehearsals of many on one machine; `ears` hear what has come into force.
    pub fn into_hollow(
        self,
        source: impl crate::control_source::ControlSource,
        ears: crate::control_source::ControlObserver,
    ) -> HollowDispatcher {
        let Self {
            hub,
            wished,
            mut helpers,
            ..
        } = self;
        let teller = crate::control_source::ControlSink {
            hub: hub.clone(),
            ears: Some(ears),
        };
        helpers.spawn(source.run(teller));
        follow_up(&hub, wished, &mut helpers);
        HollowDispatcher {
            hub,
            _helpers: helpers,
        }
    }

    /// Waits for the source's view to be current. False: it was not in time.
    pub async fn wait_until_current(&self, longest: Duration) -> bool {
        let mut view = self.hub.view.subscribe();
        let heard = tokio::time::timeout(longest, view.wait_for(|current| *current)).await;
        matches!(heard, Ok(Ok(_)))
    }

    /// Listens.
    pub async fn open(self) -> Result<Dispatcher, StartError> {
        let Self {
            net,
            hub,
            wished,
            mut helpers,
        } = self;
        let settings = hub.settings.clone();
        let mut doors = JoinSet::new();
        let tls = |t: &pointspindle_config::TlsSettings| {
            let files = CertificateFiles {
                certificate: t.certificate.clone(),
                key: t.key.clone(),
            };
            Identity::load(files, t.client_authority.clone())
        };
        let identity = settings.tls.as_ref().map(tls).transpose()?.map(Arc::new);
        let (stop, stopping) = watch::channel(false);
        let mut bound = BoundAddresses::default();
        let l = &settings.listen;
        // One set of places for both doors: descriptors are what runs out.
        let (hard, soft) = (l.max_connections, l.soft_connections);
        let per_address = l.address_connections;
        let keeper = ConnectionRegistry::new(Limits {
            hard,
            soft,
            per_address,
            networks: l.network_quotas.clone(),
        });
        helpers.spawn(connection_registry::expire(
            keeper.clone(),
            l.idle_timeout_us,
        ));
        let door = FrontendContext {
            hub: hub.clone(),
            keeper,
            stopping: stopping.clone(),
            identity: None,
        };
        let sealed = FrontendContext {
            identity: identity.clone(),
            ..door.clone()
        };
        if let Some(listener) = listen(&net, "http", l.http, &mut bound.http).await? {
            doors.spawn(accept(
                listener,
                door.clone(),
                Speaks::Http,
                http_frontend::serve,
            ));
        }
        if let Some(listener) = listen(&net, "framed", l.framed, &mut bound.framed).await? {
            doors.spawn(accept(
                listener,
                door,
                Speaks::Framed,
                framed_frontend::serve,
            ));
        }
        if let Some(listener) = listen(&net, "https", l.https, &mut bound.https).await? {
            doors.spawn(accept(
                listener,
                sealed.clone(),
                Speaks::Http,
                http_frontend::serve,
            ));
        }
        if let Some(listener) =
            listen(&net, "framed_tls", l.framed_tls, &mut bound.framed_tls).await?
        {
            doors.spawn(accept(
                listener,
                sealed,
                Speaks::Framed,
                framed_frontend::serve,
            ));
        }
        // Operators get places of their own: a full door must not lock them out.
        let operators = || {
            ConnectionRegistry::new(Limits {
                hard: 64,
                soft: 64,
                per_address: 64,
                networks: Vec::new(),
            })
        };
        let operators = || FrontendContext {
            hub: hub.clone(),
            keeper: operators(),
            stopping: stopping.clone(),
            identity: None,
        };
        if let Some(listener) = listen(&net, "control", l.control, &mut bound.control).await? {
            let door = operators();
            doors.spawn(accept(
                listener,
                door,
                Speaks::Framed,
                |door, socket, seat| async move {
                    control::serve(door, socket).await;
                    drop(seat);
                },
            ));
        }
        if let Some(listener) = listen(&net, "metrics", l.metrics, &mut bound.metrics).await? {
            let door = operators();
            doors.spawn(accept(
                listener,
                door,
                Speaks::Http,
                |door, socket, seat| async move {
                    metrics::serve(door, socket).await;
                    drop(seat);
                },
            ));
        }
        follow_up(&hub, wished, &mut helpers);
        tracing::info!(name = %settings.name, ?bound, "dispatcher listens");
        Ok(Dispatcher {
            hub,
            bound,
            stop,
            doors,
            helpers,
            identity,
        })
    }
}

/// What goes on beside the doors.
fn follow_up(
    hub: &Arc<FramedCore>,
    wished: tokio::sync::mpsc::UnboundedReceiver<connection_pool::EndpointIntent>,
    helpers: &mut JoinSet<()>,
) {
    helpers.spawn(core_handle::run_timers(hub.clone()));
    helpers.spawn(connection_pool::sweep(hub.clone()));
    helpers.spawn(connection_pool::carry_out(hub.clone(), wished));
    if hub.settings.state_file.is_some() {
        helpers.spawn(state_file::run(hub.clone()));
    }
}

/// A dispatcher without doors ([`Prepared::hollow`]); it ends when it is dropped.
#[derive(Debug)]
pub struct HollowDispatcher {
    hub: Arc<FramedCore>,
    _helpers: JoinSet<()>,
}

/// How much a dispatcher keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StateCounts {
    #[serde(rename = "members")]
    pub endpoints: usize,
    pub purges: usize,
    pub dispatchers: usize,
    pub connections: usize,
}

impl HollowDispatcher {
    pub fn state_counts(&self) -> StateCounts {
        self.hub.items()
    }
}

impl Dispatcher {
    pub fn state_counts(&self) -> StateCounts {
        self.hub.items()
    }

    /// Reads the state file, takes the static list if there is no state, and listens.
    pub async fn start(settings: DispatcherSettings, seed: u64) -> Result<Self, StartError> {
        Self::start_on(Network::Tcp, settings, seed).await
    }

    /// ... on another network than the machine's own.
    pub async fn start_on(
        net: Network,
        settings: DispatcherSettings,
        seed: u64,
    ) -> Result<Self, StartError> {
        PreparedDispatcher::new(net, settings, seed)
            .await
            .open()
            .await
    }

    pub fn bound_addresses(&self) -> &BoundAddresses {
        &self.bound
    }

    /// Reads certificates and keys again, for connections from now on; after an error the old ones stay in use.
    pub fn reload_tls(&self) -> Result<(), TlsError> {
        self.identity
            .as_ref()
            .map_or(Ok(()), |identity| identity.reload())
    }

    /// Takes nothing new, answers what was accepted, and ends. True if all was answered in time.
    pub async fn stop(mut self) -> bool {
        let _ = self.stop.send(true);
        let longest = Duration::from_micros(self.hub.settings.listen.drain_timeout_us);
        // A door ends with its last connection, and that with its last answer written.
        let drained = async {
            self.hub.drained().await;
            while self.doors.join_next().await.is_some() {}
        };
        let drained = tokio::time::timeout(longest, drained).await.is_ok();
        tracing::info!(drained, left = self.hub.open_requests(), "dispatcher stops");
        state_file::save_at_the_end(&self.hub).await;
        self.doors.shutdown().await;
        self.helpers.shutdown().await;
        drained
    }
}

fn static_list(settings: &DispatcherSettings) -> EndpointListHead {
    let line = |m: &pointspindle_config::EndpointSpec| EndpointRecord {
        address: m.address.clone(),
        state: WireEndpointState::Ready as i32,
        weight: m.weight,
        zone: m.zone.clone(),
        kind: m.role.name().into(),
        cell: m.cell,
        incarnation: 0,
        started_ago_us: None,
    };
    let endpoints = settings.endpoints.iter().map(line).collect();
    EndpointListHead {
        form: EndpointListForm::Full as i32,
        seq: 0,
        endpoints,
    }
}

async fn listen(
    net: &Network,
    what: &'static str,
    wanted: Option<SocketAddr>,
    bound: &mut Option<SocketAddr>,
) -> Result<Option<Listener>, StartError> {
    let Some(address) = wanted else {
        return Ok(None);
    };
    let failed = |source| StartError::Listen {
        what,
        address,
        source,
    };
    let listener = net.listen(address).await.map_err(failed)?;
    *bound = Some(listener.local_addr().map_err(failed)?);
    Ok(Some(listener))
}

/// Failures of `accept` that a closing listener goes past before what may still wait there is given up.
pub const QUEUE_FAILURES: usize = 16;

/// What a door's connections share.
#[derive(Clone)]
pub(crate) struct FrontendContext {
    pub hub: Arc<FramedCore>,
    keeper: Arc<ConnectionRegistry>,
    pub stopping: watch::Receiver<bool>,
    /// Who comes in here speaks TLS.
    identity: Option<Arc<Identity>>,
}

impl FrontendContext {
    /// Returns when the dispatcher takes nothing new.
    pub async fn stopped(&self) {
        let mut stopping = self.stopping.clone();
        let _ = stopping.wait_for(|stop| *stop).await;
    }

    /// The connection as the protocols want it: after the handshake, where there is one.
    async fn opened(&self, line: Socket) -> Option<Socket> {
        let (identity, socket) = match (&self.identity, line) {
            (None, line) => return Some(line),
            (Some(identity), Socket::Tcp(socket)) => (identity, socket),
            // The simulated network carries no TLS.
            (Some(_), _) => return None,
        };
        let longest = Duration::from_micros(self.hub.settings.listen.head_timeout_us);
        let opened = tokio::time::timeout(longest, identity.accept(socket)).await;
        let why = match opened {
            Ok(Ok(line)) => return Some(line),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "not done in time".to_owned(),
        };
        self.hub.metrics.tls_failed.inc();
        tracing::info!(why, "TLS handshake");
        None
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Accepts until told to stop; each connection is a task with a seat, and who gets none is told when to come back.
async fn accept<F, Fut>(mut listener: Listener, door: FrontendContext, speaks: Speaks, serve: F)
where
    F: Fn(FrontendContext, Socket, ConnectionPermit) -> Fut + Clone + Send + 'static,
    Fut: std::future::Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = door.stopped() => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((line, peer)) => take_in(&mut connections, &door, speaks, &serve, line, peer),
            Err(e) => door.keeper.accept_failed(e).await,
        }
    }
    // What waits in the queue was accepted by the system, with the requests that are written on it.
    let mut failures = 0;
    while let Some(accepted) = listener.waiting().await {
        match accepted {
            Ok((line, peer)) => take_in(&mut connections, &door, speaks, &serve, line, peer),
            Err(_) if failures == QUEUE_FAILURES => break,
            Err(e) => {
                failures += 1;
                door.keeper.accept_failed(e).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Gives a new connection a seat and a task, or turns it away.
fn take_in<F, Fut>(
    connections: &mut JoinSet<()>,
    door: &FrontendContext,
    speaks: Speaks,
    serve: &F,
    line: Socket,
    peer: SocketAddr,
) where
    F: Fn(FrontendContext, Socket, ConnectionPermit) -> Fut + Clone + Send + 'static,
    Fut: std::future::Future<Output = ()> + Send + 'static,
{
    let keeper = door.keeper.clone();
    match keeper.admit(peer.ip()) {
        Ok(seat) if door.identity.is_none() => {
            door.hub.metrics.connections.inc();
            let (served, hub) = (serve(door.clone(), line, seat), door.hub.clone());
            connections.spawn(async move {
                served.await;
                hub.metrics.connections.dec();
            });
        }
        Ok(seat) => {
            door.hub.metrics.connections.inc();
            let (door, serve) = (door.clone(), serve.clone());
            connections.spawn(async move {
                // Boxed: what a handshake needs is not held by who has made it.
                let opened = Box::pin(door.opened(line)).await;
                let hub = door.hub.clone();
                if let Some(line) = opened {
                    serve(door, line, seat).await;
                }
                hub.metrics.connections.dec();
            });
        }
        Err(come_back) => {
            door.hub.metrics.turned_away.inc();
            // Over TLS no word before a handshake is understood, and that costs more than a crowd may.
            if door.identity.is_none() {
                connections.spawn(async move { keeper.turn_away(line, speaks, come_back).await });
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// What a door's task of one connection is given; the sender keeps the dispatcher from stopping.
    pub(crate) async fn arrival(
        door: &str,
    ) -> (
        FrontendContext,
        Socket,
        ConnectionPermit,
        watch::Sender<bool>,
    ) {
        let text = format!(
            "[dispatcher]\nzone = b\n[listen]\n{door} = 127.0.0.1:0\n[class page]\npath_prefix = /\n"
        );
        let settings =
            Arc::new(pointspindle_config::parse("test", &text).unwrap_or_else(|e| panic!("{e}")));
        let (stop, stopping) = watch::channel(false);
        let limits = Limits {
            hard: 1,
            soft: 1,
            per_address: 1,
            networks: Vec::new(),
        };
        let (hub, keeper) = (
            Arc::new(FramedCore::framed(settings, 1, Network::Tcp).0),
            ConnectionRegistry::new(limits),
        );
        let listener = Network::Tcp
            .listen(([127, 0, 0, 1], 0).into())
            .await
            .unwrap();
        let socket = Network::Tcp
            .connect(None, listener.local_addr().unwrap())
            .await
            .unwrap();
        let seat = keeper
            .admit([127, 0, 0, 1].into())
            .unwrap_or_else(|_| panic!("a free seat"));
        (
            FrontendContext {
                hub,
                keeper,
                stopping,
                identity: None,
            },
            socket,
            seat,
            stop,
        )
    }
}
