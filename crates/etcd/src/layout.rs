//! Keys and values, version 1. All keys begin with a prefix of the operator's choice, then `/v1/`:
//!
//! | key | value |
//! | --- | --- |
//! | `members/ADDRESS` | a [`MemberRecord`]; deleted when the endpoint is removed |
//! | `dispatchers/NAME` | a [`DispatcherRecord`], under a lease that the dispatcher renews |
//! | `purges/ID` | a [`PurgeRecord`], under a lease of at least a minute, after which no older copy is left anywhere |
//!
//! The purge mark, `PREFIX/marks/v1/purge`, is not under the watched prefix. It is written with each purge, in the same
//! transaction, so its revision is that of the last purge.
//!
//! An ID is chosen by the writer and never used again. Unknown fields are skipped, so records may grow; an incompatible form
//! needs another version in the key.
use pointspindle_protocol::{EndpointRecord, PurgeHead, WireEndpointState};
use serde::{Deserialize, Serialize};

/// Separates the operator's prefix from the keys of this version.
pub const VERSION: &str = "/v1/";

/// State of an endpoint as its operator has set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new requests.
    Ready,
    /// Finishes requests in flight and takes no new ones.
    Draining,
}

/// The stored record of an endpoint, under `members/`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Ready or draining.
    pub state: State,
    /// Concurrent transfers at full speed that its network link carries.
    pub weight: f64,
    /// Zone of the endpoint.
    pub zone: String,
    /// `cache`, `parent` or `origin`.
    pub kind: String,
    /// Cell of the endpoint.
    #[serde(default)]
    pub cell: u64,
    /// Incarnation: changes whenever the process is started anew.
    #[serde(default)]
    pub start: u64,
    /// When it was started, by the writer's clock, in milliseconds since 1970; absent: long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
}

/// The stored registration of a dispatcher, under `dispatchers/`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherRecord {
    /// Zone of the dispatcher.
    pub zone: String,
    /// Longest time until an acknowledged purge is in force there; absent: not promised.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub purge_within_ms: Option<u64>,
}

/// The stored record of a purge, under `purges/`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PurgeRecord {
    /// The purged object; absent: all objects of the group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Group of the object.
    pub group: u64,
}

/// What a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyName {
    /// An endpoint, by address.
    Member(String),
    /// A dispatcher, by name.
    Dispatcher(String),
    /// A purge, by id.
    Purge(String),
}

/// A key or value that is not of this layout.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The key has another form.
    #[error("{0}: not a key of this layout")]
    UnknownKey(String),
    /// The value is not the JSON record that the key requires.
    #[error("{key}: {reason}")]
    InvalidValue {
        /// The whole key.
        key: String,
        /// The parser's message.
        reason: String,
    },
}

/// The watched prefix. It covers all records, so that one revision holds for all of them.
pub fn watched_prefix(prefix: &str) -> String {
    format!("{prefix}{VERSION}")
}

/// Key of an endpoint's record.
pub fn member_key(prefix: &str, address: &str) -> String {
    format!("{prefix}{VERSION}members/{address}")
}

/// Key of a dispatcher's registration.
pub fn dispatcher_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{VERSION}dispatchers/{name}")
}

/// The purge mark, whose revision is that of the last purge.
pub fn purge_mark_key(prefix: &str) -> String {
    format!("{prefix}/marks{VERSION}purge")
}

/// Key of a purge.
pub fn purge_key(prefix: &str, id: &str) -> String {
    format!("{prefix}{VERSION}purges/{id}")
}

/// Parses a key under the watched prefix; none for kinds of keys that other programs may add.
pub fn parse_key(prefix: &str, key: &[u8]) -> Result<Option<KeyName>, LayoutError> {
    let text = String::from_utf8_lossy(key).into_owned();
    let Some(suffix) = text.strip_prefix(&watched_prefix(prefix)) else {
        return Err(LayoutError::UnknownKey(text));
    };
    match suffix.split_once('/') {
        Some((_, "")) | None => Err(LayoutError::UnknownKey(text)),
        Some(("members", address)) => Ok(Some(KeyName::Member(address.to_owned()))),
        Some(("dispatchers", name)) => Ok(Some(KeyName::Dispatcher(name.to_owned()))),
        Some(("purges", id)) => Ok(Some(KeyName::Purge(id.to_owned()))),
        Some(_) => Ok(None),
    }
}

fn parse_json<'a, T: Deserialize<'a>>(key: &[u8], bytes: &'a [u8]) -> Result<T, LayoutError> {
    serde_json::from_slice(bytes).map_err(|error| LayoutError::InvalidValue {
        key: String::from_utf8_lossy(key).into_owned(),
        reason: error.to_string(),
    })
}

/// Parses an endpoint's record.
pub fn parse_member(key: &[u8], bytes: &[u8]) -> Result<MemberRecord, LayoutError> {
    parse_json(key, bytes)
}

/// Parses a dispatcher's registration.
pub fn parse_dispatcher(key: &[u8], bytes: &[u8]) -> Result<DispatcherRecord, LayoutError> {
    parse_json(key, bytes)
}

/// Parses a purge.
pub fn parse_purge(key: &[u8], bytes: &[u8]) -> Result<PurgeRecord, LayoutError> {
    parse_json(key, bytes)
}

impl MemberRecord {
    /// The endpoint list's record of this endpoint. A start time in the future counts as now.
    pub fn to_endpoint(&self, address: &str, wall_ms: u64) -> EndpointRecord {
        let state = match self.state {
            State::Ready => WireEndpointState::Ready,
            State::Draining => WireEndpointState::Draining,
        };
        let started_ago_us = self
            .started_unix_ms
            .map(|started_ms| wall_ms.saturating_sub(started_ms).saturating_mul(1_000));
        EndpointRecord {
            address: address.to_owned(),
            state: state as i32,
            weight: self.weight,
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            incarnation: self.start,
            started_ago_us,
        }
    }
}

/// The endpoint list's record of an endpoint whose key was deleted.
pub fn removed_endpoint(address: &str) -> EndpointRecord {
    EndpointRecord {
        address: address.to_owned(),
        state: WireEndpointState::Gone as i32,
        ..Default::default()
    }
}

impl PurgeRecord {
    /// The purge with age zero: an age greater than the true one would spare copies from before the purge.
    pub fn head(&self) -> PurgeHead {
        PurgeHead {
            object: self.object.clone(),
            group: self.group,
            age_us: 0,
            seq: 0,
        }
    }
}

#[cfg(test)]
mod tests;
