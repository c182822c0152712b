//! One framed connection as a pair of tokio tasks, for either end of it.
//!
//! A reader task judges frames with [`pointspindle_protocol::streams`] and hands them to their streams; a writer
//! task does what the socket did not take when the frame's own sender wrote it. Bodies are sent under credit: a sender
//! waits for its stream's, then for the connection's, then for room at the writer.
//!
//! Kept for each stream: an entry in one table and an unread buffer of at most
//! [`STREAM_WINDOW`](pointspindle_protocol::streams::STREAM_WINDOW) bytes; both are forgotten when its handle is dropped.
#![forbid(unsafe_code)]

mod accept;
mod call;
mod connect;
mod credit;
mod line;
mod meter;
mod reader;
pub mod simulated;
mod steady;
mod tasks;
pub mod tls;
mod writer;

pub use accept::AcceptFailure;
pub use call::{Call, CallEnd, Responder, ResponsePart};
pub use connect::ConnectFailure;
pub use line::{Listener, Network, ReadHalf, Socket, WriteHalf};
pub use meter::BufferMeter;
pub use reader::{FrameReader, IdleState};
pub use steady::{SteadyRead, SteadyWrite};
pub use tasks::{ConnectionOptions, FramedConnection, Inbound, Incoming};
pub use writer::DeferredRequest;

/// Why nothing could be sent, or nothing more will come.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum ConnectionError {
    /// Nothing was sent.
    #[error("the connection is closed: {0}")]
    Closed(String),
    /// Nothing was sent.
    #[error("all {0} streams of the connection are in use")]
    NoStream(usize),
    /// The peer wants nothing more of this stream.
    #[error("the peer has cancelled: {0}")]
    Cancelled(String),
}
