//! Halves of a TCP connection that retry interrupted system calls and calls that found the socket not ready.
//!
//! After a read or write that moved fewer bytes than requested, tokio waits for the next readiness event of the socket, and
//! it returns an interrupted call as an error. These halves call again after a short read or write, until the socket would
//! block, and repeat interrupted calls.
use socket2::SockRef;
use std::io::{ErrorKind, IoSlice, Read, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The reading half of a TCP connection.
#[derive(Debug)]
pub struct RetryingReadHalf {
    half: OwnedReadHalf,
}

/// The writing half of a TCP connection. Dropping it shuts its direction down.
#[derive(Debug)]
pub struct RetryingWriteHalf {
    half: OwnedWriteHalf,
}

/// Whether a failed call is to be repeated, at once or when the socket is ready.
fn is_retried(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

impl RetryingReadHalf {
    /// Wraps a half of a tokio TCP stream.
    pub fn new(half: OwnedReadHalf) -> Self {
        Self { half }
    }

    /// Reads from the socket at once, regardless of the readiness that the runtime has recorded for it. Returns `None` if
    /// no bytes are available, and zero if the peer has closed its direction.
    pub fn read_now(&self, buffer: &mut [u8]) -> Result<Option<usize>> {
        let socket = SockRef::from(self.half.as_ref());
        loop {
            match (&*socket).read(buffer) {
                Ok(read) => return Ok(Some(read)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until bytes have arrived, which stay unread. Returns false if the peer has closed its direction or the socket
    /// has failed. Cancel safe.
    pub async fn input_arrived(&mut self) -> bool {
        matches!(self.half.peek(&mut [0]).await, Ok(1..))
    }

    /// Waits until the socket may have bytes to read or has failed. Cancel safe.
    pub async fn readable(&self) -> Result<()> {
        self.half.readable().await
    }

    /// Reads without waiting. Returns `None` if no bytes are available, after which [`RetryingReadHalf::readable`] waits,
    /// and zero if the peer has closed its direction.
    pub fn try_read(&self, buffer: &mut [u8]) -> Result<Option<usize>> {
        loop {
            match self.half.try_read(buffer) {
                Ok(read) => return Ok(Some(read)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    /// Shuts the writing direction down, so that the peer sees the end of the stream at once.
    pub fn shutdown_write(&self) -> Result<()> {
        SockRef::from(self.half.as_ref()).shutdown(std::net::Shutdown::Write)
    }
}

impl AsyncRead for RetryingReadHalf {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        loop {
            ready!(self.half.as_ref().poll_read_ready(context))?;
            match self.half.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if is_retried(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl RetryingWriteHalf {
    /// Wraps a half of a tokio TCP stream.
    pub fn new(half: OwnedWriteHalf) -> Self {
        Self { half }
    }

    /// Writes as many bytes of `slices` as the socket accepts.
    fn poll_write_part(
        &self,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.half.as_ref().poll_write_ready(context))?;
            match self.half.try_write_vectored(slices) {
                Err(e) if is_retried(&e) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for RetryingWriteHalf {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_write_part(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_part(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.half).poll_shutdown(context)
    }
}
