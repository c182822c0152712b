//! Records to bytes and back. All numbers little endian.
//!
//! | bytes | record's head |
//! | --- | --- |
//! | 0–3 | `PSR1` |
//! | 4 | kind: 1 block, 2 commit, 3 purge, 4 gone, 5 roster |
//! | 5–7 | 0 |
//! | 8–11 | length of the payload |
//! | 12–19 | sequence number: each record's own, upwards over the whole store |
//! | 20–23 | CRC-32 of the payload |
//! | 24–27 | CRC-32 of bytes 0 to 23 and the segment's number |
//!
//! A block's payload is bytes of a body. The others are protocol buffers.
use prost::Message;

pub const RECORD_HEADER_BYTES: usize = 28;
const MAGIC: [u8; 4] = *b"PSR1";
/// Longest payload: a commit of so many blocks, or a block.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Block,
    Commit,
    Purge,
    Tombstone,
    Manifest,
}

impl Kind {
    const ALL: [(u8, Self); 5] = [
        (1, Self::Block),
        (2, Self::Commit),
        (3, Self::Purge),
        (4, Self::Tombstone),
        (5, Self::Manifest),
    ];

    fn of(byte: u8) -> Option<Self> {
        Self::ALL
            .iter()
            .find(|(b, _)| *b == byte)
            .map(|(_, kind)| *kind)
    }

    fn byte(self) -> u8 {
        Self::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or(0, |(b, _)| *b)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    pub kind: Kind,
    pub len: u32,
    pub seq: u64,
    pub crc: u32,
}

/// Names a copy: 128 bits of the object's and the variant's hash (clients choose names, so a weak hash could be made to
/// collide), and the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    pub object: u128,
    pub part: u64,
    pub variant: u64,
}

/// The number of an object's name, as purges use it.
pub fn object_number(object: &str) -> u128 {
    let hash = blake3::hash(object.as_bytes());
    let mut first = [0; 16];
    first.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(first)
}

/// What is known of a copy beside its bytes. Times are milliseconds since 1970 by the store's own clock, which never goes back.
#[derive(Clone, PartialEq, Message)]
pub struct Meta {
    #[prost(string, tag = "1")]
    pub object: String,
    #[prost(uint64, tag = "2")]
    pub part: u64,
    #[prost(uint64, tag = "3")]
    pub group: u64,
    #[prost(string, tag = "4")]
    pub variant: String,
    #[prost(uint64, tag = "5")]
    pub size: u64,
    #[prost(string, tag = "6")]
    pub validator: String,
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// When the origin gave it out or confirmed it.
    #[prost(uint64, tag = "8")]
    pub born_ms: u64,
    #[prost(uint64, tag = "9")]
    pub stored_ms: u64,
    /// 0: for ever.
    #[prost(uint64, tag = "10")]
    pub fresh_until_ms: u64,
    #[prost(uint32, tag = "11")]
    pub rank: u32,
}

impl Meta {
    pub fn key(&self) -> Key {
        let variant = match self.variant.as_str() {
            "" => 0,
            variant => object_number(variant) as u64 | 1,
        };
        Key {
            object: object_number(&self.object),
            part: self.part,
            variant,
        }
    }
}

/// Where a block stands: the offset is its record's.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BlockLocation {
    #[prost(uint32, tag = "1")]
    pub segment: u32,
    #[prost(uint32, tag = "2")]
    pub offset: u32,
    #[prost(uint32, tag = "3")]
    pub len: u32,
    #[prost(fixed32, tag = "4")]
    pub crc: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Commit {
    #[prost(message, optional, tag = "1")]
    pub meta: Option<Meta>,
    #[prost(message, repeated, tag = "2")]
    pub locations: Vec<BlockLocation>,
}

/// Strikes commits numbered up to `up_to_seq`: of one object, of a group, or all.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Purge {
    #[prost(uint64, tag = "1")]
    pub up_to_seq: u64,
    /// The object's number, in halves; with `of_object`.
    #[prost(fixed64, tag = "2")]
    pub object_low: u64,
    #[prost(fixed64, tag = "3")]
    pub object_high: u64,
    #[prost(bool, tag = "4")]
    pub of_object: bool,
    #[prost(uint64, tag = "5")]
    pub group: u64,
    #[prost(bool, tag = "6")]
    pub of_group: bool,
}

