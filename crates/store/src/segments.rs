//! Files of the log: names, headers, scans and summaries of segments.
//!
//! A segment file begins with a header of 24 bytes, followed by records:
//!
//! | bytes | header |
//! | --- | --- |
//! | 0–7 | `PSPNSEG1`; in a summary file `PSPNSUM1` |
//! | 8–15 | number of the segment |
//! | 16–19 | 0; in a summary file the length of the segment in bytes |
//! | 20–23 | CRC-32 of bytes 0 to 19 |
//!
//! When a segment is sealed or recovered, its summary is written to a file of its own: a header as above, then all records of the
//! segment except blocks, each preceded by its offset in the segment (4 bytes), then a CRC-32 of all preceding bytes (4 bytes). A
//! segment without a valid summary is scanned. All numbers are little endian.
use crate::disk::DiskFile;
use crate::record::{self, Kind, Record, RecordHeader, RECORD_HEADER_BYTES};
use std::io::Result;

/// Length of the header of a segment or summary file, in bytes.
pub const SEGMENT_HEADER_BYTES: usize = 24;
const SEGMENT_MAGIC: [u8; 8] = *b"PSPNSEG1";
const SUMMARY_MAGIC: [u8; 8] = *b"PSPNSUM1";

/// Returns the file name of a segment.
pub fn segment_name(number: u32) -> String {
    format!("segment-{number:010}.log")
}

/// Returns the file name of a segment's summary.
pub fn summary_name(number: u32) -> String {
    format!("segment-{number:010}.sum")
}

/// Returns the segment number in the name of a segment file; `None` for any other name.
pub fn segment_number(name: &str) -> Option<u32> {
    name.strip_prefix("segment-")?
        .strip_suffix(".log")?
        .parse()
        .ok()
}

fn file_header(magic: [u8; 8], number: u32, segment_len: u32) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut bytes = [0; SEGMENT_HEADER_BYTES];
    bytes[..8].copy_from_slice(&magic);
    bytes[8..16].copy_from_slice(&u64::from(number).to_le_bytes());
    bytes[16..20].copy_from_slice(&segment_len.to_le_bytes());
    let crc = crc32fast::hash(&bytes[..20]);
    bytes[20..].copy_from_slice(&crc.to_le_bytes());
    bytes
}

/// Returns the header of a segment file.
pub fn segment_header(number: u32) -> [u8; SEGMENT_HEADER_BYTES] {
    file_header(SEGMENT_MAGIC, number, 0)
}

/// Encodes the summary of a segment that is `len` bytes long.
pub fn summary(number: u32, len: u32, records: &[u8]) -> Vec<u8> {
    let mut bytes = file_header(SUMMARY_MAGIC, number, len).to_vec();
    bytes.extend_from_slice(records);
    let crc = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes
}

/// A record with its sequence number and position.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedRecord {
    pub seq: u64,
    /// Offset in the segment.
    pub offset: u32,
    /// Length including the header.
    pub len: u32,
    pub record: Record,
}

/// Decodes a summary into the length of the segment and its records, in their order. Returns `None` if it is not valid.
pub fn read_summary(number: u32, bytes: &[u8]) -> Option<(u32, Vec<LocatedRecord>)> {
    let (body, crc) = bytes.split_at_checked(bytes.len().checked_sub(4)?)?;
    if crc32fast::hash(body).to_le_bytes() != *crc || body.len() < SEGMENT_HEADER_BYTES {
        return None;
    }
    let len = u32::from_le_bytes([body[16], body[17], body[18], body[19]]);
    if body[..SEGMENT_HEADER_BYTES] != file_header(SUMMARY_MAGIC, number, len) {
        return None;
    }
    let mut located = Vec::new();
    let mut rest = &body[SEGMENT_HEADER_BYTES..];
    while !rest.is_empty() {
        let (offset, encoded) = rest.split_at_checked(4)?;
        let offset = u32::from_le_bytes(offset.try_into().ok()?);
        let header = record::decode_header(number, encoded)?;
        let payload =
            encoded.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + header.len as usize)?;
        if crc32fast::hash(payload) != header.crc {
            return None;
        }
        let record = Record::decode(header.kind, payload)?;
        located.push(LocatedRecord {
            seq: header.seq,
            offset,
            len: RECORD_HEADER_BYTES as u32 + header.len,
            record,
        });
        rest = &encoded[RECORD_HEADER_BYTES + header.len as usize..];
    }
    Some((len, located))
}

