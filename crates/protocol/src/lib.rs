//! Codecs and stream states of the protocols that this project speaks, without I/O.
//!
//! * [`frame`]: the framed, multiplexed main protocol as a [`tokio_util::codec`]. `docs/protocol.md` specifies it.
//! * [`messages`]: the payloads of its frames; unknown fields are skipped, so that later versions can add fields.
//! * [`streams`]: checks which frames a peer may send on which stream, and how many bytes of body (the credit).
//! * [`http`]: HTTP/1.1 requests and responses, parsed with `httparse`.
//! * [`range`]: byte ranges, for both protocols.
//!
//! Each length that a peer can choose is limited by a constant.
#![forbid(unsafe_code)]
#![warn(missing_docs, missing_debug_implementations)]

pub mod frame;
pub mod http;
pub mod messages;
pub mod range;
pub mod streams;

pub use frame::{Frame, FrameCodec, FrameError, ReadSizeHint, MAX_DATA_PAYLOAD, MAX_MESSAGE};
pub use messages::*;
