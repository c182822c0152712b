//! The parts shared by simulated fleets, which run in virtual time, and fleets on sockets: the control plane with its
//! delays, the dispatchers' settings, slow-start leases, partitions between zones, and the propagation of purges.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control_plane;
pub mod dispatcher_settings;
pub mod leases;
pub mod partition;
pub mod purge_propagation;
