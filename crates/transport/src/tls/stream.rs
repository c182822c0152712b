//! The byte stream of a TLS connection, readiness-based like a TCP socket.
//!
//! A stream has no buffer and no permanent task of its own: records that the socket does not accept stay in rustls, and a
//! task that exists only while the socket is full writes them.
use crate::lock::lock;
use crate::socket::Socket;
use rustls::Connection;
use std::io::{BufRead, Error, ErrorKind, IoSlice, Read, Result, Write};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time without progress after which a socket that has been shut down is abandoned.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Adapter through which rustls reads from and writes to the socket.
struct TcpAdapter<'a>(&'a TcpStream);

impl Read for TcpAdapter<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        self.0.try_read(buffer)
    }
}

impl Write for TcpAdapter<'_> {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.0.try_write(bytes)
    }

    fn write_vectored(&mut self, slices: &[IoSlice<'_>]) -> Result<usize> {
        self.0.try_write_vectored(slices)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// A TLS connection after its handshake.
#[derive(Debug)]
pub struct TlsStream {
    socket: TcpStream,
    state: Mutex<TlsState>,
    /// Notified when the socket has accepted all records that were left over.
    flushed: Notify,
}

#[derive(Debug)]
struct TlsState {
    connection: Connection,
    /// Whether a task is writing the records that the socket has not accepted.
    flushing: bool,
    /// Whether this side has shut its direction down.
    ended: bool,
    /// Error after which no more bytes can be written.
    write_error: Option<ErrorKind>,
}

/// The writing half of a TLS connection. Dropping it sends the close_notify alert and ends its direction.
#[derive(Debug)]
pub struct TlsWriteHalf(pub(crate) Arc<TlsStream>);

impl Drop for TlsWriteHalf {
    fn drop(&mut self) {
        self.0.shutdown();
    }
}

/// Performs the handshake of either side and returns the connected socket.
pub(super) async fn handshake(socket: TcpStream, connection: Connection) -> Result<Socket> {
    let _ = socket.set_nodelay(true);
    let state = TlsState {
        connection,
        flushing: false,
        ended: false,
        write_error: None,
    };
    let stream = Arc::new(TlsStream {
        socket,
        state: Mutex::new(state),
        flushed: Notify::new(),
    });
    while !stream.write_handshake()? {
        stream.socket.readable().await?;
        stream.read_handshake()?;
    }
    Ok(Socket::Tls(stream))
}

impl TlsStream {
    pub(crate) fn socket(&self) -> &TcpStream {
        &self.socket
    }

    fn lock(&self) -> MutexGuard<'_, TlsState> {
        lock(&self.state)
    }

    /// Writes the pending handshake messages; returns true once the handshake is complete.
    fn write_handshake(self: &Arc<Self>) -> Result<bool> {
        let mut state = self.lock();
        self.flush_or_spawn(&mut state);
        if let Some(kind) = state.write_error {
            return Err(kind.into());
        }
        Ok(!state.connection.is_handshaking())
    }

    fn read_handshake(self: &Arc<Self>) -> Result<()> {
        let mut state = self.lock();
        match self.receive(&mut state) {
            Ok(0) if state.connection.is_handshaking() => {
                let reason = "the peer closed the connection in the middle of the TLS handshake";
                Err(Error::new(ErrorKind::UnexpectedEof, reason))
            }
            Ok(_) => Ok(()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads from the socket and decrypts; returns the number of encrypted bytes read.
    fn receive(self: &Arc<Self>, state: &mut TlsState) -> Result<usize> {
        let read = state.connection.read_tls(&mut TcpAdapter(&self.socket))?;
        let decrypted = state.connection.process_new_packets();
        // Done after an error as well, so that the alert for it is sent.
        self.flush_or_spawn(state);
        decrypted.map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
        Ok(read)
    }

    /// Writes encrypted records; starts a task for those that the socket does not accept.
    fn flush_or_spawn(self: &Arc<Self>, state: &mut TlsState) {
        if state.flushing {
            return;
        }
        if !self.flush(state) {
            state.flushing = true;
            tokio::spawn(flush_when_writable(self.clone()));
        }
    }

    /// Writes encrypted records; returns false if the socket is full.
    fn flush(&self, state: &mut TlsState) -> bool {
        while state.write_error.is_none() && state.connection.wants_write() {
            match state.connection.write_tls(&mut TcpAdapter(&self.socket)) {
                Ok(0) => state.write_error = Some(ErrorKind::WriteZero),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) => state.write_error = Some(error.kind()),
            }
        }
        if state.ended || state.write_error.is_some() {
            let _ = socket2::SockRef::from(&self.socket).shutdown(std::net::Shutdown::Write);
        }
        true
    }

    /// Waits until a read may return bytes, the end of the stream or an error. Checks for decrypted bytes first, because
    /// they do not make the socket readable.
    pub(crate) async fn readable(&self) -> Result<()> {
        {
            let mut state = self.lock();
            let decrypted = state.connection.reader().fill_buf().map(|_| ());
            if !matches!(decrypted, Err(error) if error.kind() == ErrorKind::WouldBlock) {
                return Ok(());
            }
        }
        self.socket.readable().await
    }

    /// Passes decrypted bytes to `consume`, which returns how many it has taken. Returns that number; 0 means the end of
    /// the stream.
    pub(crate) fn try_read(
        self: &Arc<Self>,
        consume: &mut dyn FnMut(&[u8]) -> usize,
    ) -> Result<usize> {
        let mut state = self.lock();
        loop {
            let mut reader = state.connection.reader();
            match reader.fill_buf() {
                Ok(decrypted) => {
                    let taken = consume(decrypted);
                    reader.consume(taken);
                    return Ok(taken);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            self.receive(&mut state)?;
        }
    }

    pub(crate) async fn writable(&self) -> Result<()> {
        loop {
            // Registered before the check, so that a flush that ends in between is not missed.
            let flushed = self.flushed.notified();
            if !self.lock().flushing {
                break;
            }
            flushed.await;
        }
        self.socket.writable().await
    }

    pub(crate) fn try_write(self: &Arc<Self>, slices: &[IoSlice<'_>]) -> Result<usize> {
        let mut state = self.lock();
        if let Some(kind) = state.write_error {
            return Err(kind.into());
        }
        if state.ended {
            return Err(ErrorKind::BrokenPipe.into());
        }
        if state.flushing {
            return Err(ErrorKind::WouldBlock.into());
        }
        let taken = state.connection.writer().write_vectored(slices)?;
        self.flush_or_spawn(&mut state);
        Ok(taken)
    }

    pub(crate) fn abort(&self) {
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }

    pub(crate) fn shutdown(self: &Arc<Self>) {
        let mut state = self.lock();
        if state.ended {
            return;
        }
        state.ended = true;
        state.connection.send_close_notify();
        self.flush_or_spawn(&mut state);
    }
}

/// Writes encrypted records until the socket has accepted all of them or has failed.
async fn flush_when_writable(stream: Arc<TlsStream>) {
    loop {
        let writable = tokio::time::timeout(SHUTDOWN_TIMEOUT, stream.socket.writable()).await;
        let mut state = stream.lock();
        let has_failed = match writable {
            Ok(ready) => ready.is_err(),
            Err(_) => state.ended,
        };
        if has_failed {
            state.write_error = Some(ErrorKind::TimedOut);
        }
        if stream.flush(&mut state) {
            state.flushing = false;
            drop(state);
            stream.flushed.notify_waiters();
            return;
        }
    }
}
