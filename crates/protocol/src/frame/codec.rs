//! Decodes and encodes the frames of one connection.
use super::{kind, Frame, FrameError, FRAME_HEADER_LEN, PREFACE};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

/// Offset of the major version in the preface.
const MAJOR_VERSION_OFFSET: usize = 4;
/// Number of bytes to read beyond a frame of known length: enough for the next frame's header or a complete short end
/// frame. Reading more could receive the first part of a large next frame, which would then have to be copied.
const READ_AHEAD: usize = 64;
/// Smallest body, in bytes, that shares the buffer that it was read into; shorter ones are copied.
const MIN_SHARED_BODY: usize = 8 * 1024;

/// A decoder that may know how many bytes it still needs.
pub trait ReadSizeHint: Decoder {
    /// Returns the number of bytes worth reading at once after a decode that returned no frame; `None` if the length of
    /// the frame is not known.
    fn read_size_hint(&self) -> Option<usize> {
        None
    }
}

/// Codec of one connection. It sends the preface before the first frame and expects the same from the peer.
#[derive(Clone, Debug, Default)]
pub struct FrameCodec {
    preface_sent: bool,
    preface_received: bool,
    read_size_hint: Option<usize>,
}

impl ReadSizeHint for FrameCodec {
    fn read_size_hint(&self) -> Option<usize> {
        self.read_size_hint
    }
}

/// The header of a frame.
struct FrameHeader {
    payload_len: usize,
    kind: u8,
    stream: u32,
}

impl FrameHeader {
    /// Parses a header; `None` if `src` does not hold a complete one yet.
    fn parse(src: &[u8]) -> Option<Self> {
        let header = src.first_chunk::<FRAME_HEADER_LEN>()?;
        Some(Self {
            payload_len: u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize,
            kind: header[4],
            stream: u32::from_be_bytes([header[5], header[6], header[7], header[8]]),
        })
    }

    fn write(&self, dst: &mut BytesMut) -> Result<(), FrameError> {
        self.check_length()?;
        dst.reserve(FRAME_HEADER_LEN);
        dst.put_u32(self.payload_len as u32);
        dst.put_u8(self.kind);
        dst.put_u32(self.stream);
        Ok(())
    }

    fn check_length(&self) -> Result<(), FrameError> {
        let max = kind::max_payload(self.kind);
        if self.payload_len > max {
            return Err(FrameError::TooLong {
                kind: self.kind,
                len: self.payload_len,
                max,
            });
        }
        Ok(())
    }

    fn malformed(&self, reason: impl ToString) -> FrameError {
        FrameError::Malformed {
            kind: self.kind,
            stream: self.stream,
            reason: reason.to_string(),
        }
    }

    fn message<M: Message + Default>(&self, payload: Bytes) -> Result<M, FrameError> {
        M::decode(payload).map_err(|error| self.malformed(error))
    }

    /// Returns the frame with this header and payload.
    fn frame(&self, payload: Bytes) -> Result<Frame, FrameError> {
        if kind::belongs_to_stream(self.kind) && self.stream == 0 {
            return Err(self.malformed("frame type requires a stream other than 0"));
        }
        let stream = self.stream;
        Ok(match self.kind {
            kind::REQUEST => Frame::Request(stream, self.message(payload)?),
            kind::HEAD => Frame::Head(stream, self.message(payload)?),
            kind::DATA => Frame::Data(stream, copy_if_small(payload)),
            kind::END => Frame::End(stream, self.message(payload)?),
            kind::ERROR => Frame::Error(stream, self.message(payload)?),
            kind::CANCEL => Frame::Cancel(stream, self.message(payload)?),
            kind::CREDIT => Frame::Credit(stream, self.credit(&payload)?),
            kind::GOAWAY => Frame::Goaway(self.message(payload)?),
            kind::ENDPOINT_LIST => Frame::EndpointList(self.message(payload)?),
            kind::PURGE => Frame::Purge(self.message(payload)?),
            kind::ACK => Frame::Ack(self.message(payload)?),
            kind::PROBE => Frame::Probe(self.message(payload)?),
            kind::HELLO => Frame::Hello(self.message(payload)?),
            kind::LEASE => Frame::Lease(self.message(payload)?),
            kind::WORK_REQUEST => Frame::WorkRequest(self.message(payload)?),
            other => Frame::Unknown(other),
        })
    }

    fn credit(&self, payload: &[u8]) -> Result<u32, FrameError> {
        let bytes: [u8; 4] = payload
            .try_into()
            .map_err(|_| self.malformed("credit payload must have 4 bytes"))?;
        Ok(u32::from_be_bytes(bytes))
    }
}

