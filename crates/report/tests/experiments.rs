//! Saved runs, sweeps that continue, hunts that reduce their findings, and pages that load nothing from outside.
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_report::record::Run;
use pointspindle_report::sweep::{cells, rows, run, Source, VariedSetting};
use pointspindle_report::{folder, html, hunt};
use pointspindle_scenario::{parse_with, SettingOverride};

const SCENARIO: &str = "
[day]
about = a small day
seconds = 14
seed = 3
rate = 40
warm_s = 2
[fleet]
branches = 1
caches = 3
dispatchers = 2
parents = 1
hubs = 1
groups = 4
[rules]
list_told_least_ms = 2500
list_told_most_ms = 4000
[class page]
share = 1
mean_kb = 60
objects = 60
aim_ms = 400
deadline_ms = 3000
[trouble restart]
kind = rolling_restart
at_s = 4
for_s = 6
down_s = 0.8
share = 1
";

const SOURCE: Source = Source {
    name: "day.ini",
    text: SCENARIO,
};

fn overrides(texts: &[&str]) -> Vec<SettingOverride> {
    texts.iter().map(|text| text.parse().unwrap()).collect()
}

#[test]
fn sweep_on_any_number_of_threads_gives_the_same_table_and_repeats_no_saved_run() {
    let vary: Vec<VariedSetting> = vec![
        "fleet.hello=no,yes".parse().unwrap(),
        "fleet.caches=2,3".parse().unwrap(),
    ];
    let cells = cells(&[1, 2, 3], &overrides(&["day.rate=30"]), &vary);
    assert_eq!(cells.len(), 12);
    let one = run(&SOURCE, &cells, None, 1, true).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let four = run(&SOURCE, &cells[..7], Some(folder.path()), 4, true).unwrap();
    assert_eq!(one[..7], four[..]);
    // A saved result is read again; a damaged one is not.
    let days = || std::fs::read_dir(folder.path().join("days")).unwrap();
    assert_eq!(days().count(), 7);
    let path = days().next().unwrap().unwrap().path();
    let text = std::fs::read_to_string(&path).unwrap();
    let damaged = &text[..text.len() / 2];
    std::fs::write(&path, damaged).unwrap();
    let all = run(&SOURCE, &cells, Some(folder.path()), 4, true).unwrap();
    assert_eq!(
        all, one,
        "a damaged result is run again, the others are read"
    );
    let table = rows(&all);
    assert_eq!(table.len(), 4);
    assert!(
        table[0].name.contains("fleet.hello=no fleet.caches=2") && table[0].runs == 3,
        "{table:?}"
    );
}

#[test]
fn saved_run_is_loaded_and_explains_its_requests() {
    let scenario = parse_with("day.ini", SCENARIO, Some(5), &[]).unwrap();
    let (run, outcome) = Run::play(&scenario, &[]).unwrap();
    let again = Run::play(&scenario, &[]).unwrap().0;
    assert_eq!(
        folder::to_json(&run),
        folder::to_json(&again),
        "the same bytes for the same seed"
    );
    let place = tempfile::tempdir().unwrap();
    folder::save(place.path(), SCENARIO, &run, &outcome.trace).unwrap();
    assert_eq!(folder::load(place.path()).unwrap(), run);
    let history = folder::explain(
        place.path(),
        ClientAttemptId {
            call: 100,
            attempt: 0,
        },
    )
    .unwrap();
    assert!(history.len() >= 3, "{history:?}");
    // A folder of another build, or one that was changed, is reported as such.
    let changed = SCENARIO.replace("rate = 40", "rate = 41");
    std::fs::write(place.path().join("scenario.ini"), changed).unwrap();
    let why = folder::explain(
        place.path(),
        ClientAttemptId {
            call: 100,
            attempt: 0,
        },
    )
    .unwrap_err()
    .to_string();
    assert!(why.contains("came out otherwise"), "{why}");
    std::fs::write(place.path().join("run.json"), "{\"form\": 9}").unwrap();
    assert!(folder::load(place.path())
        .unwrap_err()
        .to_string()
        .contains("run.json"));
}

#[test]
fn report_pages_load_nothing_from_outside() {
    let scenario = parse_with("<b>day</b>", SCENARIO, Some(5), &[]).unwrap();
    let a = Run::play(&scenario, &[]).unwrap().0;
    let b = Run::play(&scenario, &overrides(&["fleet.hello=yes"]))
        .unwrap()
        .0;
    for page in [
        html::run(&a).unwrap(),
        html::comparison(&a, &b).unwrap(),
        html::sweep("s", &[], &[]).unwrap(),
    ] {
        for outside in ["<script", "src=", "@import", "<link"] {
            assert!(!page.contains(outside), "{outside}");
        }
        assert!(!page.contains("<b>day</b>"), "names are escaped");
        assert!(page.contains("<svg") && page.contains("Simulated"));
    }
    let page = html::run(&a).unwrap();
    assert!(page.contains("restart") && page.contains("rolling_restart"));
}

/// What is found still shows after the reduction, and with any of the faults removed it does not.
#[test]
fn hunt_for_cold_crashes_finds_one_and_reduces_it_to_the_needed_faults() {
    let busy = overrides(&["day.rate=110", "cold cache.multiple=1.4"]);
    let found = hunt::hunt(&SOURCE, &busy, hunt::Goal::ColdCrashes, 1, 120)
        .unwrap()
        .expect("restarts before lists tell");
    println!("{found:?}");
    assert_eq!(
        found.seed, 21,
        "a seed draws the same faults in every build"
    );
    assert!(
        found.figures.cold_crashes > 0 && found.figures.violations == 0,
        "nobody could have known"
    );
    let cold_crashes = |faults: &[_]| {
        let text = hunt::scenario_text(SCENARIO, faults);
        let scenario = parse_with("found.ini", &text, Some(found.seed), &busy).unwrap();
        Run::play(&scenario, &busy).unwrap().0.cold_crashes
    };
    assert_eq!(cold_crashes(&found.faults), found.figures.cold_crashes);
    for without in 0..found.faults.len() {
        let mut fewer = found.faults.clone();
        fewer.remove(without);
        assert_eq!(
            cold_crashes(&fewer),
            0,
            "{:?} was not needed",
            found.faults[without]
        );
    }
    let again = hunt::hunt(&SOURCE, &busy, hunt::Goal::ColdCrashes, 1, 120).unwrap();
    assert_eq!(again, Some(found), "the same find whatever the threads");
}

#[test]
fn malformed_sweep_is_rejected_with_its_reason() {
    assert!("fleet.caches"
        .parse::<VariedSetting>()
        .unwrap_err()
        .to_string()
        .contains("section.key=value"));
    assert!("fleet.caches=3,,4"
        .parse::<VariedSetting>()
        .unwrap_err()
        .to_string()
        .contains("empty"));
    let wrong = cells(&[1], &overrides(&["fleet.caches=x"]), &[]);
    let why = run(&SOURCE, &wrong, None, 1, true).unwrap_err().to_string();
    assert!(why.contains("fleet.caches"), "{why}");
}
