//! A request, and whether it is safe to repeat.
use crate::channel::Transport;
use crate::error::RequestError;
use std::time::Duration;

/// Effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// A repeat with the same idempotency key is discarded.
    WithKey {
        /// Time after the first attempt within which repeats are discarded.
        window: Duration,
    },
    /// Running it again repeats its work.
    NotIdempotent,
}

/// A request for one object.
#[derive(Clone, Debug)]
pub struct Request {
    /// The object's path, starting with `/`.
    pub object: String,
    /// Index of the part of a large object; 0 is the first part, or the whole object if it has only one.
    pub part: u64,
    /// Purge group. Framed protocol only; over HTTP the dispatcher derives it from the path.
    pub group: u64,
    /// Request class. Framed protocol only; over HTTP the dispatcher derives it from the path.
    pub class: String,
    /// Effect of running the request twice.
    pub idempotency: Idempotency,
    /// Time for the whole call; each attempt is given the time left.
    pub deadline: Duration,
    /// Idempotency key, for [`Idempotency::WithKey`].
    pub idempotency_key: String,
    /// Expected size in bytes, if known; framed protocol only.
    pub size: Option<u64>,
    /// Request id for logs and traces; may be empty.
    pub trace: String,
    /// Whether only the response's head is requested, as with HTTP's `HEAD`.
    pub head_only: bool,
    /// Value of the HTTP field `If-None-Match`; may be empty.
    pub if_none_match: String,
    /// Value of the HTTP field `Range`; may be empty.
    pub range: String,
    /// Value of the HTTP field `If-Range`; may be empty.
    pub if_range: String,
}

impl Request {
    /// Returns an idempotent request for an object.
    pub fn get(object: impl Into<String>, class: impl Into<String>, deadline: Duration) -> Self {
        Self {
            object: object.into(),
            part: 0,
            group: 0,
            class: class.into(),
            idempotency: Idempotency::Idempotent,
            deadline,
            idempotency_key: String::new(),
            size: None,
            trace: String::new(),
            head_only: false,
            if_none_match: String::new(),
            range: String::new(),
            if_range: String::new(),
        }
    }

    /// Sets an idempotency key: for `window` after the first attempt, a repeat with the same key is discarded.
    pub fn with_idempotency_key(self, key: impl Into<String>, window: Duration) -> Self {
        Self {
            idempotency_key: key.into(),
            idempotency: Idempotency::WithKey { window },
            ..self
        }
    }

    /// Marks the request as not idempotent.
    pub fn not_idempotent(self) -> Self {
        Self {
            idempotency: Idempotency::NotIdempotent,
            ..self
        }
    }

    /// Sets a byte range, in HTTP's syntax: `bytes=0-99`.
    pub fn range(self, range: impl Into<String>) -> Self {
        Self {
            range: range.into(),
            ..self
        }
    }

    /// Returns an error if the request is malformed or cannot be sent over this transport.
    pub(crate) fn validate(&self, transport: Transport) -> Result<(), RequestError> {
        self.validate_text()?;
        let object = || self.object.clone();
        if self.deadline.is_zero() {
            return Err(RequestError::ZeroDeadline(object()));
        }
        match self.idempotency {
            Idempotency::Idempotent => Ok(()),
            _ if transport == Transport::Http => Err(RequestError::NotIdempotentOverHttp(object())),
            Idempotency::WithKey { .. } if self.idempotency_key.is_empty() => {
                Err(RequestError::MissingIdempotencyKey(object()))
            }
            _ => Ok(()),
        }
    }

    /// Rejects characters in the object's path and the header fields that could end their line and inject header fields.
    fn validate_text(&self) -> Result<(), RequestError> {
        let object = self.object.clone();
        let forbidden = |c: char| c.is_control() || c.is_whitespace();
        if !object.starts_with('/') || object.contains(forbidden) {
            return Err(RequestError::InvalidObject(object));
        }
        let fields = [
            ("trace", &self.trace),
            ("range", &self.range),
            ("if_range", &self.if_range),
            ("if_none_match", &self.if_none_match),
        ];
        let invalid = fields
            .into_iter()
            .find(|(_, value)| value.contains(char::is_control));
        match invalid {
            Some((field, _)) => Err(RequestError::InvalidField { object, field }),
            None => Ok(()),
        }
    }
}
