//! The dispatcher: a sans-IO [`core`] around one [`pointspindle::Router`], and a tokio shell, [`net`].
//!
//! The core is told what happens, with the time, and says what to do; the shell moves bytes. Neither decides which
//! host, source, age, time-out, further attempt, refusal or come-back time: the router does. Who may hold a connection
//! at the doors is decided by [`admission`], what may be begun while much is under way by [`budget`], whether a client is
//! too slow by [`pace`], whether a connection to a member still carries anything by [`health`], and when one that broke is
//! made again by [`redial`]. What dispatchers that count each other differently may take is decided by [`peers`]; lists, purges and counts come from a [`source`]. A call that its client tries again has one live attempt by [`keys`]. All without I/O.
#![forbid(unsafe_code)]

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
    BoundAddresses, Dispatcher, HollowDispatcher, PreparedDispatcher, StartError, StateCounts,
};
