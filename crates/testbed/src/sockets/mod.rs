//! The model behind real sockets: every member a listener of its own on the main protocol.
mod fills;
mod member;
mod stage;
mod wall;
pub(crate) mod words;

pub use stage::{EmulatedHosts, EmulatedHostsOptions, LedgerFactory, EPOCH};
pub use wall::Walls;
