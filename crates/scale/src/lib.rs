//! What the control plane of a fleet costs as a function of the fleet's size.
//!
//! A scale run starts hollow dispatchers and hollow cache hosts: the program's own control code, without clients and
//! bodies. They follow an emulated control store in a process of its own. [`runner`] plays the phases at each size and
//! measures them, [`slopes`] fits each figure over the sizes, and [`capacity`] writes the capacity page from the fits.
//! [`node`] is what the processes run, and [`messages`] what they and the runner send each other. A hollow process that
//! dies is a failure of the scale run, never of the product.
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
