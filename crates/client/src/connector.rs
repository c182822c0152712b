//! How one dispatcher is reached: its address, the network, and the certificates trusted there.
use crate::error::ConnectError;
use pointspindle_transport::tls::TrustAnchors;
use pointspindle_transport::{Network, Socket};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The last error of a client's connections, shared by all its dispatchers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastConnectError(Arc<Mutex<Option<Arc<ConnectError>>>>);

impl LastConnectError {
    pub(crate) fn get(&self) -> Option<Arc<ConnectError>> {
        self.0.lock().unwrap_or_else(|p| p.into_inner()).clone()
    }

    fn set(&self, error: ConnectError) {
        *self.0.lock().unwrap_or_else(|p| p.into_inner()) = Some(Arc::new(error));
    }
}

/// TLS settings of a client.
#[derive(Clone, Debug)]
pub(crate) struct TlsSettings {
    pub trust: TrustAnchors,
    /// The name in the dispatchers' certificates; each one's address by default.
    pub server_name: Option<String>,
}

/// Makes connections to one dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    pub address: SocketAddr,
    pub network: Network,
    pub tls: Option<TlsSettings>,
    /// TLS handshake included.
    pub timeout: Duration,
    pub last_error: LastConnectError,
}

impl Connector {
    /// Connects; a failure is recorded as the client's last connect error.
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
        tracing::debug!(at = %address, why = %error, "no connection");
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
                "the simulated network carries no TLS",
            )),
        }
    }
}
