//! The protocols of the edge, without I/O.
//!
//! * [`frame`]: the framed, multiplexed main protocol as a [`tokio_util::codec`]. `docs/protocol.md` specifies it.
//! * [`messages`]: what its frame heads carry; unknown fields are skipped, so heads may grow.
//! * [`streams`]: which frames a peer may send on which stream, and how many bytes (the credit).
//! * [`http`]: HTTP/1.1 requests and answers beside it, over `httparse`.
//!
//! Every length that comes from a peer is limited; the limits stand as constants with their reason.
#![forbid(unsafe_code)]

pub mod frame;
pub mod http;
pub mod messages;
pub mod range;
pub mod streams;

pub use frame::{Frame, FrameCodec, FrameError, ReadSizeHint, MAX_DATA, MAX_HEAD};
pub use messages::*;
