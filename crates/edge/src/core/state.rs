//! What a dispatcher keeps over a restart, and the form of its file: one line (magic, version, checksum, length)
//! and a JSON text. A file that is torn or not ours is told from one that is absent, and never half believed.
use pointspindle_wire::{ListForm, ListHead, MemberLine, PurgeHead};
use serde::{Deserialize, Serialize};

const MAGIC: &str = "pointspindle-state";
const VERSION: u32 = 1;
/// A longer file is not ours: a list frame is shorter than this.
pub const MAX_FILE: u64 = 32 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct KeptMember {
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

/// The list in force and the recent purges, at a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Wall clock at which ages were right, milliseconds since 1970.
    saved_unix_ms: u64,
    seq: u64,
    members: Vec<KeptMember>,
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
    pub fn new(list: ListHead, purges: Vec<PurgeHead>) -> Self {
        let member = |m: MemberLine| KeptMember {
            address: m.address,
            state: m.state,
            weight: m.weight,
            zone: m.zone,
            kind: m.kind,
            cell: m.cell,
            start: m.start,
            started_ago_us: m.started_ago_us,
        };
        let purge = |p: PurgeHead| KeptPurge { object: p.object, group: p.group, age_us: p.age_us };
        Self {
            saved_unix_ms: 0,
            seq: list.seq,
            members: list.members.into_iter().map(member).collect(),
            purges: purges.into_iter().map(purge).collect(),
        }
    }

    /// The file's bytes, with the wall clock of now.
    pub fn to_bytes(&self, unix_ms: u64) -> Vec<u8> {
        let stamped = Self { saved_unix_ms: unix_ms, ..self.clone() };
        let text = serde_json::to_vec(&stamped).expect("plain data is always JSON");
        let sum = crc32fast::hash(&text);
        let mut out = format!("{MAGIC} {VERSION} {sum:08x} {}\n", text.len()).into_bytes();
        out.extend(text);
        out
    }

    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        let line_end = bytes.iter().take(128).position(|b| *b == b'\n').ok_or(StateError::Foreign)?;
        let line = std::str::from_utf8(&bytes[..line_end]).map_err(|_| StateError::Foreign)?;
        let words: Vec<&str> = line.split(' ').collect();
        let [MAGIC, version, sum, len] = words[..] else { return Err(StateError::Foreign) };
        match version.parse() {
            Ok(VERSION) => {}
            Ok(other) => return Err(StateError::Version(other)),
            Err(_) => return Err(StateError::Foreign),
        }
        let text = &bytes[line_end + 1..];
        if len.parse() != Ok(text.len()) {
            return Err(StateError::Torn(format!("{} bytes, {len} were written", text.len())));
        }
        if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(text)) {
            return Err(StateError::Torn("the checksum does not fit".into()));
        }
        serde_json::from_slice(text).map_err(|e| StateError::Torn(e.to_string()))
    }

    /// As told after a restart, `unix_ms` being the wall clock of now. A wall clock that ran backwards makes
    /// purges younger than they are, which only forbids more copies.
    pub fn told(&self, unix_ms: u64) -> (ListHead, Vec<PurgeHead>) {
        let since_us = unix_ms.saturating_sub(self.saved_unix_ms).saturating_mul(1_000);
        let member = |m: &KeptMember| MemberLine {
            address: m.address.clone(),
            state: m.state,
            weight: m.weight,
            zone: m.zone.clone(),
            kind: m.kind.clone(),
            cell: m.cell,
            start: m.start,
            started_ago_us: m.started_ago_us.map(|ago| ago.saturating_add(since_us)),
        };
        let purge = |p: &KeptPurge| PurgeHead {
            object: p.object.clone(),
            group: p.group,
            age_us: p.age_us.saturating_add(since_us),
            seq: 0,
        };
        let members = self.members.iter().map(member).collect();
        let list = ListHead { form: ListForm::Cached as i32, seq: self.seq, members };
        (list, self.purges.iter().map(purge).collect())
    }
}
