//! The errors of a client. How a call ended is no error: see [`Outcome`](crate::Outcome).
use std::net::SocketAddr;
use std::time::Duration;

/// A client's settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BuildError {
    /// No dispatcher was given.
    #[error("no dispatcher: give at least one address")]
    NoDispatcher,
}

/// A request cannot be sent as it is; nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// HTTP tells the client nothing of attempts that were lost, so only idempotent requests go by it.
    #[error("{0}: what is not safe to repeat goes by the framed protocol only")]
    NotIdempotentOverHttp(String),
    /// A request with an idempotency window has no key.
    #[error("{0}: a keyed request needs a key")]
    MissingIdempotencyKey(String),
    /// The object's path is malformed.
    #[error(
        "{0:?}: an object's name begins with / and holds neither spaces nor control characters"
    )]
    InvalidObject(String),
    /// A field holds a control character.
    #[error("{object}: {field} holds a line's end")]
    InvalidField {
        /// The requested object.
        object: String,
        /// The field of [`Request`](crate::Request).
        field: &'static str,
    },
    /// The deadline is zero.
    #[error("{0}: a deadline of nothing")]
    ZeroDeadline(String),
}

/// A connection to a dispatcher was not made.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// Not within the connect timeout, TLS handshake included.
    #[error("{address}: no connection within {} ms", timeout.as_millis())]
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
        /// Why.
        source: std::io::Error,
    },
}
