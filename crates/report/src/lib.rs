//! Runs kept, compared, searched and shown.
//!
//! A run is a scenario, a seed and overrides of single settings; in virtual time these alone decide every byte of a
//! [`record::Run`], whatever the machine and the number of threads. So what is kept of a run is small, and what
//! happened to one of its requests is found by running it again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod compare;
mod error;
pub mod folder;
pub mod html;
pub mod hunt;
mod outcome_tally;
mod plots;
pub mod record;
pub mod sweep;
pub mod terminal;
pub mod watch;

pub use error::ReportError;