/// An object's number of its halves.
fn joined(low: u64, high: u64) -> u128 {
    u128::from(high) << 64 | u128::from(low)
}

impl Purge {
    pub fn object(&self) -> u128 {
        joined(self.object_low, self.object_high)
    }
}

/// One copy was evicted or found wrong: its commits numbered up to `up_to_seq`.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Tombstone {
    #[prost(uint64, tag = "1")]
    pub up_to_seq: u64,
    #[prost(fixed64, tag = "2")]
    pub object_low: u64,
    #[prost(fixed64, tag = "3")]
    pub object_high: u64,
    #[prost(uint64, tag = "4")]
    pub part: u64,
    #[prost(fixed64, tag = "5")]
    pub variant: u64,
}

impl Tombstone {
    pub fn new(key: Key, up_to_seq: u64) -> Self {
        Self {
            up_to_seq,
            object_low: key.object as u64,
            object_high: (key.object >> 64) as u64,
            part: key.part,
            variant: key.variant,
        }
    }

    pub fn key(&self) -> Key {
        let object = joined(self.object_low, self.object_high);
        Key {
            object,
            part: self.part,
            variant: self.variant,
        }
    }
}

/// The older segments that are needed from here on: one of them that is missing held what nobody knows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Manifest {
    #[prost(uint32, repeated, tag = "1")]
    pub segments: Vec<u32>,
}

/// A record but a block, as recovery and summaries have it.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Commit(Commit),
    Purge(Purge),
    Tombstone(Tombstone),
    Manifest(Manifest),
}

impl Record {
    pub fn kind(&self) -> Kind {
        match self {
            Self::Commit(_) => Kind::Commit,
            Self::Purge(_) => Kind::Purge,
            Self::Tombstone(_) => Kind::Tombstone,
            Self::Manifest(_) => Kind::Manifest,
        }
    }

    pub fn payload(&self) -> Vec<u8> {
        match self {
            Self::Commit(c) => c.encode_to_vec(),
            Self::Purge(p) => p.encode_to_vec(),
            Self::Tombstone(g) => g.encode_to_vec(),
            Self::Manifest(r) => r.encode_to_vec(),
        }
    }

    pub fn read(kind: Kind, payload: &[u8]) -> Option<Self> {
        match kind {
            Kind::Block => None,
            Kind::Commit => Commit::decode(payload)
                .ok()
                .filter(|c| c.meta.is_some())
                .map(Self::Commit),
            Kind::Purge => Purge::decode(payload).ok().map(Self::Purge),
            Kind::Tombstone => Tombstone::decode(payload).ok().map(Self::Tombstone),
            Kind::Manifest => Manifest::decode(payload).ok().map(Self::Manifest),
        }
    }
}

/// A whole record.
pub fn encode(segment: u32, kind: Kind, seq: u64, payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(RECORD_HEADER_BYTES + payload.len());
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&[kind.byte(), 0, 0, 0]);
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let crc = head_crc(&out, segment);
    out.extend_from_slice(&crc.to_le_bytes());
    out.extend_from_slice(payload);
    out
}

fn head_crc(head: &[u8], segment: u32) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&head[..24]);
    crc.update(&segment.to_le_bytes());
    crc.finalize()
}

/// A head of that segment; none if it is not one.
pub fn decode_header(segment: u32, bytes: &[u8]) -> Option<RecordHeader> {
    let bytes: &[u8; RECORD_HEADER_BYTES] = bytes.get(..RECORD_HEADER_BYTES)?.try_into().ok()?;
    let log_record =
        |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if bytes[..4] != MAGIC || log_record(24) != head_crc(bytes, segment) {
        return None;
    }
    let seq = u64::from(log_record(12)) | u64::from(log_record(16)) << 32;
    let head = RecordHeader {
        kind: Kind::of(bytes[4])?,
        len: log_record(8),
        seq,
        crc: log_record(20),
    };
    (head.len as usize <= MAX_PAYLOAD_BYTES).then_some(head)
}
