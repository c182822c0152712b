//! A fleet on sockets: stand-ins for cache hosts, parents and the origin, dispatchers as processes or tasks, clients, relays
//! and faults. Nothing here is a server for service.
#![forbid(unsafe_code)]

pub mod content;
pub mod day;
pub mod demo;
pub mod idle;
pub mod sockets;
