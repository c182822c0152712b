//! Frames of the framed protocol.
//!
//! In each direction, a connection begins with the preface (8 bytes), which is followed by frames. A frame consists of a
//! header of 9 bytes (payload length 32 bits, type 8 bits, stream 32 bits, big endian) and the payload. [`FrameCodec`]
//! decodes and encodes them.
mod codec;
mod kind;

pub use codec::{FrameCodec, ReadSizeHint};

use crate::messages::*;
use bytes::Bytes;

/// First bytes sent in each direction: 4 magic bytes, the major version, the minor version and 2 reserved bytes.
pub const PREFACE: [u8; 8] = *b"PSPN\x01\x02\x00\x00";
/// Length of a frame header, in bytes.
pub const FRAME_HEADER_LEN: usize = 9;
/// Maximum length of the body in a data frame, in bytes. It bounds how long one frame occupies the connection.
pub const MAX_DATA_PAYLOAD: usize = 64 * 1024;
/// Maximum length of a message other than an endpoint list, in bytes. Heads of requests and responses are small.
pub const MAX_MESSAGE: usize = 16 * 1024;
/// Maximum length of an endpoint list, in bytes; enough for some thousands of endpoints.
pub const MAX_ENDPOINT_LIST: usize = 1024 * 1024;

/// A frame. The first field of a frame that belongs to a stream is the stream number; control frames have no such field.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The head of a request; opens a stream.
    Request(u32, RequestHead),
    /// The head of a response.
    Head(u32, ResponseHead),
    /// A piece of the body of a response.
    Data(u32, Bytes),
    /// The end of a complete response.
    End(u32, EndHead),
    /// The end of a request without a complete response.
    Error(u32, ErrorHead),
    /// The caller cancels its request.
    Cancel(u32, CancelHead),
    /// Allows the receiver to send this many more bytes of body on a stream, or on the connection for stream 0.
    Credit(u32, u32),
    /// The sender no longer accepts new streams.
    Goaway(GoawayHead),
    /// An update of the endpoint list.
    EndpointList(EndpointListHead),
    /// A purge.
    Purge(PurgeHead),
    /// Acknowledges an endpoint list or a purge.
    Ack(AckHead),
    /// A ping or its echo.
    Probe(ProbeHead),
    /// Identifies the sender's process. The end that accepted the connection sends it as its first frame.
    Hello(HelloHead),
    /// The work that an endpoint in warm-up accepts from this connection for a limited time.
    Lease(LeaseHead),
    /// Requests a lease from an endpoint in warm-up (`WANT` in the specification).
    WorkRequest(WorkRequestHead),
    /// A frame of a type that this version does not know; it is skipped.
    Unknown(u8),
}

/// A violation of the frame format by the peer, or a failed connection.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The peer does not use this protocol.
    #[error("invalid preface {0:02x?}")]
    Preface([u8; 8]),
    /// The peer uses another major version.
    #[error("unsupported protocol version {0}; expected 1")]
    Version(u8),
    /// The payload of a frame is longer than its type allows.
    #[error("frame of type {kind} and {len} bytes is longer than the {max} allowed")]
    TooLong {
        /// Type of the frame.
        kind: u8,
        /// Length of the payload, in bytes.
        len: usize,
        /// Maximum payload length of this type, in bytes.
        max: usize,
    },
    /// The payload of a frame cannot be decoded as the message of its type.
    #[error("frame of type {kind} on stream {stream} cannot be read: {reason}")]
    Malformed {
        /// Type of the frame.
        kind: u8,
        /// Stream of the frame.
        stream: u32,
        /// Reason why the payload is invalid.
        reason: String,
    },
    /// The peer closed the connection within a frame; holds the number of bytes received of it.
    #[error("connection closed within a frame, after {0} bytes")]
    Truncated(usize),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
