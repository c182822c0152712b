//! Keys and values, version 1. All keys begin with a prefix of the operator's choice, then `/v1/`:
//!
//! | key | value |
//! | --- | --- |
//! | `members/ADDRESS` | a [`MemberRecord`]; deleted: gone |
//! | `dispatchers/NAME` | a [`DispatcherRecord`], under a lease that the dispatcher keeps |
//! | `purges/ID` | a [`PurgeRecord`]; the writer attaches a lease of at least a minute, after which no older copy is left anywhere |
//!
//! Beside them, outside what is watched, `PREFIX/marks/v1/purge` is written with each purge, in the same transaction: its last revision
//! is that of the last purge, so one read of it proves whether all that was acknowledged is known.
//!
//! An ID is the writer's, never used again. Fields that are not known are skipped, so records may grow; another form of one is
//! another version in the key.
use pointspindle_protocol::{EndpointRecord, PurgeHead, WireEndpointState};
use serde::{Deserialize, Serialize};

/// Between the operator's prefix and what this version holds.
pub const VERSION: &str = "/v1/";

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub state: State,
    /// Transfers at full pace that its link carries.
    pub weight: f64,
    pub zone: String,
    /// `cache`, `parent` or `origin`.
    pub kind: String,
    #[serde(default)]
    pub cell: u64,
    /// Which start of the member this is; another number: another process in its place.
    #[serde(default)]
    pub start: u64,
    /// When that was, by the writer's clock: milliseconds since 1970. Absent: long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
}

/// A dispatcher that runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherRecord {
    pub zone: String,
    /// It promises that a purge is in force there within so long, whatever happens. Absent: it promises nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub purge_within_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PurgeRecord {
    /// Absent: all of the group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    pub group: u64,
}

/// What a key is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Name {
    Member(String),
    Dispatcher(String),
    Purge(String),
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadKey {
    #[error("{0}: not a key of this layout")]
    Foreign(String),
    #[error("{key}: {reason}")]
    Value { key: String, reason: String },
}

/// The prefix that is watched: one for all, so that one revision holds for all.
pub fn watched(prefix: &str) -> String {
    format!("{prefix}{VERSION}")
}

pub fn member_key(prefix: &str, address: &str) -> String {
    format!("{prefix}{VERSION}members/{address}")
}

pub fn dispatcher_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{VERSION}dispatchers/{name}")
}

/// Where each purge leaves its revision.
pub fn purge_mark(prefix: &str) -> String {
    format!("{prefix}/marks{VERSION}purge")
}

pub fn purge_key(prefix: &str, id: &str) -> String {
    format!("{prefix}{VERSION}purges/{id}")
}

/// Reads a key; none for what another subsystem of this version may keep beside.
pub fn name(prefix: &str, key: &[u8]) -> Result<Option<Name>, BadKey> {
    let text = String::from_utf8_lossy(key).into_owned();
    let Some(rest) = text.strip_prefix(&watched(prefix)) else {
        return Err(BadKey::Foreign(text));
    };
    match rest.split_once('/') {
        Some((_, "")) | None => Err(BadKey::Foreign(text)),
        Some(("members", address)) => Ok(Some(Name::Member(address.to_owned()))),
        Some(("dispatchers", name)) => Ok(Some(Name::Dispatcher(name.to_owned()))),
        Some(("purges", id)) => Ok(Some(Name::Purge(id.to_owned()))),
        Some(_) => Ok(None),
    }
}

fn value<'a, T: Deserialize<'a>>(key: &[u8], bytes: &'a [u8]) -> Result<T, BadKey> {
    let bad = |e: serde_json::Error| BadKey::Value {
        key: String::from_utf8_lossy(key).into_owned(),
        reason: e.to_string(),
    };
    serde_json::from_slice(bytes).map_err(bad)
}

pub fn member(key: &[u8], bytes: &[u8]) -> Result<MemberRecord, BadKey> {
    value(key, bytes)
}

pub fn dispatcher(key: &[u8], bytes: &[u8]) -> Result<DispatcherRecord, BadKey> {
    value(key, bytes)
}

pub fn purge(key: &[u8], bytes: &[u8]) -> Result<PurgeRecord, BadKey> {
    value(key, bytes)
}

impl MemberRecord {
    /// As a dispatcher's list has it; none of a record: gone.
    pub fn line(record: Option<&Self>, address: &str, wall_ms: u64) -> EndpointRecord {
        let Some(r) = record else {
            return EndpointRecord {
                address: address.to_owned(),
                state: WireEndpointState::Gone as i32,
                ..Default::default()
            };
        };
        let state = match r.state {
            State::Ready => WireEndpointState::Ready,
            State::Draining => WireEndpointState::Draining,
        };
        EndpointRecord {
            address: address.to_owned(),
            state: state as i32,
            weight: r.weight,
            zone: r.zone.clone(),
            kind: r.kind.clone(),
            cell: r.cell,
            incarnation: r.start,
            started_ago_us: r
                .started_unix_ms
                .map(|at| wall_ms.saturating_sub(at).saturating_mul(1_000)),
        }
    }
}

impl PurgeRecord {
    /// As if it had happened just now: older than it is would spare copies from before it.
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
