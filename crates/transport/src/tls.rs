//! TLS by `rustls` over a TCP socket, in the manner of the other lines: wait, then try.
//!
//! No task and no buffer of ours: what the socket does not take of a record is rustls's, and a task that lives only while the
//! socket is full writes it on. Keys and certificates come from PEM files and are read again by [`Identity::reload`];
//! connections that stand keep what they have.
use crate::line::Socket;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{
    ClientConfig, ClientConnection, Connection, RootCertStore, ServerConfig, ServerConnection,
};
use std::io::{BufRead, Error, ErrorKind, IoSlice, Read, Result, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A socket that takes nothing for so long after its end was asked for is given up.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// What is wrong with a certificate, a key or their files. Never tells of a key's content.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    #[error("{0}: {1}")]
    File(PathBuf, String),
    #[error("{0}: holds no certificate")]
    NoCertificate(PathBuf),
    #[error("{0} and its key: {1}")]
    Pair(PathBuf, rustls::Error),
    #[error("{0}: cannot be trusted in: {1}")]
    Authority(PathBuf, String),
}

/// Files of one side's certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateFiles {
    /// PEM: the certificate, then those that lead to its authority.
    pub certificate: PathBuf,
    pub key: PathBuf,
}

impl CertificateFiles {
    fn read(
        &self,
    ) -> std::result::Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), TlsError> {
        let chain = certificates(&self.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&self.key);
        // The reason is of the file's form only.
        let key =
            key.map_err(|e| TlsError::File(self.key.clone(), format!("no private key: {e}")))?;
        Ok((chain, key))
    }
}

fn certificates(file: &Path) -> std::result::Result<Vec<CertificateDer<'static>>, TlsError> {
    let failed = |e: rustls::pki_types::pem::Error| TlsError::File(file.into(), e.to_string());
    let all = CertificateDer::pem_file_iter(file).map_err(failed)?;
    let all = all
        .collect::<std::result::Result<Vec<_>, _>>()
        .map_err(failed)?;
    if all.is_empty() {
        return Err(TlsError::NoCertificate(file.into()));
    }
    Ok(all)
}

fn authorities(file: &Path) -> std::result::Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(file)? {
        roots
            .add(certificate)
            .map_err(|e| TlsError::Authority(file.into(), e.to_string()))?;
    }
    Ok(roots)
}

/// A server's certificate, and whom it lets in.
#[derive(Debug)]
pub struct Identity {
    files: CertificateFiles,
    /// Clients must show a certificate of these authorities.
    client_authority: Option<PathBuf>,
    held: Mutex<Arc<ServerConfig>>,
}

impl Identity {
    pub fn load(
        files: CertificateFiles,
        client_authority: Option<PathBuf>,
    ) -> std::result::Result<Self, TlsError> {
        let held = Mutex::new(server(&files, client_authority.as_deref())?);
        Ok(Self {
            files,
            client_authority,
            held,
        })
    }

    /// Reads the files again: for handshakes from now on. After an error the old ones stay in use.
    pub fn reload(&self) -> std::result::Result<(), TlsError> {
        let new = server(&self.files, self.client_authority.as_deref())?;
        *self
            .held
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = new;
        Ok(())
    }

    /// The server's side of a handshake. The caller brings the time-out.
    pub async fn accept(&self, socket: TcpStream) -> Result<Socket> {
        let config = self
            .held
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone();
        let connection = ServerConnection::new(config).map_err(Error::other)?;
        shake(socket, connection.into()).await
    }
}

fn server(
    files: &CertificateFiles,
    authority: Option<&Path>,
) -> std::result::Result<Arc<ServerConfig>, TlsError> {
    let (chain, key) = files.read()?;
    let builder = ServerConfig::builder();
    let builder = match authority {
        Some(file) => {
            let verifier = WebPkiClientVerifier::builder(Arc::new(authorities(file)?)).build();
            let verifier = verifier.map_err(|e| TlsError::Authority(file.into(), e.to_string()))?;
            builder.with_client_cert_verifier(verifier)
        }
        None => builder.with_no_client_auth(),
    };
    let config = builder.with_single_cert(chain, key);
    config
        .map(Arc::new)
        .map_err(|e| TlsError::Pair(files.certificate.clone(), e))
}

/// Whom a client trusts, and who it says it is.
#[derive(Clone, Debug)]
pub struct TrustAnchors {
    config: Arc<ClientConfig>,
}

impl TrustAnchors {
    /// `authority`: PEM of those whose certificates are believed.
    pub fn load(
        authority: &Path,
        own: Option<&CertificateFiles>,
    ) -> std::result::Result<Self, TlsError> {
        let builder = ClientConfig::builder().with_root_certificates(authorities(authority)?);
        let config = match own {
            Some(files) => {
                let (chain, key) = files.read()?;
                let config = builder.with_client_auth_cert(chain, key);
                config.map_err(|e| TlsError::Pair(files.certificate.clone(), e))?
            }
            None => builder.with_no_client_auth(),
        };
        Ok(Self {
            config: Arc::new(config),
        })
    }

