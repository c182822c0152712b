//! Halves of a TCP connection that retry interrupted calls and calls that found the socket not ready.
//!
//! tokio's own reads and writes wait for the next event of the socket once a call has moved fewer bytes than requested, and
//! pass an interrupted call on as an error. Here a short call is followed by another one, until the socket has or takes
//! nothing more, and an interrupted call is repeated.
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

/// The writing half of a TCP connection; dropping it shuts the direction down.
#[derive(Debug)]
pub struct RetryingWriteHalf {
    half: OwnedWriteHalf,
}

/// Whether a call is to be repeated, at once or when the socket is ready.
fn is_retried(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

impl RetryingReadHalf {
    /// Wraps tokio's half.
    pub fn new(half: OwnedReadHalf) -> Self {
        Self { half }
    }

    /// Reads what the socket holds now, regardless of its readiness as the runtime knows it. `None`: nothing is there; zero: the
    /// peer has closed its direction.
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

    /// Shuts the writing direction down: the peer sees the end at once.
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
    /// Wraps tokio's half.
    pub fn new(half: OwnedWriteHalf) -> Self {
        Self { half }
    }

    /// Writes a part of `pieces`.
    fn poll_write_part(
        &self,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.half.as_ref().poll_write_ready(context))?;
            match self.half.try_write_vectored(pieces) {
                Err(e) if is_retried(&e) => {}
                done => return Poll::Ready(done),
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
        pieces: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_part(context, pieces)
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
