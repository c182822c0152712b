//! Client requests, parsed and validated from the params of a FastCGI request.
//!
//! Validation is strict because fields are passed on: a cache host closes a connection on a line that it cannot parse,
//! with all other requests that are open on it.
use crate::fastcgi::pairs;
use bytes::Bytes;

/// Prefix of the paths of request classes.
const CLASS_PATH_PREFIX: &str = "/ops/";
/// Path of the health check.
const HEALTH_CHECK_PATH: &str = "/alive";

/// The platform does not name the largest part number; a larger one than this is rejected.
const MAX_PART: u64 = 1_000_000;
/// Largest group number.
const MAX_GROUP: u64 = 255;
/// Longest decimal number that is parsed.
const MAX_NUMBER_DIGITS: usize = 12;
/// Hex digits of transaction ids, objects and validators.
const ID_HEX_DIGITS: usize = 16;
/// Hex digits of idempotency keys.
const KEY_HEX_DIGITS: usize = 32;

/// What requests of one class must carry and may carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRules {
    /// The class as its path names it.
    pub name: String,
    /// Requests carry an idempotency key.
    pub requires_key: bool,
    /// Requests may have a body.
    pub is_write: bool,
    /// The longest time-out that a client may set.
    pub deadline_ms: u64,
}

/// A client's request for one part of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Unique among all requests that are open.
    pub transaction_id: String,
    /// Index of the class in the settings.
    pub class: usize,
    /// Time that the client still waits.
    pub timeout_ms: u64,
    /// Idempotency key; empty in classes without one.
    pub idempotency_key: String,
    /// The object's id.
    pub object: String,
    /// Number of the part.
    pub part: u64,
    /// Group of the object, by which it can be purged.
    pub group: u64,
    /// Validator of a copy that the client holds; empty: none.
    pub client_validator: String,
}

