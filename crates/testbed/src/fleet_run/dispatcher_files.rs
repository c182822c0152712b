//! Files and listen addresses that every dispatcher of a run has, whatever its form.
use crate::addresses::dispatcher_listen_ip;
use pointspindle_fleet_model::dispatcher_settings::ListenAddresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file of one kind (`ini`, `state`, `log`, `ready`) of a dispatcher.
pub(super) fn dispatcher_file(folder: &Path, dispatcher: usize, extension: &str) -> PathBuf {
    folder.join(format!("dispatcher-{dispatcher}.{extension}"))
}

/// Addresses for a first start: the system chooses the ports.
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
    /// The addresses, if all four listeners are bound.
    pub fn complete(self) -> Option<ListenAddresses> {
        Some(ListenAddresses {
            http: self.http?,
            framed: self.framed?,
            control: self.control?,
            metrics: self.metrics?,
        })
    }
}
