//! Client for dispatchers, with one interface for the framed protocol and HTTP/1.1.
//!
//! ```no_run
//! use pointspindle_client::{Client, Outcome, CallEvent, Request};
//! use std::time::Duration;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::builder().framed(["127.0.0.1:8081".parse()?, "127.0.0.1:8181".parse()?]).build()?;
//! let mut call = client.call(Request::get("/video/12/a.mp4", "lesson-video", Duration::from_secs(6)))?;
//! while let Some(event) = call.next().await {
//!     match event {
//!         CallEvent::Head(head) => println!("{:?} bytes", head.size),
//!         CallEvent::Data(data) => println!("{} more", data.len()),
//!         CallEvent::End(Outcome::Served) => println!("complete"),
//!         CallEvent::End(Outcome::Rejected { retry_after }) => println!("rejected; retry after {retry_after:?}"),
//!         CallEvent::End(Outcome::Failed { may_have_run }) => println!("failed; may have run: {may_have_run}"),
//!     }
//! }
//! # Ok(())
//! # }
//! ```
//!
//! # Guarantee
//!
//! Each call has **one final outcome**, and **at most one live attempt** at any time. [`CallEvent::End`] is returned exactly
//! once, as the last event, by the deadline. A call that is dropped before its end is cancelled. The test
//! `every_call_has_one_outcome_and_at_most_one_live_attempt` (`src/call_state/tests.rs`) checks this for random attempt
//! results, and `tests/cuts/` checks it for real dispatchers whose client connections are cut.
//!
//! # Retries
//!
//! | idempotency | at the same dispatcher | at another dispatcher | outcome if an attempt may have run and no retry follows |
//! | --- | --- | --- | --- |
//! | [`Idempotency::Idempotent`] | after a backoff; the dispatcher ends the lost attempt first | after the lost attempt's lease has expired | rejected |
//! | [`Idempotency::WithKey`] | as above, with the same key, within two thirds of its window | as above, with the same key, within two thirds of its window | failed, may have run |
//! | [`Idempotency::NotIdempotent`] | only if the request was not sent, or the dispatcher reported that it did not run | on the same conditions | failed, may have run |
//!
//! Every retry of a request that was sent takes one retry from the budget of the [`RetryPolicy`]. A call whose response
//! has begun is not retried, and a call whose deadline passes during an attempt fails with `may_have_run`.
//!
//! With the framed protocol, the dispatcher announces a lease: it cancels the attempts of a client from which it has
//! received no frame for that time. The client sends keep-alive probes while a call is in progress, and waits for one and
//! a half times the lease. HTTP has no lease: the dispatcher cancels an attempt when it sees the connection close, and the
//! client allows 250 ms for that. Requests that are not idempotent are therefore sent over the framed protocol only.
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
pub use pointspindle_transport::tls::{CertificateFiles, ClientTls, TlsError};
pub use pointspindle_transport::Network;
pub use request::{Idempotency, Request};
pub use retry::RetryPolicy;

use bytes::Bytes;

/// An event of a call: a part of its response, or its end.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The response's head: at most once, before any data.
    Head(ResponseHead),
    /// The next bytes of the body.
    Data(Bytes),
    /// The call's outcome: exactly once, as the last event.
    End(Outcome),
}
