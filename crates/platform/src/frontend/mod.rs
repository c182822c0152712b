//! The FastCGI frontend: the listener and the state that all client connections share. Each connection is a `session`.
mod client_stream;
mod input_budget;
mod input_ledger;
mod input_pace;
mod request_task;
mod response_writer;
mod session;
mod session_input;
mod session_plan;
mod session_requests;

use crate::connection_pool::PlatformCore;
use crate::pause_detector::PauseDetector;
use crate::settings::PlatformSettings;
use crate::shutdown::ShutdownPhase;
use input_budget::InputBudget;
use input_pace::SharedPace;
use pointspindle_dispatcher::net::connection_registry::{ConnectionPermit, ConnectionRegistry};
use pointspindle_transport::{Listener, Socket, MAX_ACCEPT_QUEUE_FAILURES};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Longest transit time of input, as the platform defines it: input that is in transit when a connection is closed
/// arrives within this time, or the client sends it again.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// State that all client connections share.
#[derive(Clone)]
pub struct Frontend {
    core: Arc<PlatformCore>,
    settings: Arc<PlatformSettings>,
    registry: Arc<ConnectionRegistry>,
    phase: watch::Receiver<ShutdownPhase>,
    pause_detector: Arc<PauseDetector>,
    /// Transaction ids of the requests in flight on all connections.
    transactions: Arc<Mutex<HashSet<String>>>,
    /// Bounds the memory of incomplete requests.
    input_budget: Arc<InputBudget>,
    /// Bounds the work for records that lead to no request.
    input_pace: Arc<SharedPace>,
}

impl Frontend {
    /// Creates a frontend without connections.
    pub(crate) fn new(
        core: Arc<PlatformCore>,
        settings: Arc<PlatformSettings>,
        registry: Arc<ConnectionRegistry>,
        phase: watch::Receiver<ShutdownPhase>,
        pause_detector: Arc<PauseDetector>,
    ) -> Self {
        let input_budget = InputBudget::new(core.clone(), settings.incomplete_request_bytes);
        Self {
            core,
            settings,
            registry,
            phase,
            pause_detector,
            transactions: Arc::default(),
            input_budget,
            input_pace: Arc::default(),
        }
    }

    fn transactions(&self) -> MutexGuard<'_, HashSet<String>> {
        lock_transactions(&self.transactions)
    }

    fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Serves a new connection. A connection beyond the limit is closed at once, without a response.
    fn serve(&self, sessions: &mut JoinSet<()>, socket: Socket, peer: SocketAddr) {
        let Socket::Tcp(socket) = socket else { return };
        if let Ok(permit) = self.registry.admit(peer.ip()) {
            sessions.spawn(serve_session(self.clone(), socket, peer, permit));
        }
    }
}

fn lock_transactions(transactions: &Mutex<HashSet<String>>) -> MutexGuard<'_, HashSet<String>> {
    transactions
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

async fn serve_session(
    frontend: Frontend,
    socket: TcpStream,
    peer: SocketAddr,
    permit: ConnectionPermit,
) {
    let _ = socket.set_nodelay(true);
    session::run(frontend, socket, peer, &permit).await;
}

/// Accepts connections until the listener has to close, or until the dispatcher is shutting down and has had no
/// connection for `TRANSIT_TIME`. Returns when the last connection has ended.
pub async fn accept(mut listener: Listener, frontend: Frontend, mut close: watch::Receiver<bool>) {
    let mut sessions = JoinSet::new();
    loop {
        let is_unused = sessions.is_empty() && frontend.phase() > ShutdownPhase::Serving;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = sessions.join_next(), if !sessions.is_empty() => continue,
            _ = close.wait_for(|close| *close) => break,
            // A client may retry a request that crossed the last close on a new connection.
            () = tokio::time::sleep(TRANSIT_TIME), if is_unused => break,
        };
        match accepted {
            Ok((socket, peer)) => frontend.serve(&mut sessions, socket, peer),
            Err(error) => frontend.registry.accept_failed(error).await,
        }
    }
    // The system has already accepted the connections in the accept queue, and clients may have sent requests on them.
    let registry = frontend.registry.clone();
    let serve = |socket, peer| frontend.serve(&mut sessions, socket, peer);
    let pause = |error| registry.accept_failed(error);
    listener
        .drain_accept_queue(MAX_ACCEPT_QUEUE_FAILURES, serve, pause)
        .await;
    while sessions.join_next().await.is_some() {}
}
