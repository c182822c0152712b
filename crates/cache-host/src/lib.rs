//! The cache host, as edge or parent cache, or as a gateway to an HTTP origin.
//!
//! What it decides is without I/O: [`desk`] (served, filled, joined, made to wait or turned away), [`lease`] (how it shares out its own
//! warm-up), [`fresh`] (RFC 9111). [`net`] moves bytes between connections, the store and sources.
#![forbid(unsafe_code)]

pub mod desk;
pub mod fresh;
pub mod lease;
pub mod net;

pub use net::{Counts, Host, HostBound, HostError};
