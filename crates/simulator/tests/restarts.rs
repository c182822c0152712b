//! Restarts in virtual time: the scenarios of `scenarios/` with restarts, on hosts that send a hello and on hosts that
//! do not.
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

fn cold_crashes(outcome: &Outcome) -> usize {
    let cold = outcome.rules.iter().find(|r| r.name == "cold").unwrap();
    assert!(cold.cases > 50, "never exercised");
    cold.violations.len() + cold.undetectable.len()
}

/// Dispatchers that know of a start stay within the budget; with hello all of them know, and no host crashes.
#[test]
fn restarts_violate_no_rule_and_with_hello_crash_no_host() {
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
                    assert_eq!(cold_crashes(&outcome), 0);
                }
            }
        }
    }
}

/// Shows that the check can fail: without hello some hosts crash before a list update, which is no violation.
#[test]
fn crashes_before_any_list_update_are_reported_as_undetectable() {
    let crashes = |hello: &str| -> usize {
        (1..=5)
            .map(|s| cold_crashes(&play("rolling-restart", s, &[hello])))
            .sum()
    };
    let without_hello = crashes("fleet.hello=no");
    let with_hello = crashes("fleet.hello=yes");
    assert!(
        without_hello > 0 && with_hello == 0,
        "{without_hello} and {with_hello}"
    );
}

/// Connections that break without a restart: with hello nothing is lost to a needless slow start.
#[test]
fn reconnecting_to_the_same_incarnation_with_hello_keeps_service_higher() {
    let service = |hello: &str| {
        (1..=5)
            .map(|s| play("flaky-links", s, &[hello]).service.service)
            .sum::<f64>()
            / 5.0
    };
    let without_hello = service("fleet.hello=no");
    let with_hello = service("fleet.hello=yes");
    assert!(
        with_hello > without_hello,
        "{with_hello:.4} and {without_hello:.4}"
    );
}

#[test]
fn malformed_override_names_its_form_and_unknown_override_its_key() {
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

/// Two hundred dispatchers in two branches, each with a request every two seconds: an equal share is too small to be of
/// use, requested work is not. Guards against leases that expire before a request uses them (service 0.68, not 0.86).
#[test]
fn many_dispatchers_with_work_requests_share_a_warm_up() {
    let many = |hello: &str| {
        let outcome = play(
            "hub-restart-late-lists",
            1,
            &["fleet.dispatchers=100", hello],
        );
        assert!(outcome.rules.iter().all(|r| r.violations.is_empty()));
        assert_eq!(cold_crashes(&outcome), 0);
        outcome.service.service
    };
    let few = play("hub-restart-late-lists", 1, &["fleet.dispatchers=2"])
        .service
        .service;
    // All in one branch: hosts that most dispatchers had never sent a request to were overloaded by first requests.
    let branch = ["fleet.branches=1", "fleet.hubs=1", "day.rate=60"];
    let one = |count: &str| {
        let outcome = play(
            "hub-restart-late-lists",
            2,
            &[&branch[..], &[count]].concat(),
        );
        (cold_crashes(&outcome), outcome.service.service)
    };
    let four = one("fleet.dispatchers=4");
    let two_hundred = one("fleet.dispatchers=200");
    assert!(
        two_hundred.0 == 0 && two_hundred.1 > four.1 - 0.05,
        "{two_hundred:?}, {four:?} of four"
    );
    let without_hello = many("fleet.hello=no");
    let with_hello = many("fleet.hello=yes");
    assert!(
        with_hello > without_hello + 0.1 && with_hello > few - 0.05,
        "{with_hello:.3}, {without_hello:.3} without, {few:.3} of four"
    );
}
