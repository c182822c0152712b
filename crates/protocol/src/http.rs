//! HTTP/1.1 (RFC 9110, RFC 9112), parsed with `httparse`: requests at a listener, responses at a client.
//!
//! Only GET and HEAD requests without a body are accepted, so that the end of a request is never ambiguous: a request
//! with a transfer coding, two lengths, or a length above 0 is rejected and its connection closed.
mod request;
mod response;
mod response_codec;

pub use request::{HttpRequest, Method, RequestCodec};
pub use response::{write_chunk, HttpResponse};
pub use response_codec::{HttpEvent, ResponseCodec};

/// Maximum length of the head of a request or response, in bytes.
pub const MAX_HTTP_HEAD: usize = 16 * 1024;
/// Maximum number of header fields in a head.
pub const MAX_FIELDS: usize = 64;
/// Maximum length of a request target, in bytes.
pub const MAX_TARGET: usize = 4 * 1024;

/// Reason why a message is rejected, after which the connection is closed. The text of an error about a request begins
/// with the status code of the response and is sent as its body.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The message is not HTTP/1.1.
    #[error("400 the request cannot be read: {0}")]
    Malformed(String),
    /// Two recipients could disagree on where the message ends.
    #[error("400 {0}")]
    Ambiguous(&'static str),
    /// The request has a body of this many bytes.
    #[error("413 a body of {0} bytes is not taken here")]
    BodyNotAllowed(u64),
    /// The request target is too long.
    #[error("414 the target has over {MAX_TARGET} bytes")]
    TargetTooLong,
    /// The head is too long or has too many header fields.
    #[error("431 the head has over {MAX_HTTP_HEAD} bytes or {MAX_FIELDS} fields")]
    HeadTooLarge,
    /// The method of the request is neither GET nor HEAD.
    #[error("501 method {0} is not served here (GET and HEAD are)")]
    UnsupportedMethod(String),
    /// The version of the request is neither 1.0 nor 1.1.
    #[error("505 HTTP version is not 1.0 or 1.1")]
    UnsupportedVersion,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl HttpError {
    /// Returns the status code of the response; 0 if no response can be sent.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) | Self::Ambiguous(_) => 400,
            Self::BodyNotAllowed(_) => 413,
            Self::TargetTooLong => 414,
            Self::HeadTooLarge => 431,
            Self::UnsupportedMethod(_) => 501,
            Self::UnsupportedVersion => 505,
            Self::Io(_) => 0,
        }
    }
}

/// Whether the value of an `If-None-Match` field matches a validator, by weak comparison (RFC 9110, section 13.1.2).
pub fn matches_validator(list: &str, validator: &str) -> bool {
    let opaque_tag = |entity_tag: &str| {
        entity_tag
            .trim()
            .trim_start_matches("W/")
            .trim_matches('"')
            .to_owned()
    };
    let tag = opaque_tag(validator);
    list.trim() == "*" || list.split(',').any(|listed| opaque_tag(listed) == tag)
}
