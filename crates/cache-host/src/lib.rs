//! The cache host, as edge or parent cache, or as a gateway to an HTTP origin.
//!
//! What it decides is without I/O: [`fill_table`] (served, filled, joined, made to wait or turned away), [`lease`] (how it shares out its own
//! warm-up), [`freshness`] (RFC 9111). [`net`] moves bytes between connections, the store and sources.
#![forbid(unsafe_code)]

pub mod fill_table;
pub mod freshness;
pub mod lease;
pub mod net;

pub use net::{BoundAddresses, Host, HostCounters, HostError};
