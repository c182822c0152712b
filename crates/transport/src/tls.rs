//! TLS by `rustls` over a TCP socket.
mod credentials;
mod stream;

pub use credentials::{CertificateFiles, Identity, TrustAnchors};
pub use stream::{TlsStream, TlsWriteHalf};

use std::path::PathBuf;

/// What is wrong with a certificate, a key or their files. Never contains a key.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{0}: {1}")]
    File(PathBuf, String),
    /// A file without a certificate.
    #[error("{0}: holds no certificate")]
    NoCertificate(PathBuf),
    /// A certificate and a key that do not belong together.
    #[error("{0} and its key: {1}")]
    Pair(PathBuf, rustls::Error),
    /// An authority that cannot be trusted.
    #[error("{0}: cannot be trusted in: {1}")]
    Authority(PathBuf, String),
}