/// Copies a small body. Without the copy, the complete read buffer would stay allocated until a slow reader consumes the
/// body.
fn copy_if_small(body: Bytes) -> Bytes {
    if body.len() < MIN_SHARED_BODY {
        return Bytes::copy_from_slice(&body);
    }
    body
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if !self.preface_received {
            self.preface_received = take_preface(src)?;
            if !self.preface_received {
                return Ok(None);
            }
        }
        self.read_size_hint = None;
        let Some(header) = FrameHeader::parse(src) else {
            return Ok(None);
        };
        header.check_length()?;
        let frame_len = FRAME_HEADER_LEN + header.payload_len;
        if src.len() < frame_len {
            self.read_size_hint = Some(frame_len - src.len() + READ_AHEAD);
            return Ok(None);
        }
        src.advance(FRAME_HEADER_LEN);
        let payload = src.split_to(header.payload_len).freeze();
        header.frame(payload).map(Some)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        match self.decode(src)? {
            Some(frame) => Ok(Some(frame)),
            None if src.is_empty() => Ok(None),
            None => Err(FrameError::Truncated(src.len())),
        }
    }
}

/// Removes the preface from `src`; returns false if it is not complete yet. The magic bytes received so far are checked
/// at once, because a peer of another protocol may send less than a preface and then wait.
fn take_preface(src: &mut BytesMut) -> Result<bool, FrameError> {
    let received = src.len().min(PREFACE.len());
    let magic = received.min(MAJOR_VERSION_OFFSET);
    if src[..magic] != PREFACE[..magic] {
        let mut shown = [0; PREFACE.len()];
        shown[..received].copy_from_slice(&src[..received]);
        return Err(FrameError::Preface(shown));
    }
    if src.len() < PREFACE.len() {
        return Ok(false);
    }
    let major_version = src[MAJOR_VERSION_OFFSET];
    if major_version != PREFACE[MAJOR_VERSION_OFFSET] {
        return Err(FrameError::Version(major_version));
    }
    src.advance(PREFACE.len());
    Ok(true)
}

impl FrameCodec {
    /// Writes the header of a data frame, for a sender that passes the body to the socket without copying it. `body` is
    /// the length of the body in bytes.
    pub fn encode_data_header(
        &mut self,
        stream: u32,
        body: usize,
        dst: &mut BytesMut,
    ) -> Result<(), FrameError> {
        self.put_preface_once(dst);
        put_header(kind::DATA, stream, body, dst)
    }

    fn put_preface_once(&mut self, dst: &mut BytesMut) {
        if !self.preface_sent {
            dst.put_slice(&PREFACE);
            self.preface_sent = true;
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), FrameError> {
        self.put_preface_once(dst);
        match &frame {
            Frame::Request(stream, head) => put_message(kind::REQUEST, *stream, head, dst),
            Frame::Head(stream, head) => put_message(kind::HEAD, *stream, head, dst),
            Frame::Data(stream, body) => put_bytes(kind::DATA, *stream, body, dst),
            Frame::End(stream, end) => put_message(kind::END, *stream, end, dst),
            Frame::Error(stream, error) => put_message(kind::ERROR, *stream, error, dst),
            Frame::Cancel(stream, cancel) => put_message(kind::CANCEL, *stream, cancel, dst),
            Frame::Credit(stream, more) => {
                put_bytes(kind::CREDIT, *stream, &more.to_be_bytes(), dst)
            }
            Frame::Goaway(head) => put_message(kind::GOAWAY, 0, head, dst),
            Frame::EndpointList(list) => put_message(kind::ENDPOINT_LIST, 0, list, dst),
            Frame::Purge(purge) => put_message(kind::PURGE, 0, purge, dst),
            Frame::Ack(ack) => put_message(kind::ACK, 0, ack, dst),
            Frame::Probe(probe) => put_message(kind::PROBE, 0, probe, dst),
            Frame::Hello(hello) => put_message(kind::HELLO, 0, hello, dst),
            Frame::Lease(lease) => put_message(kind::LEASE, 0, lease, dst),
            Frame::WorkRequest(request) => put_message(kind::WORK_REQUEST, 0, request, dst),
            Frame::Unknown(kind) => put_header(*kind, 0, 0, dst),
        }
    }
}

fn put_header(
    kind: u8,
    stream: u32,
    payload_len: usize,
    dst: &mut BytesMut,
) -> Result<(), FrameError> {
    let header = FrameHeader {
        payload_len,
        kind,
        stream,
    };
    header.write(dst)
}

fn put_bytes(kind: u8, stream: u32, payload: &[u8], dst: &mut BytesMut) -> Result<(), FrameError> {
    put_header(kind, stream, payload.len(), dst)?;
    dst.put_slice(payload);
    Ok(())
}

fn put_message(
    kind: u8,
    stream: u32,
    message: &impl Message,
    dst: &mut BytesMut,
) -> Result<(), FrameError> {
    put_header(kind, stream, message.encoded_len(), dst)?;
    message.encode(dst).expect("a BytesMut grows as needed");
    Ok(())
}
