//! Runs a scenario with emulated hosts, dispatchers, clients and a control plane on sockets: either in real time on
//! loopback with dispatchers as processes, or within this process on a simulated network under a paused clock.
mod clients;
mod control_plane_change;
mod direct_control_plane;
mod dispatcher_files;
mod dispatcher_instance;
mod dispatcher_process;
mod dispatcher_task;
mod duplicating_relay;
mod endpoint_attributes;
mod entry_points;
mod environment;
mod error;
mod etcd_control_plane;
mod execution;
mod lateness;
mod outcome;
mod plan;
mod response_relay;
mod run_clock;
mod script_player;
mod setup;
mod traffic_player;
mod unreliable_etcd;

pub use entry_points::{
    run_on_simulated_network, run_with_etcd, run_with_processes, run_with_recorder,
};
pub use error::{DispatcherFailure, TestbedError};
pub use outcome::Outcome;
