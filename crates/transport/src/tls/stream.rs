//! The byte stream of a TLS connection, by readiness: wait, then try.
//!
//! No task and no buffer of its own: what the socket does not accept of a record stays in rustls, and a task that exists
//! only while the socket is full writes the rest.
use crate::lock::lock;
use crate::socket::Socket;
use rustls::Connection;
use std::io::{BufRead, Error, ErrorKind, IoSlice, Read, Result, Write};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A socket that accepts nothing for this long after it was shut down is given up.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The socket as rustls reads and writes it.
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
    /// Notified when the socket has accepted all records that it had not.
    flushed: Notify,
}

#[derive(Debug)]
struct TlsState {
    connection: Connection,
    /// A task writes the records that the socket has not accepted.
    flushing: bool,
    /// This side has shut its direction down.
    ended: bool,
    /// Why nothing more can be written.
    broken: Option<ErrorKind>,
}

/// The writing half; dropped, it sends the closing alert and ends its direction.
#[derive(Debug)]
pub struct TlsWriteHalf(pub(crate) Arc<TlsStream>);

impl Drop for TlsWriteHalf {
    fn drop(&mut self) {
        self.0.shutdown();
    }
}

/// Completes the handshake of either side.
pub(super) async fn handshake(socket: TcpStream, connection: Connection) -> Result<Socket> {
    let _ = socket.set_nodelay(true);
    let state = TlsState {
        connection,
        flushing: false,
        ended: false,
        broken: None,
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

    /// Writes what the handshake has to send; true once it is complete.
    fn write_handshake(self: &Arc<Self>) -> Result<bool> {
        let mut state = self.lock();
        self.flush_or_spawn(&mut state);
        if let Some(kind) = state.broken {
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

    /// Reads from the socket and decrypts.
    fn receive(self: &Arc<Self>, state: &mut TlsState) -> Result<usize> {
        let read = state.connection.read_tls(&mut TcpAdapter(&self.socket))?;
        let decrypted = state.connection.process_new_packets();
        // After an error as well: the alert for it is sent.
        self.flush_or_spawn(state);
        decrypted.map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
        Ok(read)
    }

    /// Writes encrypted records; what the socket does not accept is left to a task.
    fn flush_or_spawn(self: &Arc<Self>, state: &mut TlsState) {
        if state.flushing {
            return;
        }
        if !self.flush(state) {
            state.flushing = true;
            tokio::spawn(flush_when_writable(self.clone()));
        }
    }

    /// Writes encrypted records; false if the socket is full.
    fn flush(&self, state: &mut TlsState) -> bool {
        while state.broken.is_none() && state.connection.wants_write() {
            match state.connection.write_tls(&mut TcpAdapter(&self.socket)) {
                Ok(0) => state.broken = Some(ErrorKind::WriteZero),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) => state.broken = Some(error.kind()),
            }
        }
        if state.ended || state.broken.is_some() {
            let _ = socket2::SockRef::from(&self.socket).shutdown(std::net::Shutdown::Write);
        }
        true
    }

    /// Waits until a read may return something. Bytes that are decrypted already do not make the socket readable.
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

    /// Passes decrypted bytes to `consume`, which returns how many it has taken.
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
            // Registered before the check, so that a flush in between is not missed.
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
        if let Some(kind) = state.broken {
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

/// Writes encrypted records until the socket has accepted all of them; exists only while the socket is full.
async fn flush_when_writable(stream: Arc<TlsStream>) {
    loop {
        let writable = tokio::time::timeout(SHUTDOWN_TIMEOUT, stream.socket.writable()).await;
        let mut state = stream.lock();
        let given_up = match writable {
            Ok(ready) => ready.is_err(),
            Err(_) => state.ended,
        };
        if given_up {
            state.broken = Some(ErrorKind::TimedOut);
        }
        if stream.flush(&mut state) {
            state.flushing = false;
            drop(state);
            stream.flushed.notify_waiters();
            return;
        }
    }
}
