//! Emulates cache hosts, parents and origins with the cache model; each host has its own listener for the framed
//! protocol.
mod attempt;
mod connection;
mod conversions;
mod fill_connections;
mod fills;
mod hosts;
mod leases;
mod listeners;
mod model_driver;
mod options;
mod zone_partitions;

pub use hosts::{EmulatedHosts, EPOCH};
pub use options::{EmulatedHostsOptions, LedgerFactory, ZonePartitionPlan};
pub use zone_partitions::ZonePartitions;
