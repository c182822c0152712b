//! Frames of the main protocol and their codec.
//!
//! A connection begins in each direction with the preface (8 bytes); then come frames: a head of 9 bytes
//! (payload length 32 bit, type 8 bit, stream 32 bit, big endian) and the payload.
use crate::messages::*;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

/// First bytes in each direction: magic, major version, minor version, two reserved.
pub const PREFACE: [u8; 8] = *b"PSPN\x01\x02\x00\x00";
const MAJOR_AT: usize = 4;
/// Length of a frame's head.
pub const FRAME_HEAD: usize = 9;
/// Most bytes of body in one frame: a frame never holds the line for long.
pub const MAX_DATA: usize = 64 * 1024;
/// Read beyond a frame that is known to come: the next one's head, or the whole of a short end. More would be the first
/// part of a next large frame, and copied.
const AHEAD: usize = 64;
/// Bodies from this size on are handed out of the buffer that they were read into.
const PINNED_FROM: usize = 8 * 1024;
/// Most bytes of a message: heads of requests and answers are small.
pub const MAX_HEAD: usize = 16 * 1024;
/// Most bytes of a member list: some thousands of members.
pub const MAX_LIST: usize = 1024 * 1024;

/// One frame. The number is the stream; control frames have none.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Request(u32, RequestHead),
    Head(u32, ResponseHead),
    Data(u32, Bytes),
    End(u32, EndHead),
    Error(u32, ErrorHead),
    Cancel(u32, CancelHead),
    /// The receiver may send so many more bytes of body; stream 0: on the connection.
    Credit(u32, u32),
    GoAway(GoAwayHead),
    EndpointList(EndpointListHead),
    Purge(PurgeHead),
    Ack(AckHead),
    Probe(ProbeHead),
    /// Who answers on this connection: its first frame.
    Hello(HelloHead),
    /// What a member that warms up takes from this connection for a while.
    Lease(LeaseHead),
    /// Asks such a member for work.
    WorkRequest(WorkRequestHead),
    /// Of a later minor version: skipped.
    Unknown(u8),
}

#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("not this protocol: the preface is {0:02x?}")]
    Preface([u8; 8]),
    #[error("protocol version {0} is not spoken here (1 is)")]
    Version(u8),
    #[error("frame of type {kind} and {len} bytes is longer than the {most} allowed")]
    TooLong { kind: u8, len: usize, most: usize },
    #[error("frame of type {kind} on stream {stream} cannot be read: {reason}")]
    Malformed {
        kind: u8,
        stream: u32,
        reason: String,
    },
    #[error("the connection ended inside a frame ({0} bytes of it had come)")]
    Truncated(usize),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

mod kind {
    pub const REQUEST: u8 = 1;
    pub const HEAD: u8 = 2;
    pub const DATA: u8 = 3;
    pub const END: u8 = 4;
    pub const ERROR: u8 = 5;
    pub const CANCEL: u8 = 6;
    pub const CREDIT: u8 = 7;
    pub const GO_AWAY: u8 = 8;
    pub const MEMBERS: u8 = 9;
    pub const PURGE: u8 = 10;
    pub const ACK: u8 = 11;
    pub const PROBE: u8 = 12;
    pub const HELLO: u8 = 13;
    pub const LEASE: u8 = 14;
    pub const WANT: u8 = 15;
}

fn most(kind: u8) -> usize {
    match kind {
        kind::DATA => MAX_DATA,
        kind::MEMBERS => MAX_LIST,
        _ => MAX_HEAD,
    }
}

/// Codec of one connection; sends and expects the preface first.
#[derive(Clone, Debug, Default)]
pub struct FrameCodec {
    preface_sent: bool,
    preface_seen: bool,
    wanted: Option<usize>,
}

/// A decoder that may know how much it waits for.
pub trait ReadSizeHint: Decoder {
    /// After a decode without a frame: bytes worth reading at once, where the frame's length is known.
    fn wanted(&self) -> Option<usize> {
        None
    }
}

impl ReadSizeHint for FrameCodec {
    fn wanted(&self) -> Option<usize> {
        self.wanted
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if !self.preface_seen {
            // Judged as far as it has come: garbage shorter than a preface must not be waited for.
            let come = src.len().min(PREFACE.len());
            if src[..come.min(MAJOR_AT)] != PREFACE[..come.min(MAJOR_AT)] {
                let mut shown = [0; 8];
                shown[..come].copy_from_slice(&src[..come]);
                return Err(FrameError::Preface(shown));
            }
            if src.len() < PREFACE.len() {
                return Ok(None);
            }
            if src[MAJOR_AT] != PREFACE[MAJOR_AT] {
                return Err(FrameError::Version(src[MAJOR_AT]));
            }
            src.advance(PREFACE.len());
            self.preface_seen = true;
        }
        self.wanted = None;
        if src.len() < FRAME_HEAD {
            return Ok(None);
        }
        let len = u32::from_be_bytes([src[0], src[1], src[2], src[3]]) as usize;
        let kind = src[4];
        if len > most(kind) {
            return Err(FrameError::TooLong {
                kind,
                len,
                most: most(kind),
            });
        }
        if src.len() < FRAME_HEAD + len {
            self.wanted = Some(FRAME_HEAD + len - src.len() + AHEAD);
            return Ok(None);
        }
        let stream = u32::from_be_bytes([src[5], src[6], src[7], src[8]]);
        src.advance(FRAME_HEAD);
        let payload = src.split_to(len).freeze();
        read(kind, stream, payload).map(Some)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        match self.decode(src)? {
            Some(frame) => Ok(Some(frame)),
            None if src.is_empty() => Ok(None),
            None => Err(FrameError::Truncated(src.len())),
        }
    }
}

