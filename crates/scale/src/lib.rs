//! Measures the cost of a fleet's control plane as a function of the fleet's size.
//!
//! A scale run starts hollow dispatchers and hollow cache hosts, which run the program's own control code without
//! clients and bodies. They follow an emulated control store in a separate process. [`runner`] runs the phases at each
//! fleet size and measures them, [`slopes`] fits each figure over the sizes, and [`capacity`] writes the capacity page
//! from the fits. [`node`] holds the code of the processes, and [`messages`] defines the messages between them and the
//! runner. A hollow process that ends early is a failure of the scale run, not of the product.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod capacity;
pub mod messages;
pub mod node;
pub mod results;
pub mod runner;
pub mod slopes;
mod target;

pub use target::{read_target, FleetSize, RunSettings, Target, Workload};

#[cfg(test)]
mod tests;
