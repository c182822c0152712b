//! The hosts of a run by their number: address, kind, place and weight.
use pointspindle_cache_model::{HostId, HostSpec};

/// What is known of a host from the start.
pub(crate) struct HostEntry {
    pub address: String,
    pub role: &'static str,
    pub zone_name: String,
    pub zone: usize,
    pub weight: f64,
}

/// Every host of a run, those that join later included.
pub(crate) struct HostDirectory {
    entries: Vec<HostEntry>,
}

impl HostDirectory {
    /// Numbers the hosts in this order.
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

    /// The entry of a host, if there is one of this number.
    pub fn get(&self, host: HostId) -> Option<&HostEntry> {
        self.entries.get(host)
    }

    /// Address of a host.
    pub fn address(&self, host: HostId) -> String {
        self.entries[host].address.clone()
    }

    /// Zone of a host.
    pub fn zone(&self, host: HostId) -> usize {
        self.entries[host].zone
    }
}
