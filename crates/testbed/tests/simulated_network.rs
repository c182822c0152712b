//! Tests the dispatcher's network code on a simulated network under a paused clock, with loss and silent partitions,
//! which real sockets cannot produce: all rules hold, an injected fault is found, and the service agrees with that of
//! the simulator for the same scenario.
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{self as scenario, Scenario};
use pointspindle_simulator as simulator;
use pointspindle_testbed::fleet_run::{self, Outcome};
use std::path::Path;

fn load(name: &str, seed: u64) -> Scenario {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios")).join(name);
    scenario::load(&path, Some(seed)).unwrap_or_else(|e| panic!("{e}"))
}

fn run(scenario: &Scenario, injected_fault: Option<InjectedFault>) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    fleet_run::run_on_simulated_network(scenario, folder.path(), injected_fault)
        .unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn silent_partition_on_a_lossy_network_violates_no_rule() {
    for seed in [11, 12] {
        let scenario = load("silent-partition.ini", seed);
        let outcome = run(&scenario, None);
        println!("seed {seed}: service {:.3}", outcome.service.service);
        for rule in &outcome.rules {
            assert!(
                rule.violations.is_empty(),
                "seed {seed}, {}: {:?}",
                rule.name,
                rule.violations[0]
            );
        }
        let cases = |name: &str| {
            let rule = outcome.rules.iter().find(|rule| rule.name == name);
            rule.unwrap().cases
        };
        assert!(cases("answers") > 1_000 && cases("drains") > 0 && cases("purges") > 0);
        assert!(
            outcome.service.service > 0.3,
            "seed {seed}: service {}",
            outcome.service.service
        );
        assert!(
            simulator::run(&scenario, None)
                .unwrap_err()
                .contains("silence"),
            "the simulator must reject partitions, as it has no network"
        );
    }
}

/// Guards against a testbed that reports no violations because it cannot detect any.
#[test]
fn injected_fault_on_the_simulated_network_is_detected() {
    let scenario = load("bad-day.ini", 7).scaled_to(14.0);
    for (injected_fault, name) in [
        (InjectedFault::WithholdDrain, "drains"),
        (InjectedFault::IgnorePurge, "purges"),
    ] {
        let outcome = run(&scenario, Some(injected_fault));
        let rule = outcome.rules.iter().find(|rule| rule.name == name).unwrap();
        assert!(
            !rule.violations.is_empty(),
            "{name}: the injected fault caused no violation"
        );
    }
}

#[test]
fn service_on_the_simulated_network_agrees_with_the_simulator() {
    let scenario = load("rolling-restart.ini", 5);
    let testbed = run(&scenario, None).service.service;
    let simulated = simulator::run(&scenario, None).unwrap().service.service;
    println!("seed 5: testbed {testbed:.4}, simulator {simulated:.4}");
    assert!(
        (testbed - simulated).abs() < 0.03,
        "service differs: testbed {testbed:.4}, simulator {simulated:.4}"
    );
}
