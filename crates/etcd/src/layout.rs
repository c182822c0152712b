//! The layout of keys and values, version 1. Each key begins with the operator's prefix followed by `/v1/`:
//!
//! | key | value |
//! | --- | --- |
//! | `members/ADDRESS` | a [`MemberRecord`]; the key is deleted when the endpoint is removed |
//! | `dispatchers/NAME` | a [`DispatcherRecord`], under a lease that the dispatcher renews |
//! | `purges/ID` | a [`PurgeRecord`], under a lease of at least a minute, after which no cache holds a copy from before the purge |
//!
//! The purge mark, `PREFIX/marks/v1/purge`, is outside of the watched prefix. Each purge writes it in the same transaction, so
//! its revision is that of the last purge.
//!
//! The writer chooses the ID and never reuses it. Readers skip unknown fields, so fields can be added to records; an
//! incompatible format needs a new version in the key.
use pointspindle_protocol::{EndpointRecord, PurgeHead, WireEndpointState};
use serde::{Deserialize, Serialize};

/// The layout version's part of a key, between the operator's prefix and the kind of the record.
pub const VERSION_SEGMENT: &str = "/v1/";

/// State of an endpoint as set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint finishes requests in flight and accepts no new ones.
    Draining,
}

/// The stored record of an endpoint, under `members/`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Whether the endpoint is ready or draining.
    pub state: EndpointState,
    /// Number of concurrent full-speed transfers that the endpoint's network link carries.
    pub weight: f64,
    /// Zone of the endpoint.
    pub zone: String,
    /// Kind of the endpoint: `cache`, `parent` or `origin`.
    pub kind: String,
    /// Cell of the endpoint.
    #[serde(default)]
    pub cell: u64,
    /// Incarnation of the endpoint's process; it changes with each start.
    #[serde(default)]
    pub start: u64,
    /// Start time of the process by the writer's clock, in milliseconds since the Unix epoch. If absent, the process counts as
    /// started long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
}

/// The stored registration of a dispatcher, under `dispatchers/`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherRecord {
    /// Zone of the dispatcher.
    pub zone: String,
    /// Longest time until an acknowledged purge is in force in the dispatcher, in milliseconds. If absent, the dispatcher makes
    /// no promise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub purge_within_ms: Option<u64>,
}

/// The stored record of a purge, under `purges/`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PurgeRecord {
    /// The purged object; if absent, all objects of the group are purged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Purge group of the object.
    pub group: u64,
}

/// The record that a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyName {
    /// An endpoint, by address.
    Member(String),
    /// A dispatcher, by name.
    Dispatcher(String),
    /// A purge, by id.
    Purge(String),
}

/// A key or value that does not follow this layout.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The key is not under the watched prefix, or has no kind or name.
    #[error("{0}: key does not follow the layout PREFIX/v1/KIND/NAME")]
    UnknownKey(String),
    /// The value is not the JSON record that the key requires.
    #[error("{key}: {reason}")]
    InvalidValue {
        /// The full key, with the prefix.
        key: String,
        /// The parser's message.
        reason: String,
    },
}

/// Returns the prefix to watch. It covers all records, so that one revision applies to all of them.
pub fn watched_prefix(prefix: &str) -> String {
    format!("{prefix}{VERSION_SEGMENT}")
}

/// Returns the key of an endpoint's record.
pub fn member_key(prefix: &str, address: &str) -> String {
    format!("{prefix}{VERSION_SEGMENT}members/{address}")
}

/// Returns the key of a dispatcher's registration.
pub fn dispatcher_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{VERSION_SEGMENT}dispatchers/{name}")
}

/// Returns the key of the purge mark, whose revision is that of the last purge.
pub fn purge_mark_key(prefix: &str) -> String {
    format!("{prefix}/marks{VERSION_SEGMENT}purge")
}

/// Returns the key of a purge.
pub fn purge_key(prefix: &str, id: &str) -> String {
    format!("{prefix}{VERSION_SEGMENT}purges/{id}")
}

/// Parses a key under the watched prefix. Returns none for an unknown kind, which another program may have added.
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
    /// Returns the endpoint list entry of this endpoint. A start time in the future counts as now. `wall_ms` is the current time
    /// in milliseconds since the Unix epoch.
    pub fn to_endpoint(&self, address: &str, wall_ms: u64) -> EndpointRecord {
        let state = match self.state {
            EndpointState::Ready => WireEndpointState::Ready,
            EndpointState::Draining => WireEndpointState::Draining,
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

/// Returns the endpoint list entry of an endpoint whose key was deleted.
pub fn removed_endpoint(address: &str) -> EndpointRecord {
    EndpointRecord {
        address: address.to_owned(),
        state: WireEndpointState::Gone as i32,
        ..Default::default()
    }
}

impl PurgeRecord {
    /// Returns the purge message with age zero: an age greater than the actual one would exempt copies from before the purge.
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
