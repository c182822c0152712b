//! The `[tls]` section: certificate and key of the TLS listeners.
use super::ListenSettings;
use crate::reader::Reader;
use std::path::PathBuf;

const SECTION: &str = "tls";

/// PEM files of the TLS listeners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// File with the certificate chain.
    pub certificate: PathBuf,
    /// File with the private key.
    pub key: PathBuf,
    /// File with the authorities, one of which must have signed the certificate of a client; `None`: clients need no
    /// certificate.
    pub client_authority: Option<PathBuf>,
}

pub(super) fn read(reader: &mut Reader, listen: &ListenSettings) -> Option<TlsSettings> {
    let certificate = reader.path(SECTION, "certificate");
    let key = reader.path(SECTION, "key");
    let client_authority = reader.path(SECTION, "client_authority");
    match (certificate, key) {
        (Some(certificate), Some(key)) => {
            return Some(TlsSettings {
                certificate,
                key,
                client_authority,
            })
        }
        (Some(_), None) => report_missing(reader, "key"),
        (None, Some(_)) => report_missing(reader, "certificate"),
        (None, None) => match first_tls_listener(listen) {
            Some(listener) => {
                reader.report("listen", listener, "requires certificate and key in [tls]")
            }
            None if client_authority.is_some() => report_missing(reader, "certificate"),
            None => {}
        },
    }
    None
}

fn first_tls_listener(listen: &ListenSettings) -> Option<&'static str> {
    if listen.https.is_some() {
        return Some("https");
    }
    listen.framed_tls.map(|_| "framed_tls")
}

fn report_missing(reader: &mut Reader, key: &str) {
    reader.report(SECTION, key, "missing; expected the path of a PEM file");
}
