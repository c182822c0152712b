//! The platform's protocols as codecs, without I/O: FastCGI from clients, the line protocol to cache hosts, the
//! discovery stream of endpoints and purges, the start configuration and its settings.
//!
//! The platform's own words are string literals and serde names of this crate only; its types carry the terms of the
//! field. Every length from outside has a limit here, named as a constant. Nothing is decided: a request that cannot be
//! used is an error with its reason, a response that cannot be parsed ends its connection.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client_request;
pub mod discovery;
pub mod fastcgi;
pub mod line_protocol;
pub mod request_assembly;
pub mod settings;
pub mod start_config;
