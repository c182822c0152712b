//! Networks over which connections are opened and accepted: the TCP stack of the machine, or a simulated network.
use crate::simulated::{SimulatedListener, SimulatedNetwork};
use crate::socket::Socket;
use std::io::Result;
use std::net::{IpAddr, SocketAddr};
use tokio::net::{TcpListener, TcpSocket};

/// Length of the system's accept queue for a listener that reuses its address.
const BACKLOG: u32 = 1024;

/// A network over which connections are opened and accepted.
#[derive(Clone, Debug, Default)]
pub enum Network {
    /// The machine's TCP stack.
    #[default]
    Tcp,
    /// An in-memory network.
    Simulated(SimulatedNetwork),
}

/// A listener on a [`Network`].
#[derive(Debug)]
pub enum Listener {
    /// A listener on the machine's TCP stack.
    Tcp(TcpListener),
    /// A listener on an in-memory network.
    Simulated(SimulatedListener),
}

impl Network {
    /// Connects to `to`, from the local address `from` if one is given.
    pub async fn connect(&self, from: Option<IpAddr>, to: SocketAddr) -> Result<Socket> {
        match self {
            Self::Tcp => {
                let socket = tcp_socket(to)?;
                if let Some(address) = from {
                    socket.bind(SocketAddr::new(address, 0))?;
                }
                Ok(Socket::Tcp(socket.connect(to).await?))
            }
            Self::Simulated(network) => network.connect(from, to).await,
        }
    }

    /// Listens at an address; port 0 selects any free port.
    pub async fn listen(&self, address: SocketAddr) -> Result<Listener> {
        match self {
            Self::Tcp => Ok(Listener::Tcp(TcpListener::bind(address).await?)),
            Self::Simulated(network) => Ok(Listener::Simulated(network.listen(address)?)),
        }
    }

    /// Listens at an address that another process may have released shortly before (`SO_REUSEADDR`).
    pub async fn listen_reusing_address(&self, address: SocketAddr) -> Result<Listener> {
        match self {
            Self::Tcp => {
                let socket = tcp_socket(address)?;
                socket.set_reuseaddr(true)?;
                socket.bind(address)?;
                Ok(Listener::Tcp(socket.listen(BACKLOG)?))
            }
            Self::Simulated(network) => Ok(Listener::Simulated(network.listen(address)?)),
        }
    }
}

fn tcp_socket(address: SocketAddr) -> Result<TcpSocket> {
    if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

impl Listener {
    /// Accepts the next connection and returns it with the peer's address. Cancel-safe.
    pub async fn accept(&mut self) -> Result<(Socket, SocketAddr)> {
        match self {
            Self::Tcp(listener) => {
                let (socket, peer) = listener.accept().await?;
                Ok((socket.into(), peer))
            }
            Self::Simulated(listener) => listener.accept().await,
        }
    }

    /// Returns the address of the listener, with the assigned port.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        match self {
            Self::Tcp(listener) => listener.local_addr(),
            Self::Simulated(listener) => Ok(listener.local_addr()),
        }
    }
}
