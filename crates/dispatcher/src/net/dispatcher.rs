//! Lifecycle of a dispatcher: preparation, listening, graceful shutdown.
use super::connection_registry::{self, ConnectionRegistry};
use super::framed_transport::{self, EndpointCommand};
use super::frontend_context::FrontendContext;
use super::listeners::{self, BoundAddresses, ClientContexts, StartError};
use super::{core_handle, state_file, FramedCore, StateCounts};
use crate::admission::ConnectionLimits;
use crate::control_source::{ControlObserver, ControlSink, ControlSource};
use pointspindle_config::{DispatcherSettings, EndpointSpec, ListenSettings, TlsSettings};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, WireEndpointState,
};
use pointspindle_transport::tls::{CertificateFiles, ServerTls, TlsError};
use pointspindle_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// A dispatcher that has read its state file and does not listen yet, so that it can receive drains and purges first.
#[derive(Debug)]
pub struct PreparedDispatcher {
    network: Network,
    core: Arc<FramedCore>,
    endpoint_commands: mpsc::UnboundedReceiver<EndpointCommand>,
    background_tasks: JoinSet<()>,
}

impl PreparedDispatcher {
    /// Reads the state file, and applies the static endpoint list if the file contains none.
    pub async fn new(network: Network, settings: DispatcherSettings, seed: u64) -> Self {
        let settings = Arc::new(settings);
        let (core, endpoint_commands) = FramedCore::framed(settings.clone(), seed, network.clone());
        let core = Arc::new(core);
        if !state_file::restore(&core).await && !settings.endpoints.is_empty() {
            core.apply_endpoint_list(static_endpoint_list(&settings));
        }
        Self {
            network,
            core,
            endpoint_commands,
            background_tasks: JoinSet::new(),
        }
    }

    /// Applies endpoint lists, purges and dispatcher counts from this source as well, for as long as the dispatcher runs.
    pub fn follow(&mut self, source: impl ControlSource) {
        let sink = ControlSink {
            core: self.core.clone(),
            observer: None,
        };
        self.background_tasks.spawn(source.run(sink));
    }

    /// Turns this into a dispatcher without listeners, whose control code runs as in production, for scale tests with many
    /// dispatchers on one machine. The observer is called with each update once it is in force.
    pub fn into_headless(
        self,
        source: impl ControlSource,
        observer: ControlObserver,
    ) -> HeadlessDispatcher {
        let Self {
            core,
            endpoint_commands,
            mut background_tasks,
            ..
        } = self;
        let sink = ControlSink {
            core: core.clone(),
            observer: Some(observer),
        };
        background_tasks.spawn(source.run(sink));
        spawn_background_tasks(&core, endpoint_commands, &mut background_tasks);
        HeadlessDispatcher {
            core,
            _background_tasks: background_tasks,
        }
    }

    /// Waits until the source's view is current. Returns false if it is not current within the timeout.
    pub async fn wait_until_current(&self, timeout: Duration) -> bool {
        let mut view = self.core.source_is_current.subscribe();
        let current = tokio::time::timeout(timeout, view.wait_for(|current| *current)).await;
        matches!(current, Ok(Ok(_)))
    }

    /// Binds the listeners and accepts connections.
    pub async fn open(self) -> Result<Dispatcher, StartError> {
        let Self {
            network,
            core,
            endpoint_commands,
            mut background_tasks,
        } = self;
        let settings = core.settings.clone();
        let identity = settings.tls.as_ref().map(load_identity).transpose()?;
        let identity = identity.map(Arc::new);
        let (stop, stopping) = watch::channel(false);
        // All client listeners share one registry, because they share the file descriptors of the process.
        let registry = ConnectionRegistry::new(connection_limits(&settings.listen));
        background_tasks.spawn(connection_registry::close_idle_connections(
            registry.clone(),
            settings.listen.idle_timeout_us,
        ));
        let plain = FrontendContext {
            core: core.clone(),
            registry,
            stopping,
            identity: None,
        };
        let tls = FrontendContext {
            identity: identity.clone(),
            ..plain.clone()
        };
        let clients = ClientContexts { plain, tls };
        let mut listeners = JoinSet::new();
        let bound =
            listeners::open_all(&network, &settings.listen, clients, &mut listeners).await?;
        spawn_background_tasks(&core, endpoint_commands, &mut background_tasks);
        tracing::info!(name = %settings.name, ?bound, "dispatcher listens");
        Ok(Dispatcher {
            core,
            bound,
            stop,
            listeners,
            background_tasks,
            identity,
        })
    }
}

