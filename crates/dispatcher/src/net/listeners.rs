//! Listeners: their addresses, the accept loop, and the admission of each connection.
//!
//! A closing listener still serves the connections in its accept queue: the operating system has accepted them, and
//! clients may have sent requests on them.
use super::connection_registry::{ConnectionPermit, ConnectionRegistry};
use super::connection_rejection::{ClientProtocol, ConnectionRejection};
use super::frontend_context::FrontendContext;
use super::{control, framed_frontend, http_frontend, metrics_frontend};
use crate::admission::ConnectionLimits;
use pointspindle_config::ListenSettings;
use pointspindle_transport::tls::TlsError;
use pointspindle_transport::{Listener, Network, Socket, MAX_ACCEPT_QUEUE_FAILURES};
use std::future::Future;
use std::net::SocketAddr;
use tokio::task::JoinSet;

/// Maximum number of connections to each of the operators' listeners.
const OPERATOR_CONNECTIONS: usize = 64;

/// The addresses that a dispatcher listens on, with the ports that the operating system assigned.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct BoundAddresses {
    /// Address for clients on HTTP/1.1.
    pub http: Option<SocketAddr>,
    /// Address for clients on the framed protocol.
    pub framed: Option<SocketAddr>,
    /// Address for clients on HTTP/1.1 over TLS.
    #[serde(default)]
    pub https: Option<SocketAddr>,
    /// Address for clients on the framed protocol over TLS.
    #[serde(default)]
    pub framed_tls: Option<SocketAddr>,
    /// Address for operators' endpoint lists and purges.
    pub control: Option<SocketAddr>,
    /// Address for scrapes of the metrics.
    pub metrics: Option<SocketAddr>,
}

