//! The byte stream of a connection over TCP, TLS or a simulated network.
//!
//! Both halves are readiness-based: the caller waits for readiness, then tries the operation. An idle connection therefore
//! needs no buffer, and a task that has a frame can write it without waiting for another task.
use crate::simulated::{SimulatedReadHalf, SimulatedWriteHalf};
use crate::tls::{TlsStream, TlsWriteHalf};
use bytes::{Buf, BufMut};
use std::io::{ErrorKind, IoSlice, Result};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// Interval between checks whether the peer has closed its direction while bytes are unread. It is well below the 0.1 s
/// within which a peer's departure must be noticed.
pub(crate) const PEER_CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of slices of one vectored write.
pub(crate) const MAX_SLICES: usize = 32;

/// A connection that has not been split into its halves yet.
#[derive(Debug)]
pub enum Socket {
    /// Plain TCP.
    Tcp(TcpStream),
    /// TLS over TCP.
    Tls(Arc<TlsStream>),
    /// A connection of a simulated network.
    Simulated(SimulatedReadHalf, SimulatedWriteHalf),
}

impl From<TcpStream> for Socket {
    fn from(socket: TcpStream) -> Self {
        Self::Tcp(socket)
    }
}

/// The reading half of a connection.
#[derive(Debug)]
pub enum ReadHalf {
    /// Plain TCP.
    Tcp(OwnedReadHalf),
    /// TLS over TCP.
    Tls(Arc<TlsStream>),
    /// A connection of a simulated network.
    Simulated(SimulatedReadHalf),
}

/// The writing half of a connection. Dropping it ends its direction.
#[derive(Debug)]
pub enum WriteHalf {
    /// Plain TCP.
    Tcp(OwnedWriteHalf),
    /// TLS over TCP.
    Tls(TlsWriteHalf),
    /// A connection of a simulated network.
    Simulated(SimulatedWriteHalf),
}

impl Socket {
    /// Splits the connection into its halves and disables the delay of small writes (`TCP_NODELAY`).
    pub fn split(self) -> (ReadHalf, WriteHalf) {
        match self {
            Self::Tcp(socket) => {
                let _ = socket.set_nodelay(true);
                let (read, write) = socket.into_split();
                (ReadHalf::Tcp(read), WriteHalf::Tcp(write))
            }
            Self::Tls(tls) => (
                ReadHalf::Tls(tls.clone()),
                WriteHalf::Tls(TlsWriteHalf(tls)),
            ),
            Self::Simulated(read, write) => {
                (ReadHalf::Simulated(read), WriteHalf::Simulated(write))
            }
        }
    }
}

impl ReadHalf {
    /// Waits until a read may return bytes, the end of the stream or an error. Cancel-safe.
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

    /// Returns when the peer has ended its direction or the connection is broken, even if earlier bytes are unread. While
    /// bytes are unread, the state is checked every 20 ms. Cancel-safe.
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
            tokio::time::sleep(PEER_CLOSED_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Reads the available bytes and returns their number; 0 means the end of the stream. Fails with `WouldBlock` if no
    /// bytes are available.
    pub fn try_read_buf(&self, buffer: &mut impl BufMut) -> Result<usize> {
        let mut consume = |bytes: &[u8]| {
            let taken = bytes.len().min(buffer.remaining_mut());
            buffer.put_slice(&bytes[..taken]);
            taken
        };
        match self {
            Self::Tcp(half) => half.try_read_buf(buffer),
            Self::Tls(tls) => tls.try_read(&mut consume),
            Self::Simulated(half) => half.try_read(&mut consume),
        }
    }

    /// Waits for bytes, reads them and returns their number; 0 means the end of the stream. Cancel-safe.
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
    /// Waits until a write may be accepted. Cancel-safe.
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

    /// Writes as many bytes as the socket accepts now and returns their number. Fails with `WouldBlock` if it accepts none.
    pub fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        match self {
            Self::Tcp(half) => half.try_write_vectored(slices),
            Self::Tls(half) => half.0.try_write(slices),
            Self::Simulated(half) => half.try_write(slices),
        }
    }

    /// Waits until the socket accepts some of the bytes, writes them and returns their number.
    pub async fn write_buf(&self, bytes: &mut impl Buf) -> Result<usize> {
        loop {
            let written = {
                let mut slices = [IoSlice::new(&[]); MAX_SLICES];
                let count = bytes.chunks_vectored(&mut slices);
                self.try_write_vectored(&slices[..count])
            };
            match written {
                Ok(written) => {
                    bytes.advance(written);
                    return Ok(written);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable().await?,
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes all bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> Result<()> {
        while !bytes.is_empty() {
            if self.write_buf(&mut bytes).await? == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
        }
        Ok(())
    }

    /// Makes the connection reset once both halves are dropped: written bytes that have not reached the peer by then are
    /// discarded.
    pub fn abort(&self) {
        match self {
            Self::Tcp(half) => {
                let _ = socket2::SockRef::from(half.as_ref()).set_linger(Some(Duration::ZERO));
            }
            Self::Tls(half) => half.0.abort(),
            Self::Simulated(half) => half.abort(),
        }
    }

    /// Ends the direction; bytes already written are still sent.
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
