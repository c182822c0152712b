//! The project's laboratory: stand-ins, scenarios, load, an auditor of the five rules.
//!
//! Nothing here is a server for service: it rehearses bad days on loopback and judges what went over the sockets.
#![forbid(unsafe_code)]

pub mod audit;
pub mod book;
pub mod content;
pub mod day;
pub mod demo;
pub mod etcd;
pub mod idle;
pub mod import;
pub mod model;
pub mod record;
pub mod scale;
pub mod scenario;
pub mod sockets;
pub mod virt;
