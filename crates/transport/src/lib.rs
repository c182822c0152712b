//! A framed connection as a pair of tokio tasks, for either end of the connection.
//!
//! A reader task validates frames with [`pointspindle_protocol::streams`] and passes them to their streams. A sender writes
//! its frame to the socket directly; a writer task writes the bytes that the socket did not accept. Bodies are subject to
//! flow control: a sender waits for credit of its stream, then for credit of the connection, then for space in the
//! writer's queue.
//!
//! Each stream has an entry in the connection's table and a buffer of at most
//! [`STREAM_WINDOW`](pointspindle_protocol::streams::STREAM_WINDOW) unread bytes; both are released when the handle of the
//! stream is dropped.
#![forbid(unsafe_code)]
#![warn(missing_docs, missing_debug_implementations)]

mod accept;
mod buffer_meter;
mod call;
mod connect;
mod connection;
mod credit;
mod frame_reader;
mod lock;
mod network;
mod retrying_io;
pub mod simulated;
mod socket;
pub mod tls;
mod writer;

pub use accept::{AcceptFailure, MAX_ACCEPT_QUEUE_FAILURES};
pub use buffer_meter::BufferMeter;
pub use call::{Call, CallEnd, Responder, ResponsePart};
pub use connect::ConnectFailure;
pub use connection::{ConnectionOptions, FramedConnection, Inbound, Incoming};
pub use frame_reader::{FrameReader, IdleState};
pub use network::{Listener, Network};
pub use retrying_io::{RetryingReadHalf, RetryingWriteHalf};
pub use socket::{ReadHalf, Socket, WriteHalf};
pub use writer::DeferredRequest;

/// Reason for which a frame could not be sent.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum ConnectionError {
    /// The connection has closed, for the given reason; no byte of the frame was sent.
    #[error("the connection is closed: {0}")]
    Closed(String),
    /// The given maximum number of streams is open; no byte of the frame was sent.
    #[error("all {0} streams of the connection are in use")]
    StreamLimitReached(usize),
    /// The peer has cancelled the stream, or the connection has closed for the given reason.
    #[error("the peer has cancelled: {0}")]
    Cancelled(String),
}
