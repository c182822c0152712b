//! Saves, compares, searches and displays runs.
//!
//! A run is defined by a scenario, a seed and overrides of single settings. In virtual time these alone determine every
//! byte of a [`record::Run`], regardless of the machine and the number of threads. The record of a run is therefore
//! small: the history of a single request is obtained by repeating the run.
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
