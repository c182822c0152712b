//! FastCGI 1.0: decodes the records of a web server and encodes those of a responder.
use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// Version of the protocol.
pub const VERSION: u8 = 1;
/// Length of a record header.
pub(crate) const HEADER_BYTES: usize = 8;

/// Type of the record that begins a request.
pub const BEGIN_REQUEST: u8 = 1;
/// Type of the record that cancels a request.
pub const ABORT_REQUEST: u8 = 2;
/// Type of the record that ends a request.
pub const END_REQUEST: u8 = 3;
/// Type of the records of a request's params.
pub const PARAMS: u8 = 4;
/// Type of the records of a request's body.
pub const STDIN: u8 = 5;
/// Type of the records of a response.
pub const STDOUT: u8 = 6;
/// Type of the record that queries values of the application.
pub const GET_VALUES: u8 = 9;
/// Type of the reply to [`GET_VALUES`].
pub const GET_VALUES_RESULT: u8 = 10;
/// Type of the reply to a record of an unknown type.
pub const UNKNOWN_TYPE: u8 = 11;

/// Role of a responder, the only one that is supported.
pub const RESPONDER: u16 = 1;
/// Flag of a begin record: the connection stays open after the request.
pub const KEEP_CONN: u8 = 1;

/// Protocol status in an [`END_REQUEST`] record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// The request was served.
    Complete = 0,
    /// The request was rejected because too many requests are open.
    Overloaded = 2,
    /// The request was rejected because its role is not supported.
    UnknownRole = 3,
}

/// Largest content that is kept of a record outside the streams: the eight bytes of a begin record, or the names in a
/// query of values.
pub const MAX_CONTROL_CONTENT_BYTES: usize = 1024;

/// Largest content of one STDOUT record: a multiple of eight bytes, as the specification recommends.
const MAX_STDOUT_BYTES: usize = 65_528;

/// A decoded record, or a part of a record that belongs to a stream ([`PARAMS`], [`STDIN`] or [`STDOUT`]).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Type of the record.
    pub record_type: u8,
    /// Id of the request that the record belongs to; 0 for a management record.
    pub id: u16,
    /// Content of the record, without padding. That of a record outside the streams ends at
    /// [`MAX_CONTROL_CONTENT_BYTES`].
    pub content: Bytes,
    /// Length of the content as it was received.
    pub received_bytes: usize,
}

/// Error that ends the decoding of a connection.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The version byte is not [`VERSION`]: the peer uses another version or another protocol.
    #[error("unsupported FastCGI version {0}, expected {VERSION}")]
    Version(u8),
    /// Reading from the connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A record whose header is decoded.
#[derive(Clone, Copy, Debug)]
struct RecordHeader {
    record_type: u8,
    id: u16,
    content_bytes: usize,
    padding_bytes: usize,
}

impl RecordHeader {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        Some(Self {
            record_type: bytes[1],
            id: u16::from_be_bytes([bytes[2], bytes[3]]),
            content_bytes: usize::from(u16::from_be_bytes([bytes[4], bytes[5]])),
            padding_bytes: usize::from(bytes[6]),
        })
    }

    /// Whether the record has content of a stream, which may be handled in any number of parts. An empty record ends
    /// its stream.
    fn has_stream_content(self) -> bool {
        matches!(self.record_type, PARAMS | STDIN | STDOUT) && self.content_bytes > 0
    }

    fn record(self, content: Bytes, received_bytes: usize) -> Record {
        Record {
            record_type: self.record_type,
            id: self.id,
            content,
            received_bytes,
        }
    }
}

/// Decodes records. Content of a stream is returned as it arrives, in parts, so a buffer from which this codec has
/// decoded all it can holds at most [`MAX_CONTROL_CONTENT_BYTES`] and a header.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordCodec {
    /// The stream record whose content is being received.
    stream: Option<RecordHeader>,
    /// Number of received bytes to be dropped: padding, and content beyond [`MAX_CONTROL_CONTENT_BYTES`].
    dropped_bytes: usize,
}

impl RecordCodec {
    /// Drops received bytes. Returns whether there are none left to drop.
    fn drop_received(&mut self, from: &mut BytesMut) -> bool {
        let dropped = self.dropped_bytes.min(from.len());
        from.advance(dropped);
        self.dropped_bytes -= dropped;
        self.dropped_bytes == 0
    }

    /// Returns the received part of the content of a stream record.
    fn stream_part(&mut self, mut header: RecordHeader, from: &mut BytesMut) -> Option<Record> {
        if from.is_empty() {
            return None;
        }
        let received = header.content_bytes.min(from.len());
        header.content_bytes -= received;
        self.stream = (header.content_bytes > 0).then_some(header);
        if self.stream.is_none() {
            self.dropped_bytes = header.padding_bytes;
        }
        let content = from.split_to(received).freeze();
        Some(header.record(content, received))
    }

