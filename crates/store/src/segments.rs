//! Files of the log: names, headers, scans and summaries of segments.
//!
//! A segment's file begins with 24 bytes: `PSPNSEG1`, its number (8), CRC-32 of both (4), 0 (4); records follow. When it is full, its
//! summary is written beside it: 24 bytes as above with `PSPNSUM1` and the length of the segment in place of the 0s' half (see
//! [`summary`]), then all its records but blocks, each behind its offset in the segment (4), then 4 bytes of CRC-32 over everything before.
//! A segment without a summary is read through.
use crate::disk::DiskFile;
use crate::record::{self, Kind, Record, RecordHeader, RECORD_HEADER_BYTES};
use std::io::Result;

/// Length of the header of a segment or summary file.
pub const SEGMENT_HEADER_BYTES: usize = 24;
const SEGMENT: [u8; 8] = *b"PSPNSEG1";
const SUMMARY: [u8; 8] = *b"PSPNSUM1";

/// File name of a segment.
pub fn segment_name(number: u32) -> String {
    format!("segment-{number:010}.log")
}

/// File name of a segment's summary.
pub fn summary_name(number: u32) -> String {
    format!("segment-{number:010}.sum")
}

/// The number in a segment's name.
pub fn number_of(name: &str) -> Option<u32> {
    name.strip_prefix("segment-")?
        .strip_suffix(".log")?
        .parse()
        .ok()
}

fn head(magic: [u8; 8], number: u32, extra: u32) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut out = [0; SEGMENT_HEADER_BYTES];
    out[..8].copy_from_slice(&magic);
    out[8..16].copy_from_slice(&u64::from(number).to_le_bytes());
    out[16..20].copy_from_slice(&extra.to_le_bytes());
    let crc = crc32fast::hash(&out[..20]);
    out[20..].copy_from_slice(&crc.to_le_bytes());
    out
}

/// Header of a segment file.
pub fn segment_header(number: u32) -> [u8; SEGMENT_HEADER_BYTES] {
    head(SEGMENT, number, 0)
}

/// A summary of a segment that is `len` bytes long.
pub fn summary(number: u32, len: u32, records: &[u8]) -> Vec<u8> {
    let mut out = head(SUMMARY, number, len).to_vec();
    out.extend_from_slice(records);
    let crc = crc32fast::hash(&out);
    out.extend_from_slice(&crc.to_le_bytes());
    out
}

/// A record with its sequence number and position.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedRecord {
    pub seq: u64,
    /// Offset within the segment.
    pub offset: u32,
    pub len: u32,
    pub record: Record,
}

