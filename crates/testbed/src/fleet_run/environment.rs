//! The environment of a run: real sockets or the simulated network.
use super::dispatcher_instance::DispatcherInstance;
use super::dispatcher_process::DispatcherProcess;
use super::dispatcher_task::DispatcherTask;
use super::unreliable_etcd::UnreliableEtcd;
use crate::addresses::{free_host_address, simulated_host_address};
use pointspindle_transport::simulated::SimulatedNetwork;
use pointspindle_transport::Network;
use std::path::Path;

/// The network of a run and the form of its dispatchers.
pub(super) enum Environment<'a> {
    /// Dispatchers are processes on loopback sockets, in real time.
    Processes {
        /// The dispatcher's binary.
        program: &'a Path,
        /// The emulated etcd from which dispatchers read endpoint lists and purges; `None`: the control plane
        /// connects to them directly.
        etcd: Option<UnreliableEtcd>,
    },
    /// Dispatchers are tasks of this process on a simulated network, under a paused clock.
    Simulated(SimulatedNetwork),
}

impl Environment<'_> {
    /// Returns the network that hosts, clients and the control plane use.
    pub fn network(&self) -> Network {
        match self {
            Self::Processes { .. } => Network::Tcp,
            Self::Simulated(network) => Network::Simulated(network.clone()),
        }
    }

    /// Returns the address of the host with this number.
    pub fn host_address(&self, host: usize) -> String {
        match self {
            Self::Processes { .. } => free_host_address(host),
            Self::Simulated(_) => simulated_host_address(host),
        }
    }

    /// Creates a dispatcher that has not started yet; `folder` is for its settings, state and log.
    pub fn new_dispatcher(&self, folder: &Path, number: usize) -> DispatcherInstance {
        match self {
            Self::Processes { program, etcd } => {
                let etcd_endpoint = etcd.as_ref().map(|etcd| etcd.endpoint.clone());
                let process = DispatcherProcess::new(program, folder, number, etcd_endpoint);
                DispatcherInstance::Process(process)
            }
            Self::Simulated(network) => {
                let task = DispatcherTask::new(network.clone(), folder, number);
                DispatcherInstance::Task(task)
            }
        }
    }
}
