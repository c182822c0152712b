//! The address, role, zone and weight of each host of a run, by the host's number.
use pointspindle_cache_model::{HostId, HostSpec};

/// Properties of a host that do not change during a run.
pub(crate) struct HostEntry {
    pub address: String,
    pub role: &'static str,
    pub zone_name: String,
    pub zone: usize,
    pub weight: f64,
}

/// All hosts of a run, including those that are added later.
pub(crate) struct HostDirectory {
    entries: Vec<HostEntry>,
}

impl HostDirectory {
    /// Creates a directory that numbers the hosts in the given order.
    pub fn new(hosts: &[HostSpec], zone_names: &[String]) -> Self {
        let entry = |host: &HostSpec| HostEntry {
            address: host.address.clone(),
            role: host.role.name(),
            zone_name: zone_names[host.zone].clone(),
            zone: host.zone,
            weight: host.weight,
        };
        Self {
            entries: hosts.iter().map(entry).collect(),
        }
    }

    /// Returns the entry of a host, if there is a host of this number.
    pub fn get(&self, host: HostId) -> Option<&HostEntry> {
        self.entries.get(host)
    }

    /// Returns the address of a host.
    pub fn address(&self, host: HostId) -> String {
        self.entries[host].address.clone()
    }

    /// Returns the zone of a host.
    pub fn zone(&self, host: HostId) -> usize {
        self.entries[host].zone
    }
}
