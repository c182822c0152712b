//! Endpoints on the framed protocol: the core's transport over a [`ConnectionPool`].
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

/// How long a connection that no request needs is retried.
const CONNECT_INTENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Mean pause between such retries; each is drawn from half to one and a half of it.
const CONNECT_RETRY_MS: f64 = 25.0;
/// Time between two sweeps of all connections; no connection has a timer of its own.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Connections to endpoints, and the calls of clients that are deduplicated.
#[derive(Debug)]
pub(crate) struct FramedTransport {
    pub pool: ConnectionPool,
    /// Carried out by [`run_endpoint_intents`] and not at once: the core sends them under its lock, which a connection's
    /// writer takes for each request that begins.
    intents: mpsc::UnboundedSender<EndpointIntent>,
    pub(super) call_attempts: Arc<CallAttempts>,
}

/// What the core wants of an endpoint beside requests.
#[derive(Debug)]
pub(crate) enum EndpointIntent {
    /// A connection, so that the endpoint can say hello.
    Connect { endpoint: String },
    /// Work from an endpoint that leases its capacity on request.
    RequestWork { endpoint: String, work_us: u64 },
}

impl FramedCore {
    /// A core, and its intents for [`run_endpoint_intents`].
    pub fn framed(
        settings: Arc<DispatcherSettings>,
        seed: u64,
        network: Network,
    ) -> (Self, mpsc::UnboundedReceiver<EndpointIntent>) {
        let (intents, intent_receiver) = mpsc::unbounded_channel();
        // As many calls are remembered as may run.
        let call_attempts = CallAttempts::new(2 * settings.max_requests);
        let upstream = settings.upstream.clone();
        let transport = |meter: &BufferMeter| FramedTransport {
            pool: ConnectionPool::new(upstream, seed, meter.clone(), network),
            intents,
            call_attempts,
        };
        (Self::new(settings, seed, transport), intent_receiver)
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

    /// Requests of the framed protocol have no body.
    async fn call(
        core: &Arc<FramedCore>,
        attempt: AttemptId,
        endpoint: &str,
        mut request: RequestHead,
        _body: &Bytes,
    ) -> Result<Call, AttemptEnd> {
        let connection = match core.transport.pool.connection(core, endpoint).await {
            Ok(connection) => connection,
            Err(NoConnection::Failed(why)) => {
                tracing::debug!(endpoint, why, "no connection");
                return Err(AttemptEnd::ConnectFailed);
            }
            // The attempt was decided for a process that is gone: the core decides again, with the new one's hello.
            Err(NoConnection::Replaced | NoConnection::LocalShortage) => {
                return Err(AttemptEnd::NotSent);
            }
        };
        let core = core.clone();
        // Called again wherever the socket takes its first byte: it may be full now.
        let begin = move || {
            core.begin_attempt(attempt)?.apply_to(&mut request);
            Some(request.clone())
        };
        connection
            .call_deferred(Box::new(begin))
            .map_err(|e| match e {
                ConnectionError::NoStream(_) => AttemptEnd::NotSent,
                _ => AttemptEnd::ConnectFailed,
            })
    }

    fn connect(&self, endpoint: String) {
        let _ = self.intents.send(EndpointIntent::Connect { endpoint });
    }

    fn request_work(&self, endpoint: &str, work_us: u64) {
        let _ = self.intents.send(EndpointIntent::RequestWork {
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

/// Carries out what the core wants of endpoints beside requests. It connects to endpoints whose hello is needed: one that
/// sent a hello before and whose connection broke may be another process now, and one that is reported as just started.
pub(super) async fn run_endpoint_intents(
    core: Arc<FramedCore>,
    mut intents: mpsc::UnboundedReceiver<EndpointIntent>,
) {
    let mut connecting = JoinSet::new();
    while let Some(intent) = intents.recv().await {
        while connecting.try_join_next().is_some() {}
        match intent {
            EndpointIntent::Connect { endpoint } => {
                connecting.spawn(connect_with_retries(core.clone(), endpoint));
            }
            EndpointIntent::RequestWork { endpoint, work_us } => {
                core.transport.pool.request_work(&endpoint, work_us);
            }
        }
    }
}

async fn connect_with_retries(core: Arc<FramedCore>, endpoint: String) {
    let pool = &core.transport.pool;
    let connect = async {
        while let Err(NoConnection::Failed(_)) = pool.connection(&core, &endpoint).await {
            let pause_ms = CONNECT_RETRY_MS * (0.5 + pool.random_unit());
            tokio::time::sleep(Duration::from_secs_f64(pause_ms / 1e3)).await;
        }
    };
    let _ = tokio::time::timeout(CONNECT_INTENT_TIMEOUT, connect).await;
}

/// Sweeps the connection pool and updates the metrics that nothing else does.
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
