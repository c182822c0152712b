//! When each member has dropped its copies after a purge.
use pointspindle::Micros;
use pointspindle_scenario::{derive_seed, Scenario};

/// How long a member keeps its copies from before a purge.
pub fn purge_drop_delay(scenario: &Scenario, what: u64, host: usize, at: Micros) -> Micros {
    derive_seed(scenario.seed, &format!("drop {what} {host} {at}"))
        % scenario.limits.rules.purge_deadline.max(1)
}
