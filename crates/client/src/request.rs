//! What is requested, and what may happen if it runs twice.
use crate::channel::Transport;
use crate::error::RequestError;
use std::time::Duration;

/// What may happen if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing.
    Idempotent,
    /// A repeat under the same idempotency key is discarded.
    WithKey {
        /// How long after the first attempt repeats are discarded.
        window: Duration,
    },
    /// Its work would be done twice.
    NotIdempotent,
}

/// A request for one object.
#[derive(Clone, Debug)]
pub struct Request {
    /// The object's path, beginning with `/`.
    pub object: String,
    /// The part of a large object; 0: the first, or the whole.
    pub part: u64,
    /// Group for purges; framed protocol only, by HTTP the path decides.
    pub group: u64,
    /// Request class; framed protocol only, by HTTP the path decides.
    pub class: String,
    /// What may happen if it runs twice.
    pub idempotency: Idempotency,
    /// Time for the whole call; each attempt is given what is left of it.
    pub deadline: Duration,
    /// Idempotency key, for [`Idempotency::WithKey`].
    pub idempotency_key: String,
    /// Expected size in bytes, if known; framed protocol only.
    pub size: Option<u64>,
    /// Request id for logs and traces; may be empty.
    pub trace: String,
    /// Only the response's head, as by HEAD.
    pub head_only: bool,
    /// As the HTTP field `If-None-Match`; may be empty.
    pub if_none_match: String,
    /// As the HTTP field `Range`; may be empty.
    pub range: String,
    /// As the HTTP field `If-Range`; may be empty.
    pub if_range: String,
}

impl Request {
    /// A read of an object.
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

    /// Work that a repeat under the same key does not do again, for `window` after its first attempt.
    pub fn with_idempotency_key(self, key: impl Into<String>, window: Duration) -> Self {
        Self {
            idempotency_key: key.into(),
            idempotency: Idempotency::WithKey { window },
            ..self
        }
    }

    /// Work that a repeat would do again.
    pub fn not_idempotent(self) -> Self {
        Self {
            idempotency: Idempotency::NotIdempotent,
            ..self
        }
    }

    /// One byte range, as in HTTP: `bytes=0-99`.
    pub fn range(self, range: impl Into<String>) -> Self {
        Self {
            range: range.into(),
            ..self
        }
    }

    /// Whether it can be sent by this transport.
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

    /// Neither the object's path nor a header field may break out of its line.
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
