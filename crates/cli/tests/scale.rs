//! Short scale runs without timing checks: counts of updates by kind as functions of the fleet size, the state of simulated
//! (`--hollow`) dispatchers, errors, and the capacity page.
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pointspindle"))
        .args(args)
        .output()
        .unwrap()
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .unwrap()
}

fn count(v: &Value) -> u64 {
    v.as_u64().unwrap_or_else(|| panic!("not a count: {v}"))
}

/// Returns the phase of a step with this name.
fn phase<'a>(step: &'a Value, name: &str) -> &'a Value {
    let phases = step["phases"].as_array().unwrap();
    phases
        .iter()
        .find(|phase| phase["name"] == name)
        .unwrap_or_else(|| panic!("no phase {name}"))
}

fn check_step(step: &Value) {
    check_deliveries(step);
    let n = count(&step["dispatchers"]);
    assert_eq!(count(&step["hosts"]), (4 * n).div_ceil(6));
    assert_eq!(count(&phase(step, "storm")["purges"]["written"]), 50);
    // Every dispatcher has the complete state and no further items.
    let items = &phase(step, "rest")["items"];
    assert_eq!(
        (count(&items["members"]), count(&items["dispatchers"])),
        (count(&step["hosts"]), n)
    );
    assert!(phase(step, "compacted")["whole_ms"].as_f64().unwrap() > 0.0);
    // A process of simulated dispatchers that is killed and restarted is delivered to each remaining dispatcher, as one
    // removal and one addition for each dispatcher in the process.
    let restarted = count(&phase(step, "restart")["traffic"]["events"]["dispatchers"]);
    assert!(
        restarted >= 4 * (n - 2) && restarted <= 4 * n,
        "{restarted} at {n}"
    );
}

/// Each write is delivered to each dispatcher once.
fn check_deliveries(step: &Value) {
    let n = count(&step["dispatchers"]);
    for (name, what, kind) in [
        ("purges", "purges", "purges"),
        ("storm", "purges", "purges"),
        ("changes", "changes", "members"),
    ] {
        let lag = &phase(step, name)[what];
        assert!(count(&lag["written"]) > 0);
        assert_eq!(
            (count(&lag["heard"]), count(&lag["never"])),
            (count(&lag["written"]) * n, 0),
            "{name}"
        );
        let events = count(&phase(step, name)["traffic"]["events"][kind]);
        assert_eq!(events, count(&lag["written"]) * n, "{name} at {n}");
    }
}

#[test]
fn update_counts_grow_with_the_fleet_and_every_update_arrives() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("small.ini");
    let text = "[target]\ndispatchers = 6\nsites = 2\nhosts = 4\npurges_per_s = 10\n\
                [run]\neach = 2\nhosts_each = 2\nstorm = 50\naway_s = 0.3\n";
    std::fs::write(&file, text).unwrap();
    let out = folder.path().join("out");
    let output = run(&[
        "--log",
        "error",
        "lab",
        "scale",
        file.to_str().unwrap(),
        "--hollow",
        "3,6",
        "--seconds",
        "0.5",
        "--json",
        "--out",
        out.to_str().unwrap(),
    ]);
    // Status 1: a budget was exceeded, as may happen on a busy machine.
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(matches!(output.status.code(), Some(0 | 1)), "{errors}");
    let all: Value = serde_json::from_slice(&output.stdout).unwrap();
    let steps = all["runs"][0].as_array().unwrap();
    assert_eq!(steps.len(), 2);
    steps.iter().for_each(check_step);
    let slope = &all["slopes"]["figures"]["rest/store bytes out"];
    assert_eq!((count(&slope["from"]), count(&slope["to"])), (3, 6));
    // The page can be written from the stored slopes.
    let slopes = out.join("slopes.json");
    let page = run(&[
        "lab",
        "capacity",
        "--target",
        file.to_str().unwrap(),
        "--slopes",
        slopes.to_str().unwrap(),
    ]);
    let page = String::from_utf8_lossy(&page.stdout).into_owned();
    assert!(
        page.contains("extrapolated") || page.contains("measured"),
        "{page}"
    );
}

#[test]
fn invalid_input_is_named_with_file_and_key() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("odd.ini");
    std::fs::write(&file, "[run]\nseconds = 1\n").unwrap();
    let output = run(&["lab", "scale", file.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("odd.ini") && text.contains("dispatchers"),
        "{text}"
    );
    std::fs::write(&file, "[target]\ndispatchers = 6\nhosts = 4\n").unwrap();
    let output = run(&["lab", "scale", file.to_str().unwrap(), "--hollow", "9000"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && text.contains("--hollow 9000"),
        "{text}"
    );
    let slopes = folder.path().join("slopes.json");
    std::fs::write(
        &slopes,
        r#"{"commit":"","date":"","machine":"","seconds":1.0,"steps":[],"runs":1,"counts":{},
            "figures":{"rest/x":{"unit":"","a":1.0,"b":0.0,"residual":0.0,"from":0,"to":0}}}"#,
    )
    .unwrap();
    let output = run(&[
        "lab",
        "capacity",
        "--target",
        file.to_str().unwrap(),
        "--slopes",
        slopes.to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("slopes.json") && text.contains("rest/x"),
        "{text}"
    );
}

/// Guards against figures on the capacity page that no longer match the slopes of the latest run.
#[test]
fn capacity_page_equals_what_the_program_writes() {
    let root = root();
    let at = |file: &str| root.join(file).to_str().unwrap().to_owned();
    let output = run(&[
        "lab",
        "capacity",
        "--target",
        &at("scenarios/fleet-ahead.ini"),
        "--slopes",
        &at("docs/capacity/slopes.json"),
    ]);
    let written = String::from_utf8_lossy(&output.stdout).into_owned();
    let page = std::fs::read_to_string(root.join("docs/CAPACITY.md")).unwrap();
    assert!(output.status.success());
    assert!(
        page == written,
        "docs/CAPACITY.md is not what `lab capacity` writes from its slopes"
    );
}
