//! What fleets in virtual time and fleets on sockets share: the control plane with its delays, the dispatchers'
//! settings, partitions between zones, and how purges reach the hosts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control_plane;
pub mod dispatcher_settings;
pub mod leases;
pub mod partition;
pub mod purge_propagation;
