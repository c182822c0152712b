//! Traffic between zones while some zones are partitioned.
use pointspindle_fleet_model::partition::traffic_passes;
use pointspindle_scenario::script::PartitionDirections;
use std::collections::BTreeMap;

#[test]
fn one_way_partition_drops_traffic_in_its_direction_only() {
    let outward = PartitionDirections {
        inward: false,
        outward: true,
    };
    let partitioned = BTreeMap::from([(1, outward)]);
    assert!(!traffic_passes(&partitioned, 1, 2));
    assert!(traffic_passes(&partitioned, 2, 1));
    assert!(traffic_passes(&partitioned, 2, 3));
}

#[test]
fn partition_keeps_traffic_within_the_zone() {
    let partitioned = BTreeMap::from([(1, PartitionDirections::default())]);
    assert!(traffic_passes(&partitioned, 1, 1));
    assert!(!traffic_passes(&partitioned, 1, 2));
    assert!(!traffic_passes(&partitioned, 2, 1));
}
