//! Codecs for the platform's protocols, without I/O: FastCGI from clients, the line protocol to cache hosts, the
//! discovery stream of endpoints and purges, the start configuration and its settings.
//!
//! The platform's own names occur only as string literals and serde names in this crate; types and fields use the terms
//! of HTTP caching and load balancing. Every length that a peer controls is limited by a named constant. The crate
//! makes no routing decisions: an invalid request is returned as an error with its reason, and a response that cannot
//! be parsed is an error that ends its connection.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod chunked_buffer;
pub mod client_request;
mod discard_budget;
pub mod discovery;
pub mod fastcgi;
pub mod line_protocol;
pub mod request_assembly;
pub mod settings;
pub mod start_config;
