//! Errors of a client. The outcome of a call is not an error; see [`Outcome`](crate::Outcome).
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a client are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BuildError {
    /// No dispatcher was given.
    #[error("no dispatcher address given; at least one is required")]
    NoDispatcher,
}

/// The request is invalid and was not sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// HTTP does not report the result of attempts whose connection was lost, so only idempotent requests are sent over it.
    #[error("{0}: requests that are not idempotent can be sent over the framed protocol only, not over HTTP")]
    NotIdempotentOverHttp(String),
    /// The request has an idempotency window but no key.
    #[error("{0}: the request has an idempotency window but its idempotency key is empty")]
    MissingIdempotencyKey(String),
    /// The object's path is malformed.
    #[error(
        "{0:?}: invalid object path: it must start with / and contain neither whitespace nor control characters"
    )]
    InvalidObject(String),
    /// A field contains a control character.
    #[error("{object}: field {field} contains a control character")]
    InvalidField {
        /// The requested object.
        object: String,
        /// The field of [`Request`](crate::Request).
        field: &'static str,
    },
    /// The deadline is zero.
    #[error("{0}: the deadline is zero; it must be longer")]
    ZeroDeadline(String),
}

/// A connection to a dispatcher could not be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection was not established within the connect timeout, which includes the TLS handshake.
    #[error("{address}: connection not established within {} ms", timeout.as_millis())]
    Timeout {
        /// The dispatcher.
        address: SocketAddr,
        /// The connect timeout.
        timeout: Duration,
    },
    /// The connection or its TLS handshake failed.
    #[error("{address}: {source}")]
    Failed {
        /// The dispatcher.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}