    /// The client's side of a handshake with whoever has the name, an address or a host's. The caller brings the time-out.
    pub async fn connect(&self, socket: TcpStream, name: &str) -> Result<Socket> {
        let name = ServerName::try_from(name.to_owned())
            .map_err(|e| Error::new(ErrorKind::InvalidInput, e))?;
        let connection = ClientConnection::new(self.config.clone(), name).map_err(Error::other)?;
        shake(socket, connection.into()).await
    }
}

/// The socket, as rustls wants it.
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

#[derive(Debug)]
pub struct Tls {
    socket: TcpStream,
    state: Mutex<State>,
    /// Told when the socket has taken what it had not.
    flushed: Notify,
}

#[derive(Debug)]
struct State {
    connection: Connection,
    /// A task writes on what the socket has not taken.
    flushing: bool,
    /// Nothing more is written by us.
    ended: bool,
    /// Why nothing more can be written.
    broken: Option<ErrorKind>,
}

/// Dropped, it says goodbye.
#[derive(Debug)]
pub struct TlsWrite(pub(crate) Arc<Tls>);

impl Drop for TlsWrite {
    fn drop(&mut self) {
        self.0.shutdown();
    }
}

async fn shake(socket: TcpStream, connection: Connection) -> Result<Socket> {
    let _ = socket.set_nodelay(true);
    let state = State {
        connection,
        flushing: false,
        ended: false,
        broken: None,
    };
    let tls = Arc::new(Tls {
        socket,
        state: Mutex::new(state),
        flushed: Notify::new(),
    });
    loop {
        {
            let mut state = tls.lock();
            tls.push(&mut state);
            if let Some(kind) = state.broken {
                return Err(kind.into());
            }
            if !state.connection.is_handshaking() {
                drop(state);
                return Ok(Socket::Tls(tls));
            }
        }
        tls.socket.readable().await?;
        let mut state = tls.lock();
        match tls.pull(&mut state) {
            Ok(0) if state.connection.is_handshaking() => {
                let why = "the peer closed the connection in the middle of the TLS handshake";
                return Err(Error::new(ErrorKind::UnexpectedEof, why));
            }
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

impl Tls {
    pub(crate) fn socket(&self) -> &TcpStream {
        &self.socket
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes what the socket has and opens it.
    fn pull(self: &Arc<Self>, state: &mut State) -> Result<usize> {
        let read = state.connection.read_tls(&mut TcpAdapter(&self.socket))?;
        let opened = state.connection.process_new_packets();
        // Also after an error: the peer is told why.
        self.push(state);
        opened.map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
        Ok(read)
    }

    /// Writes what is sealed; what the socket does not take is left to a task.
    fn push(self: &Arc<Self>, state: &mut State) {
        if state.flushing {
            return;
        }
        if !self.flush(state) {
            state.flushing = true;
            tokio::spawn(write_on(self.clone()));
        }
    }

    /// False: the socket is full.
    fn flush(&self, state: &mut State) -> bool {
        while state.broken.is_none() && state.connection.wants_write() {
            match state.connection.write_tls(&mut TcpAdapter(&self.socket)) {
                Ok(0) => state.broken = Some(ErrorKind::WriteZero),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) => state.broken = Some(e.kind()),
            }
        }
        if state.ended || state.broken.is_some() {
            let _ = socket2::SockRef::from(&self.socket).shutdown(std::net::Shutdown::Write);
        }
        true
    }

    /// What was opened already is not on the socket any more.
    pub(crate) async fn readable(&self) -> Result<()> {
        {
            let mut state = self.lock();
            let opened = state.connection.reader().fill_buf().map(|_| ());
            if !matches!(opened, Err(e) if e.kind() == ErrorKind::WouldBlock) {
                return Ok(());
            }
        }
        self.socket.readable().await
    }

    pub(crate) fn try_read(self: &Arc<Self>, put: &mut dyn FnMut(&[u8]) -> usize) -> Result<usize> {
        let mut state = self.lock();
        loop {
            let mut reader = state.connection.reader();
            match reader.fill_buf() {
                Ok(opened) => {
                    let taken = put(opened);
                    reader.consume(taken);
                    return Ok(taken);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            self.pull(&mut state)?;
        }
    }

    pub(crate) async fn writable(&self) -> Result<()> {
        loop {
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
        self.push(&mut state);
        Ok(taken)
    }

    pub(crate) fn abort(&self) {
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }

    pub(crate) fn shutdown(self: &Arc<Self>) {
        let mut state = self.lock();
        if !std::mem::replace(&mut state.ended, true) {
            state.connection.send_close_notify();
            self.push(&mut state);
        }
    }
}

/// Lives only while the socket is full.
async fn write_on(tls: Arc<Tls>) {
    loop {
        let writable = tokio::time::timeout(LAST_WORDS, tls.socket.writable()).await;
        let mut state = tls.lock();
        let given_up = writable.as_ref().map_or(state.ended, |told| told.is_err());
        if given_up {
            state.broken = Some(ErrorKind::TimedOut);
        }
        if tls.flush(&mut state) {
            state.flushing = false;
            drop(state);
            tls.flushed.notify_waiters();
            return;
        }
    }
}
