//! The dispatcher on the operators' platform.
//!
//! Clients come by FastCGI ([`front`]), cache hosts are spoken to by lines ([`connection_pool`]), lists and purges come from the
//! notice board ([`board`]); [`life`] starts, reloads and stops. In between stands the same core as everywhere: a
//! request is an [`pointspindle_dispatcher::net::exchange`], its orders come from the [`pointspindle_dispatcher::net::core_handle::Desk`], and
//! every decision from the module.
#![forbid(unsafe_code)]

pub mod board;
mod connection;
pub mod connection_pool;
pub mod front;
pub mod life;
pub mod settings;
mod shutdown;
mod stalls;

pub use life::{run, RunError};
