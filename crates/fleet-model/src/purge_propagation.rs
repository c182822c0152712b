//! Propagation of purges to hosts.
use pointspindle::Micros;
use pointspindle_scenario::{derive_seed, Scenario};

/// Returns the time from a purge of an object or group, made at `at`, until a host drops its older copies, in
/// microseconds. It is derived from the scenario's seed and shorter than the purge deadline.
pub fn purge_drop_delay(scenario: &Scenario, purged: u64, host: usize, at: Micros) -> Micros {
    let random = derive_seed(scenario.seed, &format!("drop {purged} {host} {at}"));
    random % scenario.limits.rules.purge_deadline.max(1)
}