/// Reads a summary: the segment's length and its records, in their order.
pub fn read_summary(number: u32, bytes: &[u8]) -> Option<(u32, Vec<LocatedRecord>)> {
    let (body, crc) = bytes.split_at_checked(bytes.len().checked_sub(4)?)?;
    if crc32fast::hash(body).to_le_bytes() != *crc || body.len() < SEGMENT_HEADER_BYTES {
        return None;
    }
    let len = u32::from_le_bytes([body[16], body[17], body[18], body[19]]);
    if body[..SEGMENT_HEADER_BYTES] != head(SUMMARY, number, len) {
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
        let record = Record::read(header.kind, payload)?;
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
    /// The records of [`Scan::located`] as a summary has them.
    pub records: Vec<u8>,
    /// Offset up to which all records are intact.
    pub end: u32,
    /// The highest number seen.
    pub last_seq: u64,
    /// Bytes that are not an intact record follow [`Scan::end`].
    pub broken: bool,
    /// Purges and tombstones after the break. They are also in [`Scan::records`], but not in [`Scan::located`]. After a flipped bit
    /// they may have been acknowledged, after a crash they were not: applying them is correct in both cases.
    pub after_break: Vec<LocatedRecord>,
}

/// Reads a segment up to the first record that is not intact, checking every checksum. None: the file has no segment header.
pub fn scan(number: u32, file: &dyn DiskFile) -> Result<Option<Scan>> {
    let len = file.len()?;
    let mut first = [0; SEGMENT_HEADER_BYTES];
    if len < SEGMENT_HEADER_BYTES as u64 {
        return Ok(None);
    }
    file.read_at(0, &mut first)?;
    if first != segment_header(number) {
        return Ok(None);
    }
    let mut found = Scan {
        end: SEGMENT_HEADER_BYTES as u32,
        ..Scan::default()
    };
    let mut at = SEGMENT_HEADER_BYTES as u64;
    let mut payload = Vec::new();
    while let Some(header) = scan_record(number, file, at, len, &mut payload, &mut found)? {
        at += RECORD_HEADER_BYTES as u64 + u64::from(header.len);
        found.end = at as u32;
        found.last_seq = found.last_seq.max(header.seq);
    }
    found.broken = at < len;
    if found.broken {
        scan_after_break(number, file, at, len, &mut found)?;
    }
    Ok(Some(found))
}

/// Reads the record at `at` and adds it to `found` unless it is a block. None: no intact record begins there. `payload` is a
/// buffer, reused from one record to the next.
fn scan_record(
    number: u32,
    file: &dyn DiskFile,
    at: u64,
    len: u64,
    payload: &mut Vec<u8>,
    found: &mut Scan,
) -> Result<Option<RecordHeader>> {
    let payload_at = at + RECORD_HEADER_BYTES as u64;
    if payload_at > len {
        return Ok(None);
    }
    let mut head = [0; RECORD_HEADER_BYTES];
    file.read_at(at, &mut head)?;
    let Some(header) = record::decode_header(number, &head) else {
        return Ok(None);
    };
    if payload_at + u64::from(header.len) > len {
        return Ok(None);
    }
    payload.resize(header.len as usize, 0);
    file.read_at(payload_at, payload)?;
    if crc32fast::hash(payload) != header.crc {
        return Ok(None);
    }
    if header.kind == Kind::Block {
        return Ok(Some(header));
    }
    let Some(record) = Record::read(header.kind, payload) else {
        return Ok(None);
    };
    let offset = at as u32;
    found.located.push(LocatedRecord {
        seq: header.seq,
        offset,
        len: RECORD_HEADER_BYTES as u32 + header.len,
        record,
    });
    found.records.extend_from_slice(&offset.to_le_bytes());
    found.records.extend_from_slice(&head);
    found.records.extend_from_slice(payload);
    Ok(Some(header))
}

/// Searches the bytes after a break for intact purges and tombstones.
fn scan_after_break(
    number: u32,
    file: &dyn DiskFile,
    from: u64,
    len: u64,
    found: &mut Scan,
) -> Result<()> {
    let mut rest = vec![0; (len - from) as usize];
    file.read_at(from, &mut rest)?;
    let mut at = 0;
    while at + RECORD_HEADER_BYTES <= rest.len() {
        let Some(h) = record::decode_header(number, &rest[at..]) else {
            at += 1;
            continue;
        };
        let end = at + RECORD_HEADER_BYTES + h.len as usize;
        let payload = rest
            .get(at + RECORD_HEADER_BYTES..end)
            .filter(|p| crc32fast::hash(p) == h.crc);
        let record = payload.and_then(|p| Record::read(h.kind, p));
        if let Some(record @ (Record::Purge(_) | Record::Tombstone(_))) = record {
            let offset = (from as usize + at) as u32;
            found.records.extend_from_slice(&offset.to_le_bytes());
            found.records.extend_from_slice(&rest[at..end]);
            found.after_break.push(LocatedRecord {
                seq: h.seq,
                offset,
                len: (end - at) as u32,
                record,
            });
        }
        found.last_seq = found.last_seq.max(h.seq);
        // A head that is right says how long its record is, whatever became of the payload.
        at = end.min(rest.len()).max(at + 1);
    }
    Ok(())
}
