//! What a day in virtual time and a day on sockets share: the control plane with its delays, the dispatchers' settings,
//! partitions between zones, and how purges reach the members.
#![forbid(unsafe_code)]

pub mod control_plane;
pub mod dispatcher_settings;
pub mod leases;
pub mod partition;
pub mod purge_propagation;