fn read(kind: u8, stream: u32, payload: Bytes) -> Result<Frame, FrameError> {
    let bad = |reason: String| FrameError::Malformed {
        kind,
        stream,
        reason,
    };
    fn message<M: Message + Default>(payload: Bytes) -> Result<M, String> {
        M::decode(payload).map_err(|e| e.to_string())
    }
    let on_stream = matches!(kind, kind::REQUEST..=kind::CANCEL);
    if on_stream && stream == 0 {
        return Err(bad("stream 0 carries no requests".into()));
    }
    Ok(match kind {
        kind::REQUEST => Frame::Request(stream, message(payload).map_err(bad)?),
        kind::HEAD => Frame::Head(stream, message(payload).map_err(bad)?),
        // A small piece must not keep the whole buffer that it was read into while a slow reader sits on it.
        kind::DATA if payload.len() < PINNED_FROM => {
            Frame::Data(stream, Bytes::copy_from_slice(&payload))
        }
        kind::DATA => Frame::Data(stream, payload),
        kind::END => Frame::End(stream, message(payload).map_err(bad)?),
        kind::ERROR => Frame::Error(stream, message(payload).map_err(bad)?),
        kind::CANCEL => Frame::Cancel(stream, message(payload).map_err(bad)?),
        kind::CREDIT => {
            let four: [u8; 4] = payload
                .as_ref()
                .try_into()
                .map_err(|_| bad("credit has 4 bytes".into()))?;
            Frame::Credit(stream, u32::from_be_bytes(four))
        }
        kind::GO_AWAY => Frame::GoAway(message(payload).map_err(bad)?),
        kind::MEMBERS => Frame::EndpointList(message(payload).map_err(bad)?),
        kind::PURGE => Frame::Purge(message(payload).map_err(bad)?),
        kind::ACK => Frame::Ack(message(payload).map_err(bad)?),
        kind::PROBE => Frame::Probe(message(payload).map_err(bad)?),
        kind::HELLO => Frame::Hello(message(payload).map_err(bad)?),
        kind::LEASE => Frame::Lease(message(payload).map_err(bad)?),
        kind::WANT => Frame::WorkRequest(message(payload).map_err(bad)?),
        other => Frame::Unknown(other),
    })
}

fn head(kind: u8, stream: u32, len: usize, dst: &mut BytesMut) -> Result<(), FrameError> {
    if len > most(kind) {
        return Err(FrameError::TooLong {
            kind,
            len,
            most: most(kind),
        });
    }
    dst.reserve(FRAME_HEAD);
    dst.put_u32(len as u32);
    dst.put_u8(kind);
    dst.put_u32(stream);
    Ok(())
}

impl FrameCodec {
    /// Writes all of a data frame but its body, for a sender that hands the body to the socket as it lies.
    pub fn encode_data_head(
        &mut self,
        stream: u32,
        body: usize,
        dst: &mut BytesMut,
    ) -> Result<(), FrameError> {
        self.begin(dst);
        head(kind::DATA, stream, body, dst)
    }

    fn begin(&mut self, dst: &mut BytesMut) {
        if !self.preface_sent {
            dst.put_slice(&PREFACE);
            self.preface_sent = true;
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), FrameError> {
        self.begin(dst);
        let mut put = |kind: u8, stream: u32, message: &dyn Encodable| -> Result<(), FrameError> {
            head(kind, stream, message.length(), dst)?;
            message.put(dst);
            Ok(())
        };
        match &frame {
            Frame::Request(s, m) => put(kind::REQUEST, *s, m),
            Frame::Head(s, m) => put(kind::HEAD, *s, m),
            Frame::End(s, m) => put(kind::END, *s, m),
            Frame::Error(s, m) => put(kind::ERROR, *s, m),
            Frame::Cancel(s, m) => put(kind::CANCEL, *s, m),
            Frame::GoAway(m) => put(kind::GO_AWAY, 0, m),
            Frame::EndpointList(m) => put(kind::MEMBERS, 0, m),
            Frame::Purge(m) => put(kind::PURGE, 0, m),
            Frame::Ack(m) => put(kind::ACK, 0, m),
            Frame::Probe(m) => put(kind::PROBE, 0, m),
            Frame::Hello(m) => put(kind::HELLO, 0, m),
            Frame::Lease(m) => put(kind::LEASE, 0, m),
            Frame::WorkRequest(m) => put(kind::WANT, 0, m),
            Frame::Data(s, data) => {
                head(kind::DATA, *s, data.len(), dst)?;
                dst.put_slice(data);
                Ok(())
            }
            Frame::Credit(s, more) => {
                head(kind::CREDIT, *s, 4, dst)?;
                dst.put_u32(*more);
                Ok(())
            }
            Frame::Unknown(kind) => head(*kind, 0, 0, dst),
        }
    }
}

/// What the encoder needs of a message, so that one closure serves them all.
trait Encodable {
    fn length(&self) -> usize;
    fn put(&self, dst: &mut BytesMut);
}

impl<M: Message> Encodable for M {
    fn length(&self) -> usize {
        self.encoded_len()
    }
    fn put(&self, dst: &mut BytesMut) {
        self.encode(dst).expect("room for it was reserved");
    }
}
