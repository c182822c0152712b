//! Partitions between zones.
use pointspindle_scenario::script::PartitionDirections;
use std::collections::BTreeMap;

/// Whether traffic from one zone reaches another while the given zones are partitioned from all others.
pub fn traffic_passes(
    partitioned: &BTreeMap<usize, PartitionDirections>,
    from: usize,
    to: usize,
) -> bool {
    if from == to {
        return true;
    }
    let leaves = !partitioned.get(&from).is_some_and(|zone| zone.outward);
    let enters = !partitioned.get(&to).is_some_and(|zone| zone.inward);
    leaves && enters
}
