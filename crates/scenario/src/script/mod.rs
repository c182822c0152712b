//! The script of a run: the faults of a scenario as a sequence of steps. Each step changes a host, a dispatcher, the
//! network or the endpoint list at a given time.
mod dispatcher_faults;
mod fault;
mod generator;
mod host_faults;
mod purges;
mod site_faults;
mod step;

pub use fault::{FaultKind, FaultSpec, FaultTarget, PartitionDirections, SiteLossExtent};
pub use purges::purge_groups;
pub use step::{ListedState, ScriptStep};

use crate::Scenario;
use generator::ScriptGenerator;
use pointspindle::Micros;
use pointspindle_cache_model::HostSpec;

/// All steps of a run, and the hosts that they add.
#[derive(Clone, Debug)]
pub struct Script {
    /// The steps with their times, microseconds since the start of the run; sorted by time.
    pub steps: Vec<(Micros, ScriptStep)>,
    /// Hosts that do not run from the start, in the order of their host ids.
    pub added_hosts: Vec<HostSpec>,
}

impl Script {
    /// Generates the script of a scenario. `hosts` are the hosts that run from the start; `address` returns the address
    /// of an added host, given its host id.
    pub fn generate(
        scenario: &Scenario,
        hosts: &[HostSpec],
        mut address: impl FnMut(usize) -> String,
    ) -> Self {
        let mut generator = ScriptGenerator::new(scenario, hosts, &mut address);
        for fault in &scenario.faults {
            generator.add_fault(fault);
        }
        generator.add_background_purges();
        generator.finish()
    }
}
