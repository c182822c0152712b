//! The dispatcher: a sans-IO [`core`] around one [`pointspindle::Router`], and a tokio shell, [`net`].
//!
//! The core is told what happens, with the time, and says what to do; the shell moves bytes. Neither decides which
//! host, source, age, time-out, further attempt, refusal or come-back time: the router does. Who may hold a connection
//! at the doors is decided by [`admission`].
#![forbid(unsafe_code)]

pub mod admission;
pub mod core;
pub mod net;

pub use crate::core::{Ask, Core, Input, Output};
pub use net::{Bound, Dispatcher, StartError};
