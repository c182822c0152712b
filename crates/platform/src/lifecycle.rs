//! Start, configuration reload and graceful shutdown of the dispatcher.
//!
//! After SIGTERM, requests in flight and new requests are served for a while, on open connections, on new ones and on
//! those in the accept queue. Each connection then finishes its open requests, rejects new ones, and closes
//! ([`crate::frontend`]). All open requests have their final response before the process may be killed
//! (`crate::shutdown`); the process ends with its last connection. Discovery and configuration reloads continue until
//! then, since attempts are still started.
use crate::connection_pool::{connect_requested, run_maintenance, ConnectionPool, PlatformCore};
use crate::endpoint_discovery::{lock_state, stream, DiscoveryState};
use crate::frontend::{accept, Frontend};
use crate::memory::{run_samples, MemoryMonitor, ReleaseFreeMemory};
use crate::pause_detector::{run_ticks, PauseDetector};
use crate::settings::{PlatformSettings, PlatformSettingsError};
use crate::shutdown::{ShutdownPhase, ShutdownSchedule};
use pointspindle_clock::WallClock;
use pointspindle_config::ListenSettings;
use pointspindle_dispatcher::admission::ConnectionLimits;
use pointspindle_dispatcher::core::Input;
use pointspindle_dispatcher::net::connection_registry::{
    close_idle_connections, ConnectionRegistry,
};
use pointspindle_dispatcher::net::core_handle::{run_timers, CoreHandle};
use pointspindle_platform_protocol::start_config::{self, StartConfig, StartConfigError};
use pointspindle_transport::Network;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// First backoff between reads of a configuration that cannot be read, which may be partly written.
const MIN_RELOAD_BACKOFF: Duration = Duration::from_millis(20);
const MAX_RELOAD_BACKOFF: Duration = Duration::from_secs(1);
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Environment variable that overrides the listen address.
const LISTEN_VARIABLE: &str = "BALANCER_LISTEN";

