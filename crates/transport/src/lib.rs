//! One framed connection as a pair of tokio tasks, for either end of it.
//!
//! A reader task checks frames with [`pointspindle_protocol::streams`] and passes them to their streams; a writer task writes
//! what the socket did not accept when the frame's own sender wrote it. Bodies are sent under credit: a sender waits for its
//! stream's credit, then for the connection's, then for space in the writer's queue.
//!
//! State of each stream: an entry in one table and an unread buffer of at most
//! [`STREAM_WINDOW`](pointspindle_protocol::streams::STREAM_WINDOW) bytes; both are released when its handle is dropped.
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

/// Why a frame could not be sent.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum ConnectionError {
    /// The connection has closed; nothing was sent.
    #[error("the connection is closed: {0}")]
    Closed(String),
    /// Too many streams are open; nothing was sent.
    #[error("all {0} streams of the connection are in use")]
    NoStream(usize),
    /// The peer has cancelled the stream.
    #[error("the peer has cancelled: {0}")]
    Cancelled(String),
}
