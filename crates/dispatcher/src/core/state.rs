//! The state that survives a restart, and its file format: a header line (magic, version, checksum, length) followed by a
//! JSON text. A damaged file, or one of another program, is reported as an error and is never read in part.
use pointspindle_clock::BootMoment;
use pointspindle_protocol::{EndpointListForm, EndpointListHead, EndpointRecord, PurgeHead};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MAGIC: &str = "pointspindle-state";
const VERSION: u32 = 1;
/// Number of bytes within which the header line must end.
const MAX_HEADER_BYTES: usize = 128;
/// Largest accepted file, in bytes. This program writes no longer one, since the frame of an endpoint list is shorter.
pub const MAX_STATE_FILE_BYTES: u64 = 32 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredEndpoint {
    address: String,
    state: i32,
    weight: f64,
    zone: String,
    kind: String,
    cell: u64,
    #[serde(rename = "start")]
    incarnation: u64,
    started_ago_us: Option<u64>,
}

impl From<EndpointRecord> for StoredEndpoint {
    fn from(record: EndpointRecord) -> Self {
        Self {
            address: record.address,
            state: record.state,
            weight: record.weight,
            zone: record.zone,
            kind: record.kind,
            cell: record.cell,
            incarnation: record.incarnation,
            started_ago_us: record.started_ago_us,
        }
    }
}

impl StoredEndpoint {
    /// Returns the record with its age increased by `elapsed_us`.
    fn restore(&self, elapsed_us: u64) -> EndpointRecord {
        EndpointRecord {
            address: self.address.clone(),
            state: self.state,
            weight: self.weight,
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            incarnation: self.incarnation,
            started_ago_us: self
                .started_ago_us
                .map(|ago| ago.saturating_add(elapsed_us)),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredPurge {
    object: Option<String>,
    group: u64,
    age_us: u64,
}

impl From<PurgeHead> for StoredPurge {
    fn from(purge: PurgeHead) -> Self {
        Self {
            object: purge.object,
            group: purge.group,
            age_us: purge.age_us,
        }
    }
}

impl StoredPurge {
    /// Returns the purge with its age increased by `elapsed_us`.
    fn restore(&self, elapsed_us: u64) -> PurgeHead {
        PurgeHead {
            object: self.object.clone(),
            group: self.group,
            age_us: self.age_us.saturating_add(elapsed_us),
            seq: 0,
        }
    }
}

/// The time at which a snapshot was saved, within one boot of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SavedAt {
    boot: String,
    since_boot_us: u64,
}

impl SavedAt {
    fn new(boot_moment: &BootMoment) -> Self {
        Self {
            boot: boot_moment.boot_id.clone(),
            since_boot_us: boot_moment.since_boot.as_micros() as u64,
        }
    }

    /// Returns the time elapsed until `now`; `None` if the machine was rebooted in between.
    fn elapsed_us(&self, now: &BootMoment) -> Option<u64> {
        let saved = BootMoment {
            boot_id: self.boot.clone(),
            since_boot: Duration::from_micros(self.since_boot_us),
        };
        let elapsed = saved.duration_until(now)?;
        Some(elapsed.as_micros() as u64)
    }
}

/// The endpoint list in force and the recent purges at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Wall-clock time in milliseconds since 1970, for operators and for older versions of this program, which do not read
    /// `saved`.
    saved_unix_ms: u64,
    /// The same time by the clock since the machine's boot, which is never stepped.
    #[serde(default)]
    saved: Option<SavedAt>,
    seq: u64,
    #[serde(rename = "members")]
    endpoints: Vec<StoredEndpoint>,
    purges: Vec<StoredPurge>,
}

/// The content of a snapshot, with ages as of its restoration.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState {
    /// The endpoint list, marked as cached.
    pub endpoint_list: EndpointListHead,
    /// The purges that were recent when the snapshot was taken.
    pub purges: Vec<PurgeHead>,
}

/// Reason why a state file is unusable.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum StateError {
    /// The file does not begin with the header line of a state file.
    #[error("not a state file of this program: the header line is missing or malformed")]
    NotAStateFile,
    /// The file has another format version.
    #[error("the state file has format version {0}, expected {VERSION}")]
    UnsupportedVersion(u32),
    /// The file is truncated or damaged.
    #[error("the state file is torn or damaged: {0}")]
    Damaged(String),
}

impl Snapshot {
    /// Creates a snapshot of a list and purges whose ages are current.
    pub fn new(list: EndpointListHead, purges: Vec<PurgeHead>) -> Self {
        Self {
            saved_unix_ms: 0,
            saved: None,
            seq: list.seq,
            endpoints: list.endpoints.into_iter().map(Into::into).collect(),
            purges: purges.into_iter().map(Into::into).collect(),
        }
    }

    /// Returns the content of the file, stamped with the times of both clocks.
    pub fn to_bytes(&self, unix_ms: u64, now: Option<&BootMoment>) -> Vec<u8> {
        let stamped = Self {
            saved_unix_ms: unix_ms,
            saved: now.map(SavedAt::new),
            ..self.clone()
        };
        let text = serde_json::to_vec(&stamped).expect("plain data is always JSON");
        let checksum = crc32fast::hash(&text);
        let header = format!("{MAGIC} {VERSION} {checksum:08x} {}\n", text.len());
        let mut bytes = header.into_bytes();
        bytes.extend(text);
        bytes
    }

    /// Parses the content of a file.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        let header_end = bytes
            .iter()
            .take(MAX_HEADER_BYTES)
            .position(|byte| *byte == b'\n')
            .ok_or(StateError::NotAStateFile)?;
        let header =
            std::str::from_utf8(&bytes[..header_end]).map_err(|_| StateError::NotAStateFile)?;
        let fields: Vec<&str> = header.split(' ').collect();
        let [MAGIC, version, checksum, length] = fields[..] else {
            return Err(StateError::NotAStateFile);
        };
        match version.parse() {
            Ok(VERSION) => {}
            Ok(other) => return Err(StateError::UnsupportedVersion(other)),
            Err(_) => return Err(StateError::NotAStateFile),
        }
        let text = &bytes[header_end + 1..];
        if length.parse() != Ok(text.len()) {
            let reason = format!("{} bytes of content, expected {length}", text.len());
            return Err(StateError::Damaged(reason));
        }
        if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(text)) {
            return Err(StateError::Damaged(
                "the checksum does not match the content".into(),
            ));
        }
        serde_json::from_slice(text).map_err(|error| StateError::Damaged(error.to_string()))
    }

    /// Returns the state after a restart. If the machine was rebooted in between, or may have been, the elapsed time is
    /// unknown, and the ages of purges and of processes are not increased, which only excludes more copies and sends less work.
    pub fn restore(&self, now: Option<&BootMoment>) -> RestoredState {
        let saved = self.saved.as_ref();
        let elapsed_us = saved
            .zip(now)
            .and_then(|(saved, now)| saved.elapsed_us(now))
            .unwrap_or_default();
        let endpoints = self.endpoints.iter();
        RestoredState {
            endpoint_list: EndpointListHead {
                form: EndpointListForm::Cached as i32,
                seq: self.seq,
                endpoints: endpoints.map(|e| e.restore(elapsed_us)).collect(),
            },
            purges: self.purges.iter().map(|p| p.restore(elapsed_us)).collect(),
        }
    }
}
