//! A connection's bytes, whatever carries them: a TCP socket, TLS over one, or the simulated network.
//!
//! Both halves are used by looking: wait until there may be something, then try. An idle connection so needs no buffer, and
//! whoever has a frame can write it at once on its own task.
use crate::simulated::{
    SimulatedListener, SimulatedNetwork, SimulatedReadHalf, SimulatedWriteHalf,
};
use crate::tls::{Tls, TlsWrite};
use bytes::{Buf, BufMut};
use std::io::{ErrorKind, IoSlice, Result};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time between two looks for the end of a peer whose bytes are not read: well under the 0.1 s within which it has gone.
pub(crate) const LEAVING_LOOK: Duration = Duration::from_millis(20);

/// Pieces of one vectored write.
pub(crate) const PIECES: usize = 32;

#[derive(Debug)]
pub enum Socket {
    Tcp(TcpStream),
    Tls(Arc<Tls>),
    Simulated(SimulatedReadHalf, SimulatedWriteHalf),
}

impl From<TcpStream> for Socket {
    fn from(socket: TcpStream) -> Self {
        Self::Tcp(socket)
    }
}

#[derive(Debug)]
pub enum ReadHalf {
    Tcp(OwnedReadHalf),
    Tls(Arc<Tls>),
    Simulated(SimulatedReadHalf),
}

/// Dropped, it ends this direction.
#[derive(Debug)]
pub enum WriteHalf {
    Tcp(OwnedWriteHalf),
    Tls(TlsWrite),
    Simulated(SimulatedWriteHalf),
}

impl Socket {
    /// Both halves; small pieces are sent at once from now on.
    pub fn split(self) -> (ReadHalf, WriteHalf) {
        match self {
            Self::Tcp(socket) => {
                let _ = socket.set_nodelay(true);
                let (read, write) = socket.into_split();
                (ReadHalf::Tcp(read), WriteHalf::Tcp(write))
            }
            Self::Tls(tls) => (ReadHalf::Tls(tls.clone()), WriteHalf::Tls(TlsWrite(tls))),
            Self::Simulated(read, write) => {
                (ReadHalf::Simulated(read), WriteHalf::Simulated(write))
            }
        }
    }
}

impl ReadHalf {
    /// Waits until a read may bring something: bytes, the end or an error. Safe to drop while waiting.
    pub async fn readable(&self) -> Result<()> {
        match self {
            Self::Tcp(half) => half.readable().await,
            Self::Tls(tls) => tls.readable().await,
            Self::Simulated(half) => {
                half.readable().await;
                Ok(())
            }
        }
    }

    /// Returns when the peer has ended its direction or the connection broke, though bytes before that are not read yet. It
    /// looks every [`LEAVING_LOOK`] while there are such bytes. Safe to drop while waiting.
    pub async fn peer_closed(&self) -> Result<()> {
        let socket = match self {
            Self::Tcp(half) => half.as_ref(),
            Self::Tls(tls) => tls.socket(),
            Self::Simulated(half) => {
                half.peer_closed().await;
                return Ok(());
            }
        };
        while !socket.ready(Interest::READABLE).await?.is_read_closed() {
            tokio::time::sleep(LEAVING_LOOK).await;
        }
        Ok(())
    }

    /// `WouldBlock`: nothing is there; 0: the end.
    pub fn try_read_buf(&self, buffer: &mut impl BufMut) -> Result<usize> {
        let mut put = |bytes: &[u8]| {
            let some = bytes.len().min(buffer.remaining_mut());
            buffer.put_slice(&bytes[..some]);
            some
        };
        match self {
            Self::Tcp(half) => half.try_read_buf(buffer),
            Self::Tls(tls) => tls.try_read(&mut put),
            Self::Simulated(half) => half.try_read(&mut put),
        }
    }

    pub async fn read_buf(&self, buffer: &mut impl BufMut) -> Result<usize> {
        loop {
            self.readable().await?;
            match self.try_read_buf(buffer) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }
}

impl WriteHalf {
    /// Waits until a write may be taken. Safe to drop while waiting.
    pub async fn writable(&self) -> Result<()> {
        match self {
            Self::Tcp(half) => half.writable().await,
            Self::Tls(half) => half.0.writable().await,
            Self::Simulated(half) => {
                half.writable().await;
                Ok(())
            }
        }
    }

