//! Saving and loading of runs, resumed sweeps, fault searches with reduction, and self-contained report pages.
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_report::record::Run;
use pointspindle_report::sweep::{cells, rows, run, Source, VariedSetting};
use pointspindle_report::{folder, html, hunt};
use pointspindle_scenario::{parse_with, SettingOverride};

const SCENARIO: &str = "
[day]
about = a short run of a small fleet
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
    name: "test.ini",
    text: SCENARIO,
};

fn overrides(texts: &[&str]) -> Vec<SettingOverride> {
    texts.iter().map(|text| text.parse().unwrap()).collect()
}

#[test]
fn sweep_results_do_not_depend_on_thread_count_or_saved_results() {
    let varied_settings: Vec<VariedSetting> = vec![
        "fleet.hello=no,yes".parse().unwrap(),
        "fleet.caches=2,3".parse().unwrap(),
    ];
    let cells = cells(&[1, 2, 3], &overrides(&["day.rate=30"]), &varied_settings);
    assert_eq!(cells.len(), 12);
    let single_threaded = run(&SOURCE, &cells, None, 1, true).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let first_seven = run(&SOURCE, &cells[..7], Some(folder.path()), 4, true).unwrap();
    assert_eq!(single_threaded[..7], first_seven[..]);
    // An intact saved result is read; a damaged one is computed again.
    let saved_files = || std::fs::read_dir(folder.path().join("days")).unwrap();
    assert_eq!(saved_files().count(), 7);
    let path = saved_files().next().unwrap().unwrap().path();
    let text = std::fs::read_to_string(&path).unwrap();
    let damaged = &text[..text.len() / 2];
    std::fs::write(&path, damaged).unwrap();
    let all = run(&SOURCE, &cells, Some(folder.path()), 4, true).unwrap();
    assert_eq!(all, single_threaded, "results with a damaged saved file");
    let table = rows(&all);
    assert_eq!(table.len(), 4);
    assert!(
        table[0].name.contains("fleet.hello=no fleet.caches=2") && table[0].runs == 3,
        "{table:?}"
    );
}

#[test]
fn saved_run_can_be_loaded_and_explains_its_requests() {
    let scenario = parse_with("test.ini", SCENARIO, Some(5), &[]).unwrap();
    let (run, outcome) = Run::simulate(&scenario, &[]).unwrap();
    let repeated = Run::simulate(&scenario, &[]).unwrap().0;
    assert_eq!(
        folder::to_json(&run),
        folder::to_json(&repeated),
        "the same seed must give the same bytes"
    );
    let run_folder = tempfile::tempdir().unwrap();
    folder::save(run_folder.path(), SCENARIO, &run, &outcome.trace).unwrap();
    assert_eq!(folder::load(run_folder.path()).unwrap(), run);
    let history = folder::explain(
        run_folder.path(),
        ClientAttemptId {
            call: 100,
            attempt: 0,
        },
    )
    .unwrap();
    assert!(history.len() >= 3, "{history:?}");
    // A folder whose scenario was changed or whose format version is unknown is rejected.
    let changed = SCENARIO.replace("rate = 40", "rate = 41");
    std::fs::write(run_folder.path().join("scenario.ini"), changed).unwrap();
    let error = folder::explain(
        run_folder.path(),
        ClientAttemptId {
            call: 100,
            attempt: 0,
        },
    )
    .unwrap_err()
    .to_string();
    assert!(
        error.contains("the repeated run differs from the saved one"),
        "{error}"
    );
    std::fs::write(run_folder.path().join("run.json"), "{\"form\": 9}").unwrap();
    assert!(folder::load(run_folder.path())
        .unwrap_err()
        .to_string()
        .contains("run.json"));
}

#[test]
fn report_pages_reference_no_external_resources() {
    let scenario = parse_with("<b>name</b>", SCENARIO, Some(5), &[]).unwrap();
    let a = Run::simulate(&scenario, &[]).unwrap().0;
    let b = Run::simulate(&scenario, &overrides(&["fleet.hello=yes"]))
        .unwrap()
        .0;
    for page in [
        html::run(&a).unwrap(),
        html::comparison(&a, &b).unwrap(),
        html::sweep("s", &[], &[]).unwrap(),
    ] {
        for reference in ["<script", "src=", "@import", "<link"] {
            assert!(!page.contains(reference), "page contains {reference}");
        }
        assert!(!page.contains("<b>name</b>"), "unescaped name");
        assert!(page.contains("<svg") && page.contains("Simulated"));
    }
    let page = html::run(&a).unwrap();
    assert!(page.contains("restart") && page.contains("rolling_restart"));
}

/// The reduced scenario still shows the crashes, and no longer does when any of its faults is removed.
#[test]
fn search_for_cold_crashes_reduces_the_finding_to_the_needed_faults() {
    let high_load = overrides(&["day.rate=110", "cold cache.multiple=1.4"]);
    let found = hunt::search(&SOURCE, &high_load, hunt::SearchGoal::ColdCrashes, 1, 120)
        .unwrap()
        .expect("a host that restarts before dispatchers receive the endpoint list");
    println!("{found:?}");
    assert_eq!(
        found.seed, 21,
        "a seed must draw the same faults in every build"
    );
    assert!(
        found.figures.cold_crashes > 0 && found.figures.violations == 0,
        "a crash without a violation, as no dispatcher could know of the restart"
    );
    let cold_crashes = |faults: &[_]| {
        let text = hunt::scenario_text(SCENARIO, faults);
        let scenario = parse_with("found.ini", &text, Some(found.seed), &high_load).unwrap();
        Run::simulate(&scenario, &high_load)
            .unwrap()
            .0
            .warm_up_crashes
    };
    assert_eq!(cold_crashes(&found.faults), found.figures.cold_crashes);
    for without in 0..found.faults.len() {
        let mut fewer = found.faults.clone();
        fewer.remove(without);
        assert_eq!(
            cold_crashes(&fewer),
            0,
            "{:?} is not needed for the crash",
            found.faults[without]
        );
    }
    let repeated =
        hunt::search(&SOURCE, &high_load, hunt::SearchGoal::ColdCrashes, 1, 120).unwrap();
    assert_eq!(
        repeated,
        Some(found),
        "a repeated search must find the same"
    );
}

#[test]
fn malformed_sweep_is_rejected_with_a_reason() {
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
    let malformed = cells(&[1], &overrides(&["fleet.caches=x"]), &[]);
    let error = run(&SOURCE, &malformed, None, 1, true)
        .unwrap_err()
        .to_string();
    assert!(error.contains("fleet.caches"), "{error}");
}
