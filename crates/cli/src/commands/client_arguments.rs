//! Arguments of `get` and `load` for calls to a dispatcher, and the URLs of objects.
use pointspindle_cli::exit::CommandError;
use pointspindle_client::{CertificateFiles, Client, ClientTls, Request, RetryPolicy};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Reason for which a text is not the URL of an object.
#[derive(Debug, thiserror::Error)]
pub enum UrlError {
    /// The URL has no scheme.
    #[error("no scheme; expected http://, https://, pspn:// or pspns://")]
    NoScheme,
    /// The scheme is not supported.
    #[error("unsupported scheme {0}://; expected http, https, pspn or pspns")]
    UnknownScheme(String),
    /// The address is not followed by a path.
    #[error("no path after the address")]
    NoPath,
    /// The address is a host name, or has no port.
    #[error("{0:?} is not an IP address with a port, such as 127.0.0.1:8080 (host names are not resolved)")]
    Address(String),
}

/// Protocol over which a dispatcher is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    Http,
    Framed,
}

/// URL of an object: `http://ADDRESS:PORT/PATH`, or `pspn://ADDRESS:PORT/PATH` for the framed protocol; `https` and
/// `pspns` use TLS.
#[derive(Clone, Debug)]
pub struct Url {
    protocol: Protocol,
    uses_tls: bool,
    address: SocketAddr,
    path: String,
}

impl std::str::FromStr for Url {
    type Err = UrlError;

    fn from_str(text: &str) -> Result<Self, UrlError> {
        let (scheme, rest) = text.split_once("://").ok_or(UrlError::NoScheme)?;
        let (protocol, uses_tls) = match scheme {
            "http" => (Protocol::Http, false),
            "https" => (Protocol::Http, true),
            "pspn" => (Protocol::Framed, false),
            "pspns" => (Protocol::Framed, true),
            other => return Err(UrlError::UnknownScheme(other.to_owned())),
        };
        let slash = rest.find('/').ok_or(UrlError::NoPath)?;
        let (address, path) = rest.split_at(slash);
        let address = address
            .parse()
            .map_err(|_| UrlError::Address(address.to_owned()))?;
        Ok(Self {
            protocol,
            uses_tls,
            address,
            path: path.to_owned(),
        })
    }
}

/// Arguments of all commands that call a dispatcher.
#[derive(clap::Args)]
pub struct ClientArguments {
    /// Further dispatchers of the same branch, at listeners of the same protocol.
    #[arg(long = "also", value_name = "ADDRESS:PORT")]
    further_dispatchers: Vec<SocketAddr>,
    /// Class of the request in the framed protocol; over HTTP, the path determines the class.
    #[arg(long, default_value = "test-page")]
    class: String,
    /// Maximum time until the complete response, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    deadline_ms: u64,
    /// Maximum number of attempts, including the first one.
    #[arg(long = "tries", value_name = "TRIES", default_value_t = 4)]
    max_attempts: u32,
    /// PEM file of the trusted certificate authority; https and pspns require one.
    #[arg(long, value_name = "FILE")]
    authority: Option<PathBuf>,
    /// Client certificate, for dispatchers that require one.
    #[arg(long, value_name = "FILE", requires = "key")]
    certificate: Option<PathBuf>,
    /// Private key of the client certificate.
    #[arg(long, value_name = "FILE", requires = "certificate")]
    key: Option<PathBuf>,
    /// Name in the dispatchers' certificates; the address by default.
    #[arg(long)]
    server_name: Option<String>,
}

impl ClientArguments {
    /// Creates a client of the dispatchers at this URL.
    pub fn client(&self, url: &Url) -> Result<Client, CommandError> {
        let addresses =
            std::iter::once(url.address).chain(self.further_dispatchers.iter().copied());
        let mut builder = Client::builder().retry_policy(RetryPolicy {
            max_attempts: self.max_attempts.max(1),
            ..RetryPolicy::default()
        });
        if url.uses_tls {
            builder = builder.tls(self.trust_anchors()?, self.server_name.clone());
        }
        let builder = match url.protocol {
            Protocol::Framed => builder.framed(addresses),
            Protocol::Http => builder.http(addresses),
        };
        Ok(builder.build()?)
    }

    fn trust_anchors(&self) -> Result<ClientTls, CommandError> {
        let authority = self
            .authority
            .as_ref()
            .ok_or("https and pspns require --authority")?;
        let files = self.certificate.clone().zip(self.key.clone());
        let identity = files.map(|(certificate, key)| CertificateFiles { certificate, key });
        Ok(ClientTls::load(authority, identity.as_ref())?)
    }

    /// Creates a request for the object at this URL.
    pub fn request(&self, url: &Url) -> Request {
        let deadline = Duration::from_millis(self.deadline_ms.max(1));
        Request::get(url.path.clone(), self.class.clone(), deadline)
    }
}
