//! The dispatcher: a sans-IO [`core`] around one [`pointspindle::Router`], and a tokio shell, [`net`].
//!
//! The core is told what happens, with the time, and says what to do; the shell moves bytes. Neither decides which
//! host, source, age, time-out, further attempt, refusal or come-back time: the router does.
#![forbid(unsafe_code)]

pub mod core;
pub mod net;

pub use crate::core::{Ask, Core, Input, Output};
pub use net::{Bound, Dispatcher, StartError};
