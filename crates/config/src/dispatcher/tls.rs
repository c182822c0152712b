//! The `[tls]` section: certificate of the TLS listeners.
use super::ListenSettings;
use crate::reader::Reader;
use std::path::PathBuf;

const SECTION: &str = "tls";

/// Certificate and key of the TLS listeners, as PEM files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// The certificate chain.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
    /// Authorities of which clients must present a certificate; `None`: clients need none.
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
                reader.report("listen", listener, "needs certificate and key in [tls]")
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
    reader.report(SECTION, key, "missing (a PEM file)");
}
