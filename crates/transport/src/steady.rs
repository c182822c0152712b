//! Halves of a TCP connection that take no short or interrupted call for its end.
//!
//! tokio's own reads and writes wait for the next event of the socket once a call has moved fewer bytes than asked for, and
//! hand an interrupted call on as an error. Here a short call is followed by another one, until the socket says that it has or
//! takes nothing more, and an interrupted one is made again.
use socket2::SockRef;
use std::io::{ErrorKind, IoSlice, Read, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The reading half.
#[derive(Debug)]
pub struct SteadyRead {
    half: OwnedReadHalf,
}

/// The writing half; the direction is shut down when it is dropped.
#[derive(Debug)]
pub struct SteadyWrite {
    half: OwnedWriteHalf,
}

/// Whether a call is to be made again at once, or when the socket is ready.
fn again(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock)
}

impl SteadyRead {
    pub fn new(half: OwnedReadHalf) -> Self {
        Self { half }
    }

    /// Reads what is there in this moment, whatever the runtime knows of the socket; none: nothing is. Zero: the peer has closed.
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

    /// Nothing more is written from here: the peer sees the end at once.
    pub fn shut_down_writing(&self) -> Result<()> {
        SockRef::from(self.half.as_ref()).shutdown(std::net::Shutdown::Write)
    }
}

impl AsyncRead for SteadyRead {
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
                Err(e) if again(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl SteadyWrite {
    pub fn new(half: OwnedWriteHalf) -> Self {
        Self { half }
    }

    /// Writes some of `pieces`.
    fn poll_some(&self, context: &mut Context<'_>, pieces: &[IoSlice<'_>]) -> Poll<Result<usize>> {
        loop {
            ready!(self.half.as_ref().poll_write_ready(context))?;
            match self.half.try_write_vectored(pieces) {
                Err(e) if again(&e) => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl AsyncWrite for SteadyWrite {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_some(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_some(context, pieces)
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
