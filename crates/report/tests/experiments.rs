//! Runs kept and read again, sweeps that go on where they were, hunts that cut down, pages that load nothing.
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_report::record::Run;
use pointspindle_report::sweep::{cells, rows, run, Source, Vary};
use pointspindle_report::{folder, html, hunt};
use pointspindle_scenario::{parse_with, SettingOverride};

const DAY: &str = "
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
    text: DAY,
};

fn changes(words: &[&str]) -> Vec<SettingOverride> {
    words.iter().map(|w| w.parse().unwrap()).collect()
}

#[test]
fn a_sweep_gives_the_same_table_on_one_thread_and_on_four_and_plays_no_day_twice() {
    let vary: Vec<Vary> = vec![
        "fleet.hello=no,yes".parse().unwrap(),
        "fleet.caches=2,3".parse().unwrap(),
    ];
    let cells = cells(&[1, 2, 3], &changes(&["day.rate=30"]), &vary);
    assert_eq!(cells.len(), 12);
    let one = run(&SOURCE, &cells, None, 1, true).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let four = run(&SOURCE, &cells[..7], Some(folder.path()), 4, true).unwrap();
    assert_eq!(one[..7], four[..]);
    // A day that is kept is believed: what is changed on disk shows in the table.
    let days = || std::fs::read_dir(folder.path().join("days")).unwrap();
    assert_eq!(days().count(), 7);
    let path = days().next().unwrap().unwrap().path();
    let text = std::fs::read_to_string(&path).unwrap();
    let torn = &text[..text.len() / 2];
    std::fs::write(&path, torn).unwrap();
    let all = run(&SOURCE, &cells, Some(folder.path()), 4, true).unwrap();
    assert_eq!(all, one, "a torn day is played again, the others are read");
    let table = rows(&all);
    assert_eq!(table.len(), 4);
    assert!(
        table[0].way.contains("fleet.hello=no fleet.caches=2") && table[0].days == 3,
        "{table:?}"
    );
}

#[test]
fn a_kept_run_is_read_again_and_its_requests_explained() {
    let scenario = parse_with("day.ini", DAY, Some(5), &[]).unwrap();
    let (kept, outcome) = Run::play(&scenario, &[]).unwrap();
    let again = Run::play(&scenario, &[]).unwrap().0;
    assert_eq!(
        folder::to_json(&kept),
        folder::to_json(&again),
        "the same bytes for the same seed"
    );
    let place = tempfile::tempdir().unwrap();
    folder::keep(place.path(), DAY, &kept, &outcome.trace).unwrap();
    assert_eq!(folder::load(place.path()).unwrap(), kept);
    let trail = folder::explain(
        place.path(),
        ClientAttemptId {
            call: 100,
            attempt: 0,
        },
    )
    .unwrap();
    assert!(trail.len() >= 3, "{trail:?}");
    // Another build, or a folder that was touched: said, not guessed.
    let changed = DAY.replace("rate = 40", "rate = 41");
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
fn pages_stand_alone() {
    let scenario = parse_with("<b>day</b>", DAY, Some(5), &[]).unwrap();
    let a = Run::play(&scenario, &[]).unwrap().0;
    let b = Run::play(&scenario, &changes(&["fleet.hello=yes"]))
        .unwrap()
        .0;
    for page in [
        html::run(&a).unwrap(),
        html::two(&a, &b).unwrap(),
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

/// What is found still shows after it was cut down, and no step smaller would.
#[test]
fn a_hunt_finds_fallen_hosts_and_leaves_only_what_it_takes() {
    let busy = changes(&["day.rate=110", "cold cache.multiple=1.4"]);
    let found = hunt::hunt(&SOURCE, &busy, hunt::Goal::Fallen, 1, 120)
        .unwrap()
        .expect("restarts before lists tell");
    println!("{found:?}");
    assert!(
        found.figures.fallen > 0 && found.figures.breaches == 0,
        "nobody could have known"
    );
    let fallen = |troubles: &[_]| {
        let text = hunt::text(DAY, troubles);
        let scenario = parse_with("found.ini", &text, Some(found.seed), &busy).unwrap();
        Run::play(&scenario, &busy).unwrap().0.fallen
    };
    assert_eq!(fallen(&found.troubles), found.figures.fallen);
    for without in 0..found.troubles.len() {
        let mut fewer = found.troubles.clone();
        fewer.remove(without);
        assert_eq!(
            fallen(&fewer),
            0,
            "{:?} was not needed",
            found.troubles[without]
        );
    }
    let again = hunt::hunt(&SOURCE, &busy, hunt::Goal::Fallen, 1, 120).unwrap();
    assert_eq!(again, Some(found), "the same find whatever the threads did");
}

#[test]
fn what_is_no_sweep_says_why() {
    assert!("fleet.caches"
        .parse::<Vary>()
        .unwrap_err()
        .contains("section.key=value"));
    assert!("fleet.caches=3,,4"
        .parse::<Vary>()
        .unwrap_err()
        .contains("empty"));
    let wrong = cells(&[1], &changes(&["fleet.caches=x"]), &[]);
    let why = run(&SOURCE, &wrong, None, 1, true).unwrap_err().to_string();
    assert!(why.contains("fleet.caches"), "{why}");
}
