//! Runs a fleet on sockets for tests and measurements: emulated cache hosts, parents and origins, dispatchers as
//! processes or tasks, clients, relays and fault injection. This crate serves no production traffic.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod addresses;
pub mod content;
pub mod demo;
pub mod emulated_hosts;
pub mod fleet_run;
mod http_client;
pub mod idle;
