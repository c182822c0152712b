//! Establishes connections to one dispatcher, with or without TLS.
use crate::error::ConnectError;
use pointspindle_transport::tls::ClientTls;
use pointspindle_transport::{Network, Socket};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The last error of a client's connection attempts, shared by the connectors of all its dispatchers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastConnectError(Arc<Mutex<Option<Arc<ConnectError>>>>);

impl LastConnectError {
    pub(crate) fn get(&self) -> Option<Arc<ConnectError>> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    fn set(&self, error: ConnectError) {
        *self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(Arc::new(error));
    }
}

/// TLS settings of a client.
#[derive(Clone, Debug)]
pub(crate) struct TlsSettings {
    pub trust: ClientTls,
    /// Name expected in the dispatchers' certificates; by default, the address of each dispatcher.
    pub server_name: Option<String>,
}

/// Establishes connections to one dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    pub address: SocketAddr,
    pub network: Network,
    pub tls: Option<TlsSettings>,
    /// Timeout for a connection, including the TLS handshake.
    pub timeout: Duration,
    pub last_error: LastConnectError,
}

impl Connector {
    /// Connects to the dispatcher. Returns `None` on failure, which is recorded as the client's last connect error.
    pub(crate) async fn connect(&self) -> Option<Socket> {
        let connected = tokio::time::timeout(self.timeout, self.handshake()).await;
        let address = self.address;
        let error = match connected {
            Ok(Ok(socket)) => return Some(socket),
            Ok(Err(source)) => ConnectError::Failed { address, source },
            Err(_) => ConnectError::Timeout {
                address,
                timeout: self.timeout,
            },
        };
        tracing::debug!(address = %address, error = %error, "connecting to the dispatcher failed");
        self.last_error.set(error);
        None
    }

    async fn handshake(&self) -> std::io::Result<Socket> {
        let socket = self.network.connect(None, self.address).await?;
        match (&self.tls, socket) {
            (None, socket) => Ok(socket),
            (Some(tls), Socket::Tcp(socket)) => {
                let address = || self.address.ip().to_string();
                let name = tls.server_name.clone().unwrap_or_else(address);
                tls.trust.connect(socket, &name).await
            }
            (Some(_), _) => Err(std::io::Error::other(
                "TLS is not supported over the simulated network",
            )),
        }
    }
}
