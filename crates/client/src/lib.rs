//! Calls dispatchers: two transports behind one interface, one final outcome for each call, at most one live attempt.
//!
//! ```no_run
//! use pointspindle_client::{Client, Outcome, Piece, Request};
//! use std::time::Duration;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::builder().framed(["127.0.0.1:8081".parse()?, "127.0.0.1:8181".parse()?]).build()?;
//! let mut call = client.call(Request::get("/video/12/a.mp4", "lesson-video", Duration::from_secs(6)))?;
//! while let Some(piece) = call.next().await {
//!     match piece {
//!         Piece::Head(head) => println!("{:?} bytes", head.size),
//!         Piece::Data(data) => println!("{} more", data.len()),
//!         Piece::End(Outcome::Served) => println!("whole"),
//!         Piece::End(Outcome::Refused { come_back }) => println!("nothing was done; again after {come_back:?}"),
//!         Piece::End(Outcome::Failed { may_have_run }) => println!("no promise; may have run: {may_have_run}"),
//!     }
//! }
//! # Ok(())
//! # }
//! ```
//!
//! **What is promised.** [`Piece::End`] comes exactly once and last, by the deadline. A call dropped before it is cancelled.
//!
//! | effect | at the same dispatcher | at another one | after that |
//! | --- | --- | --- | --- |
//! | [`Effect::Safe`] | tried again at once: it ends the try before it first | when the lost try's lease is over | as the budget of retries allows |
//! | [`Effect::Keyed`] | the same, under the same key, within two thirds of its window | the same | failed, may have run |
//! | [`Effect::Unsafe`] | only where nothing was sent or the dispatcher said that nothing ran | the same | failed, may have run |
//!
//! By the framed protocol a lost try's lease is told by the dispatcher, which cancels what runs for a client that gives no
//! sign of life for so long; the library gives them, and waits half as long again. By HTTP nothing is told: the dispatcher
//! cancels when it sees the connection close, and a quarter of a second is left for that. So what is not safe goes by the
//! framed protocol only.
//!
//! * [`call`]: the state machine of a call, without I/O.
//! * [`retry`]: budget, back-off and breakers, without I/O.
#![forbid(unsafe_code)]

pub mod call;
mod client;
mod dial;
mod framed;
mod http;
pub mod retry;

pub use call::{Effect, Outcome};
pub use client::{Builder, Call, Client, Request};
pub use pointspindle_protocol::ResponseHead;
pub use pointspindle_transport::tls::{CertificateFiles, TlsError, TrustAnchors};
pub use pointspindle_transport::Network;
pub use retry::RetryRules;

use bytes::Bytes;

/// What comes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    Head(ResponseHead),
    Data(Bytes),
    /// The last one.
    End(Outcome),
}

/// A use that cannot be right; nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Misuse {
    #[error("no dispatcher: give at least one address")]
    NoDispatcher,
    #[error("{0}: what is not safe to repeat goes by the framed protocol only")]
    EffectOverHttp(String),
    #[error("{0}: a keyed request needs a key")]
    NoKey(String),
    #[error(
        "{0:?}: an object's name begins with / and holds neither spaces nor control characters"
    )]
    Object(String),
    #[error("{object}: {field} holds a line's end")]
    Field { object: String, field: &'static str },
    #[error("{0}: a deadline of nothing")]
    Deadline(String),
}
