//! Calls dispatchers by the framed protocol or HTTP/1.1, behind one interface.
//!
//! ```no_run
//! use pointspindle_client::{Client, Outcome, CallEvent, Request};
//! use std::time::Duration;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::builder().framed(["127.0.0.1:8081".parse()?, "127.0.0.1:8181".parse()?]).build()?;
//! let mut call = client.call(Request::get("/video/12/a.mp4", "lesson-video", Duration::from_secs(6)))?;
//! while let Some(piece) = call.next().await {
//!     match piece {
//!         CallEvent::Head(head) => println!("{:?} bytes", head.size),
//!         CallEvent::Data(data) => println!("{} more", data.len()),
//!         CallEvent::End(Outcome::Served) => println!("complete"),
//!         CallEvent::End(Outcome::Rejected { retry_after }) => println!("nothing was done; retry after {retry_after:?}"),
//!         CallEvent::End(Outcome::Failed { may_have_run }) => println!("failed; may have run: {may_have_run}"),
//!     }
//! }
//! # Ok(())
//! # }
//! ```
//!
//! # Guarantee
//!
//! Each call has **one final outcome**, and **at most one live attempt** at any time: [`CallEvent::End`] comes exactly once
//! and last, by the deadline. A call dropped before it is cancelled. The test
//! `every_call_has_one_outcome_and_at_most_one_live_attempt` (`src/call_state/tests.rs`) shows it for random ends of
//! attempts, and `tests/cuts/` for real dispatchers behind connections that are cut.
//!
//! # Retries
//!
//! | idempotency | at the same dispatcher | at another one | otherwise |
//! | --- | --- | --- | --- |
//! | [`Idempotency::Idempotent`] | at once: it ends the lost attempt first | when the lost attempt's lease is over | as the retry budget allows |
//! | [`Idempotency::WithKey`] | the same, under the same key, within two thirds of its window | the same | failed, may have run |
//! | [`Idempotency::NotIdempotent`] | only where nothing was sent or the dispatcher said that nothing ran | the same | failed, may have run |
//!
//! By the framed protocol the dispatcher announces a lease: it cancels the attempts of a client that has been silent for
//! so long. The client sends keep-alive probes while a call is under way, and counts half as much again on top of the
//! lease. By HTTP there is no lease: the dispatcher cancels when it sees the connection close, for which the client
//! allows a quarter of a second. Requests that are not idempotent therefore go by the framed protocol only.
//!
//! # Modules
//!
//! * [`call_state`]: the state machine of a call, without I/O.
//! * [`retry`]: retry budget, backoff and circuit breakers, without I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod builder;
mod call;
pub mod call_state;
mod channel;
mod client;
mod connector;
mod error;
mod framed;
mod http;
mod request;
pub mod retry;

pub use builder::ClientBuilder;
pub use call::Call;
pub use call_state::Outcome;
pub use client::{Client, FetchedResponse};
pub use error::{BuildError, ConnectError, RequestError};
pub use pointspindle_protocol::ResponseHead;
pub use pointspindle_transport::tls::{CertificateFiles, TlsError, TrustAnchors};
pub use pointspindle_transport::Network;
pub use request::{Idempotency, Request};
pub use retry::RetryPolicy;

use bytes::Bytes;

/// A piece of a call's response.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The response's head; at most once, before any data.
    Head(ResponseHead),
    /// The next bytes of the body.
    Data(Bytes),
    /// How the call ended; exactly once, and last.
    End(Outcome),
}
