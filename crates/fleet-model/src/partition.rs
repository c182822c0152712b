//! What passes between zones while some of them are cut off.
use pointspindle_scenario::script::PartitionDirections;
use std::collections::BTreeMap;

/// Whether something passes from one zone to another.
pub fn passes(up: &BTreeMap<usize, PartitionDirections>, from: usize, to: usize) -> bool {
    let held = |zone, way: fn(&PartitionDirections) -> bool| up.get(&zone).is_some_and(way);
    from == to || !(held(from, |w| w.outward) || held(to, |w| w.inward))
}
