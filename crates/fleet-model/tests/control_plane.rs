//! Order and content of the notifications that dispatchers receive.
use pointspindle_cache_model::HostSpec;
use pointspindle_fleet_model::control_plane::{ControlPlane, ControlUpdate, ListedEndpoint};
use pointspindle_scenario::script::ListedState;
use pointspindle_scenario::{load, Scenario};
use std::path::Path;

const SEED: u64 = 7;

/// Time after every notification of a test, in microseconds.
const END: u64 = 60_000_000;

fn scenario() -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/evening-rush.ini");
    load(&file, Some(SEED)).unwrap_or_else(|error| panic!("{error}"))
}

fn hosts(scenario: &Scenario) -> Vec<HostSpec> {
    scenario.hosts(|host| format!("127.0.0.1:{}", 1000 + host))
}

/// Returns a control plane with one connected dispatcher, to which the first endpoint list has been delivered.
fn control_plane() -> ControlPlane {
    let scenario = scenario();
    let mut control = ControlPlane::new(scenario.limits.rules, &hosts(&scenario), 1, SEED);
    control.connect(0, 0);
    control.take_due(0);
    control
}

fn update(host: usize, state: ListedState) -> ListedEndpoint {
    ListedEndpoint {
        host,
        address: "ignored".into(),
        state,
        incarnation: 2,
        started_at: Some(1_000_000),
    }
}

#[test]
fn endpoint_updates_with_random_delays_are_delivered_in_order() {
    let mut control = control_plane();
    for n in 0..20 {
        control.update_endpoint(n, update(0, ListedState::Draining));
    }
    let sequences: Vec<u64> = control
        .take_due(END)
        .into_iter()
        .map(|(_, update)| match update {
            ControlUpdate::Delta(sequence, _) => sequence,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(sequences, (2..22).collect::<Vec<u64>>());
}

#[test]
fn endpoint_update_does_not_change_the_address_of_listed_host() {
    let mut control = control_plane();
    control.set_address(0, "127.0.0.1:9".into());
    control.update_endpoint(0, update(0, ListedState::Draining));
    let updates = control.take_due(END);
    let (_, ControlUpdate::Delta(_, endpoints)) = &updates[0] else {
        panic!("{updates:?}");
    };
    assert_eq!(endpoints[0].address, "127.0.0.1:9");
    assert_eq!(endpoints[0].state, ListedState::Draining);
}

#[test]
fn extra_delay_postpones_endpoint_updates_until_it_ends() {
    let max_delay = scenario().limits.rules.endpoint_update_delay.max;
    let extra_delay = 5_000_000;
    let mut control = control_plane();
    control.delay_updates(extra_delay, 100);
    control.update_endpoint(99, update(0, ListedState::Draining));
    assert!(control.next_due().unwrap() >= extra_delay);
    let mut control = control_plane();
    control.delay_updates(extra_delay, 100);
    control.update_endpoint(100, update(0, ListedState::Draining));
    assert!(control.next_due().unwrap() <= 100 + max_delay);
}

#[test]
fn reconnecting_dispatcher_receives_missed_purges_and_then_the_full_list() {
    let mut control = control_plane();
    control.disconnect(0);
    control.purge(10, Some("/page/g0/o1".into()), 3);
    control.update_endpoint(20, update(0, ListedState::Removed));
    assert_eq!(control.next_due(), None);
    control.connect(30, 0);
    let updates: Vec<ControlUpdate> = control
        .take_due(30)
        .into_iter()
        .map(|(_, update)| update)
        .collect();
    let purge = ControlUpdate::Purge {
        object: Some("/page/g0/o1".into()),
        group: 3,
        at: 10,
    };
    assert_eq!(updates[0], purge);
    let ControlUpdate::Full(sequence, endpoints) = &updates[1] else {
        panic!("{updates:?}");
    };
    assert_eq!(*sequence, 2);
    assert!(endpoints.iter().all(|endpoint| endpoint.host != 0));
    assert_eq!(endpoints.len(), hosts(&scenario()).len() - 1);
}

#[test]
fn purge_is_not_sent_to_dispatchers_that_connect_long_after_its_deadline() {
    let deadline = scenario().limits.rules.purge_deadline;
    let mut control = control_plane();
    control.disconnect(0);
    control.purge(0, None, 1);
    control.purge(deadline + 1_000_000, None, 2);
    control.connect(deadline + 1_000_001, 0);
    let groups: Vec<u64> = control
        .take_due(END)
        .into_iter()
        .filter_map(|(_, update)| match update {
            ControlUpdate::Purge { group, .. } => Some(group),
            _ => None,
        })
        .collect();
    assert_eq!(groups, [2]);
}
