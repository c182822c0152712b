//! Codec of the log records. All numbers are little endian.
//!
//! | bytes | record's head |
//! | --- | --- |
//! | 0–3 | `PSR1` |
//! | 4 | kind: 1 block, 2 commit, 3 purge, 4 tombstone, 5 manifest |
//! | 5–7 | 0 |
//! | 8–11 | length of the payload |
//! | 12–19 | sequence number: unique and ascending over the whole store |
//! | 20–23 | CRC-32 of the payload |
//! | 24–27 | CRC-32 of bytes 0 to 23 and the segment's number |
//!
//! A block's payload is bytes of a body. The others are protocol buffers.
use prost::Message;

/// Length of the header of a record.
pub const RECORD_HEADER_BYTES: usize = 28;
const MAGIC: [u8; 4] = *b"PSR1";
/// Limit of a record's payload.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024 * 1024;

/// Kinds of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Bytes of a body.
    Block,
    /// See [`Commit`].
    Commit,
    /// See [`Purge`].
    Purge,
    /// See [`Tombstone`].
    Tombstone,
    /// See [`Manifest`].
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

/// Decoded header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// Kind of the record.
    pub kind: Kind,
    /// Length of the payload.
    pub len: u32,
    /// Sequence number.
    pub seq: u64,
    /// CRC-32 of the payload.
    pub crc: u32,
}

/// Identifies a copy: 128 bits of the object's and the variant's hash (clients choose names, so a weak hash could be made to
/// collide), and the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Hash of the object's name.
    pub object: u128,
    /// Number of the part.
    pub part: u64,
    /// Hash of the variant; 0: none.
    pub variant: u64,
}

/// The 128-bit hash that stands for an object's name in keys and purges.
pub fn object_number(object: &str) -> u128 {
    let hash = blake3::hash(object.as_bytes());
    let mut first = [0; 16];
    first.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(first)
}

/// Metadata of a copy. Times are milliseconds since 1970 by the store's own clock, which never goes back.
#[derive(Clone, PartialEq, Message)]
pub struct Meta {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub object: String,
    /// Number of the part.
    #[prost(uint64, tag = "2")]
    pub part: u64,
    /// Purge group.
    #[prost(uint64, tag = "3")]
    pub group: u64,
    /// Variant; empty: none.
    #[prost(string, tag = "4")]
    pub variant: String,
    /// Body length in bytes; 0 while it is not known.
    #[prost(uint64, tag = "5")]
    pub size: u64,
    /// Validator of the origin, as an ETag.
    #[prost(string, tag = "6")]
    pub validator: String,
    /// Content type.
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// When the origin served or confirmed it.
    #[prost(uint64, tag = "8")]
    pub born_ms: u64,
    /// When it was committed.
    #[prost(uint64, tag = "9")]
    pub stored_ms: u64,
    /// End of freshness; 0: unlimited.
    #[prost(uint64, tag = "10")]
    pub fresh_until_ms: u64,
    /// Eviction rank; lower ranks are evicted first.
    #[prost(uint32, tag = "11")]
    pub rank: u32,
}

impl Meta {
    /// Key of the copy in the index.
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

/// Position of a block record.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BlockLocation {
    /// Number of the segment.
    #[prost(uint32, tag = "1")]
    pub segment: u32,
    /// Offset of the record in the segment.
    #[prost(uint32, tag = "2")]
    pub offset: u32,
    /// Length of the payload.
    #[prost(uint32, tag = "3")]
    pub len: u32,
    /// CRC-32 of the payload.
    #[prost(fixed32, tag = "4")]
    pub crc: u32,
}

/// Commit record: a copy is stored once this record is, with its blocks written before.
#[derive(Clone, PartialEq, Message)]
pub struct Commit {
    /// Metadata; always set.
    #[prost(message, optional, tag = "1")]
    pub meta: Option<Meta>,
    /// Blocks of the body, in order.
    #[prost(message, repeated, tag = "2")]
    pub locations: Vec<BlockLocation>,
}

