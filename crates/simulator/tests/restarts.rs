//! Simulated restarts: the scenarios with restarts in `scenarios/`, on hosts that send a hello and on hosts that do
//! not.
use pointspindle_scenario::{load_with, Scenario, SettingOverride};
use pointspindle_simulator::{run, Outcome};
use std::path::Path;

fn scenario(name: &str, seed: u64, overrides: &[&str]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/{name}.ini"));
    let overrides: Vec<SettingOverride> =
        overrides.iter().map(|text| text.parse().unwrap()).collect();
    load_with(&file, Some(seed), &overrides).unwrap_or_else(|error| panic!("{error}"))
}

fn run_scenario(name: &str, seed: u64, overrides: &[&str]) -> Outcome {
    println!("{name}, seed {seed}, {overrides:?}");
    run(&scenario(name, seed, overrides), None).unwrap()
}

fn warm_up_crashes(outcome: &Outcome) -> usize {
    let rule = outcome
        .rules
        .iter()
        .find(|rule| rule.name == "cold")
        .unwrap();
    assert!(rule.cases > 50, "too few cases of the rule");
    rule.violations.len() + rule.undetectable.len()
}

/// Dispatchers that know of a host's start stay within the warm-up budget. With hello all of them know, and no host
/// crashes.
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
                let outcome = run_scenario(name, seed, &[hello]);
                for rule in &outcome.rules {
                    assert!(rule.violations.is_empty(), "{:?}", rule.violations);
                }
                if hello.ends_with("yes") && name != "flaky-links" {
                    assert_eq!(warm_up_crashes(&outcome), 0);
                }
            }
        }
    }
}

/// Ensures that the check for crashes detects them: without hello, some hosts crash before a list update, which is not
/// a violation.
#[test]
fn crashes_before_any_list_update_are_reported_as_undetectable() {
    let crashes = |hello: &str| -> usize {
        (1..=5)
            .map(|seed| warm_up_crashes(&run_scenario("rolling-restart", seed, &[hello])))
            .sum()
    };
    let without_hello = crashes("fleet.hello=no");
    let with_hello = crashes("fleet.hello=yes");
    assert!(
        without_hello > 0 && with_hello == 0,
        "{without_hello} crashes without hello, {with_hello} with hello"
    );
}

/// Connections break without a restart: with hello, dispatchers recognise the incarnation and avoid a needless slow
/// start.
#[test]
fn reconnecting_to_the_same_incarnation_with_hello_keeps_service_higher() {
    let service = |hello: &str| {
        (1..=5)
            .map(|seed| run_scenario("flaky-links", seed, &[hello]).service.service)
            .sum::<f64>()
            / 5.0
    };
    let without_hello = service("fleet.hello=no");
    let with_hello = service("fleet.hello=yes");
    assert!(
        with_hello > without_hello,
        "service {with_hello:.4} with hello, {without_hello:.4} without"
    );
}

#[test]
fn malformed_override_error_names_the_form_and_unknown_key_error_the_key() {
    assert!("fleet=3"
        .parse::<SettingOverride>()
        .unwrap_err()
        .contains("section.key=value"));
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/flaky-links.ini");
    let message = load_with(&file, None, &["fleet.cachs=3".parse().unwrap()])
        .unwrap_err()
        .to_string();
    assert!(
        message.contains("fleet.cachs") && message.contains("caches"),
        "{message}"
    );
}

/// Two hundred dispatchers in two branches send a request every two seconds each: an equal share of the capacity is too
/// small to be of use, while requested work is not. Guards against leases that expire before a request uses them
/// (service 0.68, not 0.86).
#[test]
fn many_dispatchers_with_work_requests_share_a_warm_up() {
    let service_of_many = |hello: &str| {
        let outcome = run_scenario(
            "hub-restart-late-lists",
            1,
            &["fleet.dispatchers=100", hello],
        );
        assert!(outcome.rules.iter().all(|rule| rule.violations.is_empty()));
        assert_eq!(warm_up_crashes(&outcome), 0);
        outcome.service.service
    };
    let service_of_few = run_scenario("hub-restart-late-lists", 1, &["fleet.dispatchers=2"])
        .service
        .service;
    // With all dispatchers in one branch, hosts that most of them had never sent a request to were overloaded by first
    // requests.
    let branch = ["fleet.branches=1", "fleet.hubs=1", "day.rate=60"];
    let run_in_one_branch = |count: &str| {
        let outcome = run_scenario(
            "hub-restart-late-lists",
            2,
            &[&branch[..], &[count]].concat(),
        );
        (warm_up_crashes(&outcome), outcome.service.service)
    };
    let four = run_in_one_branch("fleet.dispatchers=4");
    let two_hundred = run_in_one_branch("fleet.dispatchers=200");
    assert!(
        two_hundred.0 == 0 && two_hundred.1 > four.1 - 0.05,
        "crashes and service: {two_hundred:?} of two hundred dispatchers, {four:?} of four"
    );
    let without_hello = service_of_many("fleet.hello=no");
    let with_hello = service_of_many("fleet.hello=yes");
    assert!(
        with_hello > without_hello + 0.1 && with_hello > service_of_few - 0.05,
        "service {with_hello:.3} with hello, {without_hello:.3} without, {service_of_few:.3} of four dispatchers"
    );
}
