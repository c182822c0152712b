//! Transport of the core to endpoints on the framed protocol, over a [`ConnectionPool`].
use super::call_attempts::CallAttempts;
use super::connection_pool::{ConnectionEvents, ConnectionPool, NoConnection};
use super::core_handle::{AttemptId, CoreHandle, EndpointTransport, UpstreamCall};
use super::StateCounts;
use crate::core::{AttemptEnd, Input};
use bytes::Bytes;
use pointspindle_config::DispatcherSettings;
use pointspindle_protocol::{HelloHead, LeaseHead, RequestHead};
use pointspindle_transport::{BufferMeter, Call, ConnectionError, Network, ResponsePart};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// The core of a dispatcher whose endpoints speak the framed protocol.
pub(crate) type FramedCore = CoreHandle<FramedTransport>;

/// Maximum time for which opening a connection without a request is retried.
const CONNECT_RETRY_TIMEOUT: Duration = Duration::from_secs(20);
/// Mean pause between these retries; each pause is drawn uniformly from half to one and a half times the mean.
const MEAN_CONNECT_RETRY_PAUSE_MS: f64 = 25.0;
/// Time between two sweeps of all connections; connections have no timers of their own.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Connections to endpoints, and the deduplicated calls of clients.
#[derive(Debug)]
pub(crate) struct FramedTransport {
    pub pool: ConnectionPool,
    /// Commands for [`run_endpoint_commands`]. They are not executed immediately: the core sends them under its lock, which
    /// the writer of a connection takes for each request that begins.
    commands: mpsc::UnboundedSender<EndpointCommand>,
    pub(super) call_attempts: Arc<CallAttempts>,
}

/// A command of the core to an endpoint that is not part of a request.
#[derive(Debug)]
pub(crate) enum EndpointCommand {
    /// Open a connection, so that the endpoint can send its hello.
    Connect { endpoint: String },
    /// Request work from an endpoint that leases its capacity on request.
    RequestWork { endpoint: String, work_us: u64 },
}

impl FramedCore {
    /// Creates a core, and returns it with the receiver of its commands for [`run_endpoint_commands`].
    pub fn framed(
        settings: Arc<DispatcherSettings>,
        seed: u64,
        network: Network,
    ) -> (Self, mpsc::UnboundedReceiver<EndpointCommand>) {
        let (commands, command_receiver) = mpsc::unbounded_channel();
        // Twice the maximum of running requests, so that as many calls can be remembered as can run.
        let call_attempts = CallAttempts::new(2 * settings.max_requests);
        let upstream = settings.upstream.clone();
        let transport = |meter: &BufferMeter| FramedTransport {
            pool: ConnectionPool::new(upstream, seed, meter.clone(), network),
            commands,
            call_attempts,
        };
        (Self::new(settings, seed, transport), command_receiver)
    }

    /// Sizes of the core's state and of the connection pool.
    pub fn all_state_counts(&self) -> StateCounts {
        let counts = self.state_counts();
        StateCounts {
            endpoints: counts.endpoints,
            purges: counts.purges,
            dispatchers: counts.dispatchers,
            connections: self.transport.pool.count(),
        }
    }
}

impl EndpointTransport for FramedTransport {
    type Call = Call;

    /// Sends a request to an endpoint. The body is ignored, because requests of the framed protocol have none.
    async fn call(
        core: &Arc<FramedCore>,
        attempt: AttemptId,
        endpoint: &str,
        mut request: RequestHead,
        _body: &Bytes,
    ) -> Result<Call, AttemptEnd> {
        let connection = match core.transport.pool.connection(core, endpoint).await {
            Ok(connection) => connection,
            Err(NoConnection::Failed(reason)) => {
                tracing::debug!(endpoint, reason, "no connection to endpoint");
                return Err(AttemptEnd::ConnectFailed);
            }
            // The attempt was decided for a process that has been replaced: the core decides again, knowing the hello of
            // the new process.
            Err(NoConnection::Replaced | NoConnection::LocalResourceShortage) => {
                return Err(AttemptEnd::NotSent);
            }
        };
        let core = core.clone();
        // Runs when the socket accepts the first byte of the request, which may be later if the socket is full now.
        let compose = move || {
            core.begin_attempt(attempt)?.apply_to(&mut request);
            Some(request.clone())
        };
        connection
            .call_deferred(Box::new(compose))
            .map_err(|e| match e {
                ConnectionError::StreamLimitReached(_) => AttemptEnd::NotSent,
                _ => AttemptEnd::ConnectFailed,
            })
    }

    fn connect(&self, endpoint: String) {
        let _ = self.commands.send(EndpointCommand::Connect { endpoint });
    }

    fn request_work(&self, endpoint: &str, work_us: u64) {
        let _ = self.commands.send(EndpointCommand::RequestWork {
            endpoint: endpoint.to_owned(),
            work_us,
        });
    }
}

impl ConnectionEvents for FramedCore {
    fn hello_received(&self, endpoint: &str, hello: HelloHead) -> bool {
        self.apply_hello(endpoint, hello)
    }

    fn lease_received(&self, endpoint: &str, lease: LeaseHead) {
        self.apply(Input::Lease {
            endpoint: endpoint.to_owned(),
            lease,
        });
    }

    fn connection_lost(&self, endpoint: String) {
        self.transport.connect(endpoint);
    }
}

impl UpstreamCall for Call {
    async fn next(&mut self) -> Option<ResponsePart> {
        Call::next(self).await
    }

    fn try_next(&mut self) -> Option<ResponsePart> {
        Call::try_next(self)
    }
}

/// Executes the core's commands to endpoints. It connects to endpoints whose hello is needed: those that sent a hello
/// before and whose connection was lost, since another process may have replaced them, and those reported as just started.
pub(super) async fn run_endpoint_commands(
    core: Arc<FramedCore>,
    mut commands: mpsc::UnboundedReceiver<EndpointCommand>,
) {
    let mut connecting = JoinSet::new();
    while let Some(command) = commands.recv().await {
        while connecting.try_join_next().is_some() {}
        match command {
            EndpointCommand::Connect { endpoint } => {
                connecting.spawn(connect_with_retries(core.clone(), endpoint));
            }
            EndpointCommand::RequestWork { endpoint, work_us } => {
                core.transport.pool.request_work(&endpoint, work_us);
            }
        }
    }
}

async fn connect_with_retries(core: Arc<FramedCore>, endpoint: String) {
    let pool = &core.transport.pool;
    let connect = async {
        while let Err(NoConnection::Failed(_)) = pool.connection(&core, &endpoint).await {
            let pause_ms = MEAN_CONNECT_RETRY_PAUSE_MS * (0.5 + pool.random_unit());
            tokio::time::sleep(Duration::from_secs_f64(pause_ms / 1e3)).await;
        }
    };
    let _ = tokio::time::timeout(CONNECT_RETRY_TIMEOUT, connect).await;
}

/// Sweeps the connection pool periodically, and updates the metrics that are sampled instead of updated on events.
pub(super) async fn run_sweeps(core: Arc<FramedCore>) {
    let pool = &core.transport.pool;
    let metrics = &core.metrics;
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        metrics
            .connection_counts
            .dead_endpoints
            .inc_by(pool.sweep());
        let purges_confirmed = core.purges_confirmed().map_or(-1, i64::from);
        metrics.purges_confirmed.set(purges_confirmed);
        metrics
            .buffered_bytes
            .set(core.meter.buffered_bytes() as i64);
        let known_calls = core.transport.call_attempts.known_calls();
        metrics.known_calls.set(known_calls as i64);
        metrics.connection_counts.endpoints.set(pool.count() as i64);
    }
}
