//! The real shell on a simulated network under a paused clock: what sockets cannot be made to do on purpose (loss, partitions that
//! tell nobody) and a day in the time of its work. The rules are kept, a planted fault is found, and it agrees with the cores in
//! virtual time where both play the same day.
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::{self as scenario, Scenario};
use pointspindle_simulator as simulator;
use pointspindle_testbed::day;
use std::path::Path;

fn load(name: &str, seed: u64) -> Scenario {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios")).join(name);
    scenario::load(&path, Some(seed)).unwrap_or_else(|e| panic!("{e}"))
}

fn play(day: &Scenario, plant: Option<InjectedFault>) -> day::Outcome {
    let folder = tempfile::tempdir().unwrap();
    day::shell(day, folder.path(), plant).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn the_rules_are_kept_through_a_silent_partition_on_a_lossy_network() {
    for seed in [11, 12] {
        let day = load("silent-partition.ini", seed);
        let out = play(&day, None);
        println!("seed {seed}: service {:.3}", out.service.service);
        for rule in &out.rules {
            assert!(
                rule.violations.is_empty(),
                "seed {seed}, {}: {:?}",
                rule.name,
                rule.violations[0]
            );
        }
        let checked = |name: &str| out.rules.iter().find(|r| r.name == name).unwrap().cases;
        assert!(checked("answers") > 1_000 && checked("drains") > 0 && checked("purges") > 0);
        assert!(
            out.service.service > 0.3,
            "seed {seed}: {}",
            out.service.service
        );
        assert!(
            simulator::run(&day, None).unwrap_err().contains("silence"),
            "no network there to part"
        );
    }
}

/// A rig in which nothing can be found would show nothing.
#[test]
fn a_planted_fault_is_found_on_the_simulated_network() {
    let day = load("bad-day.ini", 7).scaled_to(14.0);
    for (plant, name) in [
        (InjectedFault::WithholdDrain, "drains"),
        (InjectedFault::IgnorePurge, "purges"),
    ] {
        let out = play(&day, Some(plant));
        let rule = out.rules.iter().find(|r| r.name == name).unwrap();
        assert!(!rule.violations.is_empty(), "{name}: nothing found");
    }
}

#[test]
fn the_shell_and_the_cores_alone_agree_on_the_same_day() {
    let day = load("rolling-restart.ini", 5);
    let (shell, cores) = (
        play(&day, None).service.service,
        simulator::run(&day, None).unwrap().service.service,
    );
    println!("seed 5: shell {shell:.4}, cores {cores:.4}");
    assert!(
        (shell - cores).abs() < 0.03,
        "shell {shell:.4}, cores {cores:.4}"
    );
}
