//! Parses and validates client requests from the params of a FastCGI request.
//!
//! Validation is strict because the values are forwarded to cache hosts: a cache host that cannot parse a line closes
//! the connection, and all other requests in flight on it are lost.
use crate::fastcgi::decode_pairs;
use bytes::Bytes;

/// Prefix of the paths of request classes.
const CLASS_PATH_PREFIX: &str = "/ops/";
/// Path of the health check.
const HEALTH_CHECK_PATH: &str = "/alive";

/// Largest part number that is accepted; the platform does not define a limit.
const MAX_PART_NUMBER: u64 = 1_000_000;
/// Largest group number.
const MAX_GROUP: u64 = 255;
/// Largest number of digits of a decimal number.
const MAX_NUMBER_DIGITS: usize = 12;
/// Number of hex digits of a transaction id, an object id and a validator.
const ID_HEX_DIGITS: usize = 16;
/// Number of hex digits of an idempotency key.
const KEY_HEX_DIGITS: usize = 32;

/// Rules by which requests of one class are validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRules {
    /// Name of the class, as it stands in the path.
    pub name: String,
    /// Whether requests must carry an idempotency key.
    pub requires_key: bool,
    /// Whether requests are writes, which may have a body.
    pub is_write: bool,
    /// Longest time-out that a client may set, in milliseconds.
    pub deadline_ms: u64,
}

/// A client's request for one part of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Transaction id, unique among the open requests of all connections.
    pub transaction_id: String,
    /// Index of the request class in the settings.
    pub class: usize,
    /// Time for which the client waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// Idempotency key; empty if the class does not require one.
    pub idempotency_key: String,
    /// Id of the object.
    pub object: String,
    /// Number of the part within the object.
    pub part: u64,
    /// Purge group of the object.
    pub group: u64,
    /// Validator of the client's copy; empty if it has none.
    pub client_validator: String,
}

/// A message from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// A health check, which asks whether requests can be served.
    HealthCheck,
    /// A request for a part of an object.
    Request(ClientRequest),
}

/// Reason for which a client request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientRequestError {
    /// The length of a name or a value exceeds the encoded params.
    #[error("length of a name or value exceeds the params")]
    MalformedParams,
    /// A param occurs more than once.
    #[error("duplicate param {0}")]
    DuplicateParam(&'static str),
    /// The value of a param is not valid UTF-8.
    #[error("param {0} is not UTF-8")]
    NotUtf8(&'static str),
    /// A required param is missing.
    #[error("param {0} is missing")]
    MissingParam(&'static str),
    /// The value of a param is malformed or out of range.
    #[error("param {0} is malformed or out of range")]
    InvalidParam(&'static str),
    /// The path is neither that of the health check nor that of a request class.
    #[error("param SCRIPT_NAME is neither the health check nor a path of a request class")]
    UnknownPath,
    /// The path names a request class that the settings do not define.
    #[error("param SCRIPT_NAME names a request class that is not configured")]
    UnknownClass,
    /// The param CONTENT_LENGTH differs from the length of the body.
    #[error("param CONTENT_LENGTH differs from the length of the body")]
    ContentLengthMismatch,
    /// The request has a body, but its class is not one of writes.
    #[error("request has a body, but its class does not permit one")]
    UnexpectedBody,
}

/// Names and values of the params, in the order in which they were sent.
struct Params<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Params<'a> {
    fn parse(params: &'a [u8]) -> Result<Self, ClientRequestError> {
        decode_pairs(params)
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

    /// Returns the number in a param, or 0 if the param is absent. Numbers above `max` are errors.
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

/// Parses a number of at most `max` that consists of decimal digits only, without sign, space, fraction or exponent.
fn parse_number(value: &str, max: u64) -> Option<u64> {
    let is_plain = !value.is_empty()
        && value.len() <= MAX_NUMBER_DIGITS
        && value.bytes().all(|b| b.is_ascii_digit());
    value.parse().ok().filter(|n| is_plain && *n <= max)
}

/// Parses and validates a client message from the params and the body of a FastCGI request.
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
    let part = params.number_or_zero("HTTP_X_NTH", MAX_PART_NUMBER)?;
    let group = params.number_or_zero("HTTP_X_BATCH", MAX_GROUP)?;
    if !matches!(params.optional("HTTP_X_SECOND_TRY")?, None | Some("1")) {
        return Err(ClientRequestError::InvalidParam("HTTP_X_SECOND_TRY"));
    }
    let idempotency_key = if rules.requires_key {
        params.required_hex("HTTP_X_TXN_KEY", KEY_HEX_DIGITS)?
    } else {
        // A key is not forwarded in such a class, but a duplicate or one that is not UTF-8 is an error nevertheless.
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
    // A client that rounds up may exceed the deadline by one millisecond.
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
