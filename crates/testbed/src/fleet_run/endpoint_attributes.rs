//! The attributes of hosts in endpoint lists, other than their state.
use pointspindle_cache_model::{HostId, HostSpec};
use std::collections::HashMap;

/// The constant attributes of a host in endpoint lists.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointAttributes {
    /// The name of the host's role.
    pub kind: String,
    /// The name of the host's zone.
    pub zone: String,
    /// The host's weight.
    pub weight: f64,
}

/// The attributes of all hosts, by host number.
pub(super) type EndpointAttributesByHost = HashMap<HostId, EndpointAttributes>;

/// Returns the attributes of the hosts; `zones` are the names of the zones by number.
pub(super) fn endpoint_attributes(
    hosts: &[HostSpec],
    zones: &[String],
) -> EndpointAttributesByHost {
    let attributes = |host: &HostSpec| EndpointAttributes {
        kind: host.role.name().to_owned(),
        zone: zones[host.zone].clone(),
        weight: host.weight,
    };
    hosts.iter().map(attributes).enumerate().collect()
}