/// What a client can send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// Whether requests can be served.
    HealthCheck,
    /// A request to be served.
    Request(ClientRequest),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientRequestError {
    /// Lengths of names and values that exceed the params.
    #[error("params whose lengths do not fit")]
    MalformedParams,
    /// A param that occurs twice.
    #[error("duplicate param {0}")]
    DuplicateParam(&'static str),
    /// A param that is not UTF-8.
    #[error("param {0} is not UTF-8")]
    NotUtf8(&'static str),
    /// A param that the class requires.
    #[error("param {0} is missing")]
    MissingParam(&'static str),
    /// A param whose value is malformed or out of range.
    #[error("param {0} is malformed or out of range")]
    InvalidParam(&'static str),
    /// A path that is neither the health check nor a class.
    #[error("no such path")]
    UnknownPath,
    /// A path of a class that the settings do not have.
    #[error("no such class")]
    UnknownClass,
    /// CONTENT_LENGTH is not the length of the body.
    #[error("CONTENT_LENGTH is not the length of the body")]
    ContentLengthMismatch,
    /// A body in a class without writes.
    #[error("a body in a class without writes")]
    UnexpectedBody,
}

/// Params by name, each at most once.
struct Params<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Params<'a> {
    fn parse(params: &'a [u8]) -> Result<Self, ClientRequestError> {
        pairs(params)
            .map(Self)
            .ok_or(ClientRequestError::MalformedParams)
    }

    fn optional(&self, name: &'static str) -> Result<Option<&'a str>, ClientRequestError> {
        let mut found = self.0.iter().filter(|(n, _)| *n == name.as_bytes());
        let Some((_, value)) = found.next() else {
            return Ok(None);
        };
        if found.next().is_some() {
            return Err(ClientRequestError::DuplicateParam(name));
        }
        std::str::from_utf8(value)
            .map(Some)
            .map_err(|_| ClientRequestError::NotUtf8(name))
    }

    fn required(&self, name: &'static str) -> Result<&'a str, ClientRequestError> {
        self.optional(name)?
            .ok_or(ClientRequestError::MissingParam(name))
    }

    fn required_hex(
        &self,
        name: &'static str,
        digits: usize,
    ) -> Result<&'a str, ClientRequestError> {
        let value = self.required(name)?;
        if is_hex(value, digits) {
            Ok(value)
        } else {
            Err(ClientRequestError::InvalidParam(name))
        }
    }

    /// A number up to `max`, or 0 where the param is absent.
    fn number_or_zero(&self, name: &'static str, max: u64) -> Result<u64, ClientRequestError> {
        match self.optional(name)? {
            None => Ok(0),
            Some(value) => parse_number(value, max).ok_or(ClientRequestError::InvalidParam(name)),
        }
    }
}

fn is_hex(value: &str, digits: usize) -> bool {
    value.len() == digits && value.bytes().all(|b| b.is_ascii_hexdigit())
}

/// A number of decimal digits only: no sign, space, fraction or exponent.
fn parse_number(value: &str, max: u64) -> Option<u64> {
    let is_plain = !value.is_empty()
        && value.len() <= MAX_NUMBER_DIGITS
        && value.bytes().all(|b| b.is_ascii_digit());
    value.parse().ok().filter(|n| is_plain && *n <= max)
}

/// Parses and validates what a client has sent.
pub fn parse(
    params: &Bytes,
    body: &[u8],
    classes: &[ClassRules],
) -> Result<ClientMessage, ClientRequestError> {
    let params = Params::parse(params)?;
    let path = params.required("SCRIPT_NAME")?;
    if path == HEALTH_CHECK_PATH {
        return Ok(ClientMessage::HealthCheck);
    }
    let name = path
        .strip_prefix(CLASS_PATH_PREFIX)
        .ok_or(ClientRequestError::UnknownPath)?;
    let class = classes
        .iter()
        .position(|c| c.name == name)
        .ok_or(ClientRequestError::UnknownClass)?;
    let rules = &classes[class];
    let transaction_id = params.required_hex("HTTP_X_TXN", ID_HEX_DIGITS)?;
    let object = params.required_hex("HTTP_X_ROW", ID_HEX_DIGITS)?;
    let timeout_ms = timeout_ms(&params, rules)?;
    let part = params.number_or_zero("HTTP_X_NTH", MAX_PART)?;
    let group = params.number_or_zero("HTTP_X_BATCH", MAX_GROUP)?;
    if !matches!(params.optional("HTTP_X_SECOND_TRY")?, None | Some("1")) {
        return Err(ClientRequestError::InvalidParam("HTTP_X_SECOND_TRY"));
    }
    let idempotency_key = if rules.requires_key {
        params.required_hex("HTTP_X_TXN_KEY", KEY_HEX_DIGITS)?
    } else {
        // A key is not passed on in such a class, but it must be readable.
        params.optional("HTTP_X_TXN_KEY")?;
        ""
    };
    let client_validator = client_validator(&params)?;
    check_body(&params, body, rules)?;
    Ok(ClientMessage::Request(ClientRequest {
        transaction_id: transaction_id.to_owned(),
        class,
        timeout_ms,
        idempotency_key: idempotency_key.to_owned(),
        object: object.to_owned(),
        part,
        group,
        client_validator: client_validator.to_owned(),
    }))
}

fn timeout_ms(params: &Params<'_>, rules: &ClassRules) -> Result<u64, ClientRequestError> {
    const NAME: &str = "HTTP_X_TTL_MS";
    // A client that rounds up may exceed the deadline by one.
    let max = rules.deadline_ms + 1;
    parse_number(params.required(NAME)?, max)
        .filter(|ms| *ms > 0)
        .ok_or(ClientRequestError::InvalidParam(NAME))
}

fn client_validator<'a>(params: &Params<'a>) -> Result<&'a str, ClientRequestError> {
    const NAME: &str = "HTTP_X_GOT";
    let value = params.optional(NAME)?.unwrap_or_default();
    if value.is_empty() || is_hex(value, ID_HEX_DIGITS) {
        Ok(value)
    } else {
        Err(ClientRequestError::InvalidParam(NAME))
    }
}

fn check_body(
    params: &Params<'_>,
    body: &[u8],
    rules: &ClassRules,
) -> Result<(), ClientRequestError> {
    let length = params.optional("CONTENT_LENGTH")?.filter(|l| !l.is_empty());
    if length.is_some_and(|l| parse_number(l, u64::MAX) != Some(body.len() as u64)) {
        return Err(ClientRequestError::ContentLengthMismatch);
    }
    if !rules.is_write && !body.is_empty() {
        return Err(ClientRequestError::UnexpectedBody);
    }
    Ok(())
}
