//! How one dispatcher is reached: its address, the network, and whom to trust there.
use pointspindle_transport::tls::TrustAnchors;
use pointspindle_transport::{Network, Socket};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Debug)]
pub(crate) struct Dial {
    pub at: SocketAddr,
    pub net: Network,
    /// By TLS, to whoever shows a certificate for this name; the address by default.
    pub trust: Option<(TrustAnchors, Option<String>)>,
    /// Longest wait for a connection, handshake included.
    pub patience: Duration,
    /// Why the last connection was not made, shared by all dispatchers of a client.
    pub trouble: Arc<Mutex<Option<String>>>,
}

impl Dial {
    pub async fn line(&self) -> Option<Socket> {
        let made = tokio::time::timeout(self.patience, self.connect()).await;
        let why = match made {
            Ok(Ok(line)) => return Some(line),
            Ok(Err(e)) => e.to_string(),
            Err(_) => format!("no connection within {} ms", self.patience.as_millis()),
        };
        tracing::debug!(at = %self.at, why, "no connection");
        *self.trouble.lock().unwrap_or_else(|p| p.into_inner()) =
            Some(format!("{}: {why}", self.at));
        None
    }

    async fn connect(&self) -> std::io::Result<Socket> {
        let line = self.net.connect(None, self.at).await?;
        match (&self.trust, line) {
            (None, line) => Ok(line),
            (Some((trust, name)), Socket::Tcp(socket)) => {
                let name = name.clone().unwrap_or_else(|| self.at.ip().to_string());
                trust.connect(socket, &name).await
            }
            (Some(_), _) => Err(std::io::Error::other(
                "the simulated network carries no TLS",
            )),
        }
    }
}
