//! What a cache host decides for itself, without I/O: today how it shares out its own warm-up ([`lease`]).
#![forbid(unsafe_code)]

pub mod lease;
