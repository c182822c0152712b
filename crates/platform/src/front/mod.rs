//! Clients: the listener, and what all their FastCGI connections share. Each connection is a [`session`].
mod reply;
mod session;

use crate::connection_pool::PlatformDesk;
use crate::settings::Shape;
use crate::shutdown::Phase;
use crate::stalls::Stalls;
use pointspindle_dispatcher::net::connection_registry::{ConnectionPermit, ConnectionRegistry};
use pointspindle_dispatcher::net::QUEUE_FAILURES;
use pointspindle_transport::{Listener, Socket};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What was on its way when a connection was closed has come by then, or is sent again: the platform's own figure.
const CROSSING: Duration = Duration::from_millis(50);

/// What the front's connections share.
#[derive(Clone)]
pub struct Front {
    pub desk: Arc<PlatformDesk>,
    pub shape: Arc<Shape>,
    pub keeper: Arc<ConnectionRegistry>,
    pub phase: watch::Receiver<Phase>,
    pub stalls: Arc<Stalls>,
    /// Ids of requests under way, from all connections.
    ids: Arc<Mutex<HashSet<String>>>,
}

impl Front {
    pub fn new(
        desk: Arc<PlatformDesk>,
        shape: Arc<Shape>,
        keeper: Arc<ConnectionRegistry>,
        phase: watch::Receiver<Phase>,
        stalls: Arc<Stalls>,
    ) -> Self {
        Self {
            desk,
            shape,
            keeper,
            phase,
            stalls,
            ids: Arc::default(),
        }
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<String>> {
        self.ids
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Serves a new connection. Without a place for it, it is closed without a word: descriptors are what runs out.
    fn take_in(&self, sessions: &mut JoinSet<()>, line: Socket, peer: SocketAddr) {
        let Socket::Tcp(socket) = line else { return };
        if let Ok(seat) = self.keeper.admit(peer.ip()) {
            sessions.spawn(serve(self.clone(), socket, seat));
        }
    }
}

async fn serve(front: Front, socket: TcpStream, seat: ConnectionPermit) {
    let _ = socket.set_nodelay(true);
    session::run(front, socket, &seat).await;
}

/// Accepts until the listener is to close, or until the dispatcher stops and no connection has been left for a while; returns
/// when the last connection is over.
pub async fn accept(mut listener: Listener, front: Front, mut close: watch::Receiver<bool>) {
    let mut sessions = JoinSet::new();
    loop {
        let deserted = sessions.is_empty() && front.phase() > Phase::Serving;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = sessions.join_next(), if !sessions.is_empty() => continue,
            _ = close.wait_for(|close| *close) => break,
            // A request that crossed the last close is sent again here.
            () = tokio::time::sleep(CROSSING), if deserted => break,
        };
        match accepted {
            Ok((line, peer)) => front.take_in(&mut sessions, line, peer),
            Err(e) => front.keeper.accept_failed(e).await,
        }
    }
    // What waits in the queue was accepted by the system, with the requests that are written on it.
    let mut failures = 0;
    while let Some(accepted) = listener.waiting().await {
        match accepted {
            Ok((line, peer)) => front.take_in(&mut sessions, line, peer),
            Err(_) if failures == QUEUE_FAILURES => break,
            Err(e) => {
                failures += 1;
                front.keeper.accept_failed(e).await;
            }
        }
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}
