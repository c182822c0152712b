//! Reading of scenario files: ranges, setting overrides and errors.
use pointspindle_scenario::{parse, parse_with, Scenario, SettingOverride};

const MINIMAL: &str = "[day]\nabout = a test\nseconds = 10\nrate = 20..40\n[class page]\n";

fn parsed(text: &str, seed: u64) -> Scenario {
    parse("test.ini", text, Some(seed)).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn number_range_is_drawn_within_bounds_and_by_the_seed() {
    let rates: Vec<f64> = (0..20)
        .map(|seed| parsed(MINIMAL, seed).workload.calls_per_s)
        .collect();
    assert!(rates.iter().all(|rate| (20.0..=40.0).contains(rate)));
    assert!(rates.iter().any(|rate| *rate != rates[0]));
    assert_eq!(parsed(MINIMAL, 3).workload.calls_per_s, rates[3]);
}

#[test]
fn number_range_of_one_key_is_independent_of_other_keys() {
    let with_parents = format!("{MINIMAL}[fleet]\nparents = 1..9\n");
    assert_eq!(
        parsed(MINIMAL, 5).workload.calls_per_s,
        parsed(&with_parents, 5).workload.calls_per_s
    );
}

#[test]
fn setting_override_replaces_the_file_value_and_prints_as_written() {
    let setting: SettingOverride = "fleet.branches = 7".parse().unwrap();
    assert_eq!(setting.to_string(), "fleet.branches=7");
    let scenario = parse_with("test.ini", MINIMAL, None, &[setting]).unwrap();
    assert_eq!(scenario.fleet.branches, 7);
}

#[test]
fn setting_override_without_section_is_rejected() {
    let error = "branches=7".parse::<SettingOverride>().unwrap_err();
    assert!(error.contains("section.key=value"), "{error}");
}

#[test]
fn malformed_file_reports_every_error_with_its_key() {
    let text = "[day]\nabout = a test\nrate = 9..3\n[class page]\neffect = odd\n[trouble x]\nkind = crash\nzone = none\n";
    let errors = parse("test.ini", text, None).unwrap_err().to_string();
    for expected in ["not a range within", "\"odd\" is not one of", "branch-1"] {
        assert!(errors.contains(expected), "{expected} is missing: {errors}");
    }
}
