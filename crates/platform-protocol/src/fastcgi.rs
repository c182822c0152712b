//! FastCGI 1.0: decodes a client's records and encodes a responder's.
use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// The protocol's version.
pub const VERSION: u8 = 1;
/// Length of a record's header.
pub(crate) const HEADER_BYTES: usize = 8;

/// Type of a record that begins a request.
pub const BEGIN_REQUEST: u8 = 1;
/// Type of a record that cancels a request.
pub const ABORT_REQUEST: u8 = 2;
/// Type of a record that ends a request.
pub const END_REQUEST: u8 = 3;
/// Type of the records of a request's params.
pub const PARAMS: u8 = 4;
/// Type of the records of a request's body.
pub const STDIN: u8 = 5;
/// Type of the records of a response.
pub const STDOUT: u8 = 6;
/// Type of a record that queries the application's values.
pub const GET_VALUES: u8 = 9;
/// Type of the reply to [`GET_VALUES`].
pub const GET_VALUES_RESULT: u8 = 10;
/// Type of the reply to a record of an unknown type.
pub const UNKNOWN_TYPE: u8 = 11;

/// The only role that is served.
pub const RESPONDER: u16 = 1;
/// Flag of a request: the connection stays open after it.
pub const KEEP_CONN: u8 = 1;

/// How a request ended, as [`END_REQUEST`] carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// It was served.
    Complete = 0,
    /// Too many requests are open.
    Overloaded = 2,
    /// Its role is not served.
    UnknownRole = 3,
}

/// Content of one STDOUT record: a multiple of eight bytes, as the specification advises.
const MAX_STDOUT_BYTES: usize = 65_528;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its type.
    pub kind: u8,
    /// Number of its request; 0: the connection's own.
    pub id: u16,
    /// Its content without padding.
    pub content: Bytes,
}

/// Why a connection cannot be decoded any further.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A record of another version of the protocol, or bytes that are no record.
    #[error("a record of version {0}")]
    Version(u8),
    /// The connection could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Decodes records, whose length field limits them to 64 KiB.
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
        if from.len() < HEADER_BYTES {
            return Ok(None);
        }
        let kind = from[1];
        let id = u16::from_be_bytes([from[2], from[3]]);
        let length = usize::from(u16::from_be_bytes([from[4], from[5]]));
        let padding = usize::from(from[6]);
        let total = HEADER_BYTES + length + padding;
        if from.len() < total {
            from.reserve(total - from.len());
            return Ok(None);
        }
        from.advance(HEADER_BYTES);
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

/// Appends a record.
pub fn record(out: &mut BytesMut, kind: u8, id: u16, content: &[u8]) {
    header(out, kind, id, content.len());
    out.put_slice(content);
}

/// Appends the end of a request; nothing follows it under this number.
pub fn end_request(out: &mut BytesMut, id: u16, app_status: u32, status: ProtocolStatus) {
    header(out, END_REQUEST, id, 8);
    out.put_u32(app_status);
    out.put_slice(&[status as u8, 0, 0, 0]);
}

/// A complete response: head and body in STDOUT records, then the end. The body is not copied.
pub fn response(id: u16, head: &[u8], mut body: Bytes, app_status: u32) -> Vec<Bytes> {
    let mut pieces = Vec::with_capacity(2 + 2 * (body.len() / MAX_STDOUT_BYTES + 1));
    let mut out = BytesMut::with_capacity(head.len() + 4 * HEADER_BYTES + 16);
    record(&mut out, STDOUT, id, head);
    while !body.is_empty() {
        let piece = body.split_to(body.len().min(MAX_STDOUT_BYTES));
        header(&mut out, STDOUT, id, piece.len());
        pieces.push(out.split().freeze());
        pieces.push(piece);
    }
    record(&mut out, STDOUT, id, &[]);
    end_request(&mut out, id, app_status, ProtocolStatus::Complete);
    pieces.push(out.freeze());
    pieces
}

/// Decodes one length of a name-value pair.
fn take_length(from: &mut &[u8]) -> Option<usize> {
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

/// Decodes name-value pairs; none where lengths and bytes do not fit.
pub fn pairs(mut from: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let mut found = Vec::new();
    while !from.is_empty() {
        let name_bytes = take_length(&mut from)?;
        let value_bytes = take_length(&mut from)?;
        let pair_bytes = name_bytes.checked_add(value_bytes)?;
        if from.len() < pair_bytes {
            return None;
        }
        let (pair, rest) = from.split_at(pair_bytes);
        found.push(pair.split_at(name_bytes));
        from = rest;
    }
    Some(found)
}

/// Appends a name-value pair.
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
