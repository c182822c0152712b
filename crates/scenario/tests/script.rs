//! Generation of script steps from faults.
use pointspindle_cache_model::Fault;
use pointspindle_scenario::{parse, FaultKind, ListedState, Scenario, Script, ScriptStep};

const FLEET: &str = "[day]\nabout = a test\nseconds = 30\n[class page]\n\
    [fleet]\nbranches = 2\ncaches = 3\ndispatchers = 2\nparents = 2\nhubs = 1\n";

fn scenario(fault: &str) -> Scenario {
    let text = format!("{FLEET}[trouble test]\n{fault}\n");
    parse("test.ini", &text, Some(11)).unwrap_or_else(|error| panic!("{error}"))
}

fn script(scenario: &Scenario) -> Script {
    let address = |host: usize| format!("127.0.0.1:{}", 1000 + host);
    Script::generate(scenario, &scenario.hosts(address), address)
}

/// Returns the times of the steps that match `predicate`.
fn times(script: &Script, predicate: impl Fn(&ScriptStep) -> bool) -> Vec<u64> {
    let steps = script.steps.iter();
    steps
        .filter(|(_, step)| predicate(step))
        .map(|(at, _)| *at)
        .collect()
}

fn is_crash(step: &ScriptStep) -> bool {
    matches!(step, ScriptStep::Fault { fault, .. } if *fault == Fault::Crash)
}

fn is_endpoint_update(step: &ScriptStep) -> bool {
    matches!(step, ScriptStep::EndpointUpdate { .. })
}

#[test]
fn fault_kind_names_are_unique_and_map_back() {
    for (name, kind) in FaultKind::NAMES {
        assert_eq!(FaultKind::from_name(name), Some(kind));
        assert_eq!(kind.name(), name);
    }
    assert_eq!(FaultKind::from_name("earthquake"), None);
}

#[test]
fn steps_of_a_script_are_sorted_by_time() {
    let scenario = scenario("kind = flaky\nshare = 1\nhard = 4");
    let times = times(&script(&scenario), |_| true);
    assert!(times.len() > 40, "{}", times.len());
    assert!(times.is_sorted());
}

#[test]
fn rolling_restart_spreads_crashes_evenly_over_its_duration() {
    let scenario = scenario("kind = rolling_restart\nshare = 1\nat_s = 5\nfor_s = 12\ndown_s = 1");
    let crashes = times(&script(&scenario), is_crash);
    let expected: Vec<u64> = (0..6).map(|n| 5_000_000 + n * 2_000_000).collect();
    assert_eq!(crashes, expected);
}

#[test]
fn unannounced_site_loss_crashes_the_site_without_endpoint_updates() {
    let fault = "kind = site_loss\nzone = branch-1\ntakes = dispatchers\nat_s = 5\nfor_s = 4";
    let announced = script(&scenario(fault));
    let unannounced = script(&scenario(&format!("{fault}\ntold = no")));
    // Two updates, removed and ready, for each of three cache hosts and of the hub's two parents.
    assert_eq!(times(&announced, is_endpoint_update).len(), 10);
    assert_eq!(times(&unannounced, is_endpoint_update).len(), 0);
    assert_eq!(
        times(&announced, is_crash),
        times(&unannounced, is_crash),
        "crash times must not depend on whether the loss is announced"
    );
    let killed = times(&unannounced, |step| {
        matches!(step, ScriptStep::KillDispatcher { .. })
    });
    assert_eq!(killed.len(), 2);
}

#[test]
fn deploy_after_deploy_does_not_replace_a_host_twice() {
    let text = format!(
        "{FLEET}[trouble a]\nkind = deploy\nshare = 0.5\nat_s = 3\n[trouble b]\nkind = deploy\nshare = 1\nat_s = 15\n"
    );
    let scenario = parse("test.ini", &text, Some(11)).unwrap();
    let script = script(&scenario);
    let mut drained: Vec<usize> = script
        .steps
        .iter()
        .filter_map(|(_, step)| match step {
            ScriptStep::EndpointUpdate {
                host,
                state: ListedState::Draining,
            } => Some(*host),
            _ => None,
        })
        .collect();
    drained.sort_unstable();
    assert_eq!(drained, [0, 1, 2, 3, 4, 5]);
    assert_eq!(script.added_hosts.len(), 6);
}