    /// `WouldBlock`: nothing was taken.
    pub fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        match self {
            Self::Tcp(half) => half.try_write_vectored(slices),
            Self::Tls(half) => half.0.try_write(slices),
            Self::Simulated(half) => half.try_write(slices),
        }
    }

    /// Writes some of it, waiting until something is taken.
    pub async fn write_buf(&self, bytes: &mut impl Buf) -> Result<usize> {
        loop {
            let tried = {
                let mut slices = [IoSlice::new(&[]); PIECES];
                let count = bytes.chunks_vectored(&mut slices);
                self.try_write_vectored(&slices[..count])
            };
            match tried {
                Ok(taken) => {
                    bytes.advance(taken);
                    return Ok(taken);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable().await?,
                Err(e) => return Err(e),
            }
        }
    }

    pub async fn write_all(&self, mut bytes: &[u8]) -> Result<()> {
        while !bytes.is_empty() {
            if self.write_buf(&mut bytes).await? == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
        }
        Ok(())
    }

    /// What was written and has not reached the peer never will, once both halves are dropped: the connection ends with a reset.
    pub fn abort(&self) {
        match self {
            Self::Tcp(half) => {
                let _ = socket2::SockRef::from(half.as_ref()).set_linger(Some(Duration::ZERO));
            }
            Self::Tls(half) => half.0.abort(),
            Self::Simulated(half) => half.abort(),
        }
    }

    /// Nothing more is sent; what was written still goes out.
    pub fn shutdown(&self) {
        match self {
            Self::Tcp(half) => {
                let _ = socket2::SockRef::from(half.as_ref()).shutdown(std::net::Shutdown::Write);
            }
            Self::Tls(half) => half.0.shutdown(),
            Self::Simulated(half) => half.shutdown(),
        }
    }
}

/// Where connections come from and go to.
#[derive(Clone, Debug, Default)]
pub enum Network {
    #[default]
    Tcp,
    Simulated(SimulatedNetwork),
}

#[derive(Debug)]
pub enum Listener {
    Tcp(TcpListener),
    Simulated(SimulatedListener),
}

impl Network {
    /// Connects, from a local address if one is given.
    pub async fn connect(&self, from: Option<IpAddr>, to: SocketAddr) -> Result<Socket> {
        match self {
            Self::Tcp => {
                let socket = if to.is_ipv4() {
                    TcpSocket::new_v4()?
                } else {
                    TcpSocket::new_v6()?
                };
                if let Some(ip) = from {
                    socket.bind(SocketAddr::new(ip, 0))?;
                }
                Ok(Socket::Tcp(socket.connect(to).await?))
            }
            Self::Simulated(net) => net.connect(from, to).await,
        }
    }

    pub async fn listen(&self, at: SocketAddr) -> Result<Listener> {
        match self {
            Self::Tcp => Ok(Listener::Tcp(TcpListener::bind(at).await?)),
            Self::Simulated(net) => Ok(Listener::Simulated(net.listen(at)?)),
        }
    }

    /// ... at a port that the last process there may have left a moment ago.
    pub async fn listen_again(&self, at: SocketAddr) -> Result<Listener> {
        match self {
            Self::Tcp => {
                let socket = if at.is_ipv4() {
                    TcpSocket::new_v4()?
                } else {
                    TcpSocket::new_v6()?
                };
                socket.set_reuseaddr(true)?;
                socket.bind(at)?;
                Ok(Listener::Tcp(socket.listen(1024)?))
            }
            Self::Simulated(net) => Ok(Listener::Simulated(net.listen(at)?)),
        }
    }
}

impl Listener {
    /// The next connection and where it comes from. Safe to drop while waiting.
    pub async fn accept(&mut self) -> Result<(Socket, SocketAddr)> {
        match self {
            Self::Tcp(listener) => listener
                .accept()
                .await
                .map(|(socket, peer)| (socket.into(), peer)),
            Self::Simulated(listener) => listener.accept().await,
        }
    }

    pub fn local_addr(&self) -> Result<SocketAddr> {
        match self {
            Self::Tcp(listener) => listener.local_addr(),
            Self::Simulated(listener) => Ok(listener.at()),
        }
    }
}
