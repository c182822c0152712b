//! The platform's protocol without I/O: what its clients, cache hosts and notice board write, and what they are written.
//!
//! Every length from outside has a limit here, named as a constant with its reason. Nothing is decided: a request that
//! cannot be used is told with the reason, an answer that cannot be read ends its connection.
#![forbid(unsafe_code)]

pub mod asked;
pub mod board;
pub mod fastcgi;
pub mod lines;
pub mod requests;
pub mod settings;
pub mod start;
