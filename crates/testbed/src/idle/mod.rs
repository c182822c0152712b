//! Measures the cost of many idle connections at one server and their effect on other requests.
//!
//! Opens connections step by step; each carries one request and then stays idle. Each step measures the memory of the
//! server and of the kernel, the processor time that the server uses without requests, and the response times of a
//! steady open-loop load. Any HTTP server whose process id is known can be measured, so that another server can be
//! compared with the dispatcher in the same run.
mod connections;
mod expiry;
mod load;
mod measurement;
mod plan;
mod process_usage;

pub use expiry::{measure_expiry, ExpiryMeasurement};
pub use measurement::{growth_per_connection, measure, IdleStep, StopReason};
pub use plan::IdlePlan;
pub use process_usage::process_usage;
