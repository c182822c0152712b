//! Listeners of a simulated network.
use super::SimulatedNetwork;
use crate::lock::lock;
use crate::socket::Socket;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// A listener at an address of a simulated network. Dropping it frees the address.
#[derive(Debug)]
pub struct SimulatedListener {
    network: SimulatedNetwork,
    address: SocketAddr,
    queue: mpsc::Receiver<(Socket, SocketAddr)>,
}

impl SimulatedListener {
    pub(super) fn new(
        network: SimulatedNetwork,
        address: SocketAddr,
        queue: mpsc::Receiver<(Socket, SocketAddr)>,
    ) -> Self {
        Self {
            network,
            address,
            queue,
        }
    }

    /// Accepts the next connection and returns it with the peer's address. Cancel-safe.
    pub async fn accept(&mut self) -> Result<(Socket, SocketAddr)> {
        let accepted = self.queue.recv().await;
        accepted.ok_or_else(|| ErrorKind::NotConnected.into())
    }

    /// Returns the address of the listener, with the assigned port.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        lock(&self.network.state).listeners.remove(&self.address);
    }
}