/// Purge record: invalidates commits with sequence numbers up to `up_to_seq`, of one object, of a group, or all.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Purge {
    /// Highest sequence number that is invalidated.
    #[prost(uint64, tag = "1")]
    pub up_to_seq: u64,
    /// Low half of the object's hash; with `of_object`.
    #[prost(fixed64, tag = "2")]
    pub object_low: u64,
    /// High half of the object's hash.
    #[prost(fixed64, tag = "3")]
    pub object_high: u64,
    /// The purge covers one object.
    #[prost(bool, tag = "4")]
    pub of_object: bool,
    /// Purge group; with `of_group`.
    #[prost(uint64, tag = "5")]
    pub group: u64,
    /// The purge covers a group.
    #[prost(bool, tag = "6")]
    pub of_group: bool,
}

/// An object's hash from its halves.
fn joined(low: u64, high: u64) -> u128 {
    u128::from(high) << 64 | u128::from(low)
}

impl Purge {
    /// Hash of the object's name.
    pub fn object(&self) -> u128 {
        joined(self.object_low, self.object_high)
    }
}

/// Tombstone record: one copy was evicted or lost; invalidates its commits with sequence numbers up to `up_to_seq`.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Tombstone {
    /// Highest sequence number that is invalidated.
    #[prost(uint64, tag = "1")]
    pub up_to_seq: u64,
    /// Low half of the object's hash.
    #[prost(fixed64, tag = "2")]
    pub object_low: u64,
    /// High half of the object's hash.
    #[prost(fixed64, tag = "3")]
    pub object_high: u64,
    /// Number of the part.
    #[prost(uint64, tag = "4")]
    pub part: u64,
    /// Hash of the variant.
    #[prost(fixed64, tag = "5")]
    pub variant: u64,
}

impl Tombstone {
    /// A tombstone of the copy `key`.
    pub fn new(key: Key, up_to_seq: u64) -> Self {
        Self {
            up_to_seq,
            object_low: key.object as u64,
            object_high: (key.object >> 64) as u64,
            part: key.part,
            variant: key.variant,
        }
    }

    /// Key of the copy.
    pub fn key(&self) -> Key {
        let object = joined(self.object_low, self.object_high);
        Key {
            object,
            part: self.part,
            variant: self.variant,
        }
    }
}

/// Manifest record: the older segments that exist. If one is missing at recovery, it may have held purges.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Manifest {
    /// Numbers of the segments.
    #[prost(uint32, repeated, tag = "1")]
    pub segments: Vec<u32>,
}

/// A decoded record of any kind but a block.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A copy was committed.
    Commit(Commit),
    /// Copies were purged.
    Purge(Purge),
    /// A copy was evicted or lost.
    Tombstone(Tombstone),
    /// Older segments that exist.
    Manifest(Manifest),
}

impl Record {
    /// Kind for the record's header.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Commit(_) => Kind::Commit,
            Self::Purge(_) => Kind::Purge,
            Self::Tombstone(_) => Kind::Tombstone,
            Self::Manifest(_) => Kind::Manifest,
        }
    }

    /// Encodes the payload.
    pub fn payload(&self) -> Vec<u8> {
        match self {
            Self::Commit(c) => c.encode_to_vec(),
            Self::Purge(p) => p.encode_to_vec(),
            Self::Tombstone(g) => g.encode_to_vec(),
            Self::Manifest(r) => r.encode_to_vec(),
        }
    }

    /// Decodes a payload. None: it is malformed or a block.
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

/// Encodes a record, header and payload.
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

/// Decodes a header at the start of `bytes`. None: it is not an intact header of that segment.
pub fn decode_header(segment: u32, bytes: &[u8]) -> Option<RecordHeader> {
    let bytes: &[u8; RECORD_HEADER_BYTES] = bytes.get(..RECORD_HEADER_BYTES)?.try_into().ok()?;
    let record =
        |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if bytes[..4] != MAGIC || record(24) != head_crc(bytes, segment) {
        return None;
    }
    let seq = u64::from(record(12)) | u64::from(record(16)) << 32;
    let head = RecordHeader {
        kind: Kind::of(bytes[4])?,
        len: record(8),
        seq,
        crc: record(20),
    };
    (head.len as usize <= MAX_PAYLOAD_BYTES).then_some(head)
}
