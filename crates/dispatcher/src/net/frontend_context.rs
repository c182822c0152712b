//! State that the connections of one listener share.
use super::connection_registry::ConnectionRegistry;
use super::FramedCore;
use pointspindle_transport::tls::ServerTls;
use pointspindle_transport::Socket;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Context that is passed to the task of each connection of a listener.
#[derive(Clone)]
pub(crate) struct FrontendContext {
    pub core: Arc<FramedCore>,
    pub registry: Arc<ConnectionRegistry>,
    /// True once the dispatcher accepts no new requests.
    pub stopping: watch::Receiver<bool>,
    /// TLS identity; `None` if the listener does not use TLS.
    pub identity: Option<Arc<ServerTls>>,
}

impl FrontendContext {
    /// Waits until the dispatcher accepts no new requests.
    pub async fn stopped(&self) {
        let mut stopping = self.stopping.clone();
        let _ = stopping.wait_for(|stop| *stop).await;
    }

    /// Whether the dispatcher accepts no new requests.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns the connection after its TLS handshake, or unchanged if the listener does not use TLS. Returns `None` if the
    /// handshake failed.
    pub async fn complete_handshake(&self, socket: Socket) -> Option<Socket> {
        let Some(identity) = &self.identity else {
            return Some(socket);
        };
        // The simulated network does not support TLS.
        let Socket::Tcp(socket) = socket else {
            return None;
        };
        let timeout = Duration::from_micros(self.core.settings.listen.head_timeout_us);
        let error = match tokio::time::timeout(timeout, identity.accept(socket)).await {
            Ok(Ok(socket)) => return Some(socket),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "handshake not complete within the head timeout".to_owned(),
        };
        self.core.metrics.connection_counts.tls_failed.inc();
        tracing::info!(error, "TLS handshake failed");
        None
    }
}