/// An error that prevents a dispatcher from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {address} (listener setting `{setting}`): {source}")]
    Listen {
        /// Name of the listener's setting.
        setting: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A certificate or key could not be used.
    #[error("TLS: {0}")]
    Tls(#[from] TlsError),
}

/// Contexts of the client listeners, without and with TLS.
pub(super) struct ClientContexts {
    pub plain: FrontendContext,
    pub tls: FrontendContext,
}

/// Binds all listeners of the settings. Each listener accepts connections in a task of `tasks` until the dispatcher stops.
pub(super) async fn open_all(
    network: &Network,
    settings: &ListenSettings,
    clients: ClientContexts,
    tasks: &mut JoinSet<()>,
) -> Result<BoundAddresses, StartError> {
    let ClientContexts { plain, tls } = clients;
    let control_context = operator_context(&plain);
    let metrics_context = operator_context(&plain);
    let mut bound = BoundAddresses::default();
    if let Some((listener, address)) = listen(network, "http", settings.http).await? {
        bound.http = Some(address);
        let serve = http_frontend::serve;
        tasks.spawn(accept(listener, plain.clone(), ClientProtocol::Http, serve));
    }
    if let Some((listener, address)) = listen(network, "framed", settings.framed).await? {
        bound.framed = Some(address);
        let serve = framed_frontend::serve;
        tasks.spawn(accept(listener, plain, ClientProtocol::Framed, serve));
    }
    if let Some((listener, address)) = listen(network, "https", settings.https).await? {
        bound.https = Some(address);
        let serve = http_frontend::serve;
        tasks.spawn(accept(listener, tls.clone(), ClientProtocol::Http, serve));
    }
    if let Some((listener, address)) = listen(network, "framed_tls", settings.framed_tls).await? {
        bound.framed_tls = Some(address);
        let serve = framed_frontend::serve;
        tasks.spawn(accept(listener, tls, ClientProtocol::Framed, serve));
    }
    if let Some((listener, address)) = listen(network, "control", settings.control).await? {
        bound.control = Some(address);
        let serve = control::serve;
        tasks.spawn(accept(
            listener,
            control_context,
            ClientProtocol::Framed,
            serve,
        ));
    }
    if let Some((listener, address)) = listen(network, "metrics", settings.metrics).await? {
        bound.metrics = Some(address);
        let serve = metrics_frontend::serve;
        tasks.spawn(accept(
            listener,
            metrics_context,
            ClientProtocol::Http,
            serve,
        ));
    }
    Ok(bound)
}

/// Returns a context with a connection limit for operators only, so that clients that reach the limit for clients cannot
/// lock out operators.
fn operator_context(client: &FrontendContext) -> FrontendContext {
    let registry = ConnectionRegistry::new(ConnectionLimits {
        hard: OPERATOR_CONNECTIONS,
        soft: OPERATOR_CONNECTIONS,
        per_address: OPERATOR_CONNECTIONS,
        networks: Vec::new(),
    });
    FrontendContext {
        registry,
        identity: None,
        ..client.clone()
    }
}

async fn listen(
    network: &Network,
    setting: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<(Listener, SocketAddr)>, StartError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let failed = |source| StartError::Listen {
        setting,
        address,
        source,
    };
    let listener = network.listen(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok(Some((listener, bound)))
}

/// Accepts connections until the dispatcher stops, then drains the accept queue. Returns when the last connection has
/// ended.
async fn accept<F, Fut>(
    mut listener: Listener,
    context: FrontendContext,
    protocol: ClientProtocol,
    serve: F,
) where
    F: Fn(FrontendContext, Socket, ConnectionPermit) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let mut connections = ListenerConnections {
        context,
        protocol,
        serve,
        tasks: JoinSet::new(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = connections.context.stopped() => break,
        };
        while connections.tasks.try_join_next().is_some() {}
        match accepted {
            Ok((socket, peer)) => connections.admit(socket, peer),
            Err(e) => connections.context.registry.accept_failed(e).await,
        }
    }
    connections.drain_accept_queue(listener).await;
    while connections.tasks.join_next().await.is_some() {}
}

/// The connections of one listener; each runs in a task.
struct ListenerConnections<F> {
    context: FrontendContext,
    protocol: ClientProtocol,
    serve: F,
    tasks: JoinSet<()>,
}

impl<F, Fut> ListenerConnections<F>
where
    F: Fn(FrontendContext, Socket, ConnectionPermit) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    async fn drain_accept_queue(&mut self, listener: Listener) {
        let registry = self.context.registry.clone();
        let serve = |socket, peer| self.admit(socket, peer);
        let pause = |error| registry.accept_failed(error);
        listener
            .drain_accept_queue(MAX_ACCEPT_QUEUE_FAILURES, serve, pause)
            .await;
    }

    /// Serves a new connection if it receives a permit, and rejects it otherwise.
    fn admit(&mut self, socket: Socket, peer: SocketAddr) {
        match self.context.registry.admit(peer.ip()) {
            Ok(permit) if self.context.identity.is_none() => self.serve_plain(socket, permit),
            Ok(permit) => self.serve_tls(socket, permit),
            Err(retry_after) => {
                self.context.core.metrics.connection_counts.rejected.inc();
                // A TLS client reads no reply before the handshake, and a handshake is too expensive for a rejection.
                if self.context.identity.is_none() {
                    let registry = self.context.registry.clone();
                    let rejection = ConnectionRejection {
                        protocol: self.protocol,
                        retry_after,
                    };
                    self.tasks
                        .spawn(async move { registry.reject(socket, rejection).await });
                }
            }
        }
    }

    fn serve_plain(&mut self, socket: Socket, permit: ConnectionPermit) {
        let core = self.context.core.clone();
        core.metrics.connection_counts.clients.inc();
        let served = (self.serve)(self.context.clone(), socket, permit);
        self.tasks.spawn(async move {
            served.await;
            core.metrics.connection_counts.clients.dec();
        });
    }

    fn serve_tls(&mut self, socket: Socket, permit: ConnectionPermit) {
        let context = self.context.clone();
        let serve = self.serve.clone();
        context.core.metrics.connection_counts.clients.inc();
        self.tasks.spawn(async move {
            // The future is boxed, so that an established connection does not hold the memory of its handshake.
            let handshake = Box::pin(context.complete_handshake(socket)).await;
            let core = context.core.clone();
            if let Some(socket) = handshake {
                serve(context, socket, permit).await;
            }
            core.metrics.connection_counts.clients.dec();
        });
    }
}
