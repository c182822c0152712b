//! The dispatcher on the operators' platform.
//!
//! Clients connect by FastCGI ([`frontend`]); cache hosts are reached over the line protocol ([`connection_pool`]);
//! endpoint lists and purges arrive on the discovery stream ([`endpoint_discovery`]); [`lifecycle`] starts, reloads and
//! shuts down. The core is the same as in every dispatcher: [`pointspindle_dispatcher::net::exchange`] runs each
//! request, its commands come from the [`pointspindle_dispatcher::net::core_handle::CoreHandle`], and the router makes
//! every decision.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connection;
pub mod connection_pool;
pub mod endpoint_discovery;
pub mod frontend;
pub mod lifecycle;
pub mod memory;
mod pause_detector;
pub mod settings;
mod shutdown;

pub use lifecycle::{run, RunError};
