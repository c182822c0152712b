//! The cache host. It runs as an edge cache, as a parent cache or as a gateway to an HTTP origin.
//!
//! Three modules make decisions without I/O: [`fill_table`] (serve from cache, fill, coalesce, queue or reject),
//! [`lease`] (work leases while warming up) and [`freshness`] (RFC 9111). The module [`net`] moves bytes between
//! connections, the store and the sources of fills.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fill_table;
pub mod freshness;
pub mod lease;
pub mod net;

pub use net::{BoundAddresses, Host, HostCounters, HostError};
