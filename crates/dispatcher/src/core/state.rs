//! What a dispatcher keeps over a restart, and the form of its file: one line (magic, version, checksum, length)
//! and a JSON text. A file that is torn or not ours is told from one that is absent, and never half believed.
use pointspindle_clock::BootMoment;
use pointspindle_protocol::{EndpointListForm, EndpointListHead, EndpointRecord, PurgeHead};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MAGIC: &str = "pointspindle-state";
const VERSION: u32 = 1;
/// A longer file is not ours: a list frame is shorter than this.
pub const MAX_FILE: u64 = 32 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredEndpoint {
    address: String,
    state: i32,
    weight: f64,
    zone: String,
    kind: String,
    cell: u64,
    start: u64,
    started_ago_us: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct KeptPurge {
    object: Option<String>,
    group: u64,
    age_us: u64,
}

/// A moment within one boot of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SavedAt {
    boot: String,
    since_boot_us: u64,
}

/// The list in force and the recent purges, at a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Wall clock at which ages were right, milliseconds since 1970: for people, and for programs of before the next field.
    saved_unix_ms: u64,
    /// The same moment by the machine's clock since its boot, which no step moves.
    #[serde(default)]
    saved: Option<SavedAt>,
    seq: u64,
    #[serde(rename = "members")]
    endpoints: Vec<StoredEndpoint>,
    purges: Vec<KeptPurge>,
}

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum StateError {
    #[error("not a state file of this program")]
    Foreign,
    #[error("state file of version {0}; this program writes {VERSION}")]
    Version(u32),
    #[error("torn: {0}")]
    Torn(String),
}

impl Snapshot {
    pub fn new(list: EndpointListHead, purges: Vec<PurgeHead>) -> Self {
        let endpoint = |m: EndpointRecord| StoredEndpoint {
            address: m.address,
            state: m.state,
            weight: m.weight,
            zone: m.zone,
            kind: m.kind,
            cell: m.cell,
            start: m.incarnation,
            started_ago_us: m.started_ago_us,
        };
        let purge = |p: PurgeHead| KeptPurge {
            object: p.object,
            group: p.group,
            age_us: p.age_us,
        };
        Self {
            saved_unix_ms: 0,
            saved: None,
            seq: list.seq,
            endpoints: list.endpoints.into_iter().map(endpoint).collect(),
            purges: purges.into_iter().map(purge).collect(),
        }
    }

    /// The file's bytes, with both clocks of now.
    pub fn to_bytes(&self, unix_ms: u64, now: Option<&BootMoment>) -> Vec<u8> {
        let saved = now.map(|now| SavedAt {
            boot: now.boot.clone(),
            since_boot_us: now.since.as_micros() as u64,
        });
        let stamped = Self {
            saved_unix_ms: unix_ms,
            saved,
            ..self.clone()
        };
        let text = serde_json::to_vec(&stamped).expect("plain data is always JSON");
        let sum = crc32fast::hash(&text);
        let mut out = format!("{MAGIC} {VERSION} {sum:08x} {}\n", text.len()).into_bytes();
        out.extend(text);
        out
    }

    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        let line_end = bytes
            .iter()
            .take(128)
            .position(|b| *b == b'\n')
            .ok_or(StateError::Foreign)?;
        let line = std::str::from_utf8(&bytes[..line_end]).map_err(|_| StateError::Foreign)?;
        let words: Vec<&str> = line.split(' ').collect();
        let [MAGIC, version, sum, len] = words[..] else {
            return Err(StateError::Foreign);
        };
        match version.parse() {
            Ok(VERSION) => {}
            Ok(other) => return Err(StateError::Version(other)),
            Err(_) => return Err(StateError::Foreign),
        }
        let text = &bytes[line_end + 1..];
        if len.parse() != Ok(text.len()) {
            return Err(StateError::Torn(format!(
                "{} bytes, {len} were written",
                text.len()
            )));
        }
        if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(text)) {
            return Err(StateError::Torn("the checksum does not fit".into()));
        }
        serde_json::from_slice(text).map_err(|e| StateError::Torn(e.to_string()))
    }

    /// As told after a restart. Where the machine was booted in between, or does not tell that it was not, nobody knows for how
    /// long: purges and starts count as young as they were, which only forbids more copies and spares members.
    pub fn told(&self, now: Option<&BootMoment>) -> (EndpointListHead, Vec<PurgeHead>) {
        let since_us = now.and_then(|now| self.span_until(now)).unwrap_or_default();
        let endpoint = |m: &StoredEndpoint| EndpointRecord {
            address: m.address.clone(),
            state: m.state,
            weight: m.weight,
            zone: m.zone.clone(),
            kind: m.kind.clone(),
            cell: m.cell,
            incarnation: m.start,
            started_ago_us: m.started_ago_us.map(|ago| ago.saturating_add(since_us)),
        };
        let purge = |p: &KeptPurge| PurgeHead {
            object: p.object.clone(),
            group: p.group,
            age_us: p.age_us.saturating_add(since_us),
            seq: 0,
        };
        let endpoints = self.endpoints.iter().map(endpoint).collect();
        let list = EndpointListHead {
            form: EndpointListForm::Cached as i32,
            seq: self.seq,
            endpoints,
        };
        (list, self.purges.iter().map(purge).collect())
    }

    fn span_until(&self, now: &BootMoment) -> Option<u64> {
        let saved = self.saved.as_ref()?;
        let since = Duration::from_micros(saved.since_boot_us);
        let span = BootMoment {
            boot: saved.boot.clone(),
            since,
        }
        .until(now)?;
        Some(span.as_micros() as u64)
    }
}
