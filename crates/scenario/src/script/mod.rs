//! The faults of a scenario as steps in time: what happens to which host or dispatcher, and how the endpoint list
//! changes.
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

/// All steps of a run.
#[derive(Clone, Debug)]
pub struct Script {
    /// Steps in the order of their times, microseconds since the start of the run.
    pub steps: Vec<(Micros, ScriptStep)>,
    /// Hosts that start later, in the order of their host ids.
    pub added_hosts: Vec<HostSpec>,
}

impl Script {
    /// Generates the steps of a scenario's faults for these hosts. `address` names a newcomer by its host id.
    pub fn generate(
        scenario: &Scenario,
        hosts: &[HostSpec],
        mut address: impl FnMut(usize) -> String,
    ) -> Self {
        let mut generator = ScriptGenerator::new(scenario, hosts, &mut address);
        for fault in &scenario.faults {
            generator.add_fault(fault);
        }
        generator.add_steady_purges();
        generator.finish()
    }
}