/// A dispatcher without listeners ([`PreparedDispatcher::into_headless`]); it stops when it is dropped.
#[derive(Debug)]
pub struct HeadlessDispatcher {
    core: Arc<FramedCore>,
    _background_tasks: JoinSet<()>,
}

impl HeadlessDispatcher {
    /// Sizes of its state.
    pub fn state_counts(&self) -> StateCounts {
        self.core.all_state_counts()
    }
}

/// A running dispatcher. Dropped without [`Dispatcher::stop`] it abandons all its requests.
#[derive(Debug)]
pub struct Dispatcher {
    core: Arc<FramedCore>,
    bound: BoundAddresses,
    stop: watch::Sender<bool>,
    listeners: JoinSet<()>,
    background_tasks: JoinSet<()>,
    identity: Option<Arc<ServerTls>>,
}

impl Dispatcher {
    /// Sizes of its state.
    pub fn state_counts(&self) -> StateCounts {
        self.core.all_state_counts()
    }

    /// Reads the state file, applies the static endpoint list if the file contains none, and listens.
    pub async fn start(settings: DispatcherSettings, seed: u64) -> Result<Self, StartError> {
        Self::start_on(Network::Tcp, settings, seed).await
    }

    /// Starts a dispatcher like [`Dispatcher::start`], on the given network.
    pub async fn start_on(
        network: Network,
        settings: DispatcherSettings,
        seed: u64,
    ) -> Result<Self, StartError> {
        PreparedDispatcher::new(network, settings, seed)
            .await
            .open()
            .await
    }

    /// The addresses that the dispatcher listens on.
    pub fn bound_addresses(&self) -> &BoundAddresses {
        &self.bound
    }

    /// Reloads certificates and keys for new connections. After an error the previous ones stay in use.
    pub fn reload_tls(&self) -> Result<(), TlsError> {
        self.identity
            .as_ref()
            .map_or(Ok(()), |identity| identity.reload())
    }

    /// Shuts down gracefully: accepts no new connections, answers the accepted requests and stops. Returns true if every
    /// request was answered before the drain timeout; otherwise the connections of the remaining requests are closed.
    pub async fn stop(mut self) -> bool {
        let _ = self.stop.send(true);
        let timeout = Duration::from_micros(self.core.settings.listen.drain_timeout_us);
        // A listener's task ends with its last connection, which ends when its last response has been written.
        let drain = async {
            self.core.drained().await;
            while self.listeners.join_next().await.is_some() {}
        };
        let drained = tokio::time::timeout(timeout, drain).await.is_ok();
        let open_requests = self.core.open_requests();
        tracing::info!(drained, open_requests, "dispatcher stops");
        state_file::save_before_exit(&self.core).await;
        self.listeners.shutdown().await;
        self.background_tasks.shutdown().await;
        drained
    }
}

/// Spawns the background tasks that run beside the listeners.
fn spawn_background_tasks(
    core: &Arc<FramedCore>,
    endpoint_commands: mpsc::UnboundedReceiver<EndpointCommand>,
    tasks: &mut JoinSet<()>,
) {
    tasks.spawn(core_handle::run_timers(core.clone()));
    tasks.spawn(framed_transport::run_sweeps(core.clone()));
    tasks.spawn(framed_transport::run_endpoint_commands(
        core.clone(),
        endpoint_commands,
    ));
    if core.settings.state_file.is_some() {
        tasks.spawn(state_file::run(core.clone()));
    }
}

fn connection_limits(settings: &ListenSettings) -> ConnectionLimits {
    ConnectionLimits {
        hard: settings.max_connections,
        soft: settings.soft_connections,
        per_address: settings.address_connections,
        networks: settings.network_quotas.clone(),
    }
}

fn load_identity(settings: &TlsSettings) -> Result<ServerTls, TlsError> {
    let files = CertificateFiles {
        certificate: settings.certificate.clone(),
        key: settings.key.clone(),
    };
    ServerTls::load(files, settings.client_authority.clone())
}

fn static_endpoint_list(settings: &DispatcherSettings) -> EndpointListHead {
    EndpointListHead {
        form: EndpointListForm::Full as i32,
        seq: 0,
        endpoints: settings.endpoints.iter().map(endpoint_record).collect(),
    }
}

fn endpoint_record(endpoint: &EndpointSpec) -> EndpointRecord {
    EndpointRecord {
        address: endpoint.address.clone(),
        state: WireEndpointState::Ready as i32,
        weight: endpoint.weight,
        zone: endpoint.zone.clone(),
        kind: endpoint.role.name().into(),
        cell: endpoint.cell,
        incarnation: 0,
        started_ago_us: None,
    }
}