    /// Returns a record that is not part of a stream, or the empty record that ends one.
    fn control_record(&mut self, header: RecordHeader, from: &mut BytesMut) -> Option<Record> {
        let kept_bytes = header.content_bytes.min(MAX_CONTROL_CONTENT_BYTES);
        if from.len() < HEADER_BYTES + kept_bytes {
            return None;
        }
        from.advance(HEADER_BYTES);
        let content = from.split_to(kept_bytes).freeze();
        self.dropped_bytes = header.content_bytes - kept_bytes + header.padding_bytes;
        Some(header.record(content, header.content_bytes))
    }
}

impl Decoder for RecordCodec {
    type Item = Record;
    type Error = RecordError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Record>, RecordError> {
        if !self.drop_received(from) {
            return Ok(None);
        }
        if let Some(header) = self.stream {
            return Ok(self.stream_part(header, from));
        }
        let Some(version) = from.first() else {
            return Ok(None);
        };
        if *version != VERSION {
            return Err(RecordError::Version(*version));
        }
        let Some(header) = RecordHeader::parse(from) else {
            return Ok(None);
        };
        if !header.has_stream_content() {
            return Ok(self.control_record(header, from));
        }
        from.advance(HEADER_BYTES);
        self.stream = Some(header);
        Ok(self.stream_part(header, from))
    }
}

fn header(out: &mut BytesMut, record_type: u8, id: u16, length: usize) {
    out.put_slice(&[VERSION, record_type]);
    out.put_u16(id);
    out.put_u16(length as u16);
    out.put_slice(&[0, 0]);
}

/// Appends a record.
pub fn write_record(out: &mut BytesMut, record_type: u8, id: u16, content: &[u8]) {
    header(out, record_type, id, content.len());
    out.put_slice(content);
}

/// Appends the record that ends a request. It must be the last record with this request id.
pub fn write_end_request(out: &mut BytesMut, id: u16, app_status: u32, status: ProtocolStatus) {
    header(out, END_REQUEST, id, 8);
    out.put_u32(app_status);
    out.put_slice(&[status as u8, 0, 0, 0]);
}

/// Encodes a complete response: head and body in STDOUT records, then the end record. The body is not copied.
pub fn encode_response(id: u16, head: &[u8], mut body: Bytes, app_status: u32) -> Vec<Bytes> {
    let mut pieces = Vec::with_capacity(2 + 2 * (body.len() / MAX_STDOUT_BYTES + 1));
    let mut out = BytesMut::with_capacity(head.len() + 4 * HEADER_BYTES + 16);
    write_record(&mut out, STDOUT, id, head);
    while !body.is_empty() {
        let piece = body.split_to(body.len().min(MAX_STDOUT_BYTES));
        header(&mut out, STDOUT, id, piece.len());
        pieces.push(out.split().freeze());
        pieces.push(piece);
    }
    write_record(&mut out, STDOUT, id, &[]);
    write_end_request(&mut out, id, app_status, ProtocolStatus::Complete);
    pieces.push(out.freeze());
    pieces
}

/// Decodes the length of a name or a value: one byte, or four bytes if the highest bit is set.
fn take_length(from: &mut &[u8]) -> Option<usize> {
    let first = *from.first()?;
    if first < 0x80 {
        from.advance(1);
        return Some(first.into());
    }
    let bytes = from.get(..4)?;
    let length = u32::from_be_bytes([bytes[0] & 0x7f, bytes[1], bytes[2], bytes[3]]);
    from.advance(4);
    Some(length as usize)
}

/// Decodes name-value pairs. Returns `None` if a length exceeds the remaining bytes.
pub fn decode_pairs(mut from: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let mut pairs = Vec::new();
    while !from.is_empty() {
        let name_bytes = take_length(&mut from)?;
        let value_bytes = take_length(&mut from)?;
        let pair_bytes = name_bytes.checked_add(value_bytes)?;
        if from.len() < pair_bytes {
            return None;
        }
        let (pair, rest) = from.split_at(pair_bytes);
        pairs.push(pair.split_at(name_bytes));
        from = rest;
    }
    Some(pairs)
}

/// Appends a name-value pair.
pub fn write_pair(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, value] {
        match part.len() {
            short @ ..0x80 => out.put_u8(short as u8),
            long => out.put_u32(long as u32 | 0x8000_0000),
        }
    }
    out.put_slice(name);
    out.put_slice(value);
}
