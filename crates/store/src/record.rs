//! Codec of the log records. All numbers are little endian.
//!
//! | bytes | record header |
//! | --- | --- |
//! | 0–3 | `PSR1` |
//! | 4 | kind: 1 block, 2 commit, 3 purge, 4 tombstone, 5 manifest |
//! | 5–7 | 0 |
//! | 8–11 | length of the payload in bytes |
//! | 12–19 | sequence number: unique and ascending over the whole store |
//! | 20–23 | CRC-32 of the payload |
//! | 24–27 | CRC-32 of bytes 0 to 23 followed by the segment number |
//!
//! The payload of a block is a part of a body. The payloads of the other kinds are protocol buffers.
use prost::Message;

/// Length of a record header, in bytes.
pub const RECORD_HEADER_BYTES: usize = 28;
const MAGIC: [u8; 4] = *b"PSR1";
/// Limit of the payload of a record, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024 * 1024;

/// Kinds of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Part of a body.
    Block,
    /// Commit record, see [`Commit`].
    Commit,
    /// Purge record, see [`Purge`].
    Purge,
    /// Tombstone record, see [`Tombstone`].
    Tombstone,
    /// Manifest record, see [`Manifest`].
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

    fn from_byte(byte: u8) -> Option<Self> {
        Self::ALL
            .iter()
            .find(|(code, _)| *code == byte)
            .map(|(_, kind)| *kind)
    }

    fn to_byte(self) -> u8 {
        Self::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or(0, |(code, _)| *code)
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

/// Key of a copy: hashes of the object's and the variant's name, and the part. The hashes are cryptographic because clients choose the
/// names and could make a weak hash collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Hash of the object's name, 128 bits.
    pub object: u128,
    /// Number of the part.
    pub part: u64,
    /// Hash of the variant's name, 64 bits; 0 without a variant.
    pub variant: u64,
}

/// Returns the 128-bit hash that identifies an object's name in keys and purges.
pub fn object_hash(object: &str) -> u128 {
    let hash = blake3::hash(object.as_bytes());
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(prefix)
}

/// Metadata of a copy. Times are in milliseconds since 1970 by the store's clock, which never goes back.
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
    /// Name of the variant; empty without a variant.
    #[prost(string, tag = "4")]
    pub variant: String,
    /// Body length in bytes; 0 while it is unknown.
    #[prost(uint64, tag = "5")]
    pub size: u64,
    /// Validator from the origin, such as an ETag.
    #[prost(string, tag = "6")]
    pub validator: String,
    /// Content type.
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// Time at which the origin served or confirmed the response.
    #[prost(uint64, tag = "8")]
    pub born_ms: u64,
    /// Time of the commit.
    #[prost(uint64, tag = "9")]
    pub stored_ms: u64,
    /// Time up to which the copy is fresh; 0 if unlimited.
    #[prost(uint64, tag = "10")]
    pub fresh_until_ms: u64,
    /// Eviction rank; lower ranks are evicted first.
    #[prost(uint32, tag = "11")]
    pub rank: u32,
}

impl Meta {
    /// Returns the key of the copy in the index.
    pub fn key(&self) -> Key {
        let variant = match self.variant.as_str() {
            "" => 0,
            variant => object_hash(variant) as u64 | 1,
        };
        Key {
            object: object_hash(&self.object),
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
    /// Offset of the record in the segment, in bytes.
    #[prost(uint32, tag = "2")]
    pub offset: u32,
    /// Length of the payload.
    #[prost(uint32, tag = "3")]
    pub len: u32,
    /// CRC-32 of the payload.
    #[prost(fixed32, tag = "4")]
    pub crc: u32,
}

/// Commit record: completes a copy. It is written after the copy's blocks.
#[derive(Clone, PartialEq, Message)]
pub struct Commit {
    /// Metadata; always set.
    #[prost(message, optional, tag = "1")]
    pub meta: Option<Meta>,
    /// Blocks of the body, in order.
    #[prost(message, repeated, tag = "2")]
    pub locations: Vec<BlockLocation>,
}

/// Purge record: invalidates the commits with sequence numbers up to `up_to_seq` of one object, of a purge group, or of all objects.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Purge {
    /// Highest sequence number that is invalidated.
    #[prost(uint64, tag = "1")]
    pub up_to_seq: u64,
    /// Low half of the object's hash; set with `of_object`.
    #[prost(fixed64, tag = "2")]
    pub object_low: u64,
    /// High half of the object's hash.
    #[prost(fixed64, tag = "3")]
    pub object_high: u64,
    /// Whether the purge covers one object.
    #[prost(bool, tag = "4")]
    pub of_object: bool,
    /// Purge group; set with `of_group`.
    #[prost(uint64, tag = "5")]
    pub group: u64,
    /// Whether the purge covers a purge group.
    #[prost(bool, tag = "6")]
    pub of_group: bool,
}

/// Returns an object's hash from its two halves.
fn join_halves(low: u64, high: u64) -> u128 {
    u128::from(high) << 64 | u128::from(low)
}

impl Purge {
    /// Returns the hash of the object's name.
    pub fn object(&self) -> u128 {
        join_halves(self.object_low, self.object_high)
    }
}

/// Tombstone record: a copy was evicted or lost. It invalidates the copy's commits with sequence numbers up to `up_to_seq`.
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
    /// Returns a tombstone for the copy `key`.
    pub fn new(key: Key, up_to_seq: u64) -> Self {
        Self {
            up_to_seq,
            object_low: key.object as u64,
            object_high: (key.object >> 64) as u64,
            part: key.part,
            variant: key.variant,
        }
    }

