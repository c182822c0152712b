//! Records of FastCGI 1.0.
use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

pub const VERSION: u8 = 1;
const HEADER: usize = 8;

pub const BEGIN_REQUEST: u8 = 1;
pub const ABORT_REQUEST: u8 = 2;
pub const END_REQUEST: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;
pub const GET_VALUES: u8 = 9;
pub const GET_VALUES_RESULT: u8 = 10;
pub const UNKNOWN_TYPE: u8 = 11;

pub const RESPONDER: u16 = 1;
pub const KEEP_CONN: u8 = 1;

/// How a request ended, as END_REQUEST tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    Complete = 0,
    Overloaded = 2,
    UnknownRole = 3,
}

/// Content of one STDOUT record: whole records of eight bytes, as the specification advises.
const MOST_OUT: usize = 65_528;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub kind: u8,
    pub id: u16,
    pub content: Bytes,
}

#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("a record of version {0}")]
    Version(u8),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads records; each is 64 KiB at most by its form.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordCodec;

impl Decoder for RecordCodec {
    type Item = Record;
    type Error = RecordError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Record>, RecordError> {
        let Some(version) = from.first() else {
            return Ok(None);
        };
        if *version != VERSION {
            return Err(RecordError::Version(*version));
        }
        if from.len() < HEADER {
            return Ok(None);
        }
        let (kind, id) = (from[1], u16::from_be_bytes([from[2], from[3]]));
        let (length, padding) = (
            usize::from(u16::from_be_bytes([from[4], from[5]])),
            usize::from(from[6]),
        );
        if from.len() < HEADER + length + padding {
            from.reserve(HEADER + length + padding - from.len());
            return Ok(None);
        }
        from.advance(HEADER);
        let content = from.split_to(length).freeze();
        from.advance(padding);
        Ok(Some(Record { kind, id, content }))
    }
}

fn header(out: &mut BytesMut, kind: u8, id: u16, length: usize) {
    out.put_slice(&[VERSION, kind]);
    out.put_u16(id);
    out.put_u16(length as u16);
    out.put_slice(&[0, 0]);
}

/// A whole record.
pub fn record(out: &mut BytesMut, kind: u8, id: u16, content: &[u8]) {
    header(out, kind, id, content.len());
    out.put_slice(content);
}

/// The end of a request; nothing comes after it under this number.
pub fn end_request(out: &mut BytesMut, id: u16, app_status: u32, status: ProtocolStatus) {
    header(out, END_REQUEST, id, 8);
    out.put_u32(app_status);
    out.put_slice(&[status as u8, 0, 0, 0]);
}

/// A whole answer: head and body in STDOUT records, then the end. The body is not copied.
pub fn answer(id: u16, head: &[u8], mut body: Bytes, app_status: u32) -> Vec<Bytes> {
    let mut pieces = Vec::with_capacity(2 + 2 * (body.len() / MOST_OUT + 1));
    let mut out = BytesMut::with_capacity(head.len() + 4 * HEADER + 16);
    record(&mut out, STDOUT, id, head);
    while !body.is_empty() {
        let piece = body.split_to(body.len().min(MOST_OUT));
        header(&mut out, STDOUT, id, piece.len());
        pieces.push(out.split().freeze());
        pieces.push(piece);
    }
    record(&mut out, STDOUT, id, &[]);
    end_request(&mut out, id, app_status, ProtocolStatus::Complete);
    pieces.push(out.freeze());
    pieces
}

/// One length of a name-value pair.
fn length(from: &mut &[u8]) -> Option<usize> {
    let first = *from.first()?;
    if first < 0x80 {
        from.advance(1);
        return Some(first.into());
    }
    let four = from.get(..4)?;
    let long = u32::from_be_bytes([four[0] & 0x7f, four[1], four[2], four[3]]);
    from.advance(4);
    Some(long as usize)
}

/// Name-value pairs; none where lengths and bytes do not fit.
pub fn pairs(mut from: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let mut found = Vec::new();
    while !from.is_empty() {
        let (name, value) = (length(&mut from)?, length(&mut from)?);
        if from.len() < name.checked_add(value)? {
            return None;
        }
        let (pair, rest) = from.split_at(name + value);
        found.push(pair.split_at(name));
        from = rest;
    }
    Some(found)
}

/// A name-value pair, as a client writes it.
pub fn pair(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, value] {
        match part.len() {
            short @ ..0x80 => out.put_u8(short as u8),
            long => out.put_u32(long as u32 | 0x8000_0000),
        }
    }
    out.put_slice(name);
    out.put_slice(value);
}
