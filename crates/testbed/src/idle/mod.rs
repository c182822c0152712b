//! Many idle connections at one server, and what requests beside them pay.
//!
//! Opens connections step by step, each used once and then left idle; at each step measures the server's memory, the
//! kernel's, the processor time that idling takes, and the response times of a steady open-loop load. Any HTTP server
//! whose process id is known can be measured, so that another server can stand beside the dispatcher in the same run.
mod connections;
mod expiry;
mod load;
mod measurement;
mod plan;
mod process_usage;

pub use expiry::{measure_expiry, ExpiryMeasurement};
pub use measurement::{growth_per_connection, measure, IdleStep, Stopped};
pub use plan::IdlePlan;
pub use process_usage::process_usage;