/// Error that prevents the start of a dispatcher.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The start configuration cannot be read.
    #[error(transparent)]
    StartConfig(#[from] StartConfigError),
    /// The start configuration is invalid.
    #[error("{file}: {source}")]
    Settings {
        /// Path of the configuration file.
        file: String,
        /// Error in the configuration.
        source: PlatformSettingsError,
    },
    /// The value that overrides the listen address is not an address and port.
    #[error("{name}: {value:?} is not an address and port")]
    Address {
        /// Name of the variable that holds the value.
        name: &'static str,
        /// The invalid value.
        value: String,
    },
    /// The listener cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Listen address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Another call to the operating system failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Runs a dispatcher until SIGTERM or SIGINT and returns when all requests have their response. `listen` overrides the
/// listen address of the configuration. `release_free_memory` is called while memory is short.
pub async fn run(
    file: PathBuf,
    listen: Option<String>,
    release_free_memory: ReleaseFreeMemory,
) -> Result<(), RunError> {
    let clock = WallClock::start();
    let Signals {
        mut terminate,
        hangup,
        mut interrupt,
    } = Signals::register()?;
    let start = start_config::read(&file)?;
    let settings = Arc::new(platform_settings(&file, &start)?);
    let address = listen_address(listen, &settings)?;
    let pause_detector = PauseDetector::new(Instant::now());
    let (connect_requests, requested) = mpsc::unbounded_channel();
    let core = new_core(
        &settings,
        &pause_detector,
        connect_requests,
        release_free_memory,
    );
    let mut background = JoinSet::new();
    background.spawn(run_timers(core.clone()));
    background.spawn(run_maintenance(core.clone()));
    background.spawn(run_samples(core.transport.memory.clone()));
    background.spawn(log_status(core.clone(), clock));
    background.spawn(connect_requested(core.clone(), requested));

    // The known state is applied before the first request, so that draining endpoints and purges take effect for it.
    let mut discovery = DiscoveryState::new(core.clone(), settings.clone(), clock);
    discovery.apply_discovery_snapshot(start.known_state);
    let discovery = Arc::new(Mutex::new(discovery));
    let (discovery_address, address_changes) = watch::channel(start.discovery_address);
    background.spawn(stream::follow(discovery.clone(), address_changes));
    background.spawn(reload(file, hangup, discovery.clone(), discovery_address));

    let registry = connection_registry(&settings.dispatcher.listen);
    let idle_timeout_us = settings.dispatcher.listen.idle_timeout_us;
    background.spawn(close_idle_connections(registry.clone(), idle_timeout_us));
    background.spawn(run_ticks(pause_detector.clone()));
    let (phase, phase_changes) = watch::channel(ShutdownPhase::Serving);
    let (close_listener, listener_close) = watch::channel(false);
    let frontend = Frontend::new(
        core.clone(),
        settings.clone(),
        registry,
        phase_changes,
        pause_detector,
    );
    let listener = Network::Tcp.listen(address).await;
    let listener = listener.map_err(|source| RunError::Listen { address, source })?;
    let mut accept_task = tokio::spawn(accept(listener, frontend, listener_close));
    let revision = lock_state(&discovery).last_revision();
    tracing::info!(name = start.name, %address, revision, "dispatcher listens");

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(open_requests = core.open_requests(), "stopping");
    let schedule = ShutdownSchedule::new(settings.longest_deadline());
    tokio::select! {
        _ = &mut accept_task => {}
        () = follow_schedule(schedule, &core, &phase, &close_listener) => {}
    }
    tracing::info!("stopped");
    Ok(())
}

struct Signals {
    terminate: Signal,
    hangup: Signal,
    interrupt: Signal,
}

impl Signals {
    fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

fn platform_settings(file: &Path, start: &StartConfig) -> Result<PlatformSettings, RunError> {
    PlatformSettings::new(start).map_err(|source| RunError::Settings {
        file: file.display().to_string(),
        source,
    })
}

fn listen_address(
    listen: Option<String>,
    settings: &PlatformSettings,
) -> Result<SocketAddr, RunError> {
    let Some(value) = listen else {
        return Ok(settings.listen);
    };
    value.parse().map_err(|_| RunError::Address {
        name: LISTEN_VARIABLE,
        value,
    })
}

fn new_core(
    settings: &PlatformSettings,
    pause_detector: &Arc<PauseDetector>,
    connect_requests: mpsc::UnboundedSender<String>,
    release_free_memory: ReleaseFreeMemory,
) -> Arc<PlatformCore> {
    let dispatcher = Arc::new(settings.dispatcher.clone());
    Arc::new(CoreHandle::new(dispatcher, settings.seed, |meter| {
        let memory = MemoryMonitor::new(settings, meter, release_free_memory);
        ConnectionPool::new(settings, memory, pause_detector.clone(), connect_requests)
    }))
}

fn connection_registry(listen: &ListenSettings) -> Arc<ConnectionRegistry> {
    ConnectionRegistry::new(ConnectionLimits {
        hard: listen.max_connections,
        soft: listen.soft_connections,
        per_address: listen.address_connections,
        networks: Vec::new(),
    })
}

/// Executes a shutdown schedule that begins now; never returns.
async fn follow_schedule(
    schedule: ShutdownSchedule,
    core: &PlatformCore,
    phase: &watch::Sender<ShutdownPhase>,
    close_listener: &watch::Sender<bool>,
) {
    let started = Instant::now();
    tokio::time::sleep_until(started + schedule.reject_at).await;
    phase.send_replace(ShutdownPhase::Rejecting);
    tokio::time::sleep_until(started + schedule.finish_at).await;
    core.apply(Input::FinishAll);
    phase.send_replace(ShutdownPhase::Finishing);
    tokio::time::sleep_until(started + schedule.close_listener_at).await;
    close_listener.send_replace(true);
    std::future::pending().await
}

/// Reloads the configuration at each SIGHUP, and retries until it can be read.
async fn reload(
    file: PathBuf,
    mut hangup: Signal,
    discovery: Arc<Mutex<DiscoveryState>>,
    discovery_address: watch::Sender<String>,
) {
    while hangup.recv().await.is_some() {
        let mut backoff = MIN_RELOAD_BACKOFF;
        loop {
            match start_config::read(&file) {
                Ok(new) => {
                    tracing::info!(
                        discovery_address = new.discovery_address,
                        "configuration reloaded"
                    );
                    lock_state(&discovery).apply_discovery_snapshot(new.known_state);
                    discovery_address.send_replace(new.discovery_address);
                    break;
                }
                Err(error) if backoff == MIN_RELOAD_BACKOFF => {
                    tracing::error!(%error, "configuration cannot be reloaded yet; the previous one stays in force");
                }
                Err(_) => {}
            }
            tokio::select! {
                _ = hangup.recv() => {}
                () = tokio::time::sleep(backoff) => {}
            }
            backoff = (backoff * 2).min(MAX_RELOAD_BACKOFF);
        }
    }
}

async fn log_status(core: Arc<PlatformCore>, clock: WallClock) {
    loop {
        tokio::time::sleep(STATUS_LOG_INTERVAL).await;
        if let Some(step_ms) = clock.step_ms() {
            tracing::warn!(step_ms, "wall clock has been stepped since the start");
        }
        let pool = core.transport.counts();
        let rejections = core.memory_rejections();
        tracing::info!(
            open_requests = core.open_requests(),
            incomplete_rejected = rejections.incomplete,
            over_budget = rejections.complete,
            buffered_bytes = core.meter.buffered_bytes(),
            connections = pool.connections,
            endpoints = pool.endpoints,
            ended = %core.counters_line(),
            "status"
        );
    }
}
