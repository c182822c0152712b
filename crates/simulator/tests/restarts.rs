//! Restarts in virtual time: the scenarios of `scenarios/` that rehearse them, with members that say who they are and
//! with members that do not.
use pointspindle_scenario::{load_with, Scenario, SettingOverride};
use pointspindle_simulator::{run, Outcome};
use std::path::Path;

fn scenario(name: &str, seed: u64, sets: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/{name}.ini"));
    let sets: Vec<SettingOverride> = sets.iter().map(|s| s.parse().unwrap()).collect();
    load_with(&file, Some(seed), &sets).unwrap_or_else(|e| panic!("{e}"))
}

fn play(name: &str, seed: u64, sets: &[&str]) -> Outcome {
    println!("{name}, seed {seed}, {sets:?}");
    run(&scenario(name, seed, sets), None).unwrap()
}

fn pushed_over(outcome: &Outcome) -> usize {
    let cold = outcome.rules.iter().find(|r| r.name == "cold").unwrap();
    assert!(cold.cases > 50, "never exercised");
    cold.violations.len() + cold.undetectable.len()
}

/// Whoever knows of a start keeps the sum; with hello everybody does, and nobody falls over.
#[test]
fn no_rule_breaks_and_with_hello_nobody_falls_over() {
    for name in [
        "hub-restart-late-lists",
        "rolling-restart",
        "dispatchers-join",
        "parents-restart",
        "flaky-links",
    ] {
        for seed in [1, 2] {
            for hello in ["fleet.hello=no", "fleet.hello=yes"] {
                let outcome = play(name, seed, &[hello]);
                for rule in &outcome.rules {
                    assert!(rule.violations.is_empty(), "{:?}", rule.violations);
                }
                if hello.ends_with("yes") && name != "flaky-links" {
                    assert_eq!(pushed_over(&outcome), 0);
                }
            }
        }
    }
}

/// A check that can fail: without hello some fall before the lists tell, and the auditor sees it, as nobody's breach.
#[test]
fn hosts_that_fall_before_anybody_was_told_are_seen_and_held_against_nobody() {
    let fallen = |hello: &str| -> usize {
        (1..=5)
            .map(|s| pushed_over(&play("rolling-restart", s, &[hello])))
            .sum()
    };
    let (silent, greeting) = (fallen("fleet.hello=no"), fallen("fleet.hello=yes"));
    assert!(silent > 0 && greeting == 0, "{silent} and {greeting}");
}

/// Ways that break without a restart: members that say who they are lose nothing to caution.
#[test]
fn the_same_process_after_a_broken_way_is_not_taken_for_a_new_one() {
    let service = |hello: &str| {
        (1..=5)
            .map(|s| play("flaky-links", s, &[hello]).service.service)
            .sum::<f64>()
            / 5.0
    };
    let (silent, greeting) = (service("fleet.hello=no"), service("fleet.hello=yes"));
    assert!(greeting > silent, "{greeting:.4} and {silent:.4}");
}

#[test]
fn a_change_that_is_none_names_its_form_and_a_wrong_one_its_key() {
    assert!("fleet=3"
        .parse::<SettingOverride>()
        .unwrap_err()
        .contains("section.key=value"));
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/flaky-links.ini");
    let wrong = load_with(&file, None, &["fleet.cachs=3".parse().unwrap()])
        .unwrap_err()
        .to_string();
    assert!(
        wrong.contains("fleet.cachs") && wrong.contains("caches"),
        "{wrong}"
    );
}

/// Two hundred dispatchers in two branches, each with a request every two seconds: a part or a turn of so many is of no
/// use, asking is. Guards against leases that lapse before a request meets them (service 0.68 against 0.86).
#[test]
fn many_dispatchers_share_a_warm_up_by_asking() {
    let many = |hello: &str| {
        let outcome = play(
            "hub-restart-late-lists",
            1,
            &["fleet.dispatchers=100", hello],
        );
        assert!(outcome.rules.iter().all(|r| r.violations.is_empty()));
        assert_eq!(pushed_over(&outcome), 0);
        outcome.service.service
    };
    let few = play("hub-restart-late-lists", 1, &["fleet.dispatchers=2"])
        .service
        .service;
    // All in one branch: hosts that most dispatchers had never had a request for were pushed over by first ones.
    let branch = ["fleet.branches=1", "fleet.hubs=1", "day.rate=60"];
    let one = |count: &str| {
        let outcome = play(
            "hub-restart-late-lists",
            2,
            &[&branch[..], &[count]].concat(),
        );
        (pushed_over(&outcome), outcome.service.service)
    };
    let (four, two_hundred) = (one("fleet.dispatchers=4"), one("fleet.dispatchers=200"));
    assert!(
        two_hundred.0 == 0 && two_hundred.1 > four.1 - 0.05,
        "{two_hundred:?}, {four:?} of four"
    );
    let (silent, asking) = (many("fleet.hello=no"), many("fleet.hello=yes"));
    assert!(
        asking > silent + 0.1 && asking > few - 0.05,
        "{asking:.3}, {silent:.3} without, {few:.3} of four"
    );
}