    /// Returns the key of the copy.
    pub fn key(&self) -> Key {
        let object = join_halves(self.object_low, self.object_high);
        Key {
            object,
            part: self.part,
            variant: self.variant,
        }
    }
}

/// Manifest record: lists the older segments that exist. A listed segment that is missing at recovery may have held purges.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Manifest {
    /// Numbers of the segments.
    #[prost(uint32, repeated, tag = "1")]
    pub segments: Vec<u32>,
}

/// A decoded record of any kind except a block.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Commit of a copy.
    Commit(Commit),
    /// Purge of copies.
    Purge(Purge),
    /// Eviction or loss of a copy.
    Tombstone(Tombstone),
    /// List of the older segments.
    Manifest(Manifest),
}

impl Record {
    /// Returns the kind for the record header.
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
            Self::Commit(commit) => commit.encode_to_vec(),
            Self::Purge(purge) => purge.encode_to_vec(),
            Self::Tombstone(tombstone) => tombstone.encode_to_vec(),
            Self::Manifest(manifest) => manifest.encode_to_vec(),
        }
    }

    /// Decodes a payload. Returns `None` if it is malformed or the payload of a block.
    pub fn decode(kind: Kind, payload: &[u8]) -> Option<Self> {
        match kind {
            Kind::Block => None,
            Kind::Commit => Commit::decode(payload)
                .ok()
                .filter(|commit| commit.meta.is_some())
                .map(Self::Commit),
            Kind::Purge => Purge::decode(payload).ok().map(Self::Purge),
            Kind::Tombstone => Tombstone::decode(payload).ok().map(Self::Tombstone),
            Kind::Manifest => Manifest::decode(payload).ok().map(Self::Manifest),
        }
    }
}

/// Encodes a record with its header.
pub fn encode(segment: u32, kind: Kind, seq: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[kind.to_byte(), 0, 0, 0]);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&seq.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let crc = header_crc(&bytes, segment);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

fn header_crc(header: &[u8], segment: u32) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&header[..24]);
    crc.update(&segment.to_le_bytes());
    crc.finalize()
}

/// Decodes the header at the start of `bytes`. Returns `None` if it is not an intact header of a record in that segment.
pub fn decode_header(segment: u32, bytes: &[u8]) -> Option<RecordHeader> {
    let bytes: &[u8; RECORD_HEADER_BYTES] = bytes.get(..RECORD_HEADER_BYTES)?.try_into().ok()?;
    let u32_at = |offset: usize| {
        u32::from_le_bytes([
            bytes[offset],
            bytes[offset + 1],
            bytes[offset + 2],
            bytes[offset + 3],
        ])
    };
    if bytes[..4] != MAGIC || u32_at(24) != header_crc(bytes, segment) {
        return None;
    }
    let seq = u64::from(u32_at(12)) | u64::from(u32_at(16)) << 32;
    let header = RecordHeader {
        kind: Kind::from_byte(bytes[4])?,
        len: u32_at(8),
        seq,
        crc: u32_at(20),
    };
    (header.len as usize <= MAX_PAYLOAD_BYTES).then_some(header)
}
