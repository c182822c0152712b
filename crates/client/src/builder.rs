//! Configuration of a client.
use crate::channel::{Channel, Transport};
use crate::client::{Client, Shared};
use crate::connector::{Connector, LastConnectError, TlsSettings};
use crate::error::BuildError;
use crate::framed::FramedChannel;
use crate::http::HttpChannel;
use crate::retry::{RetryPolicy, RetryState};
use pointspindle_transport::tls::ClientTls;
use pointspindle_transport::Network;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Builder for a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    transport: Transport,
    dispatchers: Vec<SocketAddr>,
    policy: RetryPolicy,
    connect_timeout: Duration,
    seed: Option<u64>,
    network: Network,
    tls: Option<TlsSettings>,
}

impl Default for ClientBuilder {
    fn default() -> Self {
        Self {
            transport: Transport::Framed,
            dispatchers: Vec::new(),
            policy: RetryPolicy::default(),
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            seed: None,
            network: Network::Tcp,
            tls: None,
        }
    }
}

impl ClientBuilder {
    /// Sets the dispatchers, to be called over the framed protocol.
    pub fn framed(self, dispatchers: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            transport: Transport::Framed,
            dispatchers: dispatchers.into_iter().collect(),
            ..self
        }
    }

    /// Sets the dispatchers, to be called over HTTP/1.1.
    pub fn http(self, dispatchers: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            transport: Transport::Http,
            dispatchers: dispatchers.into_iter().collect(),
            ..self
        }
    }

    /// Sets the retry policy.
    pub fn retry_policy(self, policy: RetryPolicy) -> Self {
        Self { policy, ..self }
    }

    /// Sets the timeout for establishing a connection, including the TLS handshake; 250 ms by default.
    pub fn connect_timeout(self, connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            ..self
        }
    }

    /// Connects over TLS. `server_name` is the name expected in the dispatchers' certificates; by default, the address of
    /// each dispatcher.
    pub fn tls(self, trust: ClientTls, server_name: Option<String>) -> Self {
        Self {
            tls: Some(TlsSettings { trust, server_name }),
            ..self
        }
    }

    /// Sets the network to connect over, such as a simulated one; TCP by default.
    pub fn network(self, network: Network) -> Self {
        Self { network, ..self }
    }

    /// Sets the seed of the backoff jitter; random by default.
    pub fn seed(self, seed: u64) -> Self {
        Self {
            seed: Some(seed),
            ..self
        }
    }

    /// Builds the client. Connections are established when calls need them.
    pub fn build(self) -> Result<Client, BuildError> {
        if self.dispatchers.is_empty() {
            return Err(BuildError::NoDispatcher);
        }
        let last_error = LastConnectError::default();
        let channels: Vec<Channel> = self
            .dispatchers
            .iter()
            .map(|address| self.channel(*address, &last_error))
            .collect();
        let seed = self.seed.unwrap_or_else(|| rand::thread_rng().gen());
        let retries = RetryState::new(self.policy, channels.len(), seed);
        let shared = Shared::new(self.transport, channels, retries, last_error);
        Ok(Client::new(shared))
    }

    fn channel(&self, address: SocketAddr, last_error: &LastConnectError) -> Channel {
        let connector = Connector {
            address,
            network: self.network.clone(),
            tls: self.tls.clone(),
            timeout: self.connect_timeout,
            last_error: last_error.clone(),
        };
        match self.transport {
            Transport::Framed => Channel::Framed(FramedChannel::new(connector)),
            Transport::Http => Channel::Http(HttpChannel::new(connector)),
        }
    }
}
