//! Counts the bytes of the emulator's connections.
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::transport::server::Connected;

#[derive(Debug, Default)]
struct Counters {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    connections: AtomicU64,
}

/// Counters of all connections together. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub(crate) struct SocketCounters(Arc<Counters>);

impl SocketCounters {
    /// Counts the connection, and wraps it so that its bytes are counted.
    pub(crate) fn wrap(&self, socket: TcpStream) -> CountedSocket {
        self.0.connections.fetch_add(1, Ordering::Relaxed);
        CountedSocket {
            socket,
            counters: self.clone(),
        }
    }

    pub(super) fn bytes_in(&self) -> u64 {
        self.0.bytes_in.load(Ordering::Relaxed)
    }

    pub(super) fn bytes_out(&self) -> u64 {
        self.0.bytes_out.load(Ordering::Relaxed)
    }

    pub(super) fn connections(&self) -> u64 {
        self.0.connections.load(Ordering::Relaxed)
    }

    fn record_read(&self, bytes: usize) {
        self.0.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn record_write(&self, written: &Poll<Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.0.bytes_out.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedSocket {
    socket: TcpStream,
    counters: SocketCounters,
}

impl Connected for CountedSocket {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buffer);
        self.counters
            .record_read(buffer.filled().len() - filled_before);
        read
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.counters.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, slices);
        self.counters.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
