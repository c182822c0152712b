//! HTTP/1.1 (RFC 9110, 9112) over `httparse`: requests at a listener, responses at a client.
//!
//! Only GET and HEAD without a body are accepted, so that the end of a request is never ambiguous: a message with a transfer
//! coding, two lengths, or a length above 0 is rejected and its connection closed.
mod request;
mod response;
mod response_codec;

pub use request::{HttpRequest, Method, RequestCodec};
pub use response::{write_chunk, HttpResponse};
pub use response_codec::{HttpEvent, ResponseCodec};

/// Most bytes of the head of a request or response.
pub const MAX_HTTP_HEAD: usize = 16 * 1024;
/// Most fields of a head.
pub const MAX_FIELDS: usize = 64;
/// Most bytes of a request target.
pub const MAX_TARGET: usize = 4 * 1024;

/// Why a message is rejected; a request's text begins with the status of the response. The connection is closed after it.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The message is not HTTP/1.1.
    #[error("400 the request cannot be read: {0}")]
    Malformed(String),
    /// Two readers could disagree on where the message ends.
    #[error("400 {0}")]
    Ambiguous(&'static str),
    /// A request with a body of this many bytes.
    #[error("413 a body of {0} bytes is not taken here")]
    BodyNotAllowed(u64),
    /// The request target is too long.
    #[error("414 the target has over {MAX_TARGET} bytes")]
    TargetTooLong,
    /// The head is too long or has too many fields.
    #[error("431 the head has over {MAX_HTTP_HEAD} bytes or {MAX_FIELDS} fields")]
    HeadTooLarge,
    /// A method other than GET and HEAD.
    #[error("501 method {0} is not served here (GET and HEAD are)")]
    UnsupportedMethod(String),
    /// A version other than 1.0 and 1.1.
    #[error("505 HTTP version is not 1.0 or 1.1")]
    UnsupportedVersion,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl HttpError {
    /// The status code; 0 where no response can be sent.
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

/// Whether a list of validators (`If-None-Match`) contains this one; compared weakly (RFC 9110, 13.1.2).
pub fn matches_validator(list: &str, validator: &str) -> bool {
    let opaque_tag = |validator: &str| {
        validator
            .trim()
            .trim_start_matches("W/")
            .trim_matches('"')
            .to_owned()
    };
    let wanted = opaque_tag(validator);
    list.trim() == "*" || list.split(',').any(|listed| opaque_tag(listed) == wanted)
}
