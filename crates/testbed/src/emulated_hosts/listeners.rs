//! Starts and stops the listeners of hosts.
use super::connection::serve_connection;
use super::hosts::EmulatedHosts;
use pointspindle_cache_model::HostId;
use pointspindle_transport::Listener;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// Listening is retried because the port may not be free yet just after a host has stopped.
const LISTEN_RETRIES: u32 = 50;
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);

impl EmulatedHosts {
    /// Closes the connections of a host and stops accepting new ones, while the host stays up.
    pub fn refuse_connections(&self, host: HostId) {
        if let Some(listener) = self.lock().listeners.remove(&host) {
            listener.abort();
        }
    }

    /// Accepts connections to a host again, if the host is up.
    pub async fn accept_connections(&self, host: HostId) -> std::io::Result<()> {
        let must_listen = {
            let state = self.lock();
            state.model.is_up(host) && !state.listeners.contains_key(&host)
        };
        if must_listen {
            self.listen(host).await?;
        }
        Ok(())
    }

    /// Listens at a host's address.
    pub(super) async fn listen(&self, host: HostId) -> std::io::Result<()> {
        let address: SocketAddr = self
            .address_of(host)
            .parse()
            .map_err(std::io::Error::other)?;
        let listener = self.bind(address).await?;
        let task = tokio::spawn(serve(self.clone(), host, listener));
        self.lock().listeners.insert(host, task.abort_handle());
        Ok(())
    }

    async fn bind(&self, address: SocketAddr) -> std::io::Result<Listener> {
        let network = &self.shared().options.network;
        let mut retries = 0;
        loop {
            match network.listen_reusing_address(address).await {
                Ok(listener) => return Ok(listener),
                Err(e) if retries >= LISTEN_RETRIES => return Err(e),
                Err(_) => {
                    retries += 1;
                    tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

async fn serve(hosts: EmulatedHosts, host: HostId, mut listener: Listener) {
    // Aborting this task drops the set and so closes every connection, as the end of a process does.
    let mut connections = JoinSet::new();
    while let Ok((socket, peer)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(serve_connection(hosts.clone(), host, socket, peer));
    }
}
