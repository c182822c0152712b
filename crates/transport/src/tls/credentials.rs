//! Certificates and private keys from PEM files, and the TLS handshakes that use them.
use super::stream::handshake;
use super::TlsError;
use crate::lock::lock;
use crate::socket::Socket;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, ClientConnection, RootCertStore, ServerConfig, ServerConnection};
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use tokio::net::TcpStream;

/// PEM files of the certificate that one side presents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateFiles {
    /// Path of the certificate, followed by the intermediate certificates up to its authority.
    pub certificate: PathBuf,
    /// Path of the private key.
    pub key: PathBuf,
}

/// The contents of [`CertificateFiles`].
struct CertificateChain {
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl CertificateFiles {
    fn read(&self) -> Result<CertificateChain, TlsError> {
        let certificates = read_certificates(&self.certificate)?;
        // The error describes only the format of the file and never contains the key.
        let key = PrivateKeyDer::from_pem_file(&self.key).map_err(|error| {
            TlsError::File(
                self.key.clone(),
                format!("the private key cannot be read: {error}"),
            )
        })?;
        Ok(CertificateChain { certificates, key })
    }
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let file_error =
        |error: rustls::pki_types::pem::Error| TlsError::File(file.into(), error.to_string());
    let certificates: Vec<_> = CertificateDer::pem_file_iter(file)
        .map_err(file_error)?
        .collect::<Result<_, _>>()
        .map_err(file_error)?;
    if certificates.is_empty() {
        return Err(TlsError::NoCertificate(file.into()));
    }
    Ok(certificates)
}

fn read_authorities(file: &Path) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(file)? {
        roots
            .add(certificate)
            .map_err(|error| TlsError::Authority(file.into(), error.to_string()))?;
    }
    Ok(roots)
}

/// The TLS settings of a server: its certificate, and the authorities that must have issued the clients' certificates.
#[derive(Debug)]
pub struct ServerTls {
    files: CertificateFiles,
    client_authority: Option<PathBuf>,
    /// Configuration for new handshakes; replaced by [`ServerTls::reload`].
    config: Mutex<Arc<ServerConfig>>,
}

impl ServerTls {
    /// Reads the files. If `client_authority` is `None`, clients need no certificate.
    pub fn load(
        files: CertificateFiles,
        client_authority: Option<PathBuf>,
    ) -> Result<Self, TlsError> {
        let config = server_config(&files, client_authority.as_deref())?;
        Ok(Self {
            files,
            client_authority,
            config: Mutex::new(config),
        })
    }

    /// Reads the files again and uses them for new handshakes; open connections are not affected. After an error the
    /// earlier certificates stay in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        let config = server_config(&self.files, self.client_authority.as_deref())?;
        *lock(&self.config) = config;
        Ok(())
    }

    /// Performs the server's side of a handshake. Has no timeout of its own: the caller must impose one.
    pub async fn accept(&self, socket: TcpStream) -> std::io::Result<Socket> {
        let config = lock(&self.config).clone();
        let connection = ServerConnection::new(config).map_err(Error::other)?;
        handshake(socket, connection.into()).await
    }
}

fn server_config(
    files: &CertificateFiles,
    client_authority: Option<&Path>,
) -> Result<Arc<ServerConfig>, TlsError> {
    let chain = files.read()?;
    let builder = ServerConfig::builder();
    let builder = match client_authority {
        Some(file) => {
            let authorities = Arc::new(read_authorities(file)?);
            let verifier = WebPkiClientVerifier::builder(authorities)
                .build()
                .map_err(|error| TlsError::Authority(file.into(), error.to_string()))?;
            builder.with_client_cert_verifier(verifier)
        }
        None => builder.with_no_client_auth(),
    };
    let config = builder
        .with_single_cert(chain.certificates, chain.key)
        .map_err(|error| TlsError::Pair(files.certificate.clone(), error))?;
    Ok(Arc::new(config))
}

/// The TLS settings of a client: the authorities that it trusts, and its own certificate, if any.
#[derive(Clone, Debug)]
pub struct ClientTls {
    config: Arc<ClientConfig>,
}

impl ClientTls {
    /// Reads the files. `authority` is the PEM file of the trusted authorities; `own` is the certificate to present, if
    /// any.
    pub fn load(authority: &Path, own: Option<&CertificateFiles>) -> Result<Self, TlsError> {
        let builder = ClientConfig::builder().with_root_certificates(read_authorities(authority)?);
        let config = match own {
            Some(files) => {
                let chain = files.read()?;
                builder
                    .with_client_auth_cert(chain.certificates, chain.key)
                    .map_err(|error| TlsError::Pair(files.certificate.clone(), error))?
            }
            None => builder.with_no_client_auth(),
        };
        Ok(Self {
            config: Arc::new(config),
        })
    }

    /// Performs the client's side of a handshake with the server `name`, a host name or an IP address. Has no timeout of
    /// its own: the caller must impose one.
    pub async fn connect(&self, socket: TcpStream, name: &str) -> std::io::Result<Socket> {
        let name = ServerName::try_from(name.to_owned())
            .map_err(|error| Error::new(ErrorKind::InvalidInput, error))?;
        let connection = ClientConnection::new(self.config.clone(), name).map_err(Error::other)?;
        handshake(socket, connection.into()).await
    }
}
