//! How purges reach the hosts.
use pointspindle::Micros;
use pointspindle_scenario::{derive_seed, Scenario};

/// How long a host keeps its copies from before a purge of an object or group made at `at`, microseconds: anything
/// below the purge deadline, derived from the scenario's seed.
pub fn purge_drop_delay(scenario: &Scenario, purged: u64, host: usize, at: Micros) -> Micros {
    let drawn = derive_seed(scenario.seed, &format!("drop {purged} {host} {at}"));
    drawn % scenario.limits.rules.purge_deadline.max(1)
}
