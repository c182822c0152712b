//! The dispatcher: a sans-IO [`core`] around one [`pointspindle::Router`], and a tokio shell, [`net`].
//!
//! The core receives inputs with their time and returns commands; the shell performs the I/O. The router, and neither of
//! these, chooses endpoints, fill sources, copy ages, time-outs, retries, rejections and Retry-After values. Other modules
//! with decision logic and without I/O:
//!
//! * [`admission`]: which client connections are admitted,
//! * [`request_budget`]: whether a request may begin while many are in flight,
//! * [`client_pace`]: whether a client reads too slowly,
//! * [`call_deduplication`]: ensures that a retried call has one live attempt,
//! * [`keep_alive`]: whether a connection to an endpoint is still alive,
//! * [`reconnect_backoff`]: when a lost connection is established again,
//! * [`dispatcher_registry`]: which part of a shared budget this dispatcher uses.
//!
//! Endpoint lists, purges and fleet counts come from a [`control_source`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod call_deduplication;
pub mod client_pace;
pub mod control_source;
pub mod core;
pub mod dispatcher_registry;
pub mod keep_alive;
pub mod net;
pub mod reconnect_backoff;
pub mod request_budget;

pub use crate::core::{ClientRequest, Core, Input, Output};
pub use control_source::{ControlObserver, ControlSink, ControlSource, ControlUpdate};
pub use net::{
    BoundAddresses, Dispatcher, HeadlessDispatcher, PreparedDispatcher, StartError, StateCounts,
};
