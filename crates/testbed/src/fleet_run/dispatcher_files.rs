//! Files and listen addresses of the dispatchers of a run, both processes and tasks.
use crate::addresses::dispatcher_listen_ip;
use pointspindle_fleet_model::dispatcher_settings::ListenAddresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Returns the path of a dispatcher's file with an extension (`ini`, `state`, `log` or `ready`).
pub(super) fn dispatcher_file(folder: &Path, dispatcher: usize, extension: &str) -> PathBuf {
    folder.join(format!("dispatcher-{dispatcher}.{extension}"))
}

/// Returns the listen addresses for a first start, with ports chosen by the operating system.
pub(super) fn unbound_listen_addresses(dispatcher: usize) -> ListenAddresses {
    let any_port = SocketAddr::new(dispatcher_listen_ip(dispatcher), 0);
    ListenAddresses {
        http: any_port,
        framed: any_port,
        control: any_port,
        metrics: any_port,
    }
}

/// The addresses that a dispatcher reports once it listens.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
pub(super) struct BoundAddresses {
    pub http: Option<SocketAddr>,
    pub framed: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub metrics: Option<SocketAddr>,
}

impl BoundAddresses {
    /// Returns the addresses if all four listeners are bound.
    pub fn complete(self) -> Option<ListenAddresses> {
        Some(ListenAddresses {
            http: self.http?,
            framed: self.framed?,
            control: self.control?,
            metrics: self.metrics?,
        })
    }
}