/// Result of [`scan`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scan {
    pub located: Vec<LocatedRecord>,
    /// Encoded records of [`Scan::located`] and [`Scan::after_damage`], as in a summary.
    pub records: Vec<u8>,
    /// Offset at which the last of the intact records ends.
    pub end: u32,
    /// Highest sequence number found.
    pub last_seq: u64,
    /// Whether bytes that are not an intact record follow [`Scan::end`].
    pub damaged: bool,
    /// Purges and tombstones found after the first record that is not intact; they are not in [`Scan::located`]. If a flipped bit
    /// damaged that record, they may have been acknowledged; if a crash did, they were not. Applying them is correct in both cases.
    pub after_damage: Vec<LocatedRecord>,
}

/// Reads a segment up to the first record that is not intact, verifying every checksum. Returns `None` if the file has no valid segment
/// header.
pub fn scan(number: u32, file: &dyn DiskFile) -> Result<Option<Scan>> {
    let len = file.len()?;
    let mut header_bytes = [0; SEGMENT_HEADER_BYTES];
    if len < SEGMENT_HEADER_BYTES as u64 {
        return Ok(None);
    }
    file.read_at(0, &mut header_bytes)?;
    if header_bytes != segment_header(number) {
        return Ok(None);
    }
    let mut result = Scan {
        end: SEGMENT_HEADER_BYTES as u32,
        ..Scan::default()
    };
    let mut position = SEGMENT_HEADER_BYTES as u64;
    let mut payload = Vec::new();
    while let Some(header) = scan_record(number, file, position, len, &mut payload, &mut result)? {
        position += RECORD_HEADER_BYTES as u64 + u64::from(header.len);
        result.end = position as u32;
        result.last_seq = result.last_seq.max(header.seq);
    }
    result.damaged = position < len;
    if result.damaged {
        scan_after_damage(number, file, position, len, &mut result)?;
    }
    Ok(Some(result))
}

/// Reads the record at `position` and adds it to `result` unless it is a block. Returns `None` if no intact record begins there.
/// `payload` is a buffer that is reused for each record.
fn scan_record(
    number: u32,
    file: &dyn DiskFile,
    position: u64,
    len: u64,
    payload: &mut Vec<u8>,
    result: &mut Scan,
) -> Result<Option<RecordHeader>> {
    let payload_position = position + RECORD_HEADER_BYTES as u64;
    if payload_position > len {
        return Ok(None);
    }
    let mut header_bytes = [0; RECORD_HEADER_BYTES];
    file.read_at(position, &mut header_bytes)?;
    let Some(header) = record::decode_header(number, &header_bytes) else {
        return Ok(None);
    };
    if payload_position + u64::from(header.len) > len {
        return Ok(None);
    }
    payload.resize(header.len as usize, 0);
    file.read_at(payload_position, payload)?;
    if crc32fast::hash(payload) != header.crc {
        return Ok(None);
    }
    if header.kind == Kind::Block {
        return Ok(Some(header));
    }
    let Some(record) = Record::decode(header.kind, payload) else {
        return Ok(None);
    };
    let offset = position as u32;
    result.located.push(LocatedRecord {
        seq: header.seq,
        offset,
        len: RECORD_HEADER_BYTES as u32 + header.len,
        record,
    });
    result.records.extend_from_slice(&offset.to_le_bytes());
    result.records.extend_from_slice(&header_bytes);
    result.records.extend_from_slice(payload);
    Ok(Some(header))
}

/// Searches the bytes from `from` on for intact purges and tombstones.
fn scan_after_damage(
    number: u32,
    file: &dyn DiskFile,
    from: u64,
    len: u64,
    result: &mut Scan,
) -> Result<()> {
    let mut rest = vec![0; (len - from) as usize];
    file.read_at(from, &mut rest)?;
    let mut position = 0;
    while position + RECORD_HEADER_BYTES <= rest.len() {
        let Some(header) = record::decode_header(number, &rest[position..]) else {
            position += 1;
            continue;
        };
        let end = position + RECORD_HEADER_BYTES + header.len as usize;
        let payload = rest
            .get(position + RECORD_HEADER_BYTES..end)
            .filter(|payload| crc32fast::hash(payload) == header.crc);
        let record = payload.and_then(|payload| Record::decode(header.kind, payload));
        if let Some(record @ (Record::Purge(_) | Record::Tombstone(_))) = record {
            let offset = (from as usize + position) as u32;
            result.records.extend_from_slice(&offset.to_le_bytes());
            result.records.extend_from_slice(&rest[position..end]);
            result.after_damage.push(LocatedRecord {
                seq: header.seq,
                offset,
                len: (end - position) as u32,
                record,
            });
        }
        result.last_seq = result.last_seq.max(header.seq);
        // The length in an intact header is valid even if the payload is damaged.
        position = end.min(rest.len()).max(position + 1);
    }
    Ok(())
}
