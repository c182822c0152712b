//! TLS over TCP sockets, implemented with `rustls`.
mod credentials;
mod stream;

pub use credentials::{CertificateFiles, ClientTls, ServerTls};
pub use stream::{TlsStream, TlsWriteHalf};

use std::path::PathBuf;

/// Fault of a certificate, a private key or one of their files. Never contains a private key.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The file cannot be read, or its contents cannot be parsed.
    #[error("{0}: {1}")]
    File(PathBuf, String),
    /// The file contains no certificate.
    #[error("{0}: the file contains no certificate")]
    NoCertificate(PathBuf),
    /// The certificate and its private key cannot be used together.
    #[error("{0}: the certificate cannot be used with its private key: {1}")]
    Pair(PathBuf, rustls::Error),
    /// A certificate in the file cannot be used as a trusted authority.
    #[error("{0}: the file cannot be used for trusted authorities: {1}")]
    Authority(PathBuf, String),
}
