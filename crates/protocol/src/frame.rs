//! Frames of the main protocol.
//!
//! A connection begins in each direction with the preface (8 bytes); then come frames: a frame head of 9 bytes (payload
//! length 32 bit, type 8 bit, stream 32 bit, big endian) and the payload. [`FrameCodec`] reads and writes them.
mod codec;
mod kind;

pub use codec::{FrameCodec, ReadSizeHint};

use crate::messages::*;
use bytes::Bytes;

/// First bytes in each direction: magic, major version, minor version, two reserved.
pub const PREFACE: [u8; 8] = *b"PSPN\x01\x02\x00\x00";
/// Length of a frame's head in bytes.
pub const FRAME_HEAD: usize = 9;
/// Most bytes of body in one frame, so that one frame never occupies the connection for long.
pub const MAX_DATA: usize = 64 * 1024;
/// Most bytes of a message: heads of requests and responses are small.
pub const MAX_HEAD: usize = 16 * 1024;
/// Most bytes of an endpoint list: some thousands of endpoints.
pub const MAX_LIST: usize = 1024 * 1024;

/// One frame. The first field of a stream's frame is the stream's number; control frames have none.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Opens a stream.
    Request(u32, RequestHead),
    /// The head of a response.
    Head(u32, ResponseHead),
    /// A piece of a response's body.
    Data(u32, Bytes),
    /// The end of a complete response.
    End(u32, EndHead),
    /// The end of a request without a complete response.
    Error(u32, ErrorHead),
    /// The caller needs nothing more of the stream.
    Cancel(u32, CancelHead),
    /// The receiver may send this many more bytes of body on the stream; stream 0: on the connection.
    Credit(u32, u32),
    /// The sender accepts no new streams.
    Goaway(GoawayHead),
    /// An update of the endpoint list.
    EndpointList(EndpointListHead),
    /// A purge.
    Purge(PurgeHead),
    /// Acknowledges an endpoint list or a purge.
    Ack(AckHead),
    /// A ping or its echo.
    Probe(ProbeHead),
    /// Identifies the process that answers on this connection; its first frame.
    Hello(HelloHead),
    /// The work that a warming endpoint accepts from this connection for a while.
    Lease(LeaseHead),
    /// Requests a lease from a warming endpoint (`WANT` in the specification).
    WorkRequest(WorkRequestHead),
    /// A type of a later minor version, which is skipped.
    Unknown(u8),
}

/// A peer's bytes that are not the protocol, or a connection that failed.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The peer does not speak the protocol.
    #[error("not this protocol: the preface is {0:02x?}")]
    Preface([u8; 8]),
    /// The peer speaks another major version.
    #[error("protocol version {0} is not spoken here (1 is)")]
    Version(u8),
    /// A frame's payload is longer than its type allows.
    #[error("frame of type {kind} and {len} bytes is longer than the {max} allowed")]
    TooLong {
        /// The frame's type.
        kind: u8,
        /// Length of the payload.
        len: usize,
        /// Longest payload of this type.
        max: usize,
    },
    /// A frame's payload is not the message of its type.
    #[error("frame of type {kind} on stream {stream} cannot be read: {reason}")]
    Malformed {
        /// The frame's type.
        kind: u8,
        /// The frame's stream.
        stream: u32,
        /// What is wrong with the payload.
        reason: String,
    },
    /// The peer closed the connection inside a frame.
    #[error("the connection ended inside a frame ({0} bytes of it had come)")]
    Truncated(usize),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
