//! The cache host, as edge or parent cache, or as a gateway to an HTTP origin.
//!
//! Decisions are taken without I/O: [`fill_table`] (serve from cache, fill, coalesce, queue or reject), [`lease`] (work
//! leases while warming up), [`freshness`] (RFC 9111). [`net`] moves bytes between connections, the store and sources.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fill_table;
pub mod freshness;
pub mod lease;
pub mod net;

pub use net::{BoundAddresses, Host, HostCounters, HostError};
