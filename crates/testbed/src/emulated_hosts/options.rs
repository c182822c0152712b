//! Options of emulated hosts.
use super::zone_partitions::ZonePartitions;
use pointspindle::Micros;
use pointspindle_cache_host::lease::WorkLedger;
use pointspindle_cache_model::Role;
use pointspindle_transport::Network;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;

/// Options of a set of emulated hosts.
#[derive(Clone, Debug, Default)]
pub struct EmulatedHostsOptions {
    /// Dispatchers by their source address: hosts identify the sender of an attempt by its connection's address.
    pub dispatchers: HashMap<IpAddr, usize>,
    /// The source address of fills; `None`: the operating system chooses it.
    pub fill_source: Option<IpAddr>,
    /// Addresses of hosts that, as an injected fault, ignore the maximum age that a request accepts.
    pub ignores_max_age: HashSet<String>,
    /// If set, hosts announce their incarnation on each connection and lease out their warm-up budget.
    pub ledger_factory: Option<LedgerFactory>,
    /// The network of the hosts.
    pub network: Network,
    /// Partitions between zones, if the run has any.
    pub zone_partitions: Option<ZonePartitionPlan>,
}

/// The zone partitions of a run and the zones of its dispatchers.
#[derive(Clone, Debug)]
pub struct ZonePartitionPlan {
    /// The partitions.
    pub partitions: ZonePartitions,
    /// The zone of each dispatcher, by number.
    pub dispatcher_zones: Vec<usize>,
}

type CreateLedger = dyn Fn(Role, f64, Micros) -> Option<WorkLedger> + Send + Sync;

/// Creates the work ledger of a host that has just started from its role, weight and start time in microseconds, or
/// returns `None` if the host grants no leases.
#[derive(Clone)]
pub struct LedgerFactory(pub Arc<CreateLedger>);

impl LedgerFactory {
    /// Creates the ledger of a host that has just started, if it grants leases.
    pub fn create(&self, role: Role, weight: f64, started: Micros) -> Option<WorkLedger> {
        (self.0)(role, weight, started)
    }
}

impl std::fmt::Debug for LedgerFactory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LedgerFactory")
    }
}
