//! The byte stream of a connection, over a TCP socket, TLS or the simulated network.
//!
//! Both halves work by readiness: wait until there may be something, then try. An idle connection therefore needs no buffer,
//! and a task that has a frame can write it at once.
use crate::simulated::{SimulatedReadHalf, SimulatedWriteHalf};
use crate::tls::{TlsStream, TlsWriteHalf};
use bytes::{Buf, BufMut};
use std::io::{ErrorKind, IoSlice, Result};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// Time between two checks for the end of a peer with unread bytes: well below the 0.1 s in which a departure must be noticed.
pub(crate) const PEER_CLOSED_POLL: Duration = Duration::from_millis(20);

/// Slices of one vectored write at most.
pub(crate) const MAX_SLICES: usize = 32;

/// A connection to be split into its halves.
#[derive(Debug)]
pub enum Socket {
    /// TCP.
    Tcp(TcpStream),
    /// TLS over TCP.
    Tls(Arc<TlsStream>),
    /// Of a simulated network.
    Simulated(SimulatedReadHalf, SimulatedWriteHalf),
}

impl From<TcpStream> for Socket {
    fn from(socket: TcpStream) -> Self {
        Self::Tcp(socket)
    }
}

/// The reading half.
#[derive(Debug)]
pub enum ReadHalf {
    /// TCP.
    Tcp(OwnedReadHalf),
    /// TLS over TCP.
    Tls(Arc<TlsStream>),
    /// Of a simulated network.
    Simulated(SimulatedReadHalf),
}

/// The writing half; dropped, it ends its direction.
#[derive(Debug)]
pub enum WriteHalf {
    /// TCP.
    Tcp(OwnedWriteHalf),
    /// TLS over TCP.
    Tls(TlsWriteHalf),
    /// Of a simulated network.
    Simulated(SimulatedWriteHalf),
}

impl Socket {
    /// Both halves; small writes are sent at once from now on (`TCP_NODELAY`).
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
    /// Waits until a read may return something: bytes, the end or an error. Cancel-safe.
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

    /// Returns when the peer has ended its direction or the connection is broken, although earlier bytes may be unread. Checks
    /// every 20 ms while there are such bytes. Cancel-safe.
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
            tokio::time::sleep(PEER_CLOSED_POLL).await;
        }
        Ok(())
    }

    /// Reads what is available. `WouldBlock`: nothing; 0: the end.
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

    /// Waits for bytes and reads them; 0: the end. Cancel-safe.
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

    /// Writes as many bytes as are accepted now. `WouldBlock`: none.
    pub fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> Result<usize> {
        match self {
            Self::Tcp(half) => half.try_write_vectored(slices),
            Self::Tls(half) => half.0.try_write(slices),
            Self::Simulated(half) => half.try_write(slices),
        }
    }

    /// Writes a part of the bytes, waiting until some are accepted.
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

    /// Resets the connection once both halves are dropped: what was written and has not reached the peer never will.
    pub fn abort(&self) {
        match self {
            Self::Tcp(half) => {
                let _ = socket2::SockRef::from(half.as_ref()).set_linger(Some(Duration::ZERO));
            }
            Self::Tls(half) => half.0.abort(),
            Self::Simulated(half) => half.abort(),
        }
    }

    /// Ends the direction; what was written is still sent.
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
