//! When each member has dropped its copies after a purge.
use pointspindle::Micros;
use pointspindle_scenario::{stream, Scenario};

/// How long a member keeps its copies from before a purge.
pub fn drop_delay(scenario: &Scenario, what: u64, host: usize, at: Micros) -> Micros {
    stream(scenario.seed, &format!("drop {what} {host} {at}")) % scenario.rules.purge_done.max(1)
}
